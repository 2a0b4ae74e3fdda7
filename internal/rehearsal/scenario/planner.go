package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/emulator"
)

// replaceGap is how long the address of a server stands empty before the one that replaces it has it, and drainFor how
// long one that is replaced by a server elsewhere drains.
const (
	replaceGap = time.Second
	drainFor   = 5 * time.Second
)

// The bounds of what an event may ask for.
const (
	maxWeight        = 10_000 // of a server
	maxLoad          = 100    // times
	maxSlowdown      = 1000   // times
	maxFaultyCallers = 1000
)

// never is later than any scenario.
const never = time.Duration(math.MaxInt64)

// The states of a server, as discovery has them.
const (
	stateReady       = "Ready"
	stateTerminating = "Terminating"
	stateGone        = "Gone"
)

// serverState is how a server is doing while the plan is drawn.
type serverState struct {
	goneAt     time.Duration // from when on it is no more; -1 if it is not known to end
	goneLine   int           // the line that says so
	busyUntil  time.Duration // until when it is not to be hit again
	busyLine   int
	startedAt  time.Duration // its latest start
	notifiedAt time.Duration // the latest update of discovery
}

// planner draws a plan.
type planner struct {
	*Plan
	add               finding.Reporter
	servers           []*serverState
	counts            []int // servers of each tier, ever
	slots             int
	random            *rand.Rand            // of which servers and sidecars are hit
	serverRandom      *rand.Rand            // of what servers are like
	silences          []Window              // while which discovery is silent
	sidecarsDownUntil map[int]time.Duration // by sidecar: it is not to be signalled again before
	delays            []discoveryDelay
}

// discoveryDelay is a time in which discovery is behind, and by how much.
type discoveryDelay struct {
	from, to time.Duration
	amount   time.Duration
}

// drawPlan draws a plan, and reports what of the script is impossible.
func drawPlan(s *Scenario, seed uint64, add finding.Reporter) *Plan {
	p := &planner{
		Plan: &Plan{Scenario: s, Seed: seed}, add: add, counts: make([]int, len(s.Tiers)), sidecarsDownUntil: map[int]time.Duration{},
		random: rand.New(emulator.RandomSource(seed, "who")), serverRandom: rand.New(emulator.RandomSource(seed, "boxes")),
	}
	for tier, t := range s.Tiers {
		for range t.Servers {
			p.newServer(tier, newAddress, 0)
		}
	}
	events := slices.Clone(s.events)
	slices.SortStableFunc(events, func(a, b *event) int { return cmp.Compare(a.At, b.At) })
	// What discovery does comes first: when the rest is known depends on it.
	for _, e := range events {
		if e.Discovery != nil {
			p.planDiscovery(e, e.Discovery)
		}
	}
	for _, e := range events {
		p.planEvent(e)
	}
	for i := range p.Steps {
		p.Steps[i].order = i
	}
	slices.SortFunc(p.Steps, func(a, b Step) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.order, b.order)) })
	slices.SortStableFunc(p.Windows, func(a, b Window) int { return cmp.Compare(a.From, b.From) })
	p.drawArrivals(events)
	return p.Plan
}

// newAddress is the slot of a server at an address that no other has had.
const newAddress = -1

// newServer draws a server that starts at a time, 0 for long ago, at the address of a slot or at a newAddress. It returns its index.
func (p *planner) newServer(tier, slot int, from time.Duration) int {
	t := p.Tiers[tier]
	if slot == newAddress {
		slot = p.slots
		p.slots++
	}
	number := p.counts[tier]
	p.counts[tier]++
	hash := emulator.RandomSource(p.Seed, fmt.Sprintf("box %s %d", t.Name, number)).Uint64()
	cell := number / t.CellSize
	before := slices.IndexFunc(p.Servers, func(s Server) bool { return s.Slot == slot })
	if from > 0 && before >= 0 {
		cell = p.Servers[before].Cell // whoever takes an address belongs to the same cell
	}
	// The last half is its number among all, so that no two share an id.
	id := uint32(hash)&0xffff0000 | uint32(len(p.Servers))&0xffff
	speed := t.Speed.interpolate(p.serverRandom.Float64())
	coldShare := t.ColdShare.interpolate(p.serverRandom.Float64())
	p.Servers = append(p.Servers, Server{
		Tier: tier, Number: number + 1, UID: fmt.Sprintf("s-%08x", id), Cell: cell, Slot: slot, StartsAt: from,
		Spec: p.serverSpec(t, speed, coldShare),
	})
	p.servers = append(p.servers, &serverState{goneAt: -1, startedAt: from})
	if len(p.Servers) > MaxServers+1 {
		p.Servers = p.Servers[:MaxServers+1] // it is reported where it is asked for
		p.servers = p.servers[:MaxServers+1]
	}
	return len(p.Servers) - 1
}

// addStep adds a step. Of those at one time the one that was added first comes first.
func (p *planner) addStep(s Step) { p.Steps = append(p.Steps, s) }

// addWindow notes that something of an event goes on.
func (p *planner) addWindow(e *event, length time.Duration, format string, args ...any) {
	at := time.Duration(e.At)
	p.Windows = append(p.Windows, Window{at, at + length, fmt.Sprintf(format, args...)})
}

// planDiscovery notes when discovery is silent, late or repeats itself.
func (p *planner) planDiscovery(e *event, l *discoveryEvent) {
	from := time.Duration(e.At)
	to := from + time.Duration(l.For)
	if l.Repeats {
		p.addStep(Step{At: from, Kind: DiscoveryRepeat, Amount: 1, Line: e.Pos.Line})
		p.addStep(Step{At: to, Kind: DiscoveryRepeat, Line: e.Pos.Line})
		p.addWindow(e, time.Duration(l.For), "discovery repeats itself")
		return
	}
	if l.Silent {
		p.silences = append(p.silences, Window{From: from, To: to})
		p.addStep(Step{At: from, Kind: DiscoverySilence, Amount: 1, Line: e.Pos.Line})
		p.addStep(Step{At: to, Kind: DiscoverySilence, Line: e.Pos.Line})
		p.addWindow(e, time.Duration(l.For), "discovery is silent")
		return
	}
	p.delays = append(p.delays, discoveryDelay{from, to, time.Duration(*l.Behind)})
	p.addWindow(e, time.Duration(l.For), "discovery is %v behind", time.Duration(*l.Behind))
}

// notify has discovery know of the state of a server: later where it is behind, and after its silence. Updates of one server keep their order.
func (p *planner) notify(at time.Duration, server int, state string, boot time.Duration, line int) {
	for _, delay := range p.delays {
		if at >= delay.from && at < delay.to {
			at += delay.amount
		}
	}
	for _, silence := range p.silences {
		if at >= silence.From && at < silence.To {
			at = silence.To
		}
	}
	known := p.servers[server]
	at = max(at, known.notifiedAt)
	known.notifiedAt = at
	p.addStep(Step{At: at, Kind: DiscoveryUpdate, Server: server, State: state, Boot: boot, Line: line})
}

// planEvent draws one event of the script.
func (p *planner) planEvent(e *event) {
	at := time.Duration(e.At)
	if at >= p.Length {
		p.add(positionOf(e.Pos), "at %v the morning is over: it is %v long", at, p.Length)
		return
	}
	switch {
	case e.NewServers != nil:
		p.planNewServers(e, e.NewServers)
	case e.Servers != nil:
		from := len(p.Windows)
		hit := p.selectServers(e, e.Servers.Targets)
		for i, server := range hit {
			p.planServerEvent(e, i, server)
		}
		p.mergeWindows(from, hit)
	case e.Link != nil:
		p.planLink(e, e.Link)
	case e.Sidecars != nil:
		p.planSignals(e, e.Sidecars)
	case e.Load != nil:
		if e.Load.Times > maxLoad {
			p.add(positionOf(e.Load.Pos), "load is %d times at most", maxLoad)
		}
		p.addWindow(e, time.Duration(e.Load.For), "load is %v times", e.Load.Times)
	case e.FaultyCallers != nil:
		p.planFaultyCallers(e, e.FaultyCallers)
	}
}

// planFaultyCallers has faulty callers come, and go again.
func (p *planner) planFaultyCallers(e *event, f *faultyCallers) {
	if f.Count < 1 || f.Count > maxFaultyCallers {
		p.add(positionOf(f.Pos), "%d rude callers: 1 to %d can be played", f.Count, maxFaultyCallers)
	}
	at, length := time.Duration(e.At), time.Duration(f.For)
	p.addStep(Step{At: at, Kind: FaultyCallerCount, Amount: float64(f.Count), Line: e.Pos.Line})
	p.addStep(Step{At: at + length, Kind: FaultyCallerCount, Line: e.Pos.Line})
	p.addWindow(e, length, "%d rude callers", f.Count)
}
