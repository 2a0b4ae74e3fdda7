package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"quincegap/internal/config/finding"
)

// maxNamedServers is how many servers are named in a window; of more, their number is given.
const maxNamedServers = 4

// mergeWindows replaces the windows of an event's servers by one.
func (p *planner) mergeWindows(from int, hit []int) {
	if len(p.Windows) == from {
		return
	}
	all := p.Windows[from:]
	one := all[0]
	for _, w := range all {
		one.From = min(one.From, w.From)
		one.To = max(one.To, w.To)
	}
	tier := p.Tiers[p.Servers[hit[0]].Tier].Name
	who := fmt.Sprintf("%d boxes of %s", len(hit), tier)
	if len(hit) <= maxNamedServers {
		var numbers []string
		for _, i := range hit {
			numbers = append(numbers, fmt.Sprint(p.Servers[i].Number))
		}
		who = fmt.Sprintf("%s %s", tier, strings.Join(numbers, ", "))
	}
	one.Text = who + ": " + one.Text
	p.Windows = append(p.Windows[:from], one)
}

// planNewServers adds servers to a tier.
func (p *planner) planNewServers(e *event, n *newServers) {
	t := p.Tier(n.Tier)
	if t == nil {
		p.add(positionOf(n.Pos), "%s", finding.UnknownName("tier", n.Tier, p.tierNames()))
		return
	}
	if n.Count < 1 || len(p.Servers)+n.Count > MaxServers {
		p.add(positionOf(n.Pos), "%d new boxes: 1 or more, and %d in all at most", n.Count, MaxServers)
		return
	}
	if t.Calls != "" && p.sidecarCount()+n.Count > MaxSidecars {
		p.add(positionOf(n.Pos), "%d more sidecars, one for each of these boxes: %d at most", n.Count, MaxSidecars)
		return
	}
	for range n.Count {
		p.startServer(time.Duration(e.At), p.newServer(p.tierIndex(t), newAddress, time.Duration(e.At)), e.Pos.Line)
	}
	p.addWindow(e, 0, "%d new of %s", n.Count, t.Name)
}

// sidecarCount returns how many sidecars there ever are, so far.
func (p *planner) sidecarCount() int {
	count := p.Sidecars.Count
	for i := range p.Servers {
		if p.Tiers[p.Servers[i].Tier].Calls != "" {
			count++
		}
	}
	return count
}

// startServer plans the start of a server, cold, and when discovery has it.
func (p *planner) startServer(at time.Duration, server, line int) {
	at = max(at, time.Millisecond) // 0 is long ago
	state := p.servers[server]
	if p.Servers[server].StartsAt > 0 || state.startedAt == 0 {
		state.startedAt = at
	}
	p.addStep(Step{At: at, Kind: ServerStart, Server: server, Line: line})
	p.notify(at+p.Discovery.AddDelay, server, stateReady, at, line)
}

// selectServers draws the servers that an event hits, of those that are up and not busy with another event.
func (p *planner) selectServers(e *event, selector *serverSelector) []int {
	at := time.Duration(e.At)
	tier := p.Tier(selector.Tier)
	if tier == nil {
		p.add(positionOf(selector.Pos), "%s", finding.UnknownName("tier", selector.Tier, p.tierNames()))
		return nil
	}
	if selector.One != nil {
		return p.selectOne(at, tier, selector)
	}
	up, total := p.serversUp(at, p.tierIndex(tier))
	count := len(up)
	switch {
	case selector.Count != nil:
		count = *selector.Count
	case selector.Share != nil:
		if *selector.Share > 1 {
			p.add(positionOf(selector.Pos), "%v%% of the boxes is more than there are", float64(*selector.Share)*100)
			return nil
		}
		// The nearest whole number, but at least one.
		count = max(1, int(math.Round(float64(*selector.Share)*float64(total))))
	}
	if count < 1 || count > len(up) {
		p.add(positionOf(selector.Pos), "%d boxes of %s are to be hit, and %d are up and not hit by another line at %v",
			count, tier.Name, len(up), at)
		return nil
	}
	p.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	hit := up[:count]
	slices.Sort(hit)
	return hit
}

// serversUp returns the servers of a tier that are up and not busy with another event, and how many there are with the busy ones.
func (p *planner) serversUp(at time.Duration, tier int) (up []int, total int) {
	for i := range p.Servers {
		state := p.servers[i]
		if p.Servers[i].Tier != tier || p.Servers[i].StartsAt > at || state.goneBy(at) {
			continue
		}
		total++
		if at >= state.busyUntil {
			up = append(up, i)
		}
	}
	return up, total
}

// selectOne returns the server of a number, if it can be hit.
func (p *planner) selectOne(at time.Duration, tier *Tier, selector *serverSelector) []int {
	position, number, index := positionOf(selector.Pos), *selector.One, p.tierIndex(tier)
	found := slices.IndexFunc(p.Servers, func(s Server) bool { return s.Tier == index && s.Number == number })
	if found < 0 {
		p.add(position, "there is no box %d of %s: it has %d", number, tier.Name, p.counts[index])
		return nil
	}
	server, state := &p.Servers[found], p.servers[found]
	switch {
	case server.StartsAt > at:
		p.add(position, "box %d of %s starts at %v only", number, tier.Name, server.StartsAt)
	case state.goneBy(at):
		p.add(position, "box %d of %s is gone since %v (line %d)", number, tier.Name, state.goneAt, state.goneLine)
	case at < state.busyUntil:
		p.add(position, "box %d of %s is busy with line %d until %v", number, tier.Name, state.busyLine, state.busyUntil)
	default:
		return []int{found}
	}
	return nil
}

// goneBy reports whether a server is gone at a time.
func (s *serverState) goneBy(at time.Duration) bool { return s.goneAt >= 0 && at >= s.goneAt }

// planServerEvent plans what happens to one server; nth counts the servers of the event, from 0.
func (p *planner) planServerEvent(e *event, nth, server int) {
	at := time.Duration(e.At)
	switch s := e.Servers; {
	case s.Silent != nil:
		p.planOutage(e, server, ServerSilence, time.Duration(*s.Silent), p.Discovery.SilentNoticeDelay, "silent")
	case s.Restart != nil:
		p.planOutage(e, server, ServerCrash, time.Duration(*s.Restart), p.Discovery.NoticeDelay, "restart")
	case s.Die:
		p.servers[server].setGone(at, e.Pos.Line)
		p.addServerStep(e, server, Step{At: at, Kind: ServerCrash})
		p.notify(at+p.Discovery.NoticeDelay, server, stateGone, p.servers[server].startedAt, e.Pos.Line)
		p.addWindow(e, 0, "gone for good")
	case s.Drain != nil:
		length := time.Duration(*s.Drain)
		p.drainServer(at, at+length, server, e.Pos.Line)
		p.addWindow(e, length, "drain")
	case s.Replace != nil:
		p.planReplacement(e, nth, server)
	case s.Pause != nil:
		until := at + time.Duration(*s.Pause)
		p.servers[server].setBusy(until, e.Pos.Line)
		p.addServerStep(e, server, Step{At: at, Kind: ServerPause, Until: until})
		p.addWindow(e, time.Duration(*s.Pause), "stand still")
	case s.Slow != nil:
		p.planSlowdown(e, server)
	case s.Weigh != nil:
		p.planWeight(e, server)
	case s.Fault != nil:
		p.planFault(e, server)
	}
}

// addServerStep adds a step of an event about a server.
func (p *planner) addServerStep(e *event, server int, step Step) {
	step.Server = server
	step.Line = e.Pos.Line
	p.addStep(step)
}

// setBusy keeps other events off the server until a time.
func (s *serverState) setBusy(until time.Duration, line int) {
	s.busyUntil = until
	s.busyLine = line
}

// setGone records when the server ends for good, or begins to drain.
func (s *serverState) setGone(at time.Duration, line int) {
	s.goneAt = at
	s.goneLine = line
}

// planOutage plans the outage of a server; discovery has it after a delay, if the outage takes longer.
func (p *planner) planOutage(e *event, server int, kind StepKind, length, notice time.Duration, name string) {
	at := time.Duration(e.At)
	back := at + length
	p.servers[server].setBusy(back, e.Pos.Line)
	p.addServerStep(e, server, Step{At: at, Kind: kind})
	if noticed := at + notice; noticed < back {
		p.notify(noticed, server, stateGone, p.servers[server].startedAt, e.Pos.Line)
	}
	p.startServer(back, server, e.Pos.Line)
	p.addWindow(e, length, "%s", name)
}

// planReplacement replaces a server by a new one, at its address or at another.
func (p *planner) planReplacement(e *event, nth, server int) {
	at, line := time.Duration(e.At), e.Pos.Line
	replace, tier := e.Servers.Replace, p.Servers[server].Tier
	if len(p.Servers) >= MaxServers || p.Tiers[tier].Calls != "" && p.sidecarCount() >= MaxSidecars {
		p.add(positionOf(e.Pos), "there would be more boxes or sidecars in all than %d or %d", MaxServers, MaxSidecars)
		return
	}
	when := at
	if replace.Over != nil {
		when += time.Duration(nth) * time.Duration(*replace.Over) / time.Duration(max(1, p.Tiers[tier].Servers))
	}
	if replace.Same {
		state := p.servers[server]
		state.setGone(when, line)
		p.addServerStep(e, server, Step{At: when, Kind: ServerCrash})
		p.notify(when+p.Discovery.NoticeDelay, server, stateGone, state.startedAt, line)
		p.startServer(when+replaceGap, p.newServer(tier, p.Servers[server].Slot, when+replaceGap), line)
	} else {
		p.startServer(when, p.newServer(tier, newAddress, when), line)
		p.drainServer(when, when+drainFor, server, line)
	}
	p.addWindow(e, when-at+replaceGap, "replaced")
}

// planSlowdown divides the speed of a server for some time.
func (p *planner) planSlowdown(e *event, server int) {
	s := e.Servers.Slow
	if s.By < 1 || s.By > maxSlowdown {
		p.add(positionOf(e.Pos), "%v times slower: 1 to %d can be played", s.By, maxSlowdown)
	}
	at := time.Duration(e.At)
	until := at + time.Duration(s.For)
	p.servers[server].setBusy(until, e.Pos.Line)
	p.addServerStep(e, server, Step{At: at, Kind: ServerSlowdown, Amount: s.By})
	p.addServerStep(e, server, Step{At: until, Kind: ServerSlowdown, Amount: 1})
	p.addWindow(e, time.Duration(s.For), "%v times slower", s.By)
}

// planWeight changes the weight of a server in discovery, after the updates that it has already.
func (p *planner) planWeight(e *event, server int) {
	weight := *e.Servers.Weigh
	if weight > maxWeight {
		p.add(positionOf(e.Pos), "a weight is %d at most", maxWeight)
	}
	at := max(time.Duration(e.At)+p.Discovery.AddDelay, p.servers[server].notifiedAt)
	p.addServerStep(e, server, Step{At: at, Kind: DiscoveryWeight, Amount: weight})
	p.addWindow(e, 0, "weigh %v", weight)
}

// planFault plans a fault of a share of a server's calls.
func (p *planner) planFault(e *event, server int) {
	f := e.Servers.Fault
	if *f.Of > 1 {
		p.add(positionOf(f.Pos), "%v%% is more than all", float64(*f.Of)*100)
	}
	name, share := f.name(), float64(*f.Of)
	at := time.Duration(e.At)
	until := at + time.Duration(f.For)
	p.servers[server].setBusy(until, e.Pos.Line)
	p.addServerStep(e, server, Step{At: at, Kind: ServerFault, Name: name, Amount: share})
	p.addServerStep(e, server, Step{At: until, Kind: ServerFault, Name: name})
	p.addWindow(e, time.Duration(f.For), "%s %v%% of calls", name, share*100)
}

// name returns the name of the fault, from a verb that may end in s.
func (f *fault) name() string {
	for _, name := range []string{"lose", "reset", "fail", "garble", "refuse"} {
		if f.What == name || f.What == name+"s" {
			return name
		}
	}
	return f.What
}

// drainServer plans that a server drains and ends.
func (p *planner) drainServer(at, end time.Duration, server, line int) {
	state := p.servers[server]
	state.setGone(at, line)
	p.notify(at+p.Discovery.NoticeDelay, server, stateTerminating, state.startedAt, line)
	p.addStep(Step{At: end, Kind: ServerCrash, Server: server, Line: line})
	p.notify(end+p.Discovery.NoticeDelay, server, stateGone, state.startedAt, line)
}
