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

const (
	// replaceGap is how long an address is free before the server that replaces another one has it.
	replaceGap = time.Second
	// drainFor is how long a server drains that is replaced by one at another address.
	drainFor = 5 * time.Second
)

// The bounds of events.
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

// serverState is the state of a server while the plan is drawn.
type serverState struct {
	goneAt     time.Duration // when it ends for good or begins to drain; -1 for never
	goneLine   int           // the line of the script that ends it
	busyUntil  time.Duration // no other event hits it before
	busyLine   int           // the line of the event that hits it until then
	startedAt  time.Duration // of its latest start
	notifiedAt time.Duration // of the latest update of discovery
}

// planner draws a plan.
type planner struct {
	*Plan
	add               finding.Reporter
	servers           []*serverState
	counts            []int                 // servers by tier, those that have gone included
	slots             int                   // addresses that were given to servers
	random            *rand.Rand            // draws which servers and sidecars are hit
	serverRandom      *rand.Rand            // draws the speed and the cold share of servers
	silences          []Window              // in which discovery is silent
	sidecarsDownUntil map[int]time.Duration // by sidecar: no other event signals it before
	delays            []discoveryDelay      // in which discovery is behind
}

// discoveryDelay is an interval in which discovery is behind by an amount.
type discoveryDelay struct {
	from, to time.Duration
	amount   time.Duration
}

// drawPlan draws a plan, and adds a finding for each event that is impossible.
func drawPlan(s *Scenario, seed uint64, add finding.Reporter) *Plan {
	planner := &planner{
		Plan: &Plan{Scenario: s, Seed: seed}, add: add, counts: make([]int, len(s.Tiers)), sidecarsDownUntil: map[int]time.Duration{},
		random: rand.New(emulator.RandomSource(seed, "who")), serverRandom: rand.New(emulator.RandomSource(seed, "boxes")),
	}
	for tier, t := range s.Tiers {
		for range t.Servers {
			planner.newServer(tier, newAddress, 0)
		}
	}
	events := slices.Clone(s.events)
	slices.SortStableFunc(events, func(a, b *event) int { return cmp.Compare(a.At, b.At) })
	// Events of discovery come first: when it has the others depends on them.
	for _, e := range events {
		if e.Discovery != nil {
			planner.planDiscovery(e, e.Discovery)
		}
	}
	for _, e := range events {
		planner.planEvent(e)
	}
	for i := range planner.Steps {
		planner.Steps[i].order = i
	}
	slices.SortFunc(planner.Steps, func(a, b Step) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.order, b.order)) })
	slices.SortStableFunc(planner.Windows, func(a, b Window) int { return cmp.Compare(a.From, b.From) })
	planner.drawArrivals(events)
	return planner.Plan
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

// addStep adds a step. Steps of one time keep the order in which they were added.
func (p *planner) addStep(step Step) { p.Steps = append(p.Steps, step) }

// addWindow adds the window of an event.
func (p *planner) addWindow(event *event, length time.Duration, format string, args ...any) {
	at := time.Duration(event.At)
	p.Windows = append(p.Windows, Window{at, at + length, fmt.Sprintf(format, args...)})
}

// planDiscovery plans an event of discovery.
func (p *planner) planDiscovery(event *event, fault *discoveryEvent) {
	from := time.Duration(event.At)
	to := from + time.Duration(fault.For)
	if fault.Repeats {
		p.addStep(Step{At: from, Kind: DiscoveryRepeat, Amount: 1, Line: event.Pos.Line})
		p.addStep(Step{At: to, Kind: DiscoveryRepeat, Line: event.Pos.Line})
		p.addWindow(event, time.Duration(fault.For), "discovery repeats itself")
		return
	}
	if fault.Silent {
		p.silences = append(p.silences, Window{From: from, To: to})
		p.addStep(Step{At: from, Kind: DiscoverySilence, Amount: 1, Line: event.Pos.Line})
		p.addStep(Step{At: to, Kind: DiscoverySilence, Line: event.Pos.Line})
		p.addWindow(event, time.Duration(fault.For), "discovery is silent")
		return
	}
	p.delays = append(p.delays, discoveryDelay{from, to, time.Duration(*fault.Behind)})
	p.addWindow(event, time.Duration(fault.For), "discovery is %v behind", time.Duration(*fault.Behind))
}

// notify adds an update of discovery: later if discovery is behind, and after its silence. Updates of one server keep their order.
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

// planEvent plans one event of the script, and draws whom it hits.
func (p *planner) planEvent(event *event) {
	at := time.Duration(event.At)
	if at >= p.Length {
		p.add(positionOf(event.Pos), "at %v the morning is over: it is %v long", at, p.Length)
		return
	}
	switch {
	case event.NewServers != nil:
		p.planNewServers(event, event.NewServers)
	case event.Servers != nil:
		from := len(p.Windows)
		hit := p.selectServers(event, event.Servers.Targets)
		for i, server := range hit {
			p.planServerEvent(event, i, server)
		}
		p.mergeWindows(from, hit)
	case event.Link != nil:
		p.planLink(event, event.Link)
	case event.Sidecars != nil:
		p.planSignals(event, event.Sidecars)
	case event.Load != nil:
		if event.Load.Times > maxLoad {
			p.add(positionOf(event.Load.Pos), "load is %d times at most", maxLoad)
		}
		p.addWindow(event, time.Duration(event.Load.For), "load is %v times", event.Load.Times)
	case event.FaultyCallers != nil:
		p.planFaultyCallers(event, event.FaultyCallers)
	}
}

// planFaultyCallers plans the coming and going of faulty callers.
func (p *planner) planFaultyCallers(event *event, callers *faultyCallers) {
	if callers.Count < 1 || callers.Count > maxFaultyCallers {
		p.add(positionOf(callers.Pos), "%d rude callers: 1 to %d can be played", callers.Count, maxFaultyCallers)
	}
	at, length := time.Duration(event.At), time.Duration(callers.For)
	p.addStep(Step{At: at, Kind: FaultyCallerCount, Amount: float64(callers.Count), Line: event.Pos.Line})
	p.addStep(Step{At: at + length, Kind: FaultyCallerCount, Line: event.Pos.Line})
	p.addWindow(event, length, "%d rude callers", callers.Count)
}
