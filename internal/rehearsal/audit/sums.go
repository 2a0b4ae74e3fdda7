package audit

import (
	"math"
	"time"
)

// Sums are what all sidecars together did, where each may keep its own part of a bound and the sum break it. On sockets
// Knocks, Opened, Listed and Trials are not seen.
type Sums struct {
	// Cold is the most work that was sent to a cold box within Rules.TipWindow, as attempts of mean work and whatever
	// became of them, over what the rules allow it in that time. From 1 on it is up to chance whether the box falls.
	Cold    float64
	ColdBox int // whose that was, and
	ColdAt  time.Duration
	Sent    int // attempts in that window,
	Own     int // and the most of them that came from one sidecar

	Vain   int // the most attempts that one box turned away within a second
	Knocks int // the most that came to one box within a second while it was down or silent
	Opened int // the most connections that were opened to one box within a second
	Listed int // the most lists that were asked for within a second
	Trials int // the most attempts at one box within a second from sidecars that had isolated it
	Falls  int

	// From the first return of a box or a sidecar, and from the last fall, until as much was served in a second as was asked for;
	// 0 if never, or if there was none.
	FullUse, Back time.Duration
	LastFall      time.Duration
}

// Sum adds up a run. The events are those of Log, in order.
func Sum(rules Rules, events []Event) *Sums {
	s := &Sums{ColdBox: -1}
	began, first := map[int]time.Duration{}, time.Duration(math.MaxInt64)
	cold := map[int][]coldSend{}
	from := map[string]int{}
	vain, knocks, opened, listed, trials := perSecond{}, perSecond{}, perSecond{}, perSecond{}, perSecond{}
	killed := false
	asked, served := map[int64]float64{}, map[int64]float64{}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case Asked:
			from[e.Request] = e.Sidecar
		case Answered:
			if e.Status == 200 && e.Try > 0 {
				served[int64(e.At/step)]++
			}
		case Began:
			began[e.Box], cold[e.Box], first = e.At, nil, min(first, e.At)
		case Killed:
			killed = true
		case Up:
			if killed {
				first = min(first, e.At)
			}
		case Sent:
			if at, ok := began[e.Box]; ok && e.Box >= 0 && e.Box < len(rules.Boxes) {
				cold[e.Box] = s.cold(&rules, at, append(cold[e.Box], coldSend{e.At, from[e.Request]}), e)
			}
		case Ended:
			if e.How == TurnedAway {
				vain.note(&s.Vain, e.Box, e.At)
			}
		case Knocked:
			knocks.note(&s.Knocks, e.Box, e.At)
		case Opened:
			opened.note(&s.Opened, e.Box, e.At)
		case Listed:
			listed.note(&s.Listed, 0, e.At)
		case Tried:
			trials.note(&s.Trials, e.Box, e.At)
		case Fell:
			s.Falls++
			s.LastFall = e.At
		}
	}
	for _, a := range rules.Asks {
		asked[int64(a.At/step)]++
	}
	if first < math.MaxInt64 {
		s.FullUse = fullUse(first, asked, served)
	}
	if s.Falls > 0 {
		s.Back = fullUse(s.LastFall, asked, served)
	}
	return s
}

// coldSend is an attempt at a cold box.
type coldSend struct {
	at      time.Duration
	sidecar int
}

// cold takes one more attempt at a cold box into the sums, and returns those within the window.
func (s *Sums) cold(rules *Rules, began time.Duration, sent []coldSend, e *Event) []coldSend {
	b := &rules.Boxes[e.Box]
	if rules.TipBy == 0 || b.Capacity == 0 || e.At >= began+b.Warm {
		return nil
	}
	for sent[0].at <= e.At-rules.TipWindow {
		sent = sent[1:]
	}
	share := b.ColdFrom + (1-b.ColdFrom)*float64(e.At-began)/float64(b.Warm)
	allowed := rules.TipBy * b.Capacity * share * rules.TipWindow.Seconds()
	if got := float64(len(sent)) * b.Work.Seconds() / allowed; got > s.Cold {
		s.Cold, s.ColdBox, s.ColdAt, s.Sent = got, e.Box, e.At, len(sent)
		own := map[int]int{}
		s.Own = 0
		for _, x := range sent {
			own[x.sidecar]++
			s.Own = max(s.Own, own[x.sidecar])
		}
	}
	return sent
}

// step is how finely the way back to full use is told.
const step = 100 * time.Millisecond

// fullUse is how long after a time the first second ends in which as much is served as is asked for, but for a
// twentieth; 0 if there is none.
func fullUse(from time.Duration, asked, served map[int64]float64) time.Duration {
	last := int64(0)
	for n := range asked {
		last = max(last, n)
	}
	const second = int64(time.Second / step)
	for n := int64((from + step - 1) / step); n+second <= last; n++ {
		var a, s float64
		for k := n; k < n+second; k++ {
			a, s = a+asked[k], s+served[k]
		}
		if a > 0 && s >= 0.95*a {
			return time.Duration(n+second)*step - from
		}
	}
	return 0
}

// perSecond counts events by box and second.
type perSecond map[[2]int64]int

func (p perSecond) note(most *int, box int, at time.Duration) {
	k := [2]int64{int64(box), int64(at / time.Second)}
	p[k]++
	*most = max(*most, p[k])
}
