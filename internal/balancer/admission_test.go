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
		t.Errorf("no endpoint is listed: rejected %v, want %s", fixture.rejections, id)
	}
	fixture = start(t, settings(), 2)
	fixture.balancer.HandleRequest(fixture.now, Request{ID: "late", TimeLeft: 0})
	if len(fixture.rejections) != 1 || len(fixture.sent) > 0 {
		t.Errorf("request with no time left: rejected %v, sent %v, want only the rejection", fixture.rejections, fixture.sent)
	}
}

// A burst must not saturate the endpoints: its requests become pending, and those that cannot be served in time are rejected.
func TestBurstIsPendingAndRejectedEarly(t *testing.T) {
	fixture := start(t, settings(), 2)
	fixture.serveRequests(200, nil)
	before := len(fixture.sent)
	fixture.requestMany(200)
	if sent := len(fixture.sent) - before; sent > 20 {
		t.Errorf("%d of a burst of 200 requests were sent at once to 2 endpoints, want at most 20", sent)
	}
	fixture.advance(1100 * ms)
	if len(fixture.rejections) < 100 {
		t.Errorf("%d of 200 rejected by their latency target, want at least 100", len(fixture.rejections))
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
		fixture.advance(250 * ms) // until the rate of answers shows that none is answered
		rate := fixture.balancer.servedRate.value(fixture.now, fixture.balancer.rateWindow)
		if len(fixture.rejections) == 0 {
			t.Fatalf("no request of a burst of %d was rejected, want some", burst)
		}
		queue := seconds(float64(len(fixture.balancer.pending)) / rate)
		for _, after := range fixture.retryAfter {
			if after > config.MaxRetryAfter || after < min(queue, config.MaxRetryAfter) {
				t.Fatalf("burst of %d: retry after %v, want at least %v for the pending requests, or the maximum", burst, after, queue)
			}
		}
	}
	fixture := start(t, config, 2)
	fixture.balancer.HandleRequest(fixture.now, Request{ID: "late", Class: read})
	if !slices.Equal(fixture.retryAfter, []time.Duration{0}) {
		t.Errorf("rejection before any answer: retry after %v, want one of 0", fixture.retryAfter)
	}
}

// Pending requests are sent in the order of their contribution to the optimized value, which consists of the value of their class and,
// for the worst-served class, of that class's weight.
func TestValuableClassGoesFirstUnlessTheWorstServedCountsMore(t *testing.T) {
	sentByClass := func(worstClassWeight float64) (byClass [3]int) {
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
	if n := sentByClass(0); n[pay] == 0 || n[read] > 0 {
		t.Errorf("worst-class weight 0: %d valuable requests and %d others sent, want valuable ones only", n[pay], n[read])
	}
	if n := sentByClass(50); n[read] == 0 || n[pay] > 0 {
		t.Errorf("worst-class weight 50: %d valuable requests and %d of the worst-served class sent, want the latter only", n[pay], n[read])
	}
}

// The age of a client's retry, which is the time since the client's first attempt, counts towards the latency target. If the remaining
// time of the retry does not show its age, the mean age of the retries that do show theirs is assumed. When retries were treated as new
// requests, they filled a tier with calls that missed their target.
func TestRetriesThatMissTheirTargetAreRejectedFirst(t *testing.T) {
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
		t.Errorf("retry at a full tier: rejected %v, want the retry at once", got)
	}
}

// A burst of requests is not rejected if the endpoints serve it fast, both after a start and after a time without requests. If no
// request is answered, most pending ones are rejected once the rate of answers shows it.
func TestBurstIsNotRejectedIfServedFast(t *testing.T) {
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
			t.Errorf(
				"after %v without requests: %d of 3,000 rejected, %d unfinished, want none of either",
				quiet, len(fixture.rejections), len(fixture.balancer.requests),
			)
		}
	}
	fixture := start(t, settings(), 8)
	fixture.requestMany(1000)
	fixture.advance(1100 * ms) // no response, for longer than the rate's window
	fixture.request(read)
	if n := len(fixture.balancer.pending); n > 8 {
		t.Errorf("%d requests are pending while endpoints answer none, want at most 8", n)
	}
}

// requestMany delivers n requests at once.
func (f *fixture) requestMany(n int) {
	for range n {
		f.request(read)
	}
}

// serveAll serves all attempts, including those that are sent meanwhile, at eight per millisecond.
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

// serialCall is an attempt in flight and the time at which it will have been served.
type serialCall struct {
	attempt
	endsAt time.Duration
}

// step accepts the attempts that were sent, and finishes those that have been served by the current time.
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

// If there are more requests than the endpoints can serve, as many are pending as are served in about two seconds, and the others are
// rejected at once.
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
		t.Errorf("up to %d requests were pending at a tier that serves 40 a second, want at most 150", maxPending)
	}
}
