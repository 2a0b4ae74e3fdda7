package balancer

import (
	"testing"
	"time"
)

// If all endpoints are in slow start, an instance sends each of them no more than a share of the rate that available ones served.
func TestSlowStartIsCapped(t *testing.T) {
	f := start(t, settings(), 10)
	f.serveRequests(300, nil) // 50 a second, 5 to each
	for id := EndpointID(1); id <= 10; id++ {
		f.updateEndpoint(ListEntry{Endpoint: id, StartedAt: f.now})
	}
	attempts := map[EndpointID]int{}
	next := len(f.sent)
	for range 500 {
		f.request(read)
		f.advance(2 * ms)
		for ; next < len(f.sent); next++ {
			attempts[f.sent[next].to]++
			f.finish(f.sent[next], StatusOK, 2*ms)
		}
	}
	for id, n := range attempts {
		if n > 8 { // 3 times a fifth of ten a second, and a little for randomness
			t.Errorf("%d sends in its first second to endpoint %d in slow start", n, id)
		}
	}
	if len(attempts) == 0 {
		t.Error("endpoints in slow start got no attempts")
	}
}

// An endpoint in slow start is overloaded by retries of instances whose subset does not contain it, and if each instance whose subset
// has a small weight of it sends as much as to a complete endpoint.
func TestSlowStartGoesByTheSubsetAndTakesNoRetriesFromOutside(t *testing.T) {
	s := settings()
	s.Instances = 60
	f := start(t, s, 20)
	f.serveRequests(200, nil)
	var outside *endpoint
	for _, e := range f.b.listed {
		if e.subsetWeight == 0 {
			outside = e
		}
	}
	f.updateEndpoint(ListEntry{Endpoint: outside.id, StartedAt: f.now, Weight: 1})
	for range 50 {
		f.request(read)
		f.finish(f.last(), StatusRejected, ms)
		if to := f.last().to; to == outside.id {
			t.Fatal("a retry went to an endpoint in slow start outside the subset")
		}
		f.finish(f.last(), StatusOK, 20*ms)
		f.advance(100 * ms)
	}
	inside := f.b.listed[0]
	for _, e := range f.b.listed {
		if e.subsetWeight > 0 {
			inside = e
		}
	}
	tokens := func(subsetWeight float64) float64 {
		inside.subsetWeight = subsetWeight
		inside.availability = warmingUp
		inside.slowStartFrom = f.now
		inside.slowStartTokens = 0
		inside.slowStartTokensAt = f.now - 10*ms
		f.b.slowStartAllows(f.now, inside)
		return inside.slowStartTokens
	}
	if all, tenth := tokens(1), tokens(0.1); all == 0 || tenth > 0.11*all {
		t.Errorf("%.3f sends allowed for a tenth of an endpoint in slow start, %.3f for all of it", tenth, all)
	}
}

// While no endpoint is available, the rate that limits slow starts does not decay, since nothing could renew it. It decays as soon as
// one is available.
func TestSlowStartsKeepTheirRateWhileNoneIsAvailable(t *testing.T) {
	f := start(t, settings(), 2)
	for range 200 {
		f.request(read)
		f.finish(f.last(), StatusOK, 10*ms)
		f.advance(10 * ms)
	}
	before := f.b.warmSendRate.peak(f.now, f.b.rateWindow)
	for id := EndpointID(1); id <= 2; id++ {
		f.updateEndpoint(ListEntry{Endpoint: id, Weight: 1, StartedAt: f.now})
	}
	f.request(read) // keeps the ticks running
	f.advance(3 * time.Second)
	if !f.b.noneAvailable {
		t.Error("slow starts are limited as if others could take their calls")
	}
	if after := f.b.warmSendRate.peak(f.now, f.b.rateWindow); after < 0.95*before {
		t.Errorf("%.1f a second, %.1f before the endpoints started anew", after, before)
	}
	f.finish(f.last(), StatusOK, 10*ms)
	f.updateEndpoint(ListEntry{Endpoint: 3, Weight: 1})
	kept := f.b.warmSendRate.peak(f.now, f.b.rateWindow)
	f.advance(3 * time.Second)
	if f.b.noneAvailable {
		t.Error("slow starts go on as if there were no available endpoint")
	}
	if after := f.b.warmSendRate.peak(f.now, f.b.rateWindow); after > 0.7*kept {
		t.Errorf("%.1f a second after 3 s with an available one that is sent nothing, %.1f before", after, kept)
	}
}
