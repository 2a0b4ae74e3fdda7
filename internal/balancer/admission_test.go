package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestEveryRequestIsAnsweredBeforeItsDeadline(t *testing.T) {
	fixture := start(t, settings(), 0)
	id := fixture.request(read)
	fixture.advance(1500 * ms)
	if !slices.Equal(fixture.rejections, []RequestID{id}) {
		t.Errorf("rejected %v, want %s, as there is no endpoint", fixture.rejections, id)
	}
	fixture = start(t, settings(), 2)
	fixture.balancer.HandleRequest(fixture.now, Request{ID: "late", TimeLeft: 0})
	if len(fixture.rejections) != 1 || len(fixture.sent) > 0 {
		t.Errorf("rejected %v, sent %v for a request with no time left", fixture.rejections, fixture.sent)
	}
}

// Endpoints would be saturated by a burst. Its requests are pending instead, and those that cannot be served in time are rejected.
func TestBurstIsPendingAndRejectedEarly(t *testing.T) {
	fixture := start(t, settings(), 2)
	fixture.serveRequests(200, nil)
	before := len(fixture.sent)
	fixture.requestMany(200)
	if sent := len(fixture.sent) - before; sent > 20 {
		t.Errorf("%d of a burst of 200 were sent at once to 2 endpoints", sent)
	}
	fixture.advance(1100 * ms)
	if len(fixture.rejections) < 100 {
		t.Errorf("%d rejected by their latency target, want nearly all", len(fixture.rejections))
	}
}

// The Retry-After of a rejection is the time until the requests that are pending now have been answered, and at most MaxRetryAfter.
func TestRejectionsSayWhenToRetry(t *testing.T) {
	config := settings()
	config.MaxRetryAfter = 2 * time.Second
	for _, burst := range []int{200, 4000} {
		fixture := start(t, config, 2)
		fixture.serveRequests(200, nil)
		fixture.requestMany(burst)
		fixture.advance(250 * ms) // until the rate shows that none is answered
		rate := fixture.balancer.servedRate.value(fixture.now, fixture.balancer.rateWindow)
		if len(fixture.rejections) == 0 {
			t.Fatalf("nothing of a burst of %d was rejected", burst)
		}
		queue := seconds(float64(len(fixture.balancer.pending)) / rate)
		for _, after := range fixture.retryAfter {
			if after > config.MaxRetryAfter || after < min(queue, config.MaxRetryAfter) {
				t.Fatalf("of a burst of %d: retry after %v, want %v for the pending requests", burst, after, queue)
			}
		}
	}
	fixture := start(t, config, 2)
	fixture.balancer.HandleRequest(fixture.now, Request{ID: "late", Class: read})
	if !slices.Equal(fixture.retryAfter, []time.Duration{0}) {
		t.Errorf("retry after %v, while no rate is known", fixture.retryAfter)
	}
}

// Pending requests are sent in the order of what they add to the goal of the site: their value, and more for the class that is
// served worst.
func TestValuableClassGoesFirstUnlessTheWorstServedCountsMore(t *testing.T) {
	released := func(worstClassWeight float64) (byClass [3]int) {
		config := settings()
		config.Classes[pay].Value, config.TotalValueWeight, config.WorstClassWeight = 5, 1, worstClassWeight
		fixture := start(t, config, 1)
		class := map[RequestID]int{}
		for i := range 60 { // so that both classes have statistics, and read is served a little worse
			fixture.finish(attempt{id: fixture.request(pay), to: 1}, StatusOK, 100*ms)
			fixture.request(read)
			fixture.finish(fixture.last(), StatusOK, 100*ms)
			if i%10 == 0 {
				fixture.balancer.countRequest(fixture.balancer.classes[read])
			}
			fixture.advance(100 * ms)
		}
		for range 40 {
			class[fixture.request(read)] = read
			class[fixture.request(pay)] = pay
		}
		before := len(fixture.sent)
		for _, r := range slices.Clone(fixture.balancer.listed[0].calls) {
			fixture.finish(attempt{id: r.id, to: 1}, StatusOK, 100*ms)
		}
		for _, a := range fixture.sent[before:] {
			byClass[class[a.id]]++
		}
		return byClass
	}
	if n := released(0); n[pay] == 0 || n[read] > 0 {
		t.Errorf("released %d valuable calls and %d others by value alone, want valuable ones only", n[pay], n[read])
	}
	if n := released(50); n[read] == 0 || n[pay] > 0 {
		t.Errorf("released %d valuable calls and %d of the class served worst, want the latter only", n[pay], n[read])
	}
}

// The time that has elapsed for a client that retries counts towards its latency target. If its time left does not show that time,
// what other retries show is assumed. Served as if they were new, retries filled a tier with calls that missed their target.
func TestRetriesThatCannotMeetTheirTargetGiveWay(t *testing.T) {
	fixture := start(t, settings(), 2)
	fixture.serveRequests(200, nil)
	fixture.balancer.HandleRequest(fixture.now, Request{ID: "first", Class: book, TimeLeft: 3 * time.Second})
	fixture.finish(fixture.last(), StatusOK, 20*ms)
	for i := range 50 {
		fixture.balancer.HandleRequest(fixture.now, Request{ID: RequestID(fmt.Sprint("shown", i)), Class: book, TimeLeft: 1300 * ms, Retry: true})
		fixture.finish(fixture.last(), StatusOK, 20*ms)
	}
	fixture.requestMany(60)
	before := len(fixture.rejections)
	fixture.balancer.HandleRequest(fixture.now, Request{ID: "repeat", TimeLeft: 1500 * ms, Retry: true})
	if got := fixture.rejections[before:]; !slices.Equal(got, []RequestID{"repeat"}) {
		t.Errorf("rejected %v on a full tier, want the retry at once", got)
	}
}

// A burst of requests is not rejected if the endpoints serve it fast, after a start and after a time without requests. If nothing is
// answered, the requests are only pending until the rate shows it.
func TestCrowd(t *testing.T) {
	for _, quiet := range []time.Duration{0, time.Minute} {
		fixture := start(t, settings(), 8)
		if quiet > 0 {
			for range 200 {
				fixture.request(read)
				fixture.serveAll()
			}
			fixture.advance(quiet)
		}
		for range 3 {
			fixture.requestMany(1000)
			fixture.serveAll()
			fixture.advance(200 * ms)
		}
		if len(fixture.rejections) > 0 || len(fixture.balancer.requests) > 0 {
			t.Errorf("after %v: %d of 3,000 were rejected, %d are left", quiet, len(fixture.rejections), len(fixture.balancer.requests))
		}
	}
	fixture := start(t, settings(), 8)
	fixture.requestMany(1000)
	fixture.advance(1100 * ms) // no response, for longer than the rate's window
	fixture.request(read)
	if n := len(fixture.balancer.pending); n > 8 {
		t.Errorf("%d are pending at endpoints that answer nothing", n)
	}
}

// requestMany delivers n requests at once.
func (f *fixture) requestMany(n int) {
	for range n {
		f.request(read)
	}
}

// serveAll serves all attempts, and those that are sent meanwhile, at eight a millisecond.
func (f *fixture) serveAll() {
	for i := 0; i < len(f.sent); i++ {
		if i%8 == 0 {
			f.now += ms
		}
		f.finish(f.sent[i], StatusOK, ms)
	}
	f.sent = nil
}

// serialEndpoints are endpoints that serve one call at a time.
type serialEndpoints struct {
	*fixture
	serviceTime time.Duration
	inFlight    []serialCall
}

// serialCall is a call and when it will have been served.
type serialCall struct {
	attempt
	endsAt time.Duration
}

// step accepts the attempts that were sent, and finishes those that have been served by now.
func (s *serialEndpoints) step() {
	for _, a := range s.sent {
		endsAt := s.now + s.serviceTime
		for _, other := range s.inFlight {
			if other.to == a.to {
				endsAt = max(endsAt, other.endsAt+s.serviceTime)
			}
		}
		s.inFlight = append(s.inFlight, serialCall{a, endsAt})
	}
	s.sent = nil
	s.inFlight = slices.DeleteFunc(s.inFlight, func(call serialCall) bool {
		if call.endsAt <= s.now {
			s.finish(call.attempt, StatusOK, call.endsAt-s.now+s.serviceTime)
			return true
		}
		return false
	})
}

// If there are more requests than the endpoints can serve, the requests of about two seconds are pending, and the others are rejected
// at once.
func TestOverloadIsRejectedEarly(t *testing.T) {
	config := settings()
	config.Classes[read].LatencyTarget, config.Classes[read].Deadline = time.Minute, 2*time.Minute
	endpoints := &serialEndpoints{fixture: start(t, config, 4), serviceTime: 100 * ms}
	maxPending := 0
	for step := range 4000 { // 8 s of 1,000 requests a second; 4 endpoints serve 40 a second
		for range 2 {
			request := Request{ID: endpoints.nextID(), Class: read, TimeLeft: time.Minute}
			endpoints.balancer.HandleRequest(endpoints.now, request)
		}
		endpoints.step()
		endpoints.advance(2 * ms)
		if step > 1000 {
			maxPending = max(maxPending, len(endpoints.balancer.pending))
		}
	}
	if maxPending > 150 {
		t.Errorf("%d were pending at a tier that serves 40 a second", maxPending)
	}
}
