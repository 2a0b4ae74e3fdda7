package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/dataplane/outcome"
)

// The steps of a run of TestAllOrders.
const (
	heartbeat = iota
	drain
	terminate
	replace // a new endpoint at the same address
	submitForFirst
	submitForSecond
	finishOne
	cancelLast
	passTime // advances the clock beyond the grace period of draining
	stepCount
)

// submitted is a request that was submitted, and its outcome.
type submitted struct {
	endpoint           string // ID of the endpoint that was chosen for the request
	admitted, rejected bool
}

// orderRun is one run of a controller through a sequence of steps, with its decisions so far.
type orderRun struct {
	*testing.T
	steps      []int
	controller *Controller
	now        time.Duration
	drainBegan time.Duration // time at which the endpoint began to drain; 0 if it has not
	lastToken  uint64
	submitted  map[uint64]*submitted // submitted requests by token
	running    map[uint64]bool
}

// apply carries out decisions, and checks each of them.
func (r *orderRun) apply(decisions []Decision) {
	for _, d := range decisions {
		if d.Kind == outcome.None {
			r.admit(d.Token)
		} else {
			r.reject(d)
		}
	}
}

func (r *orderRun) reject(d Decision) {
	request := r.submitted[d.Token]
	if request.admitted || request.rejected {
		r.Fatalf("steps %v: request %d is rejected, but already has an outcome", r.steps, d.Token)
	}
	if !d.Kind.NotExecuted() {
		r.Fatalf("steps %v: request is rejected as %s, want a kind that rules out execution", r.steps, d.Kind)
	}
	request.rejected = true
}

func (r *orderRun) admit(token uint64) {
	request, endpoint, state := r.submitted[token], r.controller.Endpoint().ID, r.controller.State()
	if request.admitted || request.rejected || request.endpoint != endpoint {
		r.Fatalf("steps %v: request %d is admitted to endpoint %q, want a pending request to this endpoint; got %+v",
			r.steps, token, endpoint, *request)
	}
	if state == Terminated || state == Unknown || r.drainBegan != 0 && r.now-r.drainBegan > drainGrace {
		r.Fatalf("steps %v: request is admitted in state %d, %v after the drain began; want Serving or a drain within its grace period",
			r.steps, state, r.now-r.drainBegan)
	}
	request.admitted = true
	r.running[token] = true
	if len(r.running) > 1 {
		r.Fatalf("steps %v: %d requests run at once, want 1 at most in the only slot", r.steps, len(r.running))
	}
}

func (r *orderRun) update(id string, state State) {
	if id != r.controller.Endpoint().ID {
		r.running = map[uint64]bool{}
		r.drainBegan = 0
	}
	if state == Draining && r.controller.State() < Draining {
		r.drainBegan = r.now
	}
	r.apply(r.controller.UpdateEndpoint(r.now, Endpoint{ID: id, Service: "s", Slots: 1}, state))
}

func (r *orderRun) submit(endpoint string) {
	r.lastToken++
	r.submitted[r.lastToken] = &submitted{endpoint: endpoint}
	r.apply(r.controller.Submit(r.now, Request{
		Token: r.lastToken, EndpointID: endpoint,
		TargetDeadline: r.now + time.Second, Deadline: r.now + 3*time.Second,
	}))
}

// finish ends the running request, if there is one.
func (r *orderRun) finish() {
	for token := range r.running {
		delete(r.running, token)
		r.apply(r.controller.Done(r.now, token))
		return
	}
}

func (r *orderRun) step(step int) {
	switch step {
	case heartbeat:
		r.update("one", Serving)
	case drain:
		r.update("one", Draining)
	case terminate:
		r.update("one", Terminated)
	case replace:
		r.update("two", Serving)
	case submitForFirst:
		r.submit("one")
	case submitForSecond:
		r.submit("two")
	case finishOne:
		r.finish()
	case cancelLast:
		if r.lastToken > 0 && r.controller.Cancel(r.lastToken) {
			r.submitted[r.lastToken].rejected = true
		}
	case passTime:
		r.now += drainGrace + time.Millisecond
		r.apply(r.controller.Expire(r.now))
	}
}

// end ends the running requests, lets the others expire, and checks that every request was admitted or rejected.
func (r *orderRun) end() {
	r.now += time.Minute
	for token := range r.running {
		r.apply(r.controller.Done(r.now, token))
	}
	r.apply(r.controller.Expire(r.now))
	for token, request := range r.submitted {
		if !request.admitted && !request.rejected {
			r.Fatalf("steps %v: request %d has no outcome, want it admitted or rejected", r.steps, token)
		}
	}
}

// Plays all sequences of six steps: heartbeat, drain, termination, a new endpoint at the same address, requests for either endpoint, their
// ends, cancellations and the passing of time. No request may be admitted without a free slot, to another endpoint than the chosen one,
// after the grace period of draining or after being cancelled. Every request must be admitted or rejected, exactly once.
func TestAllOrders(t *testing.T) {
	const depth = 6
	var playAll func(steps []int)
	playAll = func(steps []int) {
		if len(steps) < depth {
			for next := range stepCount {
				playAll(append(steps, next))
			}
			return
		}
		run := &orderRun{T: t, steps: steps, controller: New(), submitted: map[uint64]*submitted{}, running: map[uint64]bool{}}
		for _, step := range steps {
			run.step(step)
		}
		run.end()
	}
	playAll(nil)
}

// newServingController returns a controller whose endpoint "one" of service "s" is serving.
func newServingController(slots int) *Controller {
	controller := New()
	controller.UpdateEndpoint(0, Endpoint{ID: "one", Service: "s", Slots: slots}, Serving)
	return controller
}

func TestNestedCallsGoFirstThenPriority(t *testing.T) {
	c := qt.New(t)
	controller := newServingController(1)
	submit := func(r Request) []Decision {
		r.TargetDeadline = 5 * time.Second
		r.Deadline = 5 * time.Second
		return controller.Submit(0, r)
	}
	c.Assert(submit(Request{Token: 1, Priority: 2}), qt.DeepEquals, []Decision{{1, outcome.None}})
	for _, r := range []Request{
		{Token: 2, Priority: 2},
		{Token: 3, Priority: 1},
		{Token: 4, Priority: 9, Nested: true},
		{Token: 5, Priority: 1},
	} {
		c.Assert(submit(r), qt.HasLen, 0)
	}
	var order []uint64
	for last := uint64(1); ; {
		decisions := controller.Done(time.Millisecond, last)
		if len(decisions) == 0 {
			break
		}
		last = decisions[0].Token
		order = append(order, last)
	}
	c.Assert(order, qt.DeepEquals, []uint64{4, 3, 5, 2})
}

func TestRequestsThatCannotBeServedInTimeAreRejectedAtOnce(t *testing.T) {
	c := qt.New(t)
	controller := newServingController(2)
	rejected := 0
	for token := range uint64(100) {
		for _, d := range controller.Submit(0, Request{Token: token, TargetDeadline: 300 * time.Millisecond, Deadline: 2 * time.Second}) {
			if d.Kind == outcome.AtCapacity {
				rejected++
			}
		}
	}
	_, waiting := controller.Load()
	c.Assert(rejected, qt.Equals, 98-waiting)
	c.Assert(time.Duration(waiting)*controller.ServiceTime()/2 < 200*time.Millisecond, qt.IsTrue)
}

// An endpoint that a sidecar first sees as draining began to drain at an unknown time before the sidecar started: no request is admitted.
func TestEndpointFirstSeenAsDraining(t *testing.T) {
	c := qt.New(t)
	controller := New()
	controller.UpdateEndpoint(time.Hour, Endpoint{ID: "one", Service: "s", Slots: 4}, Draining)
	decisions := controller.Submit(time.Hour, Request{
		Token: 1, EndpointID: "one", Service: "s",
		TargetDeadline: 2 * time.Hour, Deadline: 2 * time.Hour,
	})
	c.Assert(decisions, qt.DeepEquals, []Decision{{Token: 1, Kind: outcome.Draining}})
}

// The only slot is occupied by a long execution. A request with a short latency target is rejected, as its answer would be late; a nested
// call may wait until its deadline.
func TestNestedRequestsWaitUntilTheirDeadline(t *testing.T) {
	c := qt.New(t)
	controller := newServingController(1)
	for token := range uint64(200) {
		controller.Submit(0, Request{Token: token, TargetDeadline: time.Hour, Deadline: time.Hour})
		controller.Done(210*time.Millisecond, token)
	}
	controller.Submit(0, Request{Token: 1000, TargetDeadline: time.Hour, Deadline: time.Hour})
	short := Request{Token: 1001, Priority: 1, TargetDeadline: 150 * time.Millisecond, Deadline: time.Second}
	c.Assert(controller.Submit(0, short), qt.DeepEquals, []Decision{{Token: 1001, Kind: outcome.AtCapacity}})
	short.Token = 1002
	short.Nested = true
	c.Assert(controller.Submit(0, short), qt.HasLen, 0)
	c.Assert(controller.Done(100*time.Millisecond, 1000), qt.DeepEquals, []Decision{{Token: 1002}})
}
