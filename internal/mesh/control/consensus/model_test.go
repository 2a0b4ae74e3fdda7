package consensus

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
)

// model simulates several core processes as package controlplane runs them, without a clock: each step is drawn at random.
// Requests and replies are lost, delayed and duplicated. Processes are killed, alone or all at once, also between a write
// and its sync. Disks are lost, but only one until its replica has recovered. Voters are added, removed and exchanged.
// Operators send orders, and send them again, to any process. The outcome is checked by specification.
type model struct {
	rng         *rand.Rand
	replicas    []*modelReplica
	inFlight    []*envelope
	orders      []*Change
	spec        specification
	steps       int
	faultsEnded bool           // whether all faults have ended
	encoded     bool           // whether all messages and synced records are encoded and decoded
	slowPercent int            // the percentage of messages that are slow
	diskLosses  int            // the expected number of attempts to lose a disk in 1000 steps
	counts      map[string]int // the number of events, by name
	digest      hash.Hash      // a hash of all requests and their replies; may be nil
}

const (
	modelSteps     = 2000
	modelAttempts  = 8               // maximum number of rounds of a call
	maxDelaySteps  = 300             // limit of the random number of steps for which a slow message is delayed
	modelExchanges = true            // whether a voter may be exchanged for another in one step
	modelPrefilled = maxHistory + 40 // number of orders in a prefilled register
)

// prefilled returns modelPrefilled orders, which are more than a value's history can contain, and the value after them.
var prefilled = sync.OnceValues(func() ([]*Change, Value) {
	var orders []*Change
	var value Value
	for n := 1; n <= modelPrefilled; n++ {
		change := NewChange(configuration.Version(n-1), configuration.Version(n), fmt.Appendf(nil, "prefilled %d", n))
		_, next := change.evaluate(&value)
		orders = append(orders, change)
		value = *next
	}
	return orders, value
})

// newModel returns a model with the given numbers of voters and standbys, and an empty or a prefilled register.
func newModel(seed uint64, voters, standbys int, isPrefilled bool) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 3)), counts: map[string]int{}, encoded: seed%8 == 0}
	m.slowPercent = pickOne(m.rng, []int{3, 10, 25})
	m.diskLosses = pickOne(m.rng, []int{2, 4, 12})
	m.spec = specification{refused: map[VersionDigest]bool{}, voters: map[uint64][]string{}}
	first := firstVoterSet(voters)
	var value Value
	if isPrefilled {
		orders, newest := prefilled()
		m.orders, value = slices.Clone(orders), newest
		for _, change := range orders {
			m.spec.chain = append(m.spec.chain, change.entry())
		}
	}
	m.spec.version = value.Version
	for i := range voters + standbys {
		process := &modelReplica{name: fmt.Sprint("v", i)}
		process.disk = InitialRecord(process.name, first.Voters)
		if value.Version > 0 && process.disk.State.Ready {
			process.disk.Vote = Vote{Ballot: Ballot{1, "prefilled"}, Value: value}
		}
		m.replicas = append(m.replicas, process)
		m.start(process)
	}
	return m
}

func (m *model) chance(percent int) bool { return m.rng.IntN(100) < percent }

func pickOne[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// gossip makes a process adopt the voter set that a random other process knows, and sync it.
func (m *model) gossip(process *modelReplica) {
	if other := pickOne(m.rng, m.replicas); other.up {
		process.adoptVoters(other.voterSet)
	}
	if !process.needsRecord {
		next, changed := process.record.LearnVoters(process.voterSet)
		m.persistRecord(process, next, changed)
	}
}

// step takes one random step.
func (m *model) step() {
	m.steps++
	process := pickOne(m.rng, m.replicas)
	switch draw := m.rng.IntN(1000); {
	case draw < 880:
		m.deliverOne()
	case draw < 900:
		m.restart()
	case draw < 902:
		m.stop(process)
	case draw < 903:
		for _, other := range m.replicas {
			m.stop(other)
		}
	case draw < 903+m.diskLosses:
		m.loseDisk(process)
	case !process.up:
	case draw < 940:
		if len(process.calls) > 0 {
			m.stopWaiting(process, pickOne(m.rng, process.calls))
		}
	case draw < 946:
		m.reconfigure(process)
	case draw < 954:
		m.gossip(process)
	case draw < 975:
		m.sendOrder(process)
		if other := pickOne(m.rng, m.replicas); other.up { // a concurrent order
			m.sendOrder(other)
		}
	default:
		m.startCall(process, &modelCall{isRead: true, withoutBallot: true})
	}
}

// endFaults ends all faults. Afterwards every process must recover its record and finish a read, and an order must be applied.
func (m *model) endFaults() {
	m.faultsEnded, m.inFlight = true, nil
	for _, process := range m.replicas {
		m.stop(process)
		m.start(process)
	}
	for range 40 {
		for _, process := range m.replicas {
			if process.needsRecord {
				m.startRecovery(process)
				m.deliverAll()
			}
		}
	}
	for _, process := range m.replicas {
		if process.needsRecord {
			m.spec.fail("%s has not recovered its record although all faults have ended", process.name)
		}
	}
	for _, process := range m.replicas {
		m.finishCall(process, &modelCall{isRead: true, withoutBallot: true})
	}
	change := NewChange(m.spec.version, m.spec.version+1, []byte("the last"))
	for range 2 { // the order is repeated, possibly at another process
		m.finishCall(pickOne(m.rng, m.replicas), &modelCall{change: change})
		if m.spec.violation == "" && !m.spec.contains(change.entry()) {
			m.spec.fail("order on the newest version was not applied")
		}
	}
}

// TestModel runs the model with many seeds. A failure message contains the seed to repeat the run.
func TestModel(t *testing.T) {
	seeds := uint64(400)
	if os.Getenv("SOAK") != "" {
		seeds = 5000
	}
	counts := map[string]int{}
	for seed := range seeds {
		m := newModel(seed, []int{3, 3, 3, 4, 5}[seed%5], 1+int(seed/5%2), seed%4 == 3)
		for step := 0; step < modelSteps && m.spec.violation == ""; step++ {
			m.step()
		}
		if m.endFaults(); m.spec.violation != "" {
			t.Fatalf("seed %d: guarantee violated: %s", seed, m.spec.violation)
		}
		for event, n := range m.counts {
			counts[event] += n
		}
		counts["versions"] += len(m.spec.chain)
		counts["epochs"] += int(m.spec.epoch)
	}
	t.Logf("%d seeds, events: %v", seeds, counts)
	for _, event := range []string{"applied", "conflict", "unknown", "disks lost", "power lost in a write", "records made", "epochs"} {
		qt.Assert(t, counts[event] > int(seeds)/10, qt.IsTrue, qt.Commentf(event))
	}
}
