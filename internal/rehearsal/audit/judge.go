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
	Name     string
	Effect   string // safe, keyed or unsafe
	Scope    string // of a keyed one: cell, zone or all
	Window   time.Duration
	Aim      time.Duration
	Deadline time.Duration
	Worth    float64
}

// Box is what the rules know of a box.
type Box struct {
	Name string
	Tier int
	Cell int

	// For Sum: what one does a second once it is warm, in the time that a core needs for it, and how it starts.
	Capacity float64
	ColdFrom float64
	Warm     time.Duration
	Work     time.Duration // of an attempt, on average; of a box that calls others, its part before that
}

// News is what discovery could tell from a time on.
type News struct {
	At    time.Duration
	Box   int
	State string
}

// Asks is a request that callers were to make.
type Asks struct {
	At    time.Duration
	Class int
}

// Rules are the figures that a rehearsal is judged by.
type Rules struct {
	Length   time.Duration
	Slack    time.Duration // what each limit is longer on sockets
	Drain    time.Duration // nothing new to a box so long after it drains or is gone
	Heard    time.Duration // news count as told after this time at the latest
	Attempts int           // of one request
	Copies   bool          // two may be out at once
	// A cold box falls over under more than TipBy times its present capacity within TipWindow; 0 for never.
	TipBy     float64
	TipWindow time.Duration
	Classes   []Class
	Boxes     []Box
	Sidecars  []string // names; calls of boxes go through those behind the first tier's
	News      []News
	Asks      []Asks
}

// Rule is one of the four.
type Rule int

// The four rules.
const (
	FinalAnswer Rule = iota // one final answer in time
	OnceOnly                // no effect twice
	Drains                  // nothing new to what drains
	ColdBoxes               // no cold box is pushed over
	rules
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
	Box     int    // or -1
	Sidecar int    // or -1
	Text    string
}

// Second is what happened in one second. Requests count in the second in which callers first wanted them.
type Second struct {
	Offered  int
	Served   int  // in time
	Late     int  // served after the aim
	Refused  int  // for good
	Failed   int  // for good
	Attempts int  // at all tiers, in the second in which they came
	Doubtful bool // the emulator was late
}

// Line is a line of a request's story.
type Line struct {
	At   time.Duration
	Text string
}

// Story is what happened to one request.
type Story struct {
	Origin int
	At     time.Duration
	Why    string
	Lines  []Line
}

// Verdict is what came of a rehearsal.
type Verdict struct {
	Void     string // why it says nothing of the sidecar; empty if it does
	Breaches []Breach
	Broken   [rules]int
	Excused  int // breaches in a time in which the emulator was late
	Crashes  []string

	Service   float64 // worth answered within the aim over worth asked for
	Worst     float64 // the same in the worst 10 s
	WorstFrom time.Duration
	Requests  int
	InTime    int
	Late      int
	Refused   int
	Failed    int
	Tries     int     // by callers from outside
	Attempts  int     // at boxes, of all tiers
	PerCall   float64 // attempts a request that a sidecar was asked for
	Waste     float64 // work that no answer came of, over all work
	P50, P99  time.Duration
	LateMax   time.Duration // of the emulator

	Seconds []Second
	Loads   [][]int // attempts a second, by box
	Stories []Story
}

const (
	worstStretch = 10 // seconds
	mostStories  = 20
	mostBreaches = 1000
	lateShare    = 0.05 // of the seconds that may be late before the run is void
	lateAfter    = 100 * time.Millisecond
	excuseWithin = 250 * time.Millisecond // a kill is noticed so much earlier or later
)

// request is all that is known of one X-Txn.
type request struct {
	asked    Event
	name     string
	attempts []*attempt
	answers  []Event
	ended    *Event // Closed or GaveUp
	unknown  bool   // nobody asked for it
}

type attempt struct {
	sent  Event
	ended *Event
}

// never ran, as its box knows.
func (a *attempt) neverRan() bool {
	return a.ended != nil && (a.ended.How == TurnedAway || a.ended.How == Cut)
}

type judge struct {
	Rules
	v        *Verdict
	requests map[string]*request
	order    []*request
	attempts map[uint64]*attempt
	origins  [][]*request
	told     map[[2]int][]News // by sidecar and box
	downs    map[int][]Event   // Killed, Stopping and Up, by sidecar
	heard    map[int][]News    // by box; At is when they count as told
	late     []bool            // by second
}

// Judge reads the events of a rehearsal. lost is how many there was no room for.
func Judge(r Rules, events []Event, lost int) *Verdict {
	j := &judge{
		Rules: r, v: &Verdict{}, requests: map[string]*request{}, attempts: map[uint64]*attempt{}, told: map[[2]int][]News{},
		downs: map[int][]Event{}, heard: map[int][]News{}, origins: make([][]*request, len(r.Asks)),
	}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	seconds := int((r.Length + time.Second - 1) / time.Second)
	j.v.Seconds = make([]Second, seconds)
	j.v.Loads = make([][]int, len(r.Boxes))
	for i := range j.v.Loads {
		j.v.Loads[i] = make([]int, seconds)
	}
	j.late = make([]bool, seconds+1)
	for _, n := range r.News {
		n.At += r.Heard
		j.heard[n.Box] = append(j.heard[n.Box], n)
	}
	for i := range events {
		j.take(&events[i])
	}
	if lost > 0 {
		j.v.Void = fmt.Sprintf("%d events were not kept", lost)
	}
	j.lateness(seconds)
	for _, q := range j.order {
		j.finalAnswer(q)
		j.onceOnly(q)
		for _, a := range q.attempts {
			j.drains(q, a)
		}
	}
	slices.SortStableFunc(j.v.Breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	j.service()
	j.stories()
	return j.v
}

// take sorts one event in.
func (j *judge) take(e *Event) {
	switch e.Kind {
	case Asked:
		// Asked again on another connection, where the first was closed: it is a request of its own, perhaps to another
		// sidecar, which knows nothing of what the one before has sent.
		again := j.requests[e.Request] != nil
		q := &request{name: e.Request, asked: *e}
		j.requests[e.Request] = q
		j.order = append(j.order, q)
		if e.Origin >= 0 && e.Origin < len(j.origins) {
			j.origins[e.Origin] = append(j.origins[e.Origin], q)
		}
		if e.Try > 0 && !again {
			j.v.Tries++
		}
	case Answered:
		if q := j.requests[e.Request]; q != nil {
			q.answers = append(q.answers, *e)
		}
	case Closed, GaveUp:
		if q := j.requests[e.Request]; q != nil {
			q.ended = e
		}
	case Sent:
		q := j.requests[e.Request]
		if q == nil {
			// Written by the caller before its own word of it was noted, or by nobody.
			q = &request{name: e.Request, unknown: true}
			q.asked = Event{At: e.First, Sidecar: -1, Origin: -1, Class: -1}
			j.requests[e.Request] = q
			j.order = append(j.order, q)
			j.breach(Breach{Rule: OnceOnly, At: e.At, Request: e.Request, Origin: -1, Box: e.Box, Sidecar: -1, Text: "an attempt of a request that nobody asked for"})
		}
		a := &attempt{sent: *e}
		j.attempts[e.Attempt] = a
		q.attempts = append(q.attempts, a)
		j.v.Attempts++
		if s := int(e.At / time.Second); e.At >= 0 && s < len(j.v.Seconds) {
			j.v.Seconds[s].Attempts++
			if e.Box >= 0 && e.Box < len(j.v.Loads) {
				j.v.Loads[e.Box][s]++
			}
		}
	case Ended:
		if a := j.attempts[e.Attempt]; a != nil && a.ended == nil {
			a.ended = e
		}
	case Told:
		at := [2]int{e.Sidecar, e.Box}
		j.told[at] = append(j.told[at], News{e.At, e.Box, e.Text})
	case Up, Stopping, Killed:
		j.downs[e.Sidecar] = append(j.downs[e.Sidecar], *e)
	case Died:
		j.downs[e.Sidecar] = append(j.downs[e.Sidecar], *e)
		j.v.Crashes = append(j.v.Crashes, fmt.Sprintf("%.3f s: %s %s", e.At.Seconds(), j.sidecar(e.Sidecar), e.Text))
	case Stray:
		j.breach(Breach{Rule: FinalAnswer, At: e.At, Request: e.Request, Origin: e.Origin, Box: -1, Sidecar: e.Sidecar, Text: "sent what nobody had asked for: " + e.Text})
	case Fell:
		j.breach(Breach{Rule: ColdBoxes, At: e.At, Origin: -1, Box: e.Box, Sidecar: -1, Text: "was sent more than it could do while it was cold, and fell over"})
	case Late:
		if e.At < 0 {
			break // nobody had come yet
		}
		j.v.LateMax = max(j.v.LateMax, e.Left)
		if s := int(e.At / time.Second); s < len(j.late) && e.Left >= lateAfter {
			j.late[s] = true
		}
	}
}

func (j *judge) sidecar(i int) string {
	if i >= 0 && i < len(j.Sidecars) {
		return j.Sidecars[i]
	}
	return "an unknown sidecar"
}

func (j *judge) box(i int) string {
	if i >= 0 && i < len(j.Boxes) {
		return j.Boxes[i].Name
	}
	return "an unknown box"
}

// breach notes a rule that was broken.
func (j *judge) breach(b Breach) { j.v.Breaches = append(j.v.Breaches, b) }

// lateness voids a run in which the emulator was late too often, and takes back what broke while it was.
func (j *judge) lateness(seconds int) {
	n := 0
	for s := range seconds {
		if j.late[s] {
			j.v.Seconds[s].Doubtful = true
			n++
		}
	}
	if n > 1 && float64(n) > lateShare*float64(seconds) && j.v.Void == "" {
		j.v.Void = fmt.Sprintf("the emulator itself was late in %d of %d seconds, by up to %v: this machine is too slow or too busy for this morning", n, seconds, j.v.LateMax.Round(time.Millisecond))
	}
}

// excused tells whether the emulator was late at a time, or in the second before.
func (j *judge) excused(at time.Duration) bool {
	s := int(at / time.Second)
	return s >= 0 && s < len(j.late) && j.late[s] || s > 0 && s-1 < len(j.late) && j.late[s-1]
}

// down tells whether a sidecar was killed, or made to stand still, between two times. What dies by itself is not excused.
func (j *judge) down(sidecar int, from, to time.Duration) bool {
	for _, e := range j.downs[sidecar] {
		if e.Kind == Killed && e.At >= from-excuseWithin && e.At <= to+excuseWithin {
			return true
		}
	}
	return false
}

// finalAnswer judges the first rule.
func (j *judge) finalAnswer(q *request) {
	if q.unknown {
		return
	}
	due := q.asked.At + q.asked.Left + j.Slack
	say := func(at time.Duration, format string, args ...any) {
		j.breach(Breach{FinalAnswer, at, q.name, q.asked.Origin, -1, q.asked.Sidecar, fmt.Sprintf(format, args...)})
	}
	if len(q.answers) > 1 {
		say(q.answers[1].At, "two answers to one request")
	}
	if len(q.answers) == 0 {
		switch {
		case j.down(q.asked.Sidecar, q.asked.At, due):
		case q.ended == nil:
			say(due, "no answer in %v", q.asked.Left)
		case q.ended.Kind == GaveUp && q.ended.At >= due:
			say(q.ended.At, "no answer in %v", q.asked.Left)
		case q.ended.Kind == GaveUp:
			// It went away early, by its own will.
		case len(q.attempts) > 0:
			say(q.ended.At, "the connection was closed without an answer, after %d attempts", len(q.attempts))
		}
		return
	}
	a := q.answers[0]
	if a.At > due && !j.down(q.asked.Sidecar, q.asked.At, a.At) {
		say(a.At, "the answer came %v after the request's time", (a.At - q.asked.At - q.asked.Left).Round(time.Millisecond))
	}
	if a.Status == 200 && !a.Good {
		say(a.At, "served with what no box made for this request")
	}
	for _, t := range q.attempts {
		if t.sent.First > a.At+j.Slack {
			j.breach(Breach{FinalAnswer, t.sent.First, q.name, q.asked.Origin, t.sent.Box, q.asked.Sidecar, "sent again after its final answer"})
		}
	}
}

// group tells whether two boxes drop the repeats of one key.
func (j *judge) group(scope string, a, b int) bool {
	if a < 0 || b < 0 || a >= len(j.Boxes) || b >= len(j.Boxes) {
		return false
	}
	x, y := j.Boxes[a], j.Boxes[b]
	return x.Tier == y.Tier && (scope != "cell" || x.Cell == y.Cell)
}

// onceOnly judges the second rule.
func (j *judge) onceOnly(q *request) {
	if q.unknown || q.asked.Class < 0 || q.asked.Class >= len(j.Classes) {
		return
	}
	class := &j.Classes[q.asked.Class]
	say := func(a *attempt, format string, args ...any) {
		j.breach(Breach{OnceOnly, a.sent.At, q.name, q.asked.Origin, a.sent.Box, q.asked.Sidecar, fmt.Sprintf(format, args...)})
	}
	var ran []*attempt // that may have run
	for i, a := range q.attempts {
		if j.Rules.Attempts > 0 && i == j.Rules.Attempts {
			say(a, "attempt %d; %d are allowed", i+1, j.Rules.Attempts)
		}
		for _, earlier := range q.attempts[:i] {
			if !j.Copies && (earlier.ended == nil || earlier.ended.At > a.sent.At+j.Slack) {
				say(a, "sent while another attempt was out, at %s", j.box(earlier.sent.Box))
				break
			}
		}
		for _, earlier := range ran {
			switch {
			case class.Effect == "unsafe":
				say(a, "sent again after an attempt that may have run, at %s", j.box(earlier.sent.Box))
			case class.Effect == "keyed" && !j.group(class.Scope, earlier.sent.Box, a.sent.Box):
				say(a, "sent again outside the group that drops its repeats, after an attempt that may have run, at %s", j.box(earlier.sent.Box))
			case class.Effect == "keyed" && a.sent.At > earlier.sent.At+class.Window+j.Slack:
				say(a, "sent again %v after an attempt that may have run, at %s; its key is remembered for %v", a.sent.At-earlier.sent.At, j.box(earlier.sent.Box), class.Window)
			default:
				continue
			}
			break
		}
		if !a.neverRan() {
			ran = append(ran, a)
		}
	}
	if class.Effect == "unsafe" && len(ran) > 0 && len(q.answers) > 0 && (q.answers[0].Status == 429 || q.answers[0].Status == 503) {
		j.breach(Breach{OnceOnly, q.answers[0].At, q.name, q.asked.Origin, ran[0].sent.Box, q.asked.Sidecar, "refused, which promises that trying again is harmless, after an attempt that may have run"})
	}
}

// drains judges the third rule, for one attempt.
func (j *judge) drains(q *request, a *attempt) {
	if q.unknown {
		return
	}
	first, box := a.sent.First, a.sent.Box
	by := first - j.Drain - j.Slack
	news := j.told[[2]int{q.asked.Sidecar, box}]
	// What discovery had to tell counts as told, though it was not written; what it wrote of the box since wins.
	heard := j.heard[box]
	last := func(all []News, until time.Duration) (News, bool) {
		for i := len(all) - 1; i >= 0; i-- {
			if all[i].At <= until {
				return all[i], true
			}
		}
		return News{}, false
	}
	bad := func(n News) bool { return n.State == "Terminating" || n.State == "Gone" }
	w, written := last(news, by)
	h, known := last(heard, by)
	now, _ := last(news, first)
	if now.State == "Ready" && !(known && bad(h) && h.At-j.Heard > now.At) {
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
	case known && bad(h) && (!written || w.At < h.At-j.Heard) && j.up(q.asked.Sidecar, h.At):
		state, since = h.State, h.At
	default:
		return
	}
	j.breach(Breach{
		Drains, first, q.name, q.asked.Origin, box, q.asked.Sidecar,
		fmt.Sprintf("sent to it %v after the sidecar was told that it is %s", (first - since).Round(time.Millisecond), state),
	})
}

// up tells whether a sidecar was serving at a time: one that came later has not been told what was told before.
func (j *judge) up(sidecar int, at time.Duration) bool {
	up := false
	for _, e := range j.downs[sidecar] {
		if e.At > at {
			break
		}
		up = e.Kind == Up
	}
	return up
}

// service adds up what callers got.
func (j *judge) service() {
	v := j.v
	kept := v.Breaches[:0]
	for _, b := range v.Breaches {
		if j.excused(b.At) {
			v.Excused++
			continue
		}
		v.Broken[b.Rule]++
		if len(kept) < mostBreaches {
			kept = append(kept, b)
		}
	}
	v.Breaches = kept
	worth, got := make([]float64, len(v.Seconds)), make([]float64, len(v.Seconds))
	var took []float64
	for origin, ask := range j.Asks {
		class := j.Classes[ask.Class]
		s := min(int(ask.At/time.Second), len(v.Seconds)-1)
		second := &v.Seconds[s]
		v.Requests++
		second.Offered++
		worth[s] += class.Worth
		switch at, status := j.outcome(origin); {
		case status == 200 && at <= ask.At+class.Aim:
			v.InTime++
			second.Served++
			got[s] += class.Worth
			took = append(took, (at - ask.At).Seconds())
		case status == 200:
			v.Late++
			second.Late++
			took = append(took, (at - ask.At).Seconds())
		case status == 429 || status == 503:
			v.Refused++
			second.Refused++
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
	v.Service, v.Worst = share(0, len(worth)), 1
	for from := 0; from+min(worstStretch, len(worth)) <= len(worth); from++ {
		if x := share(from, from+min(worstStretch, len(worth))); x < v.Worst {
			v.Worst, v.WorstFrom = x, time.Duration(from)*time.Second
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
			if a.ended.How != Served || len(q.answers) == 0 || q.answers[0].Status != 200 {
				waste += a.ended.Work
			}
		}
	}
	if asked > 0 {
		v.PerCall = float64(v.Attempts) / float64(asked)
	}
	if all > 0 {
		v.Waste = float64(waste) / float64(all)
	}
}

// outcome is the best answer that an arrival got, and when; status 0 for none.
func (j *judge) outcome(origin int) (at time.Duration, status int) {
	at = math.MaxInt64
	for _, q := range j.origins[origin] {
		if q.asked.Try == 0 || len(q.answers) == 0 {
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
