package route_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
	"quincegap/internal/modules/route"
)

const ms = time.Millisecond

// world runs requests through routes and the decision module, as the sidecar's loop does, against endpoints that do
// anything, and audits what is sent.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	events  timeline
	seq     int
	b       *balancer.Balancer
	site    int // attempts that the site allows
	classes []balancer.Class
	open    map[balancer.RequestID]*call
	routes  map[string]*tally
}

// tally is what was counted of a route beside its own state.
type tally struct {
	*route.Route
	open, again, answered int
}

// call is a request.
type call struct {
	class    *balancer.Class
	tally    *tally
	deadline time.Duration
	attempts int
	out      bool
	mayRun   bool
	cell     int // where it may have run
	final    bool
	credit   bool
	over     bool          // its route allows nothing more after its last outcome
	rests    time.Duration // until then
}

type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type timeline []happening

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(happening)) }
func (t *timeline) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, happening{w.now + max(d, 0), w.seq, do})
}

func cellOf(e balancer.EndpointID) int { return int(e) / 3 }

// Send is of balancer.Actions: it audits an attempt, and draws what becomes of it.
func (w *world) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	c := w.open[id]
	w.auditSend(id, c, to)
	c.attempts++
	if c.attempts > w.site {
		w.t.Fatalf("%s is sent %d times, the site allows %d", id, c.attempts, w.site)
	}
	if c.tally != nil {
		w.auditRoute(id, c, timeout)
	}
	c.out = true
	c.credit = false
	number := c.attempts - 1
	took, status := w.drawOutcome()
	left := c.deadline - w.now
	if timeout > 0 {
		left = min(left, timeout)
	}
	if status == balancer.StatusTimeout || took >= left {
		took = left
		status = balancer.StatusTimeout
	}
	w.after(took, func() { w.ended(id, c, to, number, took, status) })
}

// auditSend fails for an attempt that a class or the time does not allow.
func (w *world) auditSend(id balancer.RequestID, c *call, to balancer.EndpointID) {
	w.t.Helper()
	switch {
	case c == nil || c.final || c.out:
		w.t.Fatalf("%s is sent after its end, or twice at once", id)
	case c.mayRun && c.class.Idempotency == balancer.NonIdempotent:
		w.t.Fatalf("%s is unsafe, may have run, and goes out again", id)
	case c.mayRun && c.class.Idempotency == balancer.IdempotentWithKey && cellOf(to) != c.cell:
		w.t.Fatalf("%s may have run in cell %d and goes to %d", id, c.cell, cellOf(to))
	case c.over || w.now < c.rests:
		w.t.Fatalf("%s goes out after an outcome that its route does not allow that, %v, or within its pause", id, c.over)
	case w.now >= c.deadline:
		w.t.Fatalf("%s is sent after its time", id)
	}
}

// auditRoute fails for an attempt that its route does not allow.
func (w *world) auditRoute(id balancer.RequestID, c *call, timeout time.Duration) {
	w.t.Helper()
	r := c.tally
	settings := r.Settings
	if settings.MaxAttempts > 0 && c.attempts > settings.MaxAttempts {
		w.t.Fatalf("%s is sent %d times, its route allows %d", id, c.attempts, settings.MaxAttempts)
	}
	limit := settings.AttemptTimeout
	if limit > 0 && (timeout <= 0 && c.deadline-w.now > limit || timeout > limit) {
		w.t.Fatalf("%s: an attempt of %v, its route allows %v", id, timeout, limit)
	}
	if c.attempts == 1 {
		return
	}
	r.again++
	budget := float64(settings.RetryReserve) + settings.RetryShare*float64(r.answered)
	if settings.RetryShare >= 0 && float64(r.again) > budget+1e-6 {
		w.t.Fatalf("route %s: %d further attempts after %d answers", r.Name, r.again, r.answered)
	}
}

// drawOutcome draws how long an attempt takes, and how it ends.
func (w *world) drawOutcome() (took time.Duration, status balancer.Status) {
	took = time.Duration(w.rng.ExpFloat64() * float64(60*ms))
	if w.rng.IntN(3) != 0 {
		return took, balancer.StatusOK
	}
	faults := []balancer.Status{
		balancer.StatusError, balancer.StatusRejected, balancer.StatusConnectFailed, balancer.StatusReset, balancer.StatusInvalidResponse, balancer.StatusTimeout,
	}
	return took, faults[w.rng.IntN(len(faults))]
}

// ended is the loop's closed.
func (w *world) ended(id balancer.RequestID, c *call, to balancer.EndpointID, number int, took time.Duration, status balancer.Status) {
	c.out = false
	if !status.NeverRan() && !c.mayRun {
		c.mayRun = true
		c.cell = cellOf(to)
	}
	last, pause := false, time.Duration(0)
	if c.tally != nil && !c.final && status != balancer.StatusOK {
		if allowed := c.tally.Settings.AllowsRetry(status); allowed {
			c.credit = c.credit || c.tally.TakeRetry()
		} else {
			c.over = true
		}
		last = !c.credit
		pause = c.tally.Settings.Backoff(c.attempts, w.rng.Float64())
		c.rests = w.now + pause
	}
	final := c.final
	if status == balancer.StatusOK && !c.final {
		if final = true; c.tally != nil {
			c.tally.Answered()
			c.tally.answered++
		}
		w.finish(id, c)
	}
	w.b.HandleOutcome(w.now, balancer.Outcome{ID: id, Endpoint: to, Attempt: number, Final: final, Elapsed: took, Status: status, NoRetry: last, Backoff: pause})
	w.forget(id, c)
}

func (w *world) finish(id balancer.RequestID, c *call) {
	if c.final {
		w.t.Fatalf("%s has two final answers", id)
	}
	c.final = true
	if w.now > c.deadline+10*ms {
		w.t.Fatalf("%s ends %v after its time", id, w.now-c.deadline)
	}
}

func (w *world) forget(id balancer.RequestID, c *call) {
	if !c.final || c.out || w.open[id] != c {
		return
	}
	delete(w.open, id)
	if c.credit {
		c.tally.ReturnRetry()
	}
	if c.tally != nil {
		c.tally.Done()
		c.tally.open--
	}
}

func (w *world) Reject(id balancer.RequestID, _ time.Duration) {
	c := w.open[id]
	if c.mayRun && c.class.Idempotency != balancer.Idempotent {
		w.t.Fatalf("%s may have run and is rejected", id)
	}
	w.finish(id, c)
	w.forget(id, c)
}

func (w *world) Fail(id balancer.RequestID) {
	w.finish(id, w.open[id])
	w.forget(id, w.open[id])
}

func (w *world) Cancel(balancer.RequestID, int) {} // endpoints here do not hear of it: the outcome comes all the same
func (w *world) SetTimer(token uint64, d time.Duration) {
	w.after(d, func() { w.b.HandleTimer(w.now, token) })
}
func (w *world) HealthCheck(balancer.EndpointID)          {}
func (w *world) SendToPeer(int, []byte)                   {}
func (w *world) WatchEndpoints(bool)                      {}
func (w *world) FetchEndpoints()                          {}
func (w *world) CloseIdleConnections(balancer.EndpointID) {}
func (w *world) Log(string)                               {}

// arrive is the desk and the loop's arrive.
func (w *world) arrive(id balancer.RequestID, table *route.Table) (taken bool) {
	class := w.rng.IntN(len(w.classes))
	c := &call{class: &w.classes[class]}
	method := "POST"
	if c.class.Idempotency == balancer.Idempotent {
		method = "GET"
	}
	r, ok := table.Find(&route.Request{Host: "a.org", Path: []string{"/a", "/a/b", "/c/d/e", "/"}[w.rng.IntN(4)], Method: method, Class: c.class.Name})
	if !ok {
		w.t.Fatal("an unambiguous path goes nowhere")
	}
	left := time.Duration(1+w.rng.IntN(3000)) * ms
	q := balancer.Request{ID: id, Class: class, TimeLeft: min(left, c.class.Deadline)}
	if r != nil {
		x := w.routes[r.Name]
		if x == nil {
			x = &tally{Route: r}
			w.routes[r.Name] = x
		}
		full := r.Settings.MaxOpen > 0 && x.open >= r.Settings.MaxOpen
		if entered := r.Admit(); entered == (full || !r.Settings.Serve) {
			w.t.Fatalf("route %s: %d in, entered %v", r.Name, x.open, entered)
		} else if !entered {
			return false
		}
		x.open++
		c.tally = x
		q.MaxAttempts = r.Settings.MaxAttempts
		q.AttemptTimeout = r.Settings.AttemptTimeout
		q.ValueFactor = r.Settings.Value
		if r.Settings.Timeout > 0 {
			q.TimeLeft = min(q.TimeLeft, r.Settings.Timeout)
		}
	}
	c.deadline = w.now + q.TimeLeft
	w.open[id] = c
	w.b.HandleRequest(w.now, q)
	return true
}

// randomRules is a file's routes, accepted or not.
func randomRules(rng *rand.Rand) string {
	var b strings.Builder
	pick := func(some ...string) string { return some[rng.IntN(len(some))] }
	for i := range 1 + rng.IntN(4) {
		fmt.Fprintf(&b, "[route.r%d]\n", i)
		b.WriteString(pick("", "match_path = \"/a\"\n", "match_path = \"/a/{x}\"\n", "match_path = \"/{rest...}\"\n", "match_path = \"/c/{rest...}\"\n"))
		b.WriteString(pick("", "", "match_classes = \"find\"\n", "match_classes = \"book\"\n", "match_classes = \"pay\"\n", "match_classes = \"book, find\"\n"))
		if rng.IntN(8) == 0 {
			b.WriteString("serve = false\n")
			continue
		}
		b.WriteString(pick("", fmt.Sprintf("whole_time = \"%dms\"\n", 20+rng.IntN(3500))))
		b.WriteString(pick("", fmt.Sprintf("attempt_time = \"%dms\"\n", 10+rng.IntN(400))))
		b.WriteString(pick("", fmt.Sprintf("route_attempts = %d\n", 1+rng.IntN(6))))
		b.WriteString(pick("", "", "retry_on = \"turned-away, late\"\n", "retry_on = \"failed, broken\"\n"))
		b.WriteString(pick("", fmt.Sprintf("retry_pause = \"%dms\"\n", 10+rng.IntN(200))))
		b.WriteString(pick("", fmt.Sprintf("route_worth = %.2f\n", 0.1+5*rng.Float64())))
		b.WriteString(pick("", fmt.Sprintf("most_open = %d\n", 1+rng.IntN(6))))
		b.WriteString(pick("", fmt.Sprintf("retry_share = %.2f\nretry_reserve = %d\n", rng.Float64(), rng.IntN(4))))
	}
	return b.String()
}

// newWorld is one with a file's classes and 12 endpoints.
func newWorld(t *testing.T, f *schema.File, rng *rand.Rand, seed uint64) *world {
	t.Helper()
	w := &world{t: t, rng: rng, now: time.Second, site: 1 + rng.IntN(5), open: map[balancer.RequestID]*call{}, routes: map[string]*tally{}}
	for _, c := range appfile.ClassTable.All(f) {
		w.classes = append(w.classes, balancer.Class{
			Name: c.Name, LatencyTarget: c.Value.LatencyTarget, Deadline: c.Value.Deadline, Value: 1,
			Idempotency: c.Value.Idempotency, KeyScope: c.Value.KeyScope, KeyWindow: c.Value.KeyWindow,
		})
	}
	settings := balancer.Settings{
		Instances: 1, Quantum: 2 * ms, Classes: w.classes, MayCancel: rng.IntN(2) == 0, MaxAttempts: w.site,
		ConnectTimeout: 100 * ms, MaxRetryAfter: 2 * time.Second, PropagatesDeadline: true,
	}
	var err error
	if w.b, err = balancer.New(settings, seed, w); err != nil {
		t.Fatal(err)
	}
	l := balancer.EndpointList{Kind: balancer.ListFull, Version: 1}
	for e := balancer.EndpointID(1); e <= 12; e++ {
		l.Entries = append(l.Entries, balancer.ListEntry{Endpoint: e, Cell: cellOf(e), Weight: 1})
	}
	w.b.HandleEndpoints(w.now, l)
	return w
}

// play brings 300 requests, and goes on until nothing happens any more.
func (w *world) play(table *route.Table, seed uint64) {
	w.t.Helper()
	n := 0
	var next func()
	next = func() {
		n++
		if n > 300 {
			return
		}
		w.arrive(balancer.RequestID(fmt.Sprint("r", n)), table)
		w.after(time.Duration(w.rng.ExpFloat64()*float64(15*ms)), next)
	}
	w.after(0, next)
	for steps := 0; len(w.events) > 0 && w.now < time.Minute; steps++ {
		x := heap.Pop(&w.events).(happening)
		w.now = x.at
		x.do()
		if steps > 200_000 {
			w.t.Fatalf("seed %d: it goes round in circles at %v", seed, w.now)
		}
	}
}

// audit fails for a request without an answer, and for a route that still counts one.
func (w *world) audit(seed uint64) (answered, again int) {
	w.t.Helper()
	for id, c := range w.open {
		w.t.Fatalf("seed %d: %s has no final answer: %+v", seed, id, c)
	}
	for name, x := range w.routes {
		if x.State.Open != 0 || x.open != 0 {
			w.t.Fatalf("seed %d: route %s: %d are still in", seed, name, x.State.Open)
		}
		answered += x.answered
		again += x.again
	}
	return answered, again
}

// A file that the checks accept never breaks a rule, whatever endpoints do: one final answer in time; nothing that may have run goes
// out again unless its class allows it, nor is rejected; and the route's own bounds hold exactly.
func TestAcceptedFilesBreakNoRule(t *testing.T) {
	played, answered, again := 0, 0, 0
	for seed := uint64(0); played < 150; seed++ {
		rng := rand.New(rand.NewPCG(seed, 3))
		f, fault := read(base + randomRules(rng))
		if fault != "" {
			continue
		}
		played++
		w := newWorld(t, f, rng, seed)
		w.play(route.Compile(f), seed)
		a, r := w.audit(seed)
		answered += a
		again += r
	}
	t.Logf("%d files, %d answers, %d further attempts", played, answered, again)
	if answered < 5000 || again < 500 {
		t.Errorf("%d answers, %d further attempts: too few to tell", answered, again)
	}
}
