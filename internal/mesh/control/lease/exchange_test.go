package lease

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// exchangeRun is a random run of three candidates and five processes. Three of these are voters, which are exchanged for the other
// ones repeatedly. Messages are late, lost or duplicated; candidates are partitioned from all voters; the rates of clocks differ by
// up to 5%; voters restart; and candidates learn of new voter sets late.
type exchangeRun struct {
	rng                 *rand.Rand
	now                 time.Duration // real time
	voterSets           [][]int       // the indexes of the voters, by epoch
	voters              []*exchangeVoter
	candidates          []*exchangeCandidate
	messages            []exchangeMessage
	obtained            int    // how often a process obtained the lease
	renewedAcrossEpochs int    // how often a holder requested a renewal under a newer voter set
	highestToken        uint64 // the highest fencing token of any holder
}

// exchangeVoter is one of the five processes.
type exchangeVoter struct {
	*Voter
	clockRate float64
	accepted  uint64        // the epoch of the newest voter set that the process accepted, which survives a restart
	readyAt   time.Duration // the time at which the process has read its disk after a restart
}

// exchangeCandidate is one of the three candidates.
type exchangeCandidate struct {
	*Candidate
	clockRate        float64
	partitionedUntil time.Duration
	knownEpoch       uint64 // the epoch of the newest voter set that the candidate knows
	requestEpoch     uint64 // the epoch of the candidate's newest request
}

// exchangeMessage is a request, or the reply to it, in flight.
type exchangeMessage struct {
	arrivesAt   time.Duration
	candidate   int
	voter       int
	requestedAt time.Duration // the time of the request, by the candidate's clock
	request     *Request
	reply       *Reply // nil if this is a request
}

// localTime returns the time shown by a clock that runs at the given rate, at the real time now.
func localTime(now time.Duration, rate float64) time.Duration {
	return time.Duration(float64(now) * rate)
}

func newExchangeRun(seed uint64) *exchangeRun {
	run := &exchangeRun{rng: rand.New(rand.NewPCG(seed, 44)), voterSets: [][]int{{0, 1, 2}}}
	rate := func() float64 { return 1 + 0.049*run.rng.Float64() }
	for range 5 {
		run.voters = append(run.voters, &exchangeVoter{Voter: NewVoter(0, true), clockRate: rate()})
	}
	for i := range 3 {
		candidate := NewCandidate(fmt.Sprint(i), uint64(i)+1, "d", run.rng.Float64)
		candidate.SetRank(i)
		run.candidates = append(run.candidates, &exchangeCandidate{Candidate: candidate, clockRate: rate()})
	}
	return run
}

// exchange replaces one voter by another process: majorities of both the old and the new voter set accept the new set, which is
// chosen thereby.
func (e *exchangeRun) exchange() {
	old := e.voterSets[len(e.voterSets)-1]
	next := slices.Clone(old)
	for newVoter := e.rng.IntN(5); ; newVoter = (newVoter + 1) % 5 {
		if !slices.Contains(old, newVoter) {
			next[e.rng.IntN(3)] = newVoter
			break
		}
	}
	epoch := uint64(len(e.voterSets))
	for _, voterSet := range [][]int{old, next} {
		for _, i := range e.rng.Perm(3)[:2+e.rng.IntN(2)] {
			e.voters[voterSet[i]].accepted = epoch
		}
	}
	e.voterSets = append(e.voterSets, next)
}

func (e *exchangeRun) send(message exchangeMessage) {
	for range 1 + e.rng.IntN(10)/9 { // some messages are sent twice
		if e.rng.IntN(12) == 0 || e.now < e.candidates[message.candidate].partitionedUntil {
			continue
		}
		message.arrivesAt = e.now + time.Duration(e.rng.Int64N(int64(10*time.Millisecond)))
		if e.rng.IntN(8) == 0 {
			message.arrivesAt += time.Duration(e.rng.Int64N(int64(Duration)))
		}
		e.messages = append(e.messages, message)
	}
}

func (e *exchangeRun) deliver() {
	due := e.messages
	e.messages = nil
	for _, message := range due {
		switch voter, candidate := e.voters[message.voter], e.candidates[message.candidate]; {
		case message.arrivesAt > e.now:
			e.messages = append(e.messages, message)
		case message.reply == nil:
			var status VoterStatus // not ready until the disk is read
			if e.now >= voter.readyAt {
				status = VoterStatus{Ready: true, VoterSetEpoch: voter.accepted}
			}
			message.reply = voter.Handle(localTime(e.now, voter.clockRate), status, message.request)
			e.send(message)
		case candidate.HandleReply(localTime(e.now, candidate.clockRate), message.requestedAt, fmt.Sprint(message.voter), message.reply):
			e.obtained++
		}
	}
}

// step advances the time by 20 ms, and simulates what happens then.
func (e *exchangeRun) step() {
	e.now += 20 * time.Millisecond
	e.injectFaults()
	e.deliver()
	for i := range e.candidates {
		e.tick(i)
	}
}

// injectFaults randomly exchanges a voter, restarts a process, or partitions a candidate from all voters.
func (e *exchangeRun) injectFaults() {
	if e.rng.IntN(120) == 0 {
		e.exchange()
	}
	if e.rng.IntN(250) == 0 { // a process restarts: it loses its grants, and reads its disk late
		voter := e.voters[e.rng.IntN(5)]
		voter.Voter = NewVoter(localTime(e.now, voter.clockRate), false)
		voter.readyAt = e.now + time.Duration(e.rng.Int64N(int64(2*Duration)))
	}
	if e.rng.IntN(100) == 0 {
		e.candidates[e.rng.IntN(3)].partitionedUntil = e.now + time.Duration(e.rng.Int64N(int64(3*Duration)))
	}
}

// tick calls a candidate's Tick and sends the request that it returns. Before that, the candidate may learn of a newer voter set
// or of a higher fencing token.
func (e *exchangeRun) tick(number int) {
	candidate := e.candidates[number]
	if e.rng.IntN(10) == 0 {
		candidate.knownEpoch = max(candidate.knownEpoch, uint64(e.rng.IntN(len(e.voterSets))))
	}
	now := localTime(e.now, candidate.clockRate)
	if e.rng.IntN(500) == 0 {
		candidate.ObserveToken(now, e.highestToken)
	}
	request := candidate.Tick(now, 3, candidate.knownEpoch)
	if request == nil {
		return
	}
	if _, ok := candidate.Holds(now); ok && candidate.knownEpoch > candidate.requestEpoch {
		e.renewedAcrossEpochs++
	}
	candidate.requestEpoch = candidate.knownEpoch
	for _, voter := range e.voterSets[candidate.knownEpoch] {
		e.send(exchangeMessage{candidate: number, voter: voter, requestedAt: now, request: request})
	}
}

// holders returns texts with the name and fencing token of each candidate that holds the lease now.
func (e *exchangeRun) holders() (holders []string) {
	for _, candidate := range e.candidates {
		if token, ok := candidate.Holds(localTime(e.now, candidate.clockRate)); ok {
			holders = append(holders, fmt.Sprintf("%s under %d", candidate.self, token))
			e.highestToken = max(e.highestToken, token)
		}
	}
	return holders
}

// While voters are exchanged, two candidates never hold the lease at the same time, and candidates still obtain and renew it.
func TestOneHoldsWhileVotersAreExchanged(t *testing.T) {
	runs := 500
	if os.Getenv("SOAK") != "" {
		runs = 40000
	}
	obtained, renewedAcrossEpochs := 0, 0
	for seed := range uint64(runs) {
		run := newExchangeRun(seed)
		for run.now < 40*time.Second {
			run.step()
			if holders := run.holders(); len(holders) > 1 {
				t.Fatalf("seed %d: at %v several candidates hold the lease: %v; voter sets: %v", seed, run.now, holders, run.voterSets)
			}
		}
		obtained += run.obtained
		renewedAcrossEpochs += run.renewedAcrossEpochs
	}
	t.Logf("%d runs: lease obtained %d times, renewal requested under a newer voter set %d times", runs, obtained, renewedAcrossEpochs)
	qt.Assert(t, obtained > runs*5, qt.IsTrue)
	qt.Assert(t, renewedAcrossEpochs > 3*runs, qt.IsTrue)
}
