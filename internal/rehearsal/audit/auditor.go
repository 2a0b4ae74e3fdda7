package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	maxBreaches   = 1000 // maximum number of breaches that a verdict lists
	maxLateShare  = 0.05 // share of late seconds above which a run is void
	lateThreshold = 100 * time.Millisecond
	killTolerance = 250 * time.Millisecond // maximum time between the recorded kill of a sidecar and its effect, in either direction
)

// request is one request to one sidecar, with its attempts and answers, in order of time.
type request struct {
	sent     Event
	name     string // value of the X-Txn header
	attempts []*attempt
	answers  []Event
	ended    *Event // latest ConnectionClosed or CallerTimedOut event; nil if there was none
	unknown  bool   // a server received an attempt for it, but no caller sent it
}

// attempt is one attempt at a server.
type attempt struct {
	received Event
	ended    *Event // AttemptEnded event; nil while the attempt is in flight
}

// neverRan reports whether the attempt is known not to have run, so that it had no effect.
func (a *attempt) neverRan() bool {
	return a.ended != nil && (a.ended.Result == Rejected || a.ended.Result == Truncated)
}

// auditor groups the events of a run by request, attempt and sidecar, and checks them against the rules.
type auditor struct {
	Rules
	verdict      *Verdict
	requests     map[string]*request
	order        []*request // all requests, in the order of their first event
	attempts     map[uint64]*attempt
	origins      [][]*request             // requests by index of the arrival
	notified     map[[2]int][]StateUpdate // updates that discovery wrote, by sidecar and server
	lifecycle    map[int][]Event          // SidecarUp, SidecarStopping, SidecarKilled and SidecarDied events, by sidecar
	knownUpdates map[int][]StateUpdate    // updates by server; At is the time from which they count as notified
	late         []bool                   // whether the emulator was late, by second
}

// Judge checks the events of a rehearsal, given in any order, against its rules. lost is the number of events that its log dropped;
// the run is void if there are any.
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

// record assigns one event to its request, attempt or sidecar. Events must be recorded in order of time.
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

// recordRequest records a request. A request that is sent again after its connection was closed counts as a new request, because it
// may go to another sidecar, which does not know of the earlier attempts.
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

// recordAttempt records an attempt that a server received, and adds a breach if no caller sent its request.
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

// recordLateness records how late the emulator was. Lateness before the callers start has no effect on the run and is ignored.
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

// judgeLateness marks the seconds in which the emulator was late, and voids a run that has more than one of them and more than the
// share maxLateShare.
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

// excuseBreaches removes the breaches at times when the emulator was late, and counts the others by rule. The verdict lists the first
// maxBreaches of them.
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

// emulatorLate reports whether the emulator was late in the second of the given time or in the second before it.
func (a *auditor) emulatorLate(at time.Duration) bool {
	second := int(at / time.Second)
	return a.lateIn(second) || second > 0 && a.lateIn(second-1)
}

func (a *auditor) lateIn(second int) bool {
	return second >= 0 && second < len(a.late) && a.late[second]
}

// interrupted reports whether a sidecar was killed or suspended between two times. A sidecar that ended by itself, or
// was asked to stop by SIGTERM, is not excused.
func (a *auditor) interrupted(sidecar int, from, to time.Duration) bool {
	return slices.ContainsFunc(a.lifecycle[sidecar], func(e Event) bool {
		return e.Kind == SidecarKilled && e.At >= from-killTolerance && e.At <= to+killTolerance
	})
}

// wasServing reports whether a sidecar was serving at the given time. A sidecar that started later was not notified of earlier updates.
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
