package morning

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// planLink draws what befalls what sidecars tell one another.
func (p *planner) planLink(e *event, l *linkEvent) {
	n := p.Sidecars.Count
	if !p.Sidecars.Peers {
		p.add(positionOf(l.Pos), "the sidecars tell one another nothing: put 'peers yes' to sidecars")
		return
	}
	s := Step{At: time.Duration(e.At), Kind: LinkFault, Line: e.Pos.Line}
	switch {
	case l.Partition != nil:
		if l.Partition.From < 1 || l.Partition.To < l.Partition.From || l.Partition.To > n || l.Partition.To-l.Partition.From+1 == n {
			p.add(positionOf(l.Pos), "sidecars %d..%d of %d cannot be cut off from the others", l.Partition.From, l.Partition.To, n)
			return
		}
		s.Name, s.Sidecar, s.Amount = "cut", l.Partition.From-1, float64(l.Partition.To-l.Partition.From+1)
	case l.Mute != nil:
		if *l.Mute < 1 || *l.Mute > n {
			p.add(positionOf(l.Pos), "there is no sidecar %d: there are %d", *l.Mute, n)
			return
		}
		s.Name, s.Sidecar, s.Amount = "mute", *l.Mute-1, 1
	case l.Lost != nil:
		s.Name, s.Amount = "lost", float64(*l.Lost)
	case l.Duplicated != nil:
		s.Name, s.Amount = "doubled", float64(*l.Duplicated)
	case l.Delayed != nil:
		s.Name, s.Amount = "late", time.Duration(*l.Delayed).Seconds()
	}
	if (l.Lost != nil || l.Duplicated != nil) && s.Amount > 1 {
		p.add(positionOf(l.Pos), "%v%% of the messages is more than there are", s.Amount*100)
		return
	}
	p.addStep(s)
	p.addWindow(e, time.Duration(l.For), "%s", s.describeLink())
	s.At, s.Amount = s.At+time.Duration(l.For), -s.Amount
	p.addStep(s)
}

// planLink puts a step into words; By is below 0 when it ends.
func (s *Step) describeLink() string {
	by, over := s.Amount, ""
	if by < 0 {
		by, over = -by, "no more: "
	}
	switch s.Name {
	case "cut":
		return fmt.Sprintf("%ssidecars %d..%d are cut off", over, s.Sidecar+1, s.Sidecar+int(by))
	case "mute":
		return fmt.Sprintf("%ssidecar %d is heard by none", over, s.Sidecar+1)
	case "late":
		return fmt.Sprintf("%smessages are late by %v", over, time.Duration(by*float64(time.Second)))
	}
	return fmt.Sprintf("%smessages: %v%% %s", over, by*100, s.Name)
}

// RandomFaults draws lines of a script by a seed: what befalls sidecars that find one another, one thing after another, between two
// times; the same seed draws the same lines. Signals of sidecars are among them.
func RandomFaults(seed uint64, sidecars int, from, to time.Duration) (lines []string) {
	rng := rand.New(rand.NewPCG(seed, 0x6661))
	say := func(at time.Duration, format string, args ...any) {
		lines = append(lines, fmt.Sprintf("at %dms: ", at.Milliseconds())+fmt.Sprintf(format, args...))
	}
	for at := from; at < to; {
		last := time.Duration(1000+rng.IntN(4000)) * time.Millisecond
		last = min(last, to-at)
		switch ms := last.Milliseconds(); rng.IntN(7) {
		case 0, 1:
			first := 1 + rng.IntN(sidecars-1)
			say(at, "sidecars %d..%d are cut off for %dms", first, first+rng.IntN(sidecars-first), ms)
		case 2:
			say(at, "sidecar %d is heard by none for %dms", 1+rng.IntN(sidecars), ms)
		case 3:
			say(at, "messages are %d%% lost for %dms", 5+rng.IntN(30), ms)
			say(at, "messages are late by %dms for %dms", 5+rng.IntN(100), ms)
		case 4:
			say(at, "messages are %d%% doubled for %dms", 5+rng.IntN(40), ms)
		case 5:
			say(at, "%d%% of sidecars get SIGKILL and are back after %dms", 10+rng.IntN(60), ms)
		case 6:
			say(at, "sidecar %d gets SIGSTOP and is back after %dms", 1+rng.IntN(sidecars), ms)
		}
		at += last + time.Duration(rng.IntN(1500))*time.Millisecond
	}
	return lines
}
