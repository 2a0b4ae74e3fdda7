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

// world is a simulation: it passes requests through routes and a Balancer, as the sidecar's loop does, to endpoints with random
// outcomes, and audits each attempt and each answer. It is the Balancer's Host.
type world struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Duration
	events      eventQueue
	seq         int
	b           *balancer.Balancer
	maxAttempts int // attempts that the site allows
	classes     []balancer.Class
	open        map[balancer.RequestID]*call
	routes      map[string]*countedRoute
}

// countedRoute is a route with counts of its own, against which the state of the route is checked.
type countedRoute struct {
	*route.Route
	open, retries, answered int // requests that are open, retries that were sent, requests that were answered
}

// call is a request.
type call struct {
	class        *balancer.Class
	route        *countedRoute
	deadline     time.Duration
	attempts     int
	inFlight     bool
	mayRun       bool
	cell         int           // where it may have run
	final        bool          // it has its final answer
	retryTaken   bool          // out of the budget of its route, and not sent
	exhausted    bool          // its route allows no retry after its last outcome
	backoffUntil time.Duration // no attempt may be sent before
}

// event is a step of the simulation.
type event struct {
	at  time.Duration
	seq int // orders events of the same time
	do  func()
}

// eventQueue is a heap.Interface, with the next event first.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after schedules an event.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + max(d, 0), w.seq, do})
}

// cellOf returns the cell of an endpoint.
func cellOf(e balancer.EndpointID) int { return int(e) / 3 }

// Send audits an attempt, and draws its outcome.
func (w *world) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	call := w.open[id]
	w.auditSend(id, call, to)
	call.attempts++
	if call.attempts > w.maxAttempts {
		w.t.Fatalf("%s is sent %d times, the site allows %d", id, call.attempts, w.maxAttempts)
	}
	if call.route != nil {
		w.auditRoute(id, call, timeout)
	}
	call.inFlight = true
	call.retryTaken = false
	number := call.attempts - 1
	elapsed, status := w.drawOutcome()
	left := call.deadline - w.now
	if timeout > 0 {
		left = min(left, timeout)
	}
	if status == balancer.StatusTimeout || elapsed >= left {
		elapsed = left
		status = balancer.StatusTimeout
	}
	w.after(elapsed, func() { w.attemptEnded(id, call, to, number, elapsed, status) })
}

// auditSend checks that the class, the outcomes before and the deadline allow an attempt.
func (w *world) auditSend(id balancer.RequestID, c *call, to balancer.EndpointID) {
	w.t.Helper()
	switch {
	case c == nil || c.final || c.inFlight:
		w.t.Fatalf("%s is sent after its end, or twice at once", id)
	case c.mayRun && c.class.Idempotency == balancer.NonIdempotent:
		w.t.Fatalf("%s is not idempotent, may have run, and is sent again", id)
	case c.mayRun && c.class.Idempotency == balancer.IdempotentWithKey && cellOf(to) != c.cell:
		w.t.Fatalf("%s may have run in cell %d and goes to %d", id, c.cell, cellOf(to))
	case c.exhausted || w.now < c.backoffUntil:
		w.t.Fatalf("%s is sent after an outcome that allows no retry (%v), or within its backoff", id, c.exhausted)
	case w.now >= c.deadline:
		w.t.Fatalf("%s is sent after its deadline", id)
	}
}

// auditRoute checks that the route of a request allows an attempt.
func (w *world) auditRoute(id balancer.RequestID, c *call, timeout time.Duration) {
	w.t.Helper()
	route := c.route
	settings := route.Settings
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
	route.retries++
	budget := float64(settings.RetryReserve) + settings.RetryShare*float64(route.answered)
	if settings.RetryShare >= 0 && float64(route.retries) > budget+1e-6 {
		w.t.Fatalf("route %s: %d retries after %d answers", route.Name, route.retries, route.answered)
	}
}

// drawOutcome draws the duration and the status of an attempt.
func (w *world) drawOutcome() (elapsed time.Duration, status balancer.Status) {
	elapsed = time.Duration(w.rng.ExpFloat64() * float64(60*ms))
	if w.rng.IntN(3) != 0 {
		return elapsed, balancer.StatusOK
	}
	faults := []balancer.Status{
		balancer.StatusError, balancer.StatusRejected, balancer.StatusConnectFailed,
		balancer.StatusReset, balancer.StatusInvalidResponse, balancer.StatusTimeout,
	}
	return elapsed, faults[w.rng.IntN(len(faults))]
}

// attemptEnded reports the outcome of an attempt to the Balancer, as the sidecar's loop does.
func (w *world) attemptEnded(
	id balancer.RequestID, call *call, to balancer.EndpointID, number int, elapsed time.Duration, status balancer.Status,
) {
	call.inFlight = false
	if !status.NeverRan() && !call.mayRun {
		call.mayRun = true
		call.cell = cellOf(to)
	}
	noRetry, backoff := false, time.Duration(0)
	if call.route != nil && !call.final && status != balancer.StatusOK {
		if allowed := call.route.Settings.AllowsRetry(status); allowed {
			call.retryTaken = call.retryTaken || call.route.TakeRetry()
		} else {
			call.exhausted = true
		}
		noRetry = !call.retryTaken
		backoff = call.route.Settings.Backoff(call.attempts, w.rng.Float64())
		call.backoffUntil = w.now + backoff
	}
	final := call.final
	if status == balancer.StatusOK && !call.final {
		if final = true; call.route != nil {
			call.route.Answered()
			call.route.answered++
		}
		w.finish(id, call)
	}
	w.b.HandleOutcome(w.now, balancer.Outcome{
		ID:       id,
		Endpoint: to,
		Attempt:  number,
		Final:    final,
		Elapsed:  elapsed,
		Status:   status,
		NoRetry:  noRetry,
		Backoff:  backoff,
	})
	w.forget(id, call)
}

// finish records the final answer of a request, and checks that it is the only one and in time.
func (w *world) finish(id balancer.RequestID, c *call) {
	if c.final {
		w.t.Fatalf("%s has two final answers", id)
	}
	c.final = true
	if w.now > c.deadline+10*ms {
		w.t.Fatalf("%s ends %v after its deadline", id, w.now-c.deadline)
	}
}

// forget deletes a request that has its final answer and no attempt in flight.
func (w *world) forget(id balancer.RequestID, c *call) {
	if !c.final || c.inFlight || w.open[id] != c {
		return
	}
	delete(w.open, id)
	if c.retryTaken {
		c.route.ReturnRetry()
	}
	if c.route != nil {
		c.route.Done()
		c.route.open--
	}
}

// Reject checks that a request that is rejected has not run.
func (w *world) Reject(id balancer.RequestID, _ time.Duration) {
	c := w.open[id]
	if c.mayRun && c.class.Idempotency != balancer.Idempotent {
		w.t.Fatalf("%s may have run and is rejected", id)
	}
	w.finish(id, c)
	w.forget(id, c)
}

// Fail records that a request has failed.
func (w *world) Fail(id balancer.RequestID) {
	w.finish(id, w.open[id])
	w.forget(id, w.open[id])
}

// Cancel does nothing: the outcome of an attempt that is cancelled follows as drawn.
func (w *world) Cancel(balancer.RequestID, int) {}

// SetTimer schedules a call of the Balancer.
func (w *world) SetTimer(token uint64, d time.Duration) {
	w.after(d, func() { w.b.HandleTimer(w.now, token) })
}

// The other methods of a Host do nothing.

func (w *world) HealthCheck(balancer.EndpointID)          {}
func (w *world) SendToPeer(int, []byte)                   {}
func (w *world) WatchEndpoints(bool)                      {}
func (w *world) FetchEndpoints()                          {}
func (w *world) CloseIdleConnections(balancer.EndpointID) {}
func (w *world) Log(string)                               {}

// arrive finds the route of a random request and, if that admits it, passes the request to the Balancer, as the sidecar does.
func (w *world) arrive(id balancer.RequestID, table *route.Table) {
	class := w.rng.IntN(len(w.classes))
	call := &call{class: &w.classes[class]}
	method := "POST"
	if call.class.Idempotency == balancer.Idempotent {
		method = "GET"
	}
	path := []string{"/a", "/a/b", "/c/d/e", "/"}[w.rng.IntN(4)]
	matched, ok := table.Find(&route.Request{Host: "a.org", Path: path, Method: method, Class: call.class.Name})
	if !ok {
		w.t.Fatal("an unambiguous path is not routed")
	}
	left := time.Duration(1+w.rng.IntN(3000)) * ms
	request := balancer.Request{ID: id, Class: class, TimeLeft: min(left, call.class.Deadline)}
	if matched != nil {
		counted := w.routes[matched.Name]
		if counted == nil {
			counted = &countedRoute{Route: matched}
			w.routes[matched.Name] = counted
		}
		full := matched.Settings.MaxOpen > 0 && counted.open >= matched.Settings.MaxOpen
		if admitted := matched.Admit(); admitted == (full || !matched.Settings.Serve) {
			w.t.Fatalf("route %s: %d open, admitted %v", matched.Name, counted.open, admitted)
		} else if !admitted {
			return
		}
		counted.open++
		call.route = counted
		request.MaxAttempts = matched.Settings.MaxAttempts
		request.AttemptTimeout = matched.Settings.AttemptTimeout
		request.ValueFactor = matched.Settings.Value
		if matched.Settings.Timeout > 0 {
			request.TimeLeft = min(request.TimeLeft, matched.Settings.Timeout)
		}
	}
	call.deadline = w.now + request.TimeLeft
	w.open[id] = call
	w.b.HandleRequest(w.now, request)
}

// randomRules draws the routes of a file, which may have faults.
func randomRules(rng *rand.Rand) string {
	var text strings.Builder
	pick := func(some ...string) string { return some[rng.IntN(len(some))] }
	for i := range 1 + rng.IntN(4) {
		fmt.Fprintf(&text, "[route.r%d]\n", i)
		text.WriteString(pick(
			"", "match_path = \"/a\"\n", "match_path = \"/a/{x}\"\n", "match_path = \"/{rest...}\"\n", "match_path = \"/c/{rest...}\"\n",
		))
		text.WriteString(pick(
			"", "", "match_classes = \"find\"\n", "match_classes = \"book\"\n", "match_classes = \"pay\"\n",
			"match_classes = \"book, find\"\n",
		))
		if rng.IntN(8) == 0 {
			text.WriteString("serve = false\n")
			continue
		}
		text.WriteString(pick("", fmt.Sprintf("whole_time = \"%dms\"\n", 20+rng.IntN(3500))))
		text.WriteString(pick("", fmt.Sprintf("attempt_time = \"%dms\"\n", 10+rng.IntN(400))))
		text.WriteString(pick("", fmt.Sprintf("route_attempts = %d\n", 1+rng.IntN(6))))
		text.WriteString(pick("", "", "retry_on = \"turned-away, late\"\n", "retry_on = \"failed, broken\"\n"))
		text.WriteString(pick("", fmt.Sprintf("retry_pause = \"%dms\"\n", 10+rng.IntN(200))))
		text.WriteString(pick("", fmt.Sprintf("route_worth = %.2f\n", 0.1+5*rng.Float64())))
		text.WriteString(pick("", fmt.Sprintf("most_open = %d\n", 1+rng.IntN(6))))
		text.WriteString(pick("", fmt.Sprintf("retry_share = %.2f\nretry_reserve = %d\n", rng.Float64(), rng.IntN(4))))
	}
	return text.String()
}

// newWorld returns a world with the classes of a file and 12 endpoints.
func newWorld(t *testing.T, f *schema.File, rng *rand.Rand, seed uint64) *world {
	t.Helper()
	world := &world{
		t: t, rng: rng, now: time.Second, maxAttempts: 1 + rng.IntN(5),
		open: map[balancer.RequestID]*call{}, routes: map[string]*countedRoute{},
	}
	for _, c := range appfile.ClassTable.All(f) {
		world.classes = append(world.classes, balancer.Class{
			Name: c.Name, LatencyTarget: c.Value.LatencyTarget, Deadline: c.Value.Deadline, Value: 1,
			Idempotency: c.Value.Idempotency, KeyScope: c.Value.KeyScope, KeyWindow: c.Value.KeyWindow,
		})
	}
	settings := balancer.Settings{
		Instances: 1, Quantum: 2 * ms, Classes: world.classes, MayCancel: rng.IntN(2) == 0, MaxAttempts: world.maxAttempts,
		ConnectTimeout: 100 * ms, MaxRetryAfter: 2 * time.Second, PropagatesDeadline: true,
	}
	var err error
	if world.b, err = balancer.New(settings, seed, world); err != nil {
		t.Fatal(err)
	}
	l := balancer.EndpointList{Kind: balancer.ListFull, Version: 1}
	for e := balancer.EndpointID(1); e <= 12; e++ {
		l.Entries = append(l.Entries, balancer.ListEntry{Endpoint: e, Cell: cellOf(e), Weight: 1})
	}
	world.b.HandleEndpoints(world.now, l)
	return world
}

// play sends 300 requests, and runs until there are no more events.
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
		x := heap.Pop(&w.events).(event)
		w.now = x.at
		x.do()
		if steps > 200_000 {
			w.t.Fatalf("seed %d: there is no end of events at %v", seed, w.now)
		}
	}
}

// audit checks that each request has a final answer, and that no route counts a request as open. It returns how many answers and
// retries there were on routes.
func (w *world) audit(seed uint64) (answered, retries int) {
	w.t.Helper()
	for id, c := range w.open {
		w.t.Fatalf("seed %d: %s has no final answer: %+v", seed, id, c)
	}
	for name, x := range w.routes {
		if x.State.Open != 0 || x.open != 0 {
			w.t.Fatalf("seed %d: route %s: %d are still open", seed, name, x.State.Open)
		}
		answered += x.answered
		retries += x.retries
	}
	return answered, retries
}

// With a file that has no faults no rule is broken, whatever the outcomes at endpoints: each request has one final answer in time, none
// that may have run is retried unless its class allows it, or rejected, and the bounds of its route hold exactly.
func TestAcceptedFilesBreakNoRule(t *testing.T) {
	played, answered, retries := 0, 0, 0
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
		retries += r
	}
	t.Logf("%d files, %d answers, %d further attempts", played, answered, retries)
	if answered < 5000 || retries < 500 {
		t.Errorf("%d answers, %d further attempts: too few to tell", answered, retries)
	}
}
