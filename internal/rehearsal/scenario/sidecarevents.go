package scenario

import (
	"math"
	"slices"
	"time"
)

// planSignals plans the signals of an event, and draws the sidecars that get them.
func (p *planner) planSignals(event *event, signal *sidecarEvent) {
	sidecars, ok := p.selectSidecars(event, signal)
	if !ok {
		return
	}
	if signal.Signal == signalReload && signal.Back != nil {
		p.add(positionOf(signal.Pos), "SIGHUP ends no sidecar: there is nothing to come back")
		return
	}
	if signal.Signal == signalStop && signal.Back == nil {
		p.add(positionOf(signal.Pos), "a sidecar that stands still for good is no morning: say 'and is back after'")
		return
	}
	for _, sidecar := range sidecars {
		if p.sidecarsDownUntil[sidecar] <= time.Duration(event.At) { // the others are down by another line; "all" means all that are up
			p.planSignal(event, signal, sidecar)
		}
	}
}

// The signals that don't end a sidecar.
const (
	signalReload = "SIGHUP"
	signalStop   = "SIGSTOP"
)

// selectSidecars draws the sidecars that an event applies to. It returns false if it added a finding.
func (p *planner) selectSidecars(event *event, signal *sidecarEvent) ([]int, bool) {
	count := p.Sidecars.Count
	if signal.One != nil {
		sidecar := *signal.One - 1
		if sidecar < 0 || sidecar >= count {
			p.add(positionOf(signal.Pos), "there is no sidecar %d: there are %d", *signal.One, count)
			return nil, false
		}
		if until := p.sidecarsDownUntil[sidecar]; until > time.Duration(event.At) {
			p.add(positionOf(signal.Pos), "sidecar %d is down until %v, by another line", *signal.One, until)
			return nil, false
		}
		return []int{sidecar}, true
	}
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	if signal.Share == nil {
		return all, true
	}
	if *signal.Share > 1 {
		p.add(positionOf(signal.Pos), "%v%% of the sidecars is more than there are", float64(*signal.Share)*100)
		return nil, false
	}
	p.random.Shuffle(count, func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:max(1, int(math.Round(float64(*signal.Share)*float64(count))))]
	slices.Sort(all)
	return all, true
}

// planSignal plans the signal to one sidecar, and its restart if the event has one.
func (p *planner) planSignal(event *event, signal *sidecarEvent, sidecar int) {
	at := time.Duration(event.At)
	if signal.Signal != signalReload {
		p.sidecarsDownUntil[sidecar] = never
		if signal.Back != nil {
			p.sidecarsDownUntil[sidecar] = at + time.Duration(*signal.Back)
		}
	}
	p.addStep(Step{At: at, Kind: SidecarSignal, Sidecar: sidecar, Name: signal.Signal, Line: event.Pos.Line})
	var length time.Duration
	if signal.Back != nil {
		length = time.Duration(*signal.Back)
		p.addStep(Step{At: at + length, Kind: SidecarRestart, Sidecar: sidecar, Line: event.Pos.Line})
	}
	p.addWindow(event, length, "sidecar %d: %s", sidecar+1, signal.Signal)
}
