package ratelimit

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// cutOffRun is a run of ten sidecars and an allocator. A tenant sends many times its limit while random sidecars are cut off for some
// time, requests and replies are late or lost, and the role moves to new allocators, which know nothing.
type cutOffRun struct {
	rng         *rand.Rand
	now         time.Duration
	limit       Limit
	withFaults  bool
	allocator   *Allocator
	awayUntil   time.Duration // there is no allocator before this time
	names       []string
	caches      []*TokenCache
	cutOffUntil []time.Duration // by sidecar
	messages    []cutOffMessage
	admitted    []time.Duration // times of the requests that were admitted
}

type cutOffMessage struct {
	arrivesAt, sent time.Duration
	sidecar         int
	requests        *AllocationRequest // nil in a reply
	reply           *AllocationReply   // nil in a request
}

func newCutOffRun(seed uint64, limit Limit) *cutOffRun {
	const sidecars = 10
	r := &cutOffRun{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		limit:       limit,
		withFaults:  seed%4 != 0,
		cutOffUntil: make([]time.Duration, sidecars),
	}
	r.allocator = NewAllocator(0, true, r.limits)
	for i := range sidecars {
		r.names = append(r.names, strconv.Itoa(i))
		r.caches = append(r.caches, NewTokenCache())
	}
	r.allocator.SetSidecars(r.names)
	return r
}

func (r *cutOffRun) limits(string) (Limit, bool) { return r.limit, true }

// step simulates the events of one moment.
func (r *cutOffRun) step() {
	if r.withFaults {
		r.breakSomething()
	}
	r.deliver()
	for i, cache := range r.caches {
		if r.rng.Float64() < 0.4 { // 80 requests a second at each sidecar
			r.request(cache)
		}
		if requests, due := cache.Tick(r.now); due {
			r.send(cutOffMessage{
				sent: r.now, sidecar: i,
				requests: &AllocationRequest{Sidecar: r.names[i], Incarnation: 1, Requests: requests},
			})
		}
		if r.now-cache.lastSent > replyTimeout*2 && cache.inFlight {
			cache.HandleFailure(r.now)
		}
	}
}

// breakSomething randomly cuts a sidecar off, or moves the role to a new allocator, which starts after the old one has stopped.
func (r *cutOffRun) breakSomething() {
	if r.rng.IntN(200) == 0 {
		r.cutOffUntil[r.rng.IntN(len(r.caches))] = r.now + time.Duration(r.rng.IntN(12000))*time.Millisecond
	}
	if r.rng.IntN(1000) == 0 && r.now > r.awayUntil+1500*time.Millisecond {
		r.awayUntil = r.now + time.Duration(100+r.rng.IntN(2000))*time.Millisecond
		r.allocator = NewAllocator(r.awayUntil, false, r.limits)
		r.allocator.SetSidecars(r.names)
	}
}

// request makes a client's request. If it is admitted later, it counts at the time when it was made.
func (r *cutOffRun) request(cache *TokenCache) {
	requestedAt := r.now
	cache.Admit(r.now, "t", r.limit, func(ok bool, _ time.Duration) {
		if ok {
			r.admitted = append(r.admitted, requestedAt)
		}
	})
}

func (r *cutOffRun) send(message cutOffMessage) {
	message.arrivesAt = r.now + time.Duration(r.rng.IntN(20))*time.Millisecond
	r.messages = append(r.messages, message)
}

func (r *cutOffRun) deliver() {
	slices.SortStableFunc(r.messages, func(a, b cutOffMessage) int { return int(a.arrivesAt - b.arrivesAt) })
	for len(r.messages) > 0 && r.messages[0].arrivesAt <= r.now {
		message := r.messages[0]
		r.messages = r.messages[1:]
		switch {
		case r.cutOffUntil[message.sidecar] > r.now:
		case message.reply != nil:
			r.caches[message.sidecar].HandleReply(r.now, message.sent, message.reply)
		case r.now >= r.awayUntil:
			grants := r.allocator.Allocate(r.now, message.requests)
			r.send(cutOffMessage{sent: message.sent, sidecar: message.sidecar, reply: &AllocationReply{Granted: true, Grants: grants}})
		}
	}
}

// mostWithin returns the greatest number of times that lie within a window. The times are in order.
func mostWithin(window time.Duration, times []time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// No window of five seconds has more admitted requests than the limit allows, with a margin. Without faults nearly all of the rate is
// admitted.
func TestLimitHoldsWhoeverIsCutOff(t *testing.T) {
	const over = 40 * time.Second
	limit := Limit{Rate: 100, Burst: 100, Overage: 80}
	for seed := range uint64(100) {
		run := newCutOffRun(seed, limit)
		for ; run.now < over; run.now += 5 * time.Millisecond {
			run.step()
		}
		most := mostWithin(5*time.Second, run.admitted)
		if bound := (limit.Rate*5+limit.Burst)*1.1 + 20; float64(most) > bound {
			t.Errorf("seed %d: %d admitted within five seconds, %v allowed", seed, most, bound)
		}
		if least := limit.Rate * over.Seconds() * 0.95; !run.withFaults && float64(len(run.admitted)) < least {
			t.Errorf("seed %d: %d admitted, %v is owed", seed, len(run.admitted), least)
		}
	}
}

// Retries stay within the ratio, and use the slack.
func TestRetriesKeepToTheirBudget(t *testing.T) {
	c := qt.New(t)
	budget := NewRetryBudget(10 * time.Second)
	retries := 0
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		budget.CountRequest(now)
		if budget.Acquire(now, 0.2, 58, 14) {
			retries++
		}
	}
	c.Assert(retries <= 1000/5, qt.IsTrue)
	c.Assert(retries >= 60, qt.IsTrue)
	c.Assert(budget.Acquire(time.Minute, 0.2, 58, 14), qt.IsTrue) // a part of the slack is always there
}
