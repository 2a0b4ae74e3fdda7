package ratelimit

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// partitionRun simulates sidecars and an allocator. A tenant sends many times its limit while random sidecars are partitioned for
// some time, requests and replies are delayed or lost, and the allocator is replaced by new ones that start without any state.
type partitionRun struct {
	rng              *rand.Rand
	now              time.Duration
	limit            Limit
	withFaults       bool
	idle             bool // whether clients send no requests
	allocator        *Allocator
	noAllocatorUntil time.Duration // time until which no allocator handles requests
	names            []string
	caches           []*TokenCache
	partitionedUntil []time.Duration // end of each sidecar's partition
	messages         []partitionMessage
	admitted         []time.Duration // times at which the admitted requests were made
}

// partitionMessage is a request or a reply that is on its way.
type partitionMessage struct {
	arrivesAt, sent time.Duration
	sidecar         int
	request         *AllocationRequest // nil in a reply
	reply           *AllocationReply   // nil in a request
}

func newPartitionRun(seed uint64, limit Limit, sidecars int) *partitionRun {
	run := &partitionRun{
		rng:              rand.New(rand.NewPCG(seed, 1)),
		limit:            limit,
		withFaults:       seed%4 != 0,
		partitionedUntil: make([]time.Duration, sidecars),
	}
	run.allocator = NewAllocator(0, true, run.limits)
	for i := range sidecars {
		run.names = append(run.names, strconv.Itoa(i))
		run.caches = append(run.caches, NewTokenCache(seed<<16+uint64(i)))
		run.caches[i].SetSidecarCount(sidecars)
	}
	run.allocator.SetSidecars(run.names)
	return run
}

func (r *partitionRun) limits(string) (Limit, bool) { return r.limit, true }

// step simulates the events at the time now.
func (r *partitionRun) step() {
	if r.withFaults {
		r.injectFault()
	}
	r.deliver()
	for i, cache := range r.caches {
		if r.rng.Float64() < 0.4 && !r.idle { // 80 requests a second at each sidecar
			r.request(cache)
		}
		if requests, due := cache.Tick(r.now); due {
			r.send(partitionMessage{
				sent: r.now, sidecar: i,
				request: &AllocationRequest{Sidecar: r.names[i], Incarnation: 1, Requests: requests},
			})
		}
		if r.now-cache.lastSent > replyTimeout*2 && cache.requestInFlight {
			cache.HandleFailure(r.now)
		}
	}
}

// injectFault randomly partitions a sidecar, or moves the role to a new allocator, which starts after the old one has stopped.
func (r *partitionRun) injectFault() {
	if r.rng.IntN(200) == 0 {
		r.partitionedUntil[r.rng.IntN(len(r.caches))] = r.now + time.Duration(r.rng.IntN(12000))*time.Millisecond
	}
	if r.rng.IntN(1000) == 0 && r.now > r.noAllocatorUntil+1500*time.Millisecond {
		r.noAllocatorUntil = r.now + time.Duration(100+r.rng.IntN(2000))*time.Millisecond
		r.allocator = NewAllocator(r.noAllocatorUntil, false, r.limits)
		r.allocator.SetSidecars(r.names)
	}
}

// request sends a client's request. An admitted request counts at the time when it was sent, even if it is admitted later.
func (r *partitionRun) request(cache *TokenCache) {
	requestedAt := r.now
	cache.Admit(r.now, "t", r.limit, func(ok bool, _ time.Duration) {
		if ok {
			r.admitted = append(r.admitted, requestedAt)
		}
	})
}

// send sends a message with a random delay of up to 19 ms.
func (r *partitionRun) send(message partitionMessage) {
	message.arrivesAt = r.now + time.Duration(r.rng.IntN(20))*time.Millisecond
	r.messages = append(r.messages, message)
}

// deliver delivers the messages that have arrived, except those from and to partitioned sidecars, and sends the allocator's replies.
func (r *partitionRun) deliver() {
	slices.SortStableFunc(r.messages, func(a, b partitionMessage) int { return int(a.arrivesAt - b.arrivesAt) })
	for len(r.messages) > 0 && r.messages[0].arrivesAt <= r.now {
		message := r.messages[0]
		r.messages = r.messages[1:]
		switch {
		case r.partitionedUntil[message.sidecar] > r.now:
		case message.reply != nil:
			r.caches[message.sidecar].HandleReply(r.now, message.sent, message.reply)
		case r.now >= r.noAllocatorUntil:
			grants := r.allocator.Allocate(r.now, message.request)
			r.send(partitionMessage{sent: message.sent, sidecar: message.sidecar, reply: &AllocationReply{Granted: true, Grants: grants}})
		}
	}
}

// mostWithin returns the greatest number of times that lie within a window of the given length. times must be sorted.
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

// With sidecars partitioned and allocators replaced at random, no window of five seconds has more admitted requests than the limit
// allows, with a margin. Without faults, at least 95% of the rate is admitted.
func TestLimitHoldsWhoeverIsCutOff(t *testing.T) {
	const over = 40 * time.Second
	limit := Limit{Rate: 100, Burst: 100, Overage: 80}
	for seed := range uint64(100) {
		run := newPartitionRun(seed, limit, 10)
		for ; run.now < over; run.now += 5 * time.Millisecond {
			run.step()
		}
		most := mostWithin(5*time.Second, run.admitted)
		if bound := (limit.Rate*5+limit.Burst)*1.1 + 20; float64(most) > bound {
			t.Errorf("seed %d: %d requests admitted within five seconds, at most %v allowed", seed, most, bound)
		}
		if least := limit.Rate * over.Seconds() * 0.95; !run.withFaults && float64(len(run.admitted)) < least {
			t.Errorf("seed %d: %d requests admitted without faults, want at least %v", seed, len(run.admitted), least)
		}
	}
}

// Retries stay within the ratio of requests, and can use the slack.
func TestRetriesStayWithinTheBudget(t *testing.T) {
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
	c.Assert(retries <= 1000/5, qt.IsTrue, qt.Commentf("%d retries for 1000 requests, want at most 200", retries))
	c.Assert(retries >= 60, qt.IsTrue, qt.Commentf("%d retries for 1000 requests, want at least 60", retries))
	c.Assert(budget.Acquire(time.Minute, 0.2, 58, 14), qt.IsTrue) // the slack also allows retries without requests
}
