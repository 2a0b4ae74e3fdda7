package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestDrainingEndpointKeepsItsCallsAndGetsNoNewOnes(t *testing.T) {
	fixture := start(t, settings(), 2)
	for range 4 {
		fixture.request(read)
	}
	running := slices.Clone(fixture.sent)
	fixture.updateEndpoint(ListEntry{Endpoint: 1, State: EndpointDraining})
	if len(fixture.cancels) > 0 {
		t.Error("a call in flight was cancelled when its endpoint began to drain")
	}
	for _, s := range running {
		fixture.finish(s, StatusOK, 10*ms)
	}
	if got := fixture.serveRequests(20, nil); got[1] != 0 || got[2] != 20 {
		t.Errorf("while endpoint 1 drains: sends by endpoint %v, want all 20 to 2", got)
	}
	fixture.updateEndpoint(ListEntry{Endpoint: 1})
	if got := fixture.serveRequests(20, nil); got[1] == 0 {
		t.Error("an endpoint that is ready again got none of 20 requests")
	}
}

// The state of removed endpoints is deleted, and calls that are still in flight to them end normally.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	fixture := start(t, settings(), 1)
	for i := 2; i < 100; i++ {
		fixture.request(read)
		call := fixture.last()
		fixture.updateEndpoint(ListEntry{Endpoint: EndpointID(i), Weight: 1})
		fixture.updateEndpoint(ListEntry{Endpoint: EndpointID(i - 1), State: EndpointRemoved})
		if i%2 == 0 {
			fixture.updateEndpoint(ListEntry{Endpoint: EndpointID(i - 1), State: EndpointRemoved})
		}
		fixture.balancer.HandleHealthCheck(fixture.now, HealthCheckResult{Endpoint: EndpointID(i - 1)})
		fixture.finish(call, []Status{StatusOK, StatusReset, StatusError, StatusConnectFailed, StatusCancelled}[i%5], 5*ms)
		for fixture.attempts[call.id] > 1 && fixture.last().id == call.id && fixture.balancer.requests[call.id] != nil {
			fixture.finish(fixture.last(), StatusOK, 5*ms)
		}
		fixture.advance(20 * ms)
	}
	b := fixture.balancer
	if len(b.endpointsByID) != 1 || len(b.listed) != 1 || len(b.requests) != 0 || b.inFlight != 0 {
		t.Errorf(
			"state after 98 removals: %d endpoints, %d listed, %d requests, %d in flight; want 1, 1, 0, 0",
			len(b.endpointsByID), len(b.listed), len(b.requests), b.inFlight,
		)
	}
}

func TestFailedSubscriptionsBackOff(t *testing.T) {
	config := settings()
	config.MustSubscribe = true
	fixture := start(t, config, 2)
	if fixture.watches != 0 {
		t.Error("subscribed without a delay: instances that start together would subscribe together")
	}
	fixture.advance(time.Second)
	if fixture.watches != 1 {
		t.Fatalf("%d subscriptions in the first second, want 1", fixture.watches)
	}
	for range 40 {
		fixture.balancer.HandleEndpoints(fixture.now, EndpointList{Kind: ListFailed})
		fixture.advance(time.Second)
	}
	if fixture.watches < 4 || fixture.watches > 30 {
		t.Errorf("%d subscriptions in 40 s of failures, want 4 to 30 by a growing backoff", fixture.watches)
	}
}

// A failure may affect many instances at once. The number of lists that they fetch does not grow with the number of instances, as
// each instance decides at random whether to fetch.
func TestListFetchesDoNotGrowWithTheInstances(t *testing.T) {
	for instances, want := range map[int][2]int{8: {8, 8}, 200: {4, 40}} {
		fetches := 0
		for i := range instances {
			config := settings()
			config.Instances, config.Ordinal = instances, i
			fixture := start(t, config, 16)
			fixture.balancer.rng = rand.New(rand.NewPCG(uint64(i), 2))
			fixture.request(read)
			fixture.finish(fixture.last(), StatusReset, ms)
			fetches += fixture.fetches
		}
		if fetches < want[0] || fetches > want[1] {
			t.Errorf("%d instances fetched %d lists, want a number in %v", instances, fetches, want)
		}
	}
}
