package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// rulesRequest is the state of a request, as tracked by rules.
type rulesRequest struct {
	class    int
	inFlight int // number of attempts in flight
	answers  int // number of final answers
	deadline time.Duration
	ran      *attempt // first attempt that may have run; nil for none
	ranAt    time.Duration
}

// rules delivers random valid events to a Balancer, and checks each action against the rules for one instance.
type rules struct {
	*fixture
	seed     uint64
	rng      *rand.Rand
	scope    KeyScope      // scope of the idempotency keys of class book
	window   time.Duration // window of the idempotency keys of class book
	requests map[RequestID]*rulesRequest
	notReady map[EndpointID]bool // endpoints that are draining or removed according to the Balancer's list
	sentAt   map[attempt]time.Duration
	inFlight []attempt

	// Numbers of recorded actions that have been checked.
	checkedSends, checkedFails, checkedRejections int
}

func newRules(t *testing.T, seed uint64) *rules {
	t.Helper()
	config := settings()
	config.MayCancel, config.HedgedRequests = seed%2 == 0, seed%3 == 0
	config.Classes[book].KeyScope = []KeyScope{KeyScopeCell, KeyScopeZone, KeyScopeAll}[seed%3]
	fixture := start(t, config, 8)
	if seed >= 30 {
		fixture.balancer.scanLimit = 0 // endpoints are always drawn from the pools
	}
	return &rules{
		fixture:  fixture,
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		scope:    config.Classes[book].KeyScope,
		window:   config.Classes[book].KeyWindow,
		requests: map[RequestID]*rulesRequest{},
		notReady: map[EndpointID]bool{},
		sentAt:   map[attempt]time.Duration{},
	}
}

// randomEvent delivers a random event, or none.
func (r *rules) randomEvent() {
	switch r.rng.IntN(6) {
	case 0, 1:
		r.randomRequest()
	case 2, 3:
		if len(r.inFlight) > 0 {
			r.randomOutcome()
		}
	case 4:
		id := EndpointID(1 + r.rng.IntN(8))
		state := EndpointState(r.rng.IntN(3))
		r.notReady[id] = state != EndpointReady
		r.updateEndpoint(ListEntry{Endpoint: id, Cell: int(id-1) / 2, State: state, StartedAt: time.Duration(r.rng.IntN(2)) * r.now})
	}
}

// randomRequest delivers a request of a random class with a random remaining time.
func (r *rules) randomRequest() {
	id, class := r.nextID(), r.rng.IntN(3)
	timeLeft := time.Duration(1+r.rng.IntN(1500)) * ms
	r.requests[id] = &rulesRequest{class: class, deadline: r.now + timeLeft}
	r.balancer.HandleRequest(r.now, Request{ID: id, Class: class, TimeLeft: timeLeft})
}

// randomOutcome ends one of the attempts in flight with a random status.
func (r *rules) randomOutcome() {
	i := r.rng.IntN(len(r.inFlight))
	ended := r.inFlight[i]
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	request := r.requests[ended.id]
	request.inFlight--
	status := []Status{
		StatusOK, StatusOK, StatusOK, StatusOK, StatusOK,
		StatusError, StatusRejected, StatusTimeout, StatusConnectFailed, StatusReset,
	}[r.rng.IntN(10)]
	if !status.NeverRan() && status != StatusOK && request.ran == nil {
		request.ran, request.ranAt = &ended, r.sentAt[ended]
	}
	final := request.answers > 0 || status == StatusOK
	if status == StatusOK {
		request.answers++
	}
	r.balancer.HandleOutcome(r.now, Outcome{
		ID: ended.id, Endpoint: ended.to, Attempt: ended.number, Final: final, Status: status, Elapsed: r.now - r.sentAt[ended],
	})
}

// expire ends the attempts in flight of requests whose deadline has passed by a timeout, as a Host does.
func (r *rules) expire() {
	for i := 0; i < len(r.inFlight); i++ {
		expired := r.inFlight[i]
		request := r.requests[expired.id]
		if r.now < request.deadline {
			continue
		}
		r.inFlight = slices.Delete(r.inFlight, i, i+1)
		i--
		request.inFlight--
		if request.ran == nil {
			request.ran, request.ranAt = &expired, r.sentAt[expired]
		}
		r.balancer.HandleOutcome(r.now, Outcome{
			ID: expired.id, Endpoint: expired.to, Attempt: expired.number, Final: request.answers > 0, Status: StatusTimeout,
		})
		r.check()
	}
}

// check checks the actions that were recorded since it was last called.
func (r *rules) check() {
	r.t.Helper()
	for ; r.checkedSends < len(r.sent); r.checkedSends++ {
		sent := r.sent[r.checkedSends]
		request := r.requests[sent.id]
		request.inFlight++
		r.sentAt[sent] = r.now
		r.inFlight = append(r.inFlight, sent)
		if violated := r.ruleViolatedBy(sent, request); violated != "" {
			r.t.Fatalf("seed %d: attempt %v violates a rule: %s", r.seed, sent, violated)
		}
	}
	for ; r.checkedFails < len(r.fails); r.checkedFails++ {
		r.requests[r.fails[r.checkedFails]].answers++
	}
	for ; r.checkedRejections < len(r.rejections); r.checkedRejections++ {
		id := r.rejections[r.checkedRejections]
		request := r.requests[id]
		request.answers++
		if request.ran != nil && (request.class == pay || request.class == book && r.scope != KeyScopeAll) {
			r.t.Fatalf("seed %d: request %s was rejected although it may have run", r.seed, id)
		}
	}
}

// ruleViolatedBy describes the rule that an attempt violates, or returns an empty string if it violates none.
func (r *rules) ruleViolatedBy(sent attempt, request *rulesRequest) string {
	switch {
	case request.answers > 0:
		return "sent after its final answer"
	case request.inFlight > 1:
		return "two attempts in flight at once"
	case r.notReady[sent.to]:
		return "sent to an endpoint that is draining or removed"
	case request.ran == nil:
		return ""
	case request.class == pay:
		return "not idempotent, may have run, retried"
	case request.class == book && r.scope == KeyScopeCell && (sent.to-1)/2 != (request.ran.to-1)/2:
		return "has an idempotency key, left its cell"
	case request.class == book && r.now-request.ranAt > r.window:
		return "has an idempotency key, past its window"
	}
	return ""
}

// checkAnswers checks that each request gets one final answer by its deadline, and forgets finished requests.
func (r *rules) checkAnswers() {
	r.t.Helper()
	for id, request := range r.requests {
		if request.answers > 1 || request.answers == 0 && r.now > request.deadline+20*ms {
			r.t.Fatalf("seed %d: request %s has %d final answers, want one by its deadline", r.seed, id, request.answers)
		}
		if request.answers > 0 && request.inFlight == 0 {
			delete(r.requests, id)
		}
	}
}

// A Balancer obeys the rules for one instance under random valid events.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		r := newRules(t, seed)
		for range 3000 {
			r.randomEvent()
			r.check()
			r.advance(time.Duration(r.rng.IntN(3)) * 10 * ms)
			r.check()
			r.expire()
			r.checkAnswers()
		}
	}
}
