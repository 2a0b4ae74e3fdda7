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
	// replaceGap is the time for which an address is unused between a server and its replacement.
	replaceGap = time.Second
	// drainFor is the time for which a server drains after a server at another address has replaced it.
	drainFor = 5 * time.Second
)

// The limits for events.
const (
	maxWeight        = 10_000 // weight of a server
	maxLoad          = 100    // factor of a load event
	maxSlowdown      = 1000   // factor of a slowdown
	maxFaultyCallers = 1000
)

// never is later than any scenario.
const never = time.Duration(math.MaxInt64)

// The states of a server in discovery.
const (
	stateReady       = "Ready"
	stateTerminating = "Terminating"
	stateGone        = "Gone"
)

// serverState is the state of a server at the event that is being planned.
type serverState struct {
	goneAt     time.Duration // time at which the server ends permanently or starts to drain; -1 for never
	goneLine   int           // line of the script that ends it
	busyUntil  time.Duration // end of the event that affects the server; no other may affect it before
	busyLine   int           // line of the script that has that event
	startedAt  time.Duration // time of the latest start
	notifiedAt time.Duration // time of the latest update in discovery
}

// planner draws a plan and collects the findings for impossible events.
type planner struct {
	*Plan
	add               finding.Reporter
	servers           []*serverState
	counts            []int                 // number of servers by tier, including those that have ended
	slots             int                   // number of addresses that were assigned to servers
	random            *rand.Rand            // source for the choice of servers and sidecars that events affect
	serverRandom      *rand.Rand            // source for the speed and the cold share of servers
	silences          []Window              // intervals in which discovery is silent
	sidecarsDownUntil map[int]time.Duration // end of each sidecar's downtime, by index; no other event may signal it before
	delays            []discoveryDelay      // intervals in which discovery is behind
}

// discoveryDelay is an interval in which the updates of discovery are late by a fixed amount.
type discoveryDelay struct {
	from, to time.Duration
	amount   time.Duration
}

// drawPlan draws a plan, and adds a finding for each impossible event.
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
	// The events of discovery are planned first, because they determine when discovery learns of the other events.
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

// newAddress requests a slot that no other server has used.
const newAddress = -1

// newServer adds a server, and returns its index. The server starts at the time from, or long before the run if that is 0. Its address
// is that of the slot, or an unused one for newAddress.
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
		cell = p.Servers[before].Cell // a server that takes over an address belongs to the same cell
	}
	// The lower half is the index of the server, so that no two servers have the same ID.
	id := uint32(hash)&0xffff0000 | uint32(len(p.Servers))&0xffff
	speed := t.Speed.interpolate(p.serverRandom.Float64())
	coldShare := t.ColdShare.interpolate(p.serverRandom.Float64())
	p.Servers = append(p.Servers, Server{
		Tier: tier, Number: number + 1, UID: fmt.Sprintf("s-%08x", id), Cell: cell, Slot: slot, StartsAt: from,
		Spec: p.serverSpec(t, speed, coldShare),
	})
	p.servers = append(p.servers, &serverState{goneAt: -1, startedAt: from})
	if len(p.Servers) > MaxServers+1 {
		p.Servers = p.Servers[:MaxServers+1] // the event that adds too many servers has a finding
		p.servers = p.servers[:MaxServers+1]
	}
	return len(p.Servers) - 1
}

// addStep adds a step. Steps at the same time keep the order in which they were added.
func (p *planner) addStep(step Step) { p.Steps = append(p.Steps, step) }

// addWindow adds the window of an event, with a formatted text.
func (p *planner) addWindow(event *event, length time.Duration, format string, args ...any) {
	at := time.Duration(event.At)
	p.Windows = append(p.Windows, Window{at, at + length, fmt.Sprintf(format, args...)})
}

// planDiscovery plans a fault of discovery.
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

// notify adds an update of a server's state in discovery. The update is late if discovery is behind, and follows the silence if
// discovery is silent. Updates of one server keep their order.
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
	target := p.servers[server]
	at = max(at, target.notifiedAt)
	target.notifiedAt = at
	p.addStep(Step{At: at, Kind: DiscoveryUpdate, Server: server, State: state, Boot: boot, Line: line})
}

// planEvent plans one event of the script, and draws which servers or sidecars it affects.
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

// planFaultyCallers plans the start and the end of faulty callers.
func (p *planner) planFaultyCallers(event *event, callers *faultyCallers) {
	if callers.Count < 1 || callers.Count > maxFaultyCallers {
		p.add(positionOf(callers.Pos), "%d rude callers: 1 to %d can be played", callers.Count, maxFaultyCallers)
	}
	at, length := time.Duration(event.At), time.Duration(callers.For)
	p.addStep(Step{At: at, Kind: FaultyCallerCount, Amount: float64(callers.Count), Line: event.Pos.Line})
	p.addStep(Step{At: at + length, Kind: FaultyCallerCount, Line: event.Pos.Line})
	p.addWindow(event, length, "%d rude callers", callers.Count)
}
