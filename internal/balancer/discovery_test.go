package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestDrainingGetsNothingNewAndKeepsItsCalls(t *testing.T) {
	f := start(t, settings(), 2)
	for range 4 {
		f.request(read)
	}
	running := slices.Clone(f.sent)
	f.updateEndpoint(ListEntry{Endpoint: 1, State: EndpointDraining})
	if len(f.cancels) > 0 {
		t.Error("a running call was cancelled when its endpoint drained")
	}
	for _, s := range running {
		f.finish(s, StatusOK, 10*ms)
	}
	if got := f.serveRequests(20, nil); got[1] != 0 || got[2] != 20 {
		t.Errorf("sends by endpoint %v, want all 20 to 2", got)
	}
	f.updateEndpoint(ListEntry{Endpoint: 1})
	if got := f.serveRequests(20, nil); got[1] == 0 {
		t.Error("an endpoint that is ready again gets nothing")
	}
}

// Removed endpoints are forgotten, and calls that are still in flight to them end normally.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	f := start(t, settings(), 1)
	for i := 2; i < 100; i++ {
		f.request(read)
		call := f.last()
		f.updateEndpoint(ListEntry{Endpoint: EndpointID(i), Weight: 1})
		f.updateEndpoint(ListEntry{Endpoint: EndpointID(i - 1), State: EndpointRemoved})
		if i%2 == 0 {
			f.updateEndpoint(ListEntry{Endpoint: EndpointID(i - 1), State: EndpointRemoved})
		}
		f.b.HandleHealthCheck(f.now, HealthCheckResult{Endpoint: EndpointID(i - 1)})
		f.finish(call, []Status{StatusOK, StatusReset, StatusError, StatusConnectFailed, StatusCancelled}[i%5], 5*ms)
		for f.attempts[call.id] > 1 && f.last().id == call.id && f.b.requests[call.id] != nil {
			f.finish(f.last(), StatusOK, 5*ms)
		}
		f.advance(20 * ms)
	}
	if len(f.b.endpointsByID) != 1 || len(f.b.listed) != 1 || len(f.b.requests) != 0 || f.b.inFlight != 0 {
		t.Errorf(
			"%d endpoints, %d listed, %d requests, %d in flight",
			len(f.b.endpointsByID), len(f.b.listed), len(f.b.requests), f.b.inFlight,
		)
	}
}

func TestAskSubscribesAndBacksOff(t *testing.T) {
	s := settings()
	s.MustSubscribe = true
	f := start(t, s, 2)
	if f.watches != 0 {
		t.Error("subscribed at once, so that all instances that start together would subscribe together")
	}
	f.advance(time.Second)
	if f.watches != 1 {
		t.Fatalf("%d watches in the first second, want 1", f.watches)
	}
	for range 40 {
		f.b.HandleEndpoints(f.now, EndpointList{Kind: ListFailed})
		f.advance(time.Second)
	}
	if f.watches < 4 || f.watches > 30 {
		t.Errorf("%d watches in 40 s of failures, want a growing backoff", f.watches)
	}
}

// A failure may concern many instances at once. The number of lists that they fetch does not grow with the number of instances, as
// each decides at random.
func TestListsAreFetchedByLot(t *testing.T) {
	for instances, want := range map[int][2]int{8: {8, 8}, 200: {4, 40}} {
		fetches := 0
		for i := range instances {
			s := settings()
			s.Instances, s.Ordinal = instances, i
			f := start(t, s, 16)
			f.b.rng = rand.New(rand.NewPCG(uint64(i), 2))
			f.request(read)
			f.finish(f.last(), StatusReset, ms)
			fetches += f.fetches
		}
		if fetches < want[0] || fetches > want[1] {
			t.Errorf("%d instances fetch %d lists, want %v", instances, fetches, want)
		}
	}
}
