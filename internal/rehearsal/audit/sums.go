package audit

import (
	"math"
	"time"
)

// FleetTotals are what all sidecars together did, where each may keep its own part of a bound and the sum break it. On sockets
// Knocks, Opened, Listed and Trials are not seen.
type FleetTotals struct {
	// ColdLoad is the most work that was sent to a cold box within Rules.OverloadWindow, as attempts of mean work and whatever
	// became of them, over what the rules allow it in that time. From 1 on it is up to chance whether the box falls.
	ColdLoad          float64
	ColdServer        int // whose that was, and
	ColdAt            time.Duration
	ColdAttempts      int // attempts in that window,
	ColdAttemptsOfOne int // and the most of them that came from one sidecar

	MaxRejected          int // the most attempts that one box turned away within a second
	MaxUnreachable       int // the most that came to one box within a second while it was down or silent
	MaxConnectionsOpened int // the most connections that were opened to one box within a second
	MaxListRequests      int // the most lists that were asked for within a second
	MaxEjectedAttempts   int // the most attempts at one box within a second from sidecars that had isolated it
	Collapses            int

	// From the first return of a box or a sidecar, and from the last fall, until as much was served in a second as was asked for;
	// 0 if never, or if there was none.
	RecoveryTime, CollapseRecoveryTime time.Duration
	LastCollapse                       time.Duration
}

// Totals adds up a run. The events are those of Log, in order.
func Totals(rules Rules, events []Event) *FleetTotals {
	s := &FleetTotals{ColdServer: -1}
	began, first := map[int]time.Duration{}, time.Duration(math.MaxInt64)
	cold := map[int][]coldAttempt{}
	from := map[string]int{}
	vain, knocks, opened, listed, trials := countsPerSecond{}, countsPerSecond{}, countsPerSecond{}, countsPerSecond{}, countsPerSecond{}
	killed := false
	asked, served := map[int64]float64{}, map[int64]float64{}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case RequestSent:
			from[e.Request] = e.Sidecar
		case AnswerReceived:
			if e.Status == 200 && e.CallerAttempt > 0 {
				served[int64(e.At/recoveryStep)]++
			}
		case ServerStarted:
			began[e.Server], cold[e.Server], first = e.At, nil, min(first, e.At)
		case SidecarKilled:
			killed = true
		case SidecarUp:
			if killed {
				first = min(first, e.At)
			}
		case AttemptReceived:
			if at, ok := began[e.Server]; ok && e.Server >= 0 && e.Server < len(rules.Servers) {
				cold[e.Server] = s.addColdAttempt(&rules, at, append(cold[e.Server], coldAttempt{e.At, from[e.Request]}), e)
			}
		case AttemptEnded:
			if e.Result == Rejected {
				vain.add(&s.MaxRejected, e.Server, e.At)
			}
		case AttemptUnreachable:
			knocks.add(&s.MaxUnreachable, e.Server, e.At)
		case ConnectionOpened:
			opened.add(&s.MaxConnectionsOpened, e.Server, e.At)
		case ListRequested:
			listed.add(&s.MaxListRequests, 0, e.At)
		case EjectedAttempted:
			trials.add(&s.MaxEjectedAttempts, e.Server, e.At)
		case ServerCollapsed:
			s.Collapses++
			s.LastCollapse = e.At
		}
	}
	for _, a := range rules.Arrivals {
		asked[int64(a.At/recoveryStep)]++
	}
	if first < math.MaxInt64 {
		s.RecoveryTime = recoveryTime(first, asked, served)
	}
	if s.Collapses > 0 {
		s.CollapseRecoveryTime = recoveryTime(s.LastCollapse, asked, served)
	}
	return s
}

// coldAttempt is an attempt at a cold box.
type coldAttempt struct {
	at      time.Duration
	sidecar int
}

// addColdAttempt takes one more attempt at a cold box into the sums, and returns those within the window.
func (f *FleetTotals) addColdAttempt(rules *Rules, began time.Duration, sent []coldAttempt, e *Event) []coldAttempt {
	b := &rules.Servers[e.Server]
	if rules.OverloadFactor == 0 || b.Capacity == 0 || e.At >= began+b.WarmUp {
		return nil
	}
	for sent[0].at <= e.At-rules.OverloadWindow {
		sent = sent[1:]
	}
	share := b.ColdShare + (1-b.ColdShare)*float64(e.At-began)/float64(b.WarmUp)
	allowed := rules.OverloadFactor * b.Capacity * share * rules.OverloadWindow.Seconds()
	if got := float64(len(sent)) * b.Work.Seconds() / allowed; got > f.ColdLoad {
		f.ColdLoad, f.ColdServer, f.ColdAt, f.ColdAttempts = got, e.Server, e.At, len(sent)
		own := map[int]int{}
		f.ColdAttemptsOfOne = 0
		for _, x := range sent {
			own[x.sidecar]++
			f.ColdAttemptsOfOne = max(f.ColdAttemptsOfOne, own[x.sidecar])
		}
	}
	return sent
}

// recoveryStep is how finely the way back to full use is told.
const recoveryStep = 100 * time.Millisecond

// recoveryTime is how long after a time the first second ends in which as much is served as is asked for, but for a
// twentieth; 0 if there is none.
func recoveryTime(from time.Duration, asked, served map[int64]float64) time.Duration {
	last := int64(0)
	for n := range asked {
		last = max(last, n)
	}
	const second = int64(time.Second / recoveryStep)
	for n := int64((from + recoveryStep - 1) / recoveryStep); n+second <= last; n++ {
		var a, s float64
		for k := n; k < n+second; k++ {
			a, s = a+asked[k], s+served[k]
		}
		if a > 0 && s >= 0.95*a {
			return time.Duration(n+second)*recoveryStep - from
		}
	}
	return 0
}

// countsPerSecond counts events by box and second.
type countsPerSecond map[[2]int64]int

func (c countsPerSecond) add(most *int, box int, at time.Duration) {
	k := [2]int64{int64(box), int64(at / time.Second)}
	c[k]++
	*most = max(*most, c[k])
}
