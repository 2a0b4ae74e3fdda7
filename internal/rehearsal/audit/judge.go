package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Class is what the rules know of a class of request.
type Class struct {
	Name          string
	Idempotency   string // safe, keyed or unsafe
	Scope         string // of a keyed one: cell, zone or all
	Window        time.Duration
	LatencyTarget time.Duration
	Deadline      time.Duration
	Value         float64
}

// Server is what the rules know of a box.
type Server struct {
	Name string
	Tier int
	Cell int

	// For Sum: what one does a second once it is warm, in the time that a core needs for it, and how it starts.
	Capacity  float64
	ColdShare float64
	WarmUp    time.Duration
	Work      time.Duration // of an attempt, on average; of a box that calls others, its part before that
}

// StateUpdates is what discovery could tell from a time on.
type StateUpdate struct {
	At     time.Duration
	Server int
	State  string
}

// Arrivals is a request that callers were to make.
type Arrival struct {
	At    time.Duration
	Class int
}

// Rules are the figures that a rehearsal is judged by.
type Rules struct {
	Length       time.Duration
	Slack        time.Duration // what each limit is longer on sockets
	Drain        time.Duration // nothing new to a box so long after it drains or is gone
	NotifyWithin time.Duration // news count as told after this time at the latest
	MaxAttempts  int           // of one request
	Hedging      bool          // two may be out at once
	// A cold box falls over under more than OverloadFactor times its present capacity within OverloadWindow; 0 for never.
	OverloadFactor float64
	OverloadWindow time.Duration
	Classes        []Class
	Servers        []Server
	Sidecars       []string // names; calls of boxes go through those behind the first tier's
	StateUpdates   []StateUpdate
	Arrivals       []Arrival
}

// Rule is one of the four.
type Rule int

// The four rules.
const (
	FinalAnswer        Rule = iota // one final answer in time
	AtMostOnce                     // no effect twice
	DrainRespected                 // nothing new to what drains
	SlowStartRespected             // no cold box is pushed over
	ruleCount
)

func (r Rule) String() string {
	return [...]string{"one final answer in time", "no effect twice", "drains are kept", "no cold box is pushed over"}[r]
}

// Breach is a rule that was broken.
type Breach struct {
	Rule    Rule
	At      time.Duration
	Request string // empty where it is about none
	Origin  int    // the arrival that it was for, or -1
	Server  int    // or -1
	Sidecar int    // or -1
	Message string
}

// Second is what happened in one second. Requests count in the second in which callers first wanted them.
type Second struct {
	Offered  int
	Served   int  // in time
	Late     int  // served after the aim
	Rejected int  // for good
	Failed   int  // for good
	Attempts int  // at all tiers, in the second in which they came
	Doubtful bool // the emulator was late
}

// TraceLine is a line of a request's story.
type TraceLine struct {
	At   time.Duration
	Text string
}

// Trace is what happened to one request.
type Trace struct {
	Origin int
	At     time.Duration
	Reason string
	Lines  []TraceLine
}

// Verdict is what came of a rehearsal.
type Verdict struct {
	VoidReason     string // why it says nothing of the sidecar; empty if it does
	Breaches       []Breach
	BreachesByRule [ruleCount]int
	Excused        int // breaches in a time in which the emulator was late
	Crashes        []string

	Service         float64 // worth answered within the aim over worth asked for
	WorstService    float64 // the same in the worst 10 s
	WorstFrom       time.Duration
	Requests        int
	InTime          int
	Late            int
	Rejected        int
	Failed          int
	CallerAttempts  int     // by callers from outside
	ServerAttempts  int     // at boxes, of all tiers
	AttemptsPerCall float64 // attempts a request that a sidecar was asked for
	WastedShare     float64 // work that no answer came of, over all work
	P50, P99        time.Duration
	MaxLateness     time.Duration // of the emulator

	Seconds          []Second
	AttemptsByServer [][]int // attempts a second, by box
	Traces           []Trace
}

const (
	worstWindowSeconds = 10 // seconds
	maxTraces          = 20
	maxBreaches        = 1000
	maxLateShare       = 0.05 // of the seconds that may be late before the run is void
	lateThreshold      = 100 * time.Millisecond
	killTolerance      = 250 * time.Millisecond // a kill is noticed so much earlier or later
)

// request is all that is known of one X-Txn.
type request struct {
	asked    Event
	name     string
	attempts []*attempt
	answers  []Event
	ended    *Event // Closed or CallerTimedOut
	unknown  bool   // nobody asked for it
}

type attempt struct {
	received Event
	ended    *Event
}

// never ran, as its box knows.
func (a *attempt) neverRan() bool {
	return a.ended != nil && (a.ended.Result == Rejected || a.ended.Result == Truncated)
}

type auditor struct {
	Rules
	verdict      *Verdict
	requests     map[string]*request
	order        []*request
	attempts     map[uint64]*attempt
	origins      [][]*request
	notified     map[[2]int][]StateUpdate // by sidecar and box
	lifecycle    map[int][]Event          // Killed, Stopping and Up, by sidecar
	knownUpdates map[int][]StateUpdate    // by box; At is when they count as told
	late         []bool                   // by second
}

// Judge reads the events of a rehearsal. lost is how many there was no room for.
func Judge(r Rules, events []Event, lost int) *Verdict {
	j := &auditor{
		Rules: r, verdict: &Verdict{}, requests: map[string]*request{}, attempts: map[uint64]*attempt{}, notified: map[[2]int][]StateUpdate{},
		lifecycle: map[int][]Event{}, knownUpdates: map[int][]StateUpdate{}, origins: make([][]*request, len(r.Arrivals)),
	}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	seconds := int((r.Length + time.Second - 1) / time.Second)
	j.verdict.Seconds = make([]Second, seconds)
	j.verdict.AttemptsByServer = make([][]int, len(r.Servers))
	for i := range j.verdict.AttemptsByServer {
		j.verdict.AttemptsByServer[i] = make([]int, seconds)
	}
	j.late = make([]bool, seconds+1)
	for _, n := range r.StateUpdates {
		n.At += r.NotifyWithin
		j.knownUpdates[n.Server] = append(j.knownUpdates[n.Server], n)
	}
	for i := range events {
		j.record(&events[i])
	}
	if lost > 0 {
		j.verdict.VoidReason = fmt.Sprintf("%d events were not kept", lost)
	}
	j.judgeLateness(seconds)
	for _, q := range j.order {
		j.judgeFinalAnswer(q)
		j.judgeAtMostOnce(q)
		for _, a := range q.attempts {
			j.judgeDrain(q, a)
		}
	}
	slices.SortStableFunc(j.verdict.Breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	j.judgeService()
	j.pickTraces()
	return j.verdict
}

// record sorts one event in.
func (j *auditor) record(e *Event) {
	switch e.Kind {
	case RequestSent:
		// Asked again on another connection, where the first was closed: it is a request of its own, perhaps to another
		// sidecar, which knows nothing of what the one before has sent.
		again := j.requests[e.Request] != nil
		q := &request{name: e.Request, asked: *e}
		j.requests[e.Request] = q
		j.order = append(j.order, q)
		if e.Origin >= 0 && e.Origin < len(j.origins) {
			j.origins[e.Origin] = append(j.origins[e.Origin], q)
		}
		if e.CallerAttempt > 0 && !again {
			j.verdict.CallerAttempts++
		}
	case AnswerReceived:
		if q := j.requests[e.Request]; q != nil {
			q.answers = append(q.answers, *e)
		}
	case ConnectionClosed, CallerTimedOut:
		if q := j.requests[e.Request]; q != nil {
			q.ended = e
		}
	case AttemptReceived:
		q := j.requests[e.Request]
		if q == nil {
			// Written by the caller before its own word of it was noted, or by nobody.
			q = &request{name: e.Request, unknown: true}
			q.asked = Event{At: e.FirstByteAt, Sidecar: -1, Origin: -1, Class: -1}
			j.requests[e.Request] = q
			j.order = append(j.order, q)
			j.addBreach(Breach{Rule: AtMostOnce, At: e.At, Request: e.Request, Origin: -1, Server: e.Server, Sidecar: -1, Message: "an attempt of a request that nobody asked for"})
		}
		a := &attempt{received: *e}
		j.attempts[e.AttemptID] = a
		q.attempts = append(q.attempts, a)
		j.verdict.ServerAttempts++
		if s := int(e.At / time.Second); e.At >= 0 && s < len(j.verdict.Seconds) {
			j.verdict.Seconds[s].Attempts++
			if e.Server >= 0 && e.Server < len(j.verdict.AttemptsByServer) {
				j.verdict.AttemptsByServer[e.Server][s]++
			}
		}
	case AttemptEnded:
		if a := j.attempts[e.AttemptID]; a != nil && a.ended == nil {
			a.ended = e
		}
	case SidecarNotified:
		at := [2]int{e.Sidecar, e.Server}
		j.notified[at] = append(j.notified[at], StateUpdate{e.At, e.Server, e.Text})
	case SidecarUp, SidecarStopping, SidecarKilled:
		j.lifecycle[e.Sidecar] = append(j.lifecycle[e.Sidecar], *e)
	case SidecarDied:
		j.lifecycle[e.Sidecar] = append(j.lifecycle[e.Sidecar], *e)
		j.verdict.Crashes = append(j.verdict.Crashes, fmt.Sprintf("%.3f s: %s %s", e.At.Seconds(), j.sidecarName(e.Sidecar), e.Text))
	case UnsolicitedBytes:
		j.addBreach(Breach{Rule: FinalAnswer, At: e.At, Request: e.Request, Origin: e.Origin, Server: -1, Sidecar: e.Sidecar, Message: "sent what nobody had asked for: " + e.Text})
	case ServerCollapsed:
		j.addBreach(Breach{Rule: SlowStartRespected, At: e.At, Origin: -1, Server: e.Server, Sidecar: -1, Message: "was sent more than it could do while it was cold, and fell over"})
	case EmulatorLate:
		if e.At < 0 {
			break // nobody had come yet
		}
		j.verdict.MaxLateness = max(j.verdict.MaxLateness, e.Duration)
		if s := int(e.At / time.Second); s < len(j.late) && e.Duration >= lateThreshold {
			j.late[s] = true
		}
	}
}

func (j *auditor) sidecarName(i int) string {
	if i >= 0 && i < len(j.Sidecars) {
		return j.Sidecars[i]
	}
	return "an unknown sidecar"
}

func (j *auditor) serverName(i int) string {
	if i >= 0 && i < len(j.Servers) {
		return j.Servers[i].Name
	}
	return "an unknown box"
}

// addBreach notes a rule that was broken.
func (j *auditor) addBreach(b Breach) { j.verdict.Breaches = append(j.verdict.Breaches, b) }

// judgeLateness voids a run in which the emulator was late too often, and takes back what broke while it was.
func (j *auditor) judgeLateness(seconds int) {
	n := 0
	for s := range seconds {
		if j.late[s] {
			j.verdict.Seconds[s].Doubtful = true
			n++
		}
	}
	if n > 1 && float64(n) > maxLateShare*float64(seconds) && j.verdict.VoidReason == "" {
		j.verdict.VoidReason = fmt.Sprintf("the emulator itself was late in %d of %d seconds, by up to %v: this machine is too slow or too busy for this morning", n, seconds, j.verdict.MaxLateness.Round(time.Millisecond))
	}
}

// emulatorLate tells whether the emulator was late at a time, or in the second before.
func (j *auditor) emulatorLate(at time.Duration) bool {
	s := int(at / time.Second)
	return s >= 0 && s < len(j.late) && j.late[s] || s > 0 && s-1 < len(j.late) && j.late[s-1]
}

// interrupted tells whether a sidecar was killed, or made to stand still, between two times. What dies by itself is not excused.
func (j *auditor) interrupted(sidecar int, from, to time.Duration) bool {
	for _, e := range j.lifecycle[sidecar] {
		if e.Kind == SidecarKilled && e.At >= from-killTolerance && e.At <= to+killTolerance {
			return true
		}
	}
	return false
}

// judgeFinalAnswer judges the first rule.
func (j *auditor) judgeFinalAnswer(q *request) {
	if q.unknown {
		return
	}
	due := q.asked.At + q.asked.Duration + j.Slack
	say := func(at time.Duration, format string, args ...any) {
		j.addBreach(Breach{FinalAnswer, at, q.name, q.asked.Origin, -1, q.asked.Sidecar, fmt.Sprintf(format, args...)})
	}
	if len(q.answers) > 1 {
		say(q.answers[1].At, "two answers to one request")
	}
	if len(q.answers) == 0 {
		switch {
		case j.interrupted(q.asked.Sidecar, q.asked.At, due):
		case q.ended == nil:
			say(due, "no answer in %v", q.asked.Duration)
		case q.ended.Kind == CallerTimedOut && q.ended.At >= due:
			say(q.ended.At, "no answer in %v", q.asked.Duration)
		case q.ended.Kind == CallerTimedOut:
			// It went away early, by its own will.
		case len(q.attempts) > 0:
			say(q.ended.At, "the connection was closed without an answer, after %d attempts", len(q.attempts))
		}
		return
	}
	a := q.answers[0]
	if a.At > due && !j.interrupted(q.asked.Sidecar, q.asked.At, a.At) {
		say(a.At, "the answer came %v after the request's time", (a.At - q.asked.At - q.asked.Duration).Round(time.Millisecond))
	}
	if a.Status == 200 && !a.Authentic {
		say(a.At, "served with what no box made for this request")
	}
	for _, t := range q.attempts {
		if t.received.FirstByteAt > a.At+j.Slack {
			j.addBreach(Breach{FinalAnswer, t.received.FirstByteAt, q.name, q.asked.Origin, t.received.Server, q.asked.Sidecar, "sent again after its final answer"})
		}
	}
}

// sameKeyGroup tells whether two boxes drop the repeats of one key.
func (j *auditor) sameKeyGroup(scope string, a, b int) bool {
	if a < 0 || b < 0 || a >= len(j.Servers) || b >= len(j.Servers) {
		return false
	}
	x, y := j.Servers[a], j.Servers[b]
	return x.Tier == y.Tier && (scope != "cell" || x.Cell == y.Cell)
}

// judgeAtMostOnce judges the second rule.
func (j *auditor) judgeAtMostOnce(q *request) {
	if q.unknown || q.asked.Class < 0 || q.asked.Class >= len(j.Classes) {
		return
	}
	class := &j.Classes[q.asked.Class]
	say := func(a *attempt, format string, args ...any) {
		j.addBreach(Breach{AtMostOnce, a.received.At, q.name, q.asked.Origin, a.received.Server, q.asked.Sidecar, fmt.Sprintf(format, args...)})
	}
	var ran []*attempt // that may have run
	for i, a := range q.attempts {
		if j.Rules.MaxAttempts > 0 && i == j.Rules.MaxAttempts {
			say(a, "attempt %d; %d are allowed", i+1, j.Rules.MaxAttempts)
		}
		for _, earlier := range q.attempts[:i] {
			if !j.Hedging && (earlier.ended == nil || earlier.ended.At > a.received.At+j.Slack) {
				say(a, "sent while another attempt was out, at %s", j.serverName(earlier.received.Server))
				break
			}
		}
		for _, earlier := range ran {
			switch {
			case class.Idempotency == "unsafe":
				say(a, "sent again after an attempt that may have run, at %s", j.serverName(earlier.received.Server))
			case class.Idempotency == "keyed" && !j.sameKeyGroup(class.Scope, earlier.received.Server, a.received.Server):
				say(a, "sent again outside the group that drops its repeats, after an attempt that may have run, at %s", j.serverName(earlier.received.Server))
			case class.Idempotency == "keyed" && a.received.At > earlier.received.At+class.Window+j.Slack:
				say(a, "sent again %v after an attempt that may have run, at %s; its key is remembered for %v", a.received.At-earlier.received.At, j.serverName(earlier.received.Server), class.Window)
			default:
				continue
			}
			break
		}
		if !a.neverRan() {
			ran = append(ran, a)
		}
	}
	if class.Idempotency == "unsafe" && len(ran) > 0 && len(q.answers) > 0 && (q.answers[0].Status == 429 || q.answers[0].Status == 503) {
		j.addBreach(Breach{AtMostOnce, q.answers[0].At, q.name, q.asked.Origin, ran[0].received.Server, q.asked.Sidecar, "refused, which promises that trying again is harmless, after an attempt that may have run"})
	}
}

// judgeDrain judges the third rule, for one attempt.
func (j *auditor) judgeDrain(q *request, a *attempt) {
	if q.unknown {
		return
	}
	first, box := a.received.FirstByteAt, a.received.Server
	by := first - j.Drain - j.Slack
	news := j.notified[[2]int{q.asked.Sidecar, box}]
	// What discovery had to tell counts as told, though it was not written; what it wrote of the box since wins.
	heard := j.knownUpdates[box]
	last := func(all []StateUpdate, until time.Duration) (StateUpdate, bool) {
		for i := len(all) - 1; i >= 0; i-- {
			if all[i].At <= until {
				return all[i], true
			}
		}
		return StateUpdate{}, false
	}
	bad := func(n StateUpdate) bool { return n.State == "Terminating" || n.State == "Gone" }
	w, written := last(news, by)
	h, known := last(heard, by)
	now, _ := last(news, first)
	if now.State == "Ready" && !(known && bad(h) && h.At-j.NotifyWithin > now.At) {
		return // back since
	}
	if nh, ok := last(heard, first); ok && nh.State == "Ready" && !written {
		return
	}
	var state string
	var since time.Duration
	switch {
	case written && bad(w):
		state, since = w.State, w.At
	case known && bad(h) && (!written || w.At < h.At-j.NotifyWithin) && j.wasServing(q.asked.Sidecar, h.At):
		state, since = h.State, h.At
	default:
		return
	}
	j.addBreach(Breach{
		DrainRespected, first, q.name, q.asked.Origin, box, q.asked.Sidecar,
		fmt.Sprintf("sent to it %v after the sidecar was told that it is %s", (first - since).Round(time.Millisecond), state),
	})
}

// wasServing tells whether a sidecar was serving at a time: one that came later has not been told what was told before.
func (j *auditor) wasServing(sidecar int, at time.Duration) bool {
	up := false
	for _, e := range j.lifecycle[sidecar] {
		if e.At > at {
			break
		}
		up = e.Kind == SidecarUp
	}
	return up
}

// judgeService adds up what callers got.
func (j *auditor) judgeService() {
	v := j.verdict
	kept := v.Breaches[:0]
	for _, b := range v.Breaches {
		if j.emulatorLate(b.At) {
			v.Excused++
			continue
		}
		v.BreachesByRule[b.Rule]++
		if len(kept) < maxBreaches {
			kept = append(kept, b)
		}
	}
	v.Breaches = kept
	worth, got := make([]float64, len(v.Seconds)), make([]float64, len(v.Seconds))
	var took []float64
	for origin, ask := range j.Arrivals {
		class := j.Classes[ask.Class]
		s := min(int(ask.At/time.Second), len(v.Seconds)-1)
		second := &v.Seconds[s]
		v.Requests++
		second.Offered++
		worth[s] += class.Value
		switch at, status := j.bestAnswer(origin); {
		case status == 200 && at <= ask.At+class.LatencyTarget:
			v.InTime++
			second.Served++
			got[s] += class.Value
			took = append(took, (at - ask.At).Seconds())
		case status == 200:
			v.Late++
			second.Late++
			took = append(took, (at - ask.At).Seconds())
		case status == 429 || status == 503:
			v.Rejected++
			second.Rejected++
		default:
			v.Failed++
			second.Failed++
		}
	}
	share := func(from, to int) float64 {
		var w, g float64
		for s := from; s < to; s++ {
			w += worth[s]
			g += got[s]
		}
		if w == 0 {
			return 1
		}
		return g / w
	}
	v.Service, v.WorstService = share(0, len(worth)), 1
	for from := 0; from+min(worstWindowSeconds, len(worth)) <= len(worth); from++ {
		if x := share(from, from+min(worstWindowSeconds, len(worth))); x < v.WorstService {
			v.WorstService, v.WorstFrom = x, time.Duration(from)*time.Second
		}
	}
	slices.Sort(took)
	if len(took) > 0 {
		v.P50 = time.Duration(stat.Quantile(0.5, stat.Empirical, took, nil) * 1e9)
		v.P99 = time.Duration(stat.Quantile(0.99, stat.Empirical, took, nil) * 1e9)
	}
	asked := 0
	var all, waste time.Duration
	for _, q := range j.order {
		if !q.unknown {
			asked++
		}
		for _, a := range q.attempts {
			if a.ended == nil {
				continue
			}
			all += a.ended.Work
			if a.ended.Result != Served || len(q.answers) == 0 || q.answers[0].Status != 200 {
				waste += a.ended.Work
			}
		}
	}
	if asked > 0 {
		v.AttemptsPerCall = float64(v.ServerAttempts) / float64(asked)
	}
	if all > 0 {
		v.WastedShare = float64(waste) / float64(all)
	}
}

// bestAnswer is the best answer that an arrival got, and when; status 0 for none.
func (j *auditor) bestAnswer(origin int) (at time.Duration, status int) {
	at = math.MaxInt64
	for _, q := range j.origins[origin] {
		if q.asked.CallerAttempt == 0 || len(q.answers) == 0 {
			continue
		}
		switch a := q.answers[0]; {
		case a.Status == 200 && (status != 200 || a.At < at):
			at, status = a.At, 200
		case status != 200:
			at, status = a.At, a.Status
		}
	}
	return at, status
}
