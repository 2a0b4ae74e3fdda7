package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"quincegap/internal/config/finding"
)

// maxNamedServers is the maximum number of servers that the text of a window lists; for more, it gives their count.
const maxNamedServers = 4

// mergeWindows replaces the windows from the given index on, one for each server that an event affects, by a single one.
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

// planNewServers plans the start of new servers in a tier.
func (p *planner) planNewServers(event *event, added *newServers) {
	t := p.Tier(added.Tier)
	if t == nil {
		p.add(positionOf(added.Pos), "%s", finding.UnknownName("tier", added.Tier, p.tierNames()))
		return
	}
	if added.Count < 1 || len(p.Servers)+added.Count > MaxServers {
		p.add(positionOf(added.Pos), "%d new boxes: 1 or more, and %d in all at most", added.Count, MaxServers)
		return
	}
	if t.Calls != "" && p.sidecarCount()+added.Count > MaxSidecars {
		p.add(positionOf(added.Pos), "%d more sidecars, one for each of these boxes: %d at most", added.Count, MaxSidecars)
		return
	}
	for range added.Count {
		p.startServer(time.Duration(event.At), p.newServer(p.tierIndex(t), newAddress, time.Duration(event.At)), event.Pos.Line)
	}
	p.addWindow(event, 0, "%d new of %s", added.Count, t.Name)
}

// sidecarCount returns the number of sidecars of the plan so far, including those of servers that have ended.
func (p *planner) sidecarCount() int {
	count := p.Sidecars.Count
	for i := range p.Servers {
		if p.Tiers[p.Servers[i].Tier].Calls != "" {
			count++
		}
	}
	return count
}

// startServer plans the cold start of a server, and the update by which discovery learns of it.
func (p *planner) startServer(at time.Duration, server, line int) {
	at = max(at, time.Millisecond) // 0 would mean a start long before the run
	state := p.servers[server]
	if p.Servers[server].StartsAt > 0 || state.startedAt == 0 {
		state.startedAt = at
	}
	p.addStep(Step{At: at, Kind: ServerStart, Server: server, Line: line})
	p.notify(at+p.Discovery.AddDelay, server, stateReady, at, line)
}

// selectServers draws the servers that an event affects, from those that are up and not affected by another event. It returns nil if it
// added a finding.
func (p *planner) selectServers(event *event, selector *serverSelector) []int {
	at := time.Duration(event.At)
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
		// The share is rounded to the nearest whole number of servers, but at least one.
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

// serversUp returns the servers of a tier that are up and not affected by another event, and the total number of servers that are up
// or affected.
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

// selectOne returns the server with the number in the selector. It adds a finding and returns nil if no event can affect it.
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

// goneBy reports whether a server has ended or is draining at the given time.
func (s *serverState) goneBy(at time.Duration) bool { return s.goneAt >= 0 && at >= s.goneAt }

// planServerEvent plans an event for one of the servers that it affects. nth is the index of the server among these.
func (p *planner) planServerEvent(event *event, nth, server int) {
	at := time.Duration(event.At)
	switch action := event.Servers; {
	case action.Silent != nil:
		p.planOutage(event, server, ServerSilence, time.Duration(*action.Silent), p.Discovery.SilentNoticeDelay, "silent")
	case action.Restart != nil:
		p.planOutage(event, server, ServerCrash, time.Duration(*action.Restart), p.Discovery.NoticeDelay, "restart")
	case action.Die:
		p.servers[server].setGone(at, event.Pos.Line)
		p.addServerStep(event, server, Step{At: at, Kind: ServerCrash})
		p.notify(at+p.Discovery.NoticeDelay, server, stateGone, p.servers[server].startedAt, event.Pos.Line)
		p.addWindow(event, 0, "gone for good")
	case action.Drain != nil:
		length := time.Duration(*action.Drain)
		p.drainServer(at, at+length, server, event.Pos.Line)
		p.addWindow(event, length, "drain")
	case action.Replace != nil:
		p.planReplacement(event, nth, server)
	case action.Pause != nil:
		until := at + time.Duration(*action.Pause)
		p.servers[server].setBusy(until, event.Pos.Line)
		p.addServerStep(event, server, Step{At: at, Kind: ServerPause, Until: until})
		p.addWindow(event, time.Duration(*action.Pause), "stand still")
	case action.Slow != nil:
		p.planSlowdown(event, server)
	case action.Weigh != nil:
		p.planWeight(event, server)
	case action.Fault != nil:
		p.planFault(event, server)
	}
}

// addServerStep adds a step of an event for a server.
func (p *planner) addServerStep(event *event, server int, step Step) {
	step.Server = server
	step.Line = event.Pos.Line
	p.addStep(step)
}

// setBusy records that the event in the given line affects the server until a time, which excludes other events.
func (s *serverState) setBusy(until time.Duration, line int) {
	s.busyUntil = until
	s.busyLine = line
}

// setGone records the time at which the server ends permanently or starts to drain, and the line of the event.
func (s *serverState) setGone(at time.Duration, line int) {
	s.goneAt = at
	s.goneLine = line
}

// planOutage plans the outage of a server. Discovery learns of it after the delay notice, if the outage lasts longer.
func (p *planner) planOutage(event *event, server int, kind StepKind, length, notice time.Duration, name string) {
	at := time.Duration(event.At)
	back := at + length
	p.servers[server].setBusy(back, event.Pos.Line)
	p.addServerStep(event, server, Step{At: at, Kind: kind})
	if noticed := at + notice; noticed < back {
		p.notify(noticed, server, stateGone, p.servers[server].startedAt, event.Pos.Line)
	}
	p.startServer(back, server, event.Pos.Line)
	p.addWindow(event, length, "%s", name)
}

// planReplacement plans the replacement of a server by a new one, at the same address or at a new one.
func (p *planner) planReplacement(event *event, nth, server int) {
	at, line := time.Duration(event.At), event.Pos.Line
	replace, tier := event.Servers.Replace, p.Servers[server].Tier
	if len(p.Servers) >= MaxServers || p.Tiers[tier].Calls != "" && p.sidecarCount() >= MaxSidecars {
		p.add(positionOf(event.Pos), "there would be more boxes or sidecars in all than %d or %d", MaxServers, MaxSidecars)
		return
	}
	when := at
	if replace.Over != nil {
		when += time.Duration(nth) * time.Duration(*replace.Over) / time.Duration(max(1, p.Tiers[tier].Servers))
	}
	if replace.Same {
		state := p.servers[server]
		state.setGone(when, line)
		p.addServerStep(event, server, Step{At: when, Kind: ServerCrash})
		p.notify(when+p.Discovery.NoticeDelay, server, stateGone, state.startedAt, line)
		p.startServer(when+replaceGap, p.newServer(tier, p.Servers[server].Slot, when+replaceGap), line)
	} else {
		p.startServer(when, p.newServer(tier, newAddress, when), line)
		p.drainServer(when, when+drainFor, server, line)
	}
	p.addWindow(event, when-at+replaceGap, "replaced")
}

// planSlowdown plans the start and the end of a slowdown of a server.
func (p *planner) planSlowdown(event *event, server int) {
	slowdown := event.Servers.Slow
	if slowdown.By < 1 || slowdown.By > maxSlowdown {
		p.add(positionOf(event.Pos), "%v times slower: 1 to %d can be played", slowdown.By, maxSlowdown)
	}
	at := time.Duration(event.At)
	until := at + time.Duration(slowdown.For)
	p.servers[server].setBusy(until, event.Pos.Line)
	p.addServerStep(event, server, Step{At: at, Kind: ServerSlowdown, Amount: slowdown.By})
	p.addServerStep(event, server, Step{At: until, Kind: ServerSlowdown, Amount: 1})
	p.addWindow(event, time.Duration(slowdown.For), "%v times slower", slowdown.By)
}

// planWeight plans a change of a server's weight in discovery, not before the updates of the server that are already planned.
func (p *planner) planWeight(event *event, server int) {
	weight := *event.Servers.Weigh
	if weight > maxWeight {
		p.add(positionOf(event.Pos), "a weight is %d at most", maxWeight)
	}
	at := max(time.Duration(event.At)+p.Discovery.AddDelay, p.servers[server].notifiedAt)
	p.addServerStep(event, server, Step{At: at, Kind: DiscoveryWeight, Amount: weight})
	p.addWindow(event, 0, "weigh %v", weight)
}

// planFault plans the start and the end of a fault that affects a share of a server's calls.
func (p *planner) planFault(event *event, server int) {
	injected := event.Servers.Fault
	if *injected.Of > 1 {
		p.add(positionOf(injected.Pos), "%v%% is more than all", float64(*injected.Of)*100)
	}
	name, share := injected.name(), float64(*injected.Of)
	at := time.Duration(event.At)
	until := at + time.Duration(injected.For)
	p.servers[server].setBusy(until, event.Pos.Line)
	p.addServerStep(event, server, Step{At: at, Kind: ServerFault, Name: name, Amount: share})
	p.addServerStep(event, server, Step{At: until, Kind: ServerFault, Name: name})
	p.addWindow(event, time.Duration(injected.For), "%s %v%% of calls", name, share*100)
}

// name returns the name of the fault, which is its verb without a final s.
func (f *fault) name() string {
	for _, name := range []string{"lose", "reset", "fail", "garble", "refuse"} {
		if f.What == name || f.What == name+"s" {
			return name
		}
	}
	return f.What
}

// drainServer plans that a server drains from one time to another and then ends.
func (p *planner) drainServer(at, end time.Duration, server, line int) {
	state := p.servers[server]
	state.setGone(at, line)
	p.notify(at+p.Discovery.NoticeDelay, server, stateTerminating, state.startedAt, line)
	p.addStep(Step{At: end, Kind: ServerCrash, Server: server, Line: line})
	p.notify(end+p.Discovery.NoticeDelay, server, stateGone, state.startedAt, line)
}
