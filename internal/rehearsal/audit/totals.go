package audit

import (
	"math"
	"time"
)

// FleetTotals are sums over all sidecars, for limits that the sum can exceed although each sidecar stays within its share. In runs on
// sockets MaxUnreachable, MaxConnectionsOpened, MaxListRequests and MaxEjectedAttempts are not observed and stay 0.
type FleetTotals struct {
	// ColdLoad is the highest ratio of the work that was sent to a cold server within Rules.OverloadWindow to the work that the rules
	// allow it in that time. All attempts count, with their mean work, whatever their result. From 1 on, chance decides whether
	// the server collapses.
	ColdLoad          float64
	ColdServer        int // server that had ColdLoad; -1 for none
	ColdAt            time.Duration
	ColdAttempts      int // number of attempts in the window of ColdLoad
	ColdAttemptsOfOne int // largest number of those attempts that one sidecar sent

	// The Max fields are the highest counts within one second at one server; MaxListRequests counts over all sidecars.
	MaxRejected          int
	MaxUnreachable       int // attempts while the server was down or silent
	MaxConnectionsOpened int
	MaxListRequests      int // list requests of all sidecars
	MaxEjectedAttempts   int // attempts from sidecars that had ejected the server
	Collapses            int

	// RecoveryTime is measured from the first return of a server or sidecar, CollapseRecoveryTime from the last collapse. Both end
	// with the first second in which 95% of the requests were served. They are 0 if there was no such start or no such second.
	RecoveryTime, CollapseRecoveryTime time.Duration
	LastCollapse                       time.Duration
}

// Totals computes the sums of a run. The events are those of Log.Events, in order.
func Totals(rules Rules, events []Event) *FleetTotals {
	t := newTotaller(&rules)
	for i := range events {
		t.record(&events[i])
	}
	wanted := map[int64]float64{}
	for _, arrival := range rules.Arrivals {
		wanted[int64(arrival.At/recoveryStep)]++
	}
	if t.firstReturn < math.MaxInt64 {
		t.totals.RecoveryTime = recoveryTime(t.firstReturn, wanted, t.served)
	}
	if t.totals.Collapses > 0 {
		t.totals.CollapseRecoveryTime = recoveryTime(t.totals.LastCollapse, wanted, t.served)
	}
	return t.totals
}

// totaller computes FleetTotals from the events of a run, one at a time.
type totaller struct {
	rules  *Rules
	totals *FleetTotals

	started     map[int]time.Duration // start time, by server that started cold
	cold        map[int][]coldAttempt // attempts within the last OverloadWindow, by server
	sender      map[string]int        // index of the sidecar, by request
	served      map[int64]float64     // number of successful answers, by recoveryStep
	firstReturn time.Duration         // time at which the first server or sidecar came back
	killed      bool                  // whether a sidecar was killed

	rejected, unreachable, opened, listed, ejected countsPerSecond
}

func newTotaller(rules *Rules) *totaller {
	return &totaller{
		rules: rules, totals: &FleetTotals{ColdServer: -1},
		started: map[int]time.Duration{}, cold: map[int][]coldAttempt{}, sender: map[string]int{}, served: map[int64]float64{},
		firstReturn: math.MaxInt64,
		rejected:    countsPerSecond{}, unreachable: countsPerSecond{}, opened: countsPerSecond{}, listed: countsPerSecond{},
		ejected: countsPerSecond{},
	}
}

// record adds one event to the sums.
func (t *totaller) record(event *Event) {
	switch event.Kind {
	case RequestSent:
		t.sender[event.Request] = event.Sidecar
	case AnswerReceived:
		if event.Status == statusOK && event.CallerAttempt > 0 {
			t.served[int64(event.At/recoveryStep)]++
		}
	case ServerStarted:
		t.started[event.Server] = event.At
		t.cold[event.Server] = nil
		t.firstReturn = min(t.firstReturn, event.At)
	case SidecarKilled:
		t.killed = true
	case SidecarUp:
		if t.killed {
			t.firstReturn = min(t.firstReturn, event.At)
		}
	case AttemptReceived:
		t.recordColdAttempt(event)
	case AttemptEnded:
		if event.Result == Rejected {
			t.rejected.add(&t.totals.MaxRejected, event.Server, event.At)
		}
	case AttemptUnreachable:
		t.unreachable.add(&t.totals.MaxUnreachable, event.Server, event.At)
	case ConnectionOpened:
		t.opened.add(&t.totals.MaxConnectionsOpened, event.Server, event.At)
	case ListRequested:
		t.listed.add(&t.totals.MaxListRequests, 0, event.At)
	case EjectedAttempted:
		t.ejected.add(&t.totals.MaxEjectedAttempts, event.Server, event.At)
	case ServerCollapsed:
		t.totals.Collapses++
		t.totals.LastCollapse = event.At
	}
}

// coldAttempt is an attempt at a cold server.
type coldAttempt struct {
	at      time.Duration
	sidecar int
}

// recordColdAttempt adds an attempt to the load of its server, if the server is cold.
func (t *totaller) recordColdAttempt(event *Event) {
	started, ok := t.started[event.Server]
	if !ok || event.Server < 0 || event.Server >= len(t.rules.Servers) {
		return
	}
	server := &t.rules.Servers[event.Server]
	if t.rules.OverloadFactor == 0 || server.Capacity == 0 || event.At >= started+server.WarmUp {
		t.cold[event.Server] = nil
		return
	}
	t.cold[event.Server] = append(t.cold[event.Server], coldAttempt{event.At, t.sender[event.Request]})
	window := t.cold[event.Server]
	for window[0].at <= event.At-t.rules.OverloadWindow {
		window = window[1:]
	}
	t.cold[event.Server] = window
	share := server.ColdShare + (1-server.ColdShare)*float64(event.At-started)/float64(server.WarmUp)
	allowed := t.rules.OverloadFactor * server.Capacity * share * t.rules.OverloadWindow.Seconds()
	load := float64(len(window)) * server.Work.Seconds() / allowed
	if load <= t.totals.ColdLoad {
		return
	}
	t.totals.ColdLoad = load
	t.totals.ColdServer = event.Server
	t.totals.ColdAt = event.At
	t.totals.ColdAttempts = len(window)
	t.totals.ColdAttemptsOfOne = mostOfOneSidecar(window)
}

// mostOfOneSidecar returns the largest number of attempts that one sidecar sent.
func mostOfOneSidecar(window []coldAttempt) int {
	bySidecar := map[int]int{}
	most := 0
	for _, attempt := range window {
		bySidecar[attempt.sidecar]++
		most = max(most, bySidecar[attempt.sidecar])
	}
	return most
}

// recoveryStep is the resolution of recovery times, and recoveredShare the share of requests that must be served to count as recovered.
const (
	recoveryStep   = 100 * time.Millisecond
	recoveredShare = 0.95
)

// recoveryTime returns the time from the given one to the end of the first second in which at least recoveredShare of the wanted
// requests are served, or 0 if there is no such second. wanted and served are counts by recoveryStep.
func recoveryTime(from time.Duration, wanted, served map[int64]float64) time.Duration {
	last := int64(0)
	for step := range wanted {
		last = max(last, step)
	}
	const second = int64(time.Second / recoveryStep)
	for first := int64((from + recoveryStep - 1) / recoveryStep); first+second <= last; first++ {
		var wantedSum, servedSum float64
		for step := first; step < first+second; step++ {
			wantedSum += wanted[step]
			servedSum += served[step]
		}
		if wantedSum > 0 && servedSum >= recoveredShare*wantedSum {
			return time.Duration(first+second)*recoveryStep - from
		}
	}
	return 0
}

// countsPerSecond counts events by server and second.
type countsPerSecond map[[2]int64]int

// add counts an event, and raises *most if the count of its server and second is higher.
func (c countsPerSecond) add(most *int, server int, at time.Duration) {
	key := [2]int64{int64(server), int64(at / time.Second)}
	c[key]++
	*most = max(*most, c[key])
}
