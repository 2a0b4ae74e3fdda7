package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// planLink plans the start and the end of a network fault between sidecars.
func (p *planner) planLink(event *event, link *linkEvent) {
	if !p.Sidecars.Peers {
		p.add(positionOf(link.Pos), "the sidecars tell one another nothing: put 'peers yes' to sidecars")
		return
	}
	step, ok := p.linkStep(link)
	if !ok {
		return
	}
	length := time.Duration(link.For)
	step.At = time.Duration(event.At)
	step.Line = event.Pos.Line
	p.addStep(step)
	p.addWindow(event, length, "%s", step.describeLink())
	step.At += length
	step.Amount = -step.Amount
	p.addStep(step)
}

// linkStep returns the step that starts a network fault, without its time. It returns false if it added a finding.
func (p *planner) linkStep(link *linkEvent) (Step, bool) {
	switch {
	case link.Partition != nil:
		return p.partitionStep(link)
	case link.Mute != nil:
		if *link.Mute < 1 || *link.Mute > p.Sidecars.Count {
			p.add(positionOf(link.Pos), "there is no sidecar %d: there are %d", *link.Mute, p.Sidecars.Count)
			return Step{}, false
		}
		return Step{Kind: LinkFault, Name: linkMute, Sidecar: *link.Mute - 1, Amount: 1}, true
	case link.Lost != nil:
		return p.shareStep(link, linkLost, float64(*link.Lost))
	case link.Duplicated != nil:
		return p.shareStep(link, linkDoubled, float64(*link.Duplicated))
	}
	return Step{Kind: LinkFault, Name: linkLate, Amount: time.Duration(*link.Delayed).Seconds()}, true
}

// The values of Step.Name in a LinkFault.
const (
	linkCut     = "cut"
	linkMute    = "mute"
	linkLost    = "lost"
	linkDoubled = "doubled"
	linkLate    = "late"
)

// partitionStep returns the step that separates a range of sidecars from the others. At least one other sidecar must remain.
func (p *planner) partitionStep(link *linkEvent) (Step, bool) {
	from, to, count := link.Partition.From, link.Partition.To, p.Sidecars.Count
	size := to - from + 1
	if from < 1 || to < from || to > count || size == count {
		p.add(positionOf(link.Pos), "sidecars %d..%d of %d cannot be cut off from the others", from, to, count)
		return Step{}, false
	}
	return Step{Kind: LinkFault, Name: linkCut, Sidecar: from - 1, Amount: float64(size)}, true
}

// shareStep returns the step that starts a fault which affects a share of the messages.
func (p *planner) shareStep(link *linkEvent, name string, share float64) (Step, bool) {
	if share > 1 {
		p.add(positionOf(link.Pos), "%v%% of the messages is more than there are", share*100)
		return Step{}, false
	}
	return Step{Kind: LinkFault, Name: name, Amount: share}, true
}

// RandomFaults draws script lines with network faults and signals, one after another between two times, for a scenario whose sidecars
// discover each other. There must be at least two sidecars. The same arguments give the same lines.
func RandomFaults(seed uint64, sidecars int, from, to time.Duration) (lines []string) {
	rng := rand.New(rand.NewPCG(seed, 0x6661))
	add := func(at time.Duration, format string, args ...any) {
		lines = append(lines, fmt.Sprintf("at %dms: ", at.Milliseconds())+fmt.Sprintf(format, args...))
	}
	for at := from; at < to; {
		last := time.Duration(1000+rng.IntN(4000)) * time.Millisecond
		last = min(last, to-at)
		switch ms := last.Milliseconds(); rng.IntN(7) {
		case 0, 1:
			first := 1 + rng.IntN(sidecars-1)
			add(at, "sidecars %d..%d are cut off for %dms", first, first+rng.IntN(sidecars-first), ms)
		case 2:
			add(at, "sidecar %d is heard by none for %dms", 1+rng.IntN(sidecars), ms)
		case 3:
			add(at, "messages are %d%% lost for %dms", 5+rng.IntN(30), ms)
			add(at, "messages are late by %dms for %dms", 5+rng.IntN(100), ms)
		case 4:
			add(at, "messages are %d%% doubled for %dms", 5+rng.IntN(40), ms)
		case 5:
			add(at, "%d%% of sidecars get SIGKILL and are back after %dms", 10+rng.IntN(60), ms)
		case 6:
			add(at, "sidecar %d gets SIGSTOP and is back after %dms", 1+rng.IntN(sidecars), ms)
		}
		at += last + time.Duration(rng.IntN(1500))*time.Millisecond
	}
	return lines
}
