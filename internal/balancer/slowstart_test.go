package balancer

import (
	"testing"
	"time"
)

// If all endpoints are in slow start, an instance sends each of them requests at no more than a share of the rate that available ones
// served.
func TestSlowStartIsCapped(t *testing.T) {
	fixture := start(t, settings(), 10)
	fixture.serveRequests(300, nil) // 50 per second, 5 to each
	for id := EndpointID(1); id <= 10; id++ {
		fixture.updateEndpoint(ListEntry{Endpoint: id, StartedAt: fixture.now})
	}
	attempts := map[EndpointID]int{}
	next := len(fixture.sent)
	for range 500 {
		fixture.request(read)
		fixture.advance(2 * ms)
		for ; next < len(fixture.sent); next++ {
			attempts[fixture.sent[next].to]++
			fixture.finish(fixture.sent[next], StatusOK, 2*ms)
		}
	}
	for id, n := range attempts {
		if n > 8 { // 3 times a fifth of ten per second, and a margin for randomness
			t.Errorf("%d sends in the first second to endpoint %d in slow start, want at most 8", n, id)
		}
	}
	if len(attempts) == 0 {
		t.Error("endpoints in slow start got no attempts")
	}
}

// Instances whose subset does not contain an endpoint in slow start send it no retries, as those would overload it. An instance whose
// subset contains only a small part of the endpoint's weight sends it accordingly fewer requests.
func TestSlowStartLimitFollowsSubsetWeightAndExcludesOutsideRetries(t *testing.T) {
	config := settings()
	config.Instances = 60
	fixture := start(t, config, 20)
	fixture.serveRequests(200, nil)
	var outside *endpoint
	for _, e := range fixture.balancer.listed {
		if e.subsetWeight == 0 {
			outside = e
		}
	}
	fixture.updateEndpoint(ListEntry{Endpoint: outside.id, StartedAt: fixture.now, Weight: 1})
	for range 50 {
		fixture.request(read)
		fixture.finish(fixture.last(), StatusRejected, ms)
		if to := fixture.last().to; to == outside.id {
			t.Fatal("a retry was sent to an endpoint in slow start outside of the subset")
		}
		fixture.finish(fixture.last(), StatusOK, 20*ms)
		fixture.advance(100 * ms)
	}
	inside := fixture.balancer.listed[0]
	for _, e := range fixture.balancer.listed {
		if e.subsetWeight > 0 {
			inside = e
		}
	}
	tokens := func(subsetWeight float64) float64 {
		inside.subsetWeight = subsetWeight
		inside.availability = warmingUp
		inside.slowStartFrom = fixture.now
		inside.slowStartTokens = 0
		inside.slowStartTokensAt = fixture.now - 10*ms
		fixture.balancer.slowStartAllows(fixture.now, inside)
		return inside.slowStartTokens
	}
	if all, tenth := tokens(1), tokens(0.1); all == 0 || tenth > 0.11*all {
		t.Errorf(
			"%.3f sends allowed for a tenth of the weight of an endpoint in slow start, %.3f for all of it, want about a tenth",
			tenth, all,
		)
	}
}

// While no endpoint is available, the rate that limits slow starts does not decay, since no sends would update it. It decays as soon
// as an endpoint is available.
func TestSlowStartsKeepTheirRateWhileNoneIsAvailable(t *testing.T) {
	fixture := start(t, settings(), 2)
	for range 200 {
		fixture.request(read)
		fixture.finish(fixture.last(), StatusOK, 10*ms)
		fixture.advance(10 * ms)
	}
	before := fixture.balancer.availableSendRate.peak(fixture.now, fixture.balancer.rateWindow)
	for id := EndpointID(1); id <= 2; id++ {
		fixture.updateEndpoint(ListEntry{Endpoint: id, Weight: 1, StartedAt: fixture.now})
	}
	fixture.request(read) // keeps the ticks running
	fixture.advance(3 * time.Second)
	if !fixture.balancer.noneAvailable {
		t.Error("noneAvailable is false while all endpoints are in slow start")
	}
	if after := fixture.balancer.availableSendRate.peak(fixture.now, fixture.balancer.rateWindow); after < 0.95*before {
		t.Errorf("rate of available endpoints %.1f per second, want at least 0.95 of the %.1f before all restarted", after, before)
	}
	fixture.finish(fixture.last(), StatusOK, 10*ms)
	fixture.updateEndpoint(ListEntry{Endpoint: 3, Weight: 1})
	kept := fixture.balancer.availableSendRate.peak(fixture.now, fixture.balancer.rateWindow)
	fixture.advance(3 * time.Second)
	if fixture.balancer.noneAvailable {
		t.Error("noneAvailable is true although an endpoint is available")
	}
	if after := fixture.balancer.availableSendRate.peak(fixture.now, fixture.balancer.rateWindow); after > 0.7*kept {
		t.Errorf(
			"rate of available endpoints %.1f per second after 3 s with an available one that gets no requests, %.1f before; want a decay",
			after, kept,
		)
	}
}
