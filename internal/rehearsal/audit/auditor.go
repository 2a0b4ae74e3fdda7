package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	maxBreaches   = 1000 // how many a verdict lists
	maxLateShare  = 0.05 // the share of late seconds above which the run is void
	lateThreshold = 100 * time.Millisecond
	killTolerance = 250 * time.Millisecond // how much earlier or later than recorded a kill may have its effect
)

// request is one request to one sidecar, with its attempts and answers.
type request struct {
	sent     Event
	name     string // X-Txn
	attempts []*attempt
	answers  []Event
	ended    *Event // ConnectionClosed or CallerTimedOut
	unknown  bool   // an attempt came of a request that no caller has sent
}

// attempt is one attempt at a server.
type attempt struct {
	received Event
	ended    *Event // nil while it is in flight
}

// neverRan reports whether the attempt is known to have had no effect.
func (a *attempt) neverRan() bool {
	return a.ended != nil && (a.ended.Result == Rejected || a.ended.Result == Truncated)
}

// auditor sorts the events of a run, and judges them.
type auditor struct {
	Rules
	verdict      *Verdict
	requests     map[string]*request
	order        []*request // in the order in which they came
	attempts     map[uint64]*attempt
	origins      [][]*request             // by arrival
	notified     map[[2]int][]StateUpdate // by sidecar and server
	lifecycle    map[int][]Event          // by sidecar: SidecarKilled, SidecarStopping, SidecarDied and SidecarUp
	knownUpdates map[int][]StateUpdate    // by server, with the time from which on they count as notified
	late         []bool                   // by second: the emulator was late
}

// Judge judges the events of a rehearsal, in any order. lost is how many events its log did not keep; if there are any, the run is void.
func Judge(rules Rules, events []Event, lost int) *Verdict {
	auditor := newAuditor(rules)
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for i := range events {
		auditor.record(&events[i])
	}
	if lost > 0 {
		auditor.verdict.VoidReason = fmt.Sprintf("%d events were not kept", lost)
	}
	auditor.judgeLateness()
	for _, r := range auditor.order {
		if r.unknown {
			continue
		}
		auditor.judgeFinalAnswer(r)
		auditor.judgeAtMostOnce(r)
		for _, attempt := range r.attempts {
			auditor.judgeDrain(r, attempt)
		}
	}
	slices.SortStableFunc(auditor.verdict.Breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	auditor.excuseBreaches()
	auditor.judgeService()
	auditor.judgeWork()
	auditor.pickTraces()
	return auditor.verdict
}

func newAuditor(rules Rules) *auditor {
	auditor := &auditor{
		Rules: rules, verdict: &Verdict{}, requests: map[string]*request{}, attempts: map[uint64]*attempt{},
		notified: map[[2]int][]StateUpdate{}, lifecycle: map[int][]Event{}, knownUpdates: map[int][]StateUpdate{},
		origins: make([][]*request, len(rules.Arrivals)),
	}
	seconds := int((rules.Length + time.Second - 1) / time.Second)
	auditor.late = make([]bool, seconds+1)
	auditor.verdict.Seconds = make([]Second, seconds)
	auditor.verdict.AttemptsByServer = make([][]int, len(rules.Servers))
	for i := range auditor.verdict.AttemptsByServer {
		auditor.verdict.AttemptsByServer[i] = make([]int, seconds)
	}
	for _, update := range rules.StateUpdates {
		update.At += rules.NotifyWithin
		auditor.knownUpdates[update.Server] = append(auditor.knownUpdates[update.Server], update)
	}
	return auditor
}

// record assigns one event to its request, attempt or sidecar.
func (a *auditor) record(event *Event) {
	switch event.Kind {
	case RequestSent:
		a.recordRequest(event)
	case AnswerReceived:
		if r := a.requests[event.Request]; r != nil {
			r.answers = append(r.answers, *event)
		}
	case ConnectionClosed, CallerTimedOut:
		if r := a.requests[event.Request]; r != nil {
			r.ended = event
		}
	case AttemptReceived:
		a.recordAttempt(event)
	case AttemptEnded:
		if attempt := a.attempts[event.AttemptID]; attempt != nil && attempt.ended == nil {
			attempt.ended = event
		}
	case SidecarNotified:
		key := [2]int{event.Sidecar, event.Server}
		a.notified[key] = append(a.notified[key], StateUpdate{At: event.At, Server: event.Server, State: event.Text})
	case SidecarUp, SidecarStopping, SidecarKilled:
		a.lifecycle[event.Sidecar] = append(a.lifecycle[event.Sidecar], *event)
	case SidecarDied:
		a.lifecycle[event.Sidecar] = append(a.lifecycle[event.Sidecar], *event)
		crash := fmt.Sprintf("%.3f s: %s %s", event.At.Seconds(), a.sidecarName(event.Sidecar), event.Text)
		a.verdict.Crashes = append(a.verdict.Crashes, crash)
	case UnsolicitedBytes:
		a.addBreach(Breach{
			Rule: FinalAnswer, At: event.At, Request: event.Request, Origin: event.Origin, Server: -1, Sidecar: event.Sidecar,
			Message: "sent what nobody had asked for: " + event.Text,
		})
	case ServerCollapsed:
		a.addBreach(Breach{
			Rule: SlowStartRespected, At: event.At, Origin: -1, Server: event.Server, Sidecar: -1,
			Message: "was sent more than it could do while it was cold, and fell over",
		})
	case EmulatorLate:
		a.recordLateness(event)
	}
}

// recordRequest records a request. One that was sent before, on a connection that was closed, is a new request: it may go to another
// sidecar, which has not seen the attempts of the one before.
func (a *auditor) recordRequest(event *Event) {
	repeated := a.requests[event.Request] != nil
	r := &request{name: event.Request, sent: *event}
	a.requests[event.Request] = r
	a.order = append(a.order, r)
	if event.Origin >= 0 && event.Origin < len(a.origins) {
		a.origins[event.Origin] = append(a.origins[event.Origin], r)
	}
	if event.CallerAttempt > 0 && !repeated {
		a.verdict.CallerAttempts++
	}
}

// recordAttempt records an attempt at a server, and a breach if no caller has sent its request.
func (a *auditor) recordAttempt(event *Event) {
	r := a.requests[event.Request]
	if r == nil {
		r = &request{name: event.Request, unknown: true}
		r.sent = Event{At: event.FirstByteAt, Sidecar: -1, Origin: -1, Class: -1}
		a.requests[event.Request] = r
		a.order = append(a.order, r)
		a.addBreach(breachOf(AtMostOnce, event.At, r, event.Server, "an attempt of a request that nobody asked for"))
	}
	received := &attempt{received: *event}
	a.attempts[event.AttemptID] = received
	r.attempts = append(r.attempts, received)
	a.verdict.ServerAttempts++
	second := int(event.At / time.Second)
	if event.At < 0 || second >= len(a.verdict.Seconds) {
		return
	}
	a.verdict.Seconds[second].Attempts++
	if event.Server >= 0 && event.Server < len(a.verdict.AttemptsByServer) {
		a.verdict.AttemptsByServer[event.Server][second]++
	}
}

// recordLateness records how late the emulator was. Before callers come that does not matter.
func (a *auditor) recordLateness(event *Event) {
	if event.At < 0 {
		return
	}
	a.verdict.MaxLateness = max(a.verdict.MaxLateness, event.Duration)
	if second := int(event.At / time.Second); second < len(a.late) && event.Duration >= lateThreshold {
		a.late[second] = true
	}
}

func (a *auditor) addBreach(b Breach) { a.verdict.Breaches = append(a.verdict.Breaches, b) }

// judgeLateness voids a run in which the emulator was late too often.
func (a *auditor) judgeLateness() {
	seconds, late := len(a.verdict.Seconds), 0
	for second := range seconds {
		if a.late[second] {
			a.verdict.Seconds[second].Doubtful = true
			late++
		}
	}
	if late > 1 && float64(late) > maxLateShare*float64(seconds) && a.verdict.VoidReason == "" {
		a.verdict.VoidReason = fmt.Sprintf(
			"the emulator itself was late in %d of %d seconds, by up to %v: this machine is too slow or too busy for this morning",
			late, seconds, a.verdict.MaxLateness.Round(time.Millisecond))
	}
}

// excuseBreaches drops the breaches of times in which the emulator was late, and counts the others by rule. The first ones are listed.
func (a *auditor) excuseBreaches() {
	v := a.verdict
	kept := v.Breaches[:0]
	for _, b := range v.Breaches {
		if a.emulatorLate(b.At) {
			v.Excused++
			continue
		}
		v.BreachesByRule[b.Rule]++
		if len(kept) < maxBreaches {
			kept = append(kept, b)
		}
	}
	v.Breaches = kept
}

// emulatorLate reports whether the emulator was late at a time, or in the second before.
func (a *auditor) emulatorLate(at time.Duration) bool {
	second := int(at / time.Second)
	return a.lateIn(second) || second > 0 && a.lateIn(second-1)
}

func (a *auditor) lateIn(second int) bool {
	return second >= 0 && second < len(a.late) && a.late[second]
}

// interrupted reports whether a sidecar was killed or stopped between two times. One that ends by itself is not excused.
func (a *auditor) interrupted(sidecar int, from, to time.Duration) bool {
	return slices.ContainsFunc(a.lifecycle[sidecar], func(e Event) bool {
		return e.Kind == SidecarKilled && e.At >= from-killTolerance && e.At <= to+killTolerance
	})
}

// wasServing reports whether a sidecar was serving at a time: one that started later was not notified of earlier updates.
func (a *auditor) wasServing(sidecar int, at time.Duration) bool {
	serving := false
	for _, e := range a.lifecycle[sidecar] {
		if e.At > at {
			break
		}
		serving = e.Kind == SidecarUp
	}
	return serving
}
