package scenario

import (
	"math"
	"slices"
	"time"
)

// planSignals plans the signals of an event, and draws which sidecars get them.
func (p *planner) planSignals(e *event, s *sidecarEvent) {
	sidecars, ok := p.selectSidecars(e, s)
	if !ok {
		return
	}
	if s.Signal == signalReload && s.Back != nil {
		p.add(positionOf(s.Pos), "SIGHUP ends no sidecar: there is nothing to come back")
		return
	}
	if s.Signal == signalStop && s.Back == nil {
		p.add(positionOf(s.Pos), "a sidecar that stands still for good is no morning: say 'and is back after'")
		return
	}
	for _, sidecar := range sidecars {
		if p.sidecarsDownUntil[sidecar] <= time.Duration(e.At) { // others are down by another line; "all" are those that are up
			p.planSignal(e, s, sidecar)
		}
	}
}

// The signals that do not end a sidecar.
const (
	signalReload = "SIGHUP"
	signalStop   = "SIGSTOP"
)

// selectSidecars draws the sidecars that an event is about; false if there is a finding.
func (p *planner) selectSidecars(e *event, s *sidecarEvent) ([]int, bool) {
	count := p.Sidecars.Count
	if s.One != nil {
		sidecar := *s.One - 1
		if sidecar < 0 || sidecar >= count {
			p.add(positionOf(s.Pos), "there is no sidecar %d: there are %d", *s.One, count)
			return nil, false
		}
		if until := p.sidecarsDownUntil[sidecar]; until > time.Duration(e.At) {
			p.add(positionOf(s.Pos), "sidecar %d is down until %v, by another line", *s.One, until)
			return nil, false
		}
		return []int{sidecar}, true
	}
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	if s.Share == nil {
		return all, true
	}
	if *s.Share > 1 {
		p.add(positionOf(s.Pos), "%v%% of the sidecars is more than there are", float64(*s.Share)*100)
		return nil, false
	}
	p.random.Shuffle(count, func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:max(1, int(math.Round(float64(*s.Share)*float64(count))))]
	slices.Sort(all)
	return all, true
}

// planSignal plans the signal to one sidecar, and its restart if the event says so.
func (p *planner) planSignal(e *event, s *sidecarEvent, sidecar int) {
	at := time.Duration(e.At)
	if s.Signal != signalReload {
		p.sidecarsDownUntil[sidecar] = never
		if s.Back != nil {
			p.sidecarsDownUntil[sidecar] = at + time.Duration(*s.Back)
		}
	}
	p.addStep(Step{At: at, Kind: SidecarSignal, Sidecar: sidecar, Name: s.Signal, Line: e.Pos.Line})
	var length time.Duration
	if s.Back != nil {
		length = time.Duration(*s.Back)
		p.addStep(Step{At: at + length, Kind: SidecarRestart, Sidecar: sidecar, Line: e.Pos.Line})
	}
	p.addWindow(e, length, "sidecar %d: %s", sidecar+1, s.Signal)
}
