package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// rulesRequest is what the test of the rules knows of a request.
type rulesRequest struct {
	class, inFlight, answers int
	deadline                 time.Duration
	ran                      *sent // the first attempt that may have run; nil for none
	ranAt                    time.Duration
}

// rules brings random but legal events to a balancer, and checks each action against the rules that bind one instance.
type rules struct {
	*fixture
	seed     uint64
	rng      *rand.Rand
	scope    KeyScope
	window   time.Duration
	requests map[RequestID]*rulesRequest
	notReady map[EndpointID]bool // endpoints that drain or are gone, as it was notified
	sentAt   map[sent]time.Duration
	open     []sent

	checkedSends, checkedFails, checkedRejections int
}

func newRules(t *testing.T, seed uint64) *rules {
	t.Helper()
	s := settings()
	s.MayCancel, s.HedgedRequests = seed%2 == 0, seed%3 == 0
	s.Classes[book].KeyScope = []KeyScope{KeyScopeCell, KeyScopeZone, KeyScopeAll}[seed%3]
	f := start(t, s, 8)
	if seed >= 30 {
		f.b.scanLimit = 0 // draws from the pools alone
	}
	return &rules{
		fixture: f, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
		scope: s.Classes[book].KeyScope, window: s.Classes[book].KeyWindow,
		requests: map[RequestID]*rulesRequest{}, notReady: map[EndpointID]bool{}, sentAt: map[sent]time.Duration{},
	}
}

// event brings one event.
func (r *rules) event() {
	switch r.rng.IntN(6) {
	case 0, 1:
		r.request()
	case 2, 3:
		if len(r.open) > 0 {
			r.outcome()
		}
	case 4:
		id := EndpointID(1 + r.rng.IntN(8))
		state := EndpointState(r.rng.IntN(3))
		r.notReady[id] = state != EndpointReady
		r.list(ListEntry{Endpoint: id, Cell: int(id-1) / 2, State: state, StartedAt: time.Duration(r.rng.IntN(2)) * r.now})
	}
}

func (r *rules) request() {
	r.n++
	id, class := RequestID(fmt.Sprint("q", r.n)), r.rng.IntN(3)
	left := time.Duration(1+r.rng.IntN(1500)) * ms
	r.requests[id] = &rulesRequest{class: class, deadline: r.now + left}
	r.b.HandleRequest(r.now, Request{ID: id, Class: class, TimeLeft: left})
}

// outcome ends one of the attempts in flight.
func (r *rules) outcome() {
	i := r.rng.IntN(len(r.open))
	x := r.open[i]
	r.open = slices.Delete(r.open, i, i+1)
	q := r.requests[x.id]
	q.inFlight--
	status := []Status{
		StatusOK, StatusOK, StatusOK, StatusOK, StatusOK,
		StatusError, StatusRejected, StatusTimeout, StatusConnectFailed, StatusReset,
	}[r.rng.IntN(10)]
	if !status.NeverRan() && status != StatusOK && q.ran == nil {
		q.ran, q.ranAt = &x, r.sentAt[x]
	}
	final := q.answers > 0 || status == StatusOK
	if status == StatusOK {
		q.answers++
	}
	r.b.HandleOutcome(r.now, Outcome{
		ID: x.id, Endpoint: x.to, Attempt: x.attempt, Final: final, Status: status, Elapsed: r.now - r.sentAt[x],
	})
}

// expire times out what is in flight at its deadline, as the host trims it.
func (r *rules) expire() {
	for i := 0; i < len(r.open); i++ {
		x := r.open[i]
		q := r.requests[x.id]
		if r.now < q.deadline {
			continue
		}
		r.open = slices.Delete(r.open, i, i+1)
		i--
		q.inFlight--
		if q.ran == nil {
			q.ran, q.ranAt = &x, r.sentAt[x]
		}
		r.b.HandleOutcome(r.now, Outcome{ID: x.id, Endpoint: x.to, Attempt: x.attempt, Final: q.answers > 0, Status: StatusTimeout})
		r.check()
	}
}

// check checks the actions since the last check.
func (r *rules) check() {
	r.t.Helper()
	for ; r.checkedSends < len(r.sent); r.checkedSends++ {
		x := r.sent[r.checkedSends]
		q := r.requests[x.id]
		q.inFlight++
		r.sentAt[x] = r.now
		r.open = append(r.open, x)
		if broken := r.brokenBySend(x, q); broken != "" {
			r.t.Fatalf("seed %d: %v: %s", r.seed, x, broken)
		}
	}
	for ; r.checkedFails < len(r.fails); r.checkedFails++ {
		r.requests[r.fails[r.checkedFails]].answers++
	}
	for ; r.checkedRejections < len(r.rejections); r.checkedRejections++ {
		id := r.rejections[r.checkedRejections]
		q := r.requests[id]
		q.answers++
		if q.ran != nil && (q.class == pay || q.class == book && r.scope != KeyScopeAll) {
			r.t.Fatalf("seed %d: %s rejected though it may have run", r.seed, id)
		}
	}
}

// brokenBySend is the rule that an attempt breaks; empty for none.
func (r *rules) brokenBySend(x sent, q *rulesRequest) string {
	switch {
	case q.answers > 0:
		return "sent after its final answer"
	case q.inFlight > 1:
		return "two attempts in flight at once"
	case r.notReady[x.to]:
		return "sent to an endpoint that drains or is gone"
	case q.ran == nil:
		return ""
	case q.class == pay:
		return "not idempotent, may have run, retried"
	case q.class == book && r.scope == KeyScopeCell && (x.to-1)/2 != (q.ran.to-1)/2:
		return "has an idempotency key, left its cell"
	case q.class == book && r.now-q.ranAt > r.window:
		return "has an idempotency key, past its window"
	}
	return ""
}

// checkAnswers checks that each request gets one final answer, in time, and forgets those that are finished.
func (r *rules) checkAnswers() {
	r.t.Helper()
	for id, q := range r.requests {
		if q.answers > 1 || q.answers == 0 && r.now > q.deadline+20*ms {
			r.t.Fatalf("seed %d: %s has %d final answers past its deadline", r.seed, id, q.answers)
		}
		if q.answers > 0 && q.inFlight == 0 {
			delete(r.requests, id)
		}
	}
}

// TestRulesHoldUnderRandomEvents checks the rules that bind one instance on random but legal events.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		r := newRules(t, seed)
		for range 3000 {
			r.event()
			r.check()
			r.pass(time.Duration(r.rng.IntN(3)) * 10 * ms)
			r.check()
			r.expire()
			r.checkAnswers()
		}
	}
}
