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

// simulation passes requests through routes and a Balancer to endpoints with random outcomes, as the sidecar's event loop does, and checks
// each attempt and each answer. It is the Balancer's Host.
type simulation struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Duration
	events      eventQueue
	seq         int
	balancer    *balancer.Balancer
	maxAttempts int // maximum number of attempts that the site allows
	classes     []balancer.Class
	open        map[balancer.RequestID]*pendingRequest
	routes      map[string]*countedRoute
}

// countedRoute is a route with separate counts, against which the state of the route is checked.
type countedRoute struct {
	*route.Route
	open, retries, answered int // number of open requests, of retries that were sent, and of requests that were answered
}

// pendingRequest is a request that has no final answer, or has an attempt in flight.
type pendingRequest struct {
	class        *balancer.Class
	route        *countedRoute
	deadline     time.Duration
	attempts     int           // attempts that were sent
	inFlight     bool          // whether the last attempt has no outcome yet
	mayRun       bool          // whether an endpoint may have executed the request
	cell         int           // cell of the first endpoint at which the request may have run
	final        bool          // whether the request has its final answer
	retryTaken   bool          // whether a retry was taken out of the route's budget and has not been sent
	exhausted    bool          // whether the route allows no retry after the last outcome
	backoffUntil time.Duration // time before which no attempt may be sent
}

// event is a function that the simulation calls at a time.
type event struct {
	at  time.Duration
	seq int // order among events of the same time
	do  func()
}

// eventQueue implements heap.Interface. The next event is the first.
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

// schedule schedules a call of do after a delay.
func (s *simulation) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + max(d, 0), s.seq, do})
}

// cellOf returns the cell of an endpoint. Each cell has three consecutive endpoint IDs.
func cellOf(e balancer.EndpointID) int { return int(e) / 3 }

// Send checks an attempt, and draws its outcome.
func (s *simulation) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	pending := s.open[id]
	s.auditSend(id, pending, to)
	pending.attempts++
	if pending.attempts > s.maxAttempts {
		s.t.Fatalf("%s is sent %d times, want at most the %d that the site allows", id, pending.attempts, s.maxAttempts)
	}
	if pending.route != nil {
		s.auditRoute(id, pending, timeout)
	}
	pending.inFlight = true
	pending.retryTaken = false
	number := pending.attempts - 1
	elapsed, status := s.drawOutcome()
	left := pending.deadline - s.now
	if timeout > 0 {
		left = min(left, timeout)
	}
	if status == balancer.StatusTimeout || elapsed >= left {
		elapsed = left
		status = balancer.StatusTimeout
	}
	s.schedule(elapsed, func() { s.attemptEnded(id, pending, to, number, elapsed, status) })
}

// auditSend checks that an attempt is allowed by the class, the outcomes of earlier attempts and the deadline.
func (s *simulation) auditSend(id balancer.RequestID, pending *pendingRequest, to balancer.EndpointID) {
	s.t.Helper()
	switch {
	case pending == nil || pending.final || pending.inFlight:
		s.t.Fatalf("%s is sent after its final answer, or has two attempts in flight", id)
	case pending.mayRun && pending.class.Idempotency == balancer.NonIdempotent:
		s.t.Fatalf("%s is not idempotent, may have run, and is sent again", id)
	case pending.mayRun && pending.class.Idempotency == balancer.IdempotentWithKey && cellOf(to) != pending.cell:
		s.t.Fatalf("%s may have run in cell %d and is sent to cell %d", id, pending.cell, cellOf(to))
	case pending.exhausted || s.now < pending.backoffUntil:
		s.t.Fatalf("%s is sent after an outcome without a retry (%v), or at %v within its backoff until %v", id, pending.exhausted, s.now,
			pending.backoffUntil)
	case s.now >= pending.deadline:
		s.t.Fatalf("%s is sent after its deadline", id)
	}
}

// auditRoute checks that the route of a request allows an attempt, and counts retries.
func (s *simulation) auditRoute(id balancer.RequestID, pending *pendingRequest, timeout time.Duration) {
	s.t.Helper()
	route := pending.route
	settings := route.Settings
	if settings.MaxAttempts > 0 && pending.attempts > settings.MaxAttempts {
		s.t.Fatalf("%s is sent %d times, want at most the %d that its route allows", id, pending.attempts, settings.MaxAttempts)
	}
	limit := settings.AttemptTimeout
	if limit > 0 && (timeout <= 0 && pending.deadline-s.now > limit || timeout > limit) {
		s.t.Fatalf("%s: an attempt has timeout %v (0 for none), want at most the %v that its route allows", id, timeout, limit)
	}
	if pending.attempts == 1 {
		return
	}
	route.retries++
	budget := float64(settings.RetryReserve) + settings.RetryShare*float64(route.answered)
	if settings.RetryShare >= 0 && float64(route.retries) > budget+1e-6 {
		s.t.Fatalf("route %s: %d retries after %d answers, want at most %v", route.Name, route.retries, route.answered, budget)
	}
}

// drawOutcome draws the duration and the status of an attempt.
func (s *simulation) drawOutcome() (elapsed time.Duration, status balancer.Status) {
	elapsed = time.Duration(s.rng.ExpFloat64() * float64(60*ms))
	if s.rng.IntN(3) != 0 {
		return elapsed, balancer.StatusOK
	}
	faults := []balancer.Status{
		balancer.StatusError, balancer.StatusRejected, balancer.StatusConnectFailed,
		balancer.StatusReset, balancer.StatusInvalidResponse, balancer.StatusTimeout,
	}
	return elapsed, faults[s.rng.IntN(len(faults))]
}

// attemptEnded reports the outcome of an attempt to the Balancer, as the sidecar's event loop does.
func (s *simulation) attemptEnded(
	id balancer.RequestID, pending *pendingRequest, to balancer.EndpointID, number int, elapsed time.Duration, status balancer.Status,
) {
	pending.inFlight = false
	if !status.NeverRan() && !pending.mayRun {
		pending.mayRun = true
		pending.cell = cellOf(to)
	}
	noRetry, backoff := false, time.Duration(0)
	if pending.route != nil && !pending.final && status != balancer.StatusOK {
		if allowed := pending.route.Settings.AllowsRetry(status); allowed {
			pending.retryTaken = pending.retryTaken || pending.route.TakeRetry()
		} else {
			pending.exhausted = true
		}
		noRetry = !pending.retryTaken
		backoff = pending.route.Settings.Backoff(pending.attempts, s.rng.Float64())
		pending.backoffUntil = s.now + backoff
	}
	final := pending.final
	if status == balancer.StatusOK && !pending.final {
		if final = true; pending.route != nil {
			pending.route.Answered()
			pending.route.answered++
		}
		s.finish(id, pending)
	}
	s.balancer.HandleOutcome(s.now, balancer.Outcome{
		ID:       id,
		Endpoint: to,
		Attempt:  number,
		Final:    final,
		Elapsed:  elapsed,
		Status:   status,
		NoRetry:  noRetry,
		Backoff:  backoff,
	})
	s.removeIfDone(id, pending)
}

// finish records the final answer of a request, and checks that it is the only one and at most 10 ms after the deadline.
func (s *simulation) finish(id balancer.RequestID, pending *pendingRequest) {
	if pending.final {
		s.t.Fatalf("%s has two final answers", id)
	}
	pending.final = true
	if s.now > pending.deadline+10*ms {
		s.t.Fatalf("%s ends %v after its deadline", id, s.now-pending.deadline)
	}
}

// removeIfDone removes a request that has its final answer and no attempt in flight.
func (s *simulation) removeIfDone(id balancer.RequestID, pending *pendingRequest) {
	if !pending.final || pending.inFlight || s.open[id] != pending {
		return
	}
	delete(s.open, id)
	if pending.retryTaken {
		pending.route.ReturnRetry()
	}
	if pending.route != nil {
		pending.route.Done()
		pending.route.open--
	}
}

// Reject checks that a rejected request cannot have run unless it is idempotent, and records its final answer.
func (s *simulation) Reject(id balancer.RequestID, _ time.Duration) {
	pending := s.open[id]
	if pending.mayRun && pending.class.Idempotency != balancer.Idempotent {
		s.t.Fatalf("%s is not idempotent, may have run, and is rejected", id)
	}
	s.finish(id, pending)
	s.removeIfDone(id, pending)
}

// Fail records a failure as the final answer of a request.
func (s *simulation) Fail(id balancer.RequestID) {
	s.finish(id, s.open[id])
	s.removeIfDone(id, s.open[id])
}

// Cancel does nothing: the outcome that was drawn for a cancelled attempt still occurs.
func (s *simulation) Cancel(balancer.RequestID, int) {}

// SetTimer schedules a call of the Balancer's HandleTimer.
func (s *simulation) SetTimer(token uint64, d time.Duration) {
	s.schedule(d, func() { s.balancer.HandleTimer(s.now, token) })
}

// The other methods of a Host do nothing.

func (s *simulation) HealthCheck(balancer.EndpointID)          {}
func (s *simulation) SendToPeer(int, []byte)                   {}
func (s *simulation) WatchEndpoints(bool)                      {}
func (s *simulation) FetchEndpoints()                          {}
func (s *simulation) CloseIdleConnections(balancer.EndpointID) {}
func (s *simulation) Log(string)                               {}

// arrive draws a request and finds its route. If there is none or the route admits the request, it passes the request to the Balancer, as
// the sidecar does.
func (s *simulation) arrive(id balancer.RequestID, table *route.Table) {
	class := s.rng.IntN(len(s.classes))
	pending := &pendingRequest{class: &s.classes[class]}
	method := "POST"
	if pending.class.Idempotency == balancer.Idempotent {
		method = "GET"
	}
	path := []string{"/a", "/a/b", "/c/d/e", "/"}[s.rng.IntN(4)]
	matched, ok := table.Find(&route.Request{Host: "a.org", Path: path, Method: method, Class: pending.class.Name})
	if !ok {
		s.t.Fatalf("a request with the unambiguous path %q is not routed", path)
	}
	left := time.Duration(1+s.rng.IntN(3000)) * ms
	request := balancer.Request{ID: id, Class: class, TimeLeft: min(left, pending.class.Deadline)}
	if matched != nil {
		counted := s.routes[matched.Name]
		if counted == nil {
			counted = &countedRoute{Route: matched}
			s.routes[matched.Name] = counted
		}
		full := matched.Settings.MaxOpen > 0 && counted.open >= matched.Settings.MaxOpen
		if admitted := matched.Admit(); admitted == (full || !matched.Settings.Serve) {
			s.t.Fatalf("route %s with %d open requests, MaxOpen %d and Serve %v: got admitted %v", matched.Name, counted.open,
				matched.Settings.MaxOpen, matched.Settings.Serve, admitted)
		} else if !admitted {
			return
		}
		counted.open++
		pending.route = counted
		request.MaxAttempts = matched.Settings.MaxAttempts
		request.AttemptTimeout = matched.Settings.AttemptTimeout
		request.ValueFactor = matched.Settings.Value
		if matched.Settings.Timeout > 0 {
			request.TimeLeft = min(request.TimeLeft, matched.Settings.Timeout)
		}
	}
	pending.deadline = s.now + request.TimeLeft
	s.open[id] = pending
	s.balancer.HandleRequest(s.now, request)
}

// randomRules draws the routes of a file. They may be invalid.
func randomRules(rng *rand.Rand) string {
	var text strings.Builder
	pick := func(options ...string) string { return options[rng.IntN(len(options))] }
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

// newSimulation returns a simulation with the classes of a file and 12 endpoints.
func newSimulation(t *testing.T, file *schema.File, rng *rand.Rand, seed uint64) *simulation {
	t.Helper()
	sim := &simulation{
		t: t, rng: rng, now: time.Second, maxAttempts: 1 + rng.IntN(5),
		open: map[balancer.RequestID]*pendingRequest{}, routes: map[string]*countedRoute{},
	}
	for _, c := range appfile.ClassTable.All(file) {
		sim.classes = append(sim.classes, balancer.Class{
			Name: c.Name, LatencyTarget: c.Value.LatencyTarget, Deadline: c.Value.Deadline, Value: 1,
			Idempotency: c.Value.Idempotency, KeyScope: c.Value.KeyScope, KeyWindow: c.Value.KeyWindow,
		})
	}
	settings := balancer.Settings{
		Instances: 1, Quantum: 2 * ms, Classes: sim.classes, MayCancel: rng.IntN(2) == 0, MaxAttempts: sim.maxAttempts,
		ConnectTimeout: 100 * ms, MaxRetryAfter: 2 * time.Second, PropagatesDeadline: true,
	}
	var err error
	if sim.balancer, err = balancer.New(settings, seed, sim); err != nil {
		t.Fatal(err)
	}
	list := balancer.EndpointList{Kind: balancer.ListFull, Version: 1}
	for e := balancer.EndpointID(1); e <= 12; e++ {
		list.Entries = append(list.Entries, balancer.ListEntry{Endpoint: e, Cell: cellOf(e), Weight: 1})
	}
	sim.balancer.HandleEndpoints(sim.now, list)
	return sim
}

// run sends 300 requests, and runs until there are no more events, for at most a minute of simulated time.
func (s *simulation) run(table *route.Table, seed uint64) {
	s.t.Helper()
	sent := 0
	var next func()
	next = func() {
		sent++
		if sent > 300 {
			return
		}
		s.arrive(balancer.RequestID(fmt.Sprint("r", sent)), table)
		s.schedule(time.Duration(s.rng.ExpFloat64()*float64(15*ms)), next)
	}
	s.schedule(0, next)
	for steps := 0; len(s.events) > 0 && s.now < time.Minute; steps++ {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		if steps > 200_000 {
			s.t.Fatalf("seed %d: events are still scheduled at %v after %d steps", seed, s.now, steps)
		}
	}
}

// audit checks that each request has a final answer, and that no route counts a request as open. It returns how many answers and retries
// the routes had.
func (s *simulation) audit(seed uint64) (answered, retries int) {
	s.t.Helper()
	for id, pending := range s.open {
		s.t.Fatalf("seed %d: %s has no final answer: %+v", seed, id, pending)
	}
	for name, counted := range s.routes {
		if counted.State.Open != 0 || counted.open != 0 {
			s.t.Fatalf("seed %d: route %s: got %d open requests by its state and %d by the simulation, want 0", seed, name, counted.State.Open,
				counted.open)
		}
		answered += counted.answered
		retries += counted.retries
	}
	return answered, retries
}

// With a valid file the following holds whatever the outcomes at endpoints: each request gets exactly one final answer, and in time. A
// request that may have run is neither rejected nor retried unless its class allows that. The limits of its route are never exceeded.
func TestAcceptedFilesBreakNoRule(t *testing.T) {
	files, answered, retries := 0, 0, 0
	for seed := uint64(0); files < 150; seed++ {
		rng := rand.New(rand.NewPCG(seed, 3))
		file, fault := decodeFile(baseSettings + randomRules(rng))
		if fault != "" {
			continue
		}
		files++
		sim := newSimulation(t, file, rng, seed)
		sim.run(route.Compile(file), seed)
		a, r := sim.audit(seed)
		answered += a
		retries += r
	}
	t.Logf("%d files, %d answers, %d retries", files, answered, retries)
	if answered < 5000 || retries < 500 {
		t.Errorf("got %d answers and %d retries on routes, want at least 5000 and 500", answered, retries)
	}
}
