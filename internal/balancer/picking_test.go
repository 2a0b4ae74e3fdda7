package balancer

import (
	"fmt"
	"testing"
	"time"
)

func TestEndpointWithFewerCallsIsPicked(t *testing.T) {
	fixture := start(t, settings(), 2)
	fixture.request(read)
	first := fixture.last().to
	fixture.request(read)
	if fixture.last().to == first {
		t.Error("the second call was sent to the endpoint of the first although the other endpoint was idle")
	}
}

// If a subset has two endpoints, both are candidates of each draw. A tie between them is decided by weight. With equal chances, both
// would get the same number of calls, whatever their weights.
func TestTiesAreDecidedByWeight(t *testing.T) {
	config := settings()
	config.Instances = 40
	fixture := start(t, config, 0)
	entries := []ListEntry{{Endpoint: 1, Weight: 9}, {Endpoint: 2, Weight: 1}}
	fixture.balancer.HandleEndpoints(fixture.now, EndpointList{Kind: ListFull, Version: 2, Entries: entries})
	if got := fixture.serveRequests(400, nil); got[2] < 20 || got[2] > 70 {
		t.Errorf("sends by endpoint %v, want 20 to 70 of 400 to endpoint 2, which has a tenth of the weight", got)
	}
}

// Each endpoint gets first attempts, whatever its ID, including 0, which the sidecar uses. A request is not sent to an endpoint that
// it excludes.
func TestEveryIDGetsFirstAttempts(t *testing.T) {
	fixture := start(t, settings(), 0)
	list := EndpointList{Kind: ListFull, Version: 1}
	for id := range EndpointID(3) {
		list.Entries = append(list.Entries, ListEntry{Endpoint: id, Cell: int(id), Weight: 1})
	}
	fixture.balancer.HandleEndpoints(fixture.now, list)
	got := fixture.serveRequests(300, func(EndpointID) Status { return StatusOK })
	for id := range EndpointID(3) {
		if got[id] < 50 {
			t.Errorf("endpoint %d got %d of 300 first attempts, want at least 50", id, got[id])
		}
		for i := range 30 {
			before := len(fixture.sent)
			requestID := RequestID(fmt.Sprint("not", id, " ", i))
			fixture.balancer.HandleRequest(fixture.now, Request{ID: requestID, Class: read, TimeLeft: time.Second, Exclude: &id})
			if len(fixture.sent) != before+1 || fixture.sent[before].to == id {
				t.Fatalf("request that excludes endpoint %d: sent %v, want one attempt at another endpoint", id, fixture.sent[before:])
			}
			fixture.finish(fixture.sent[before], StatusOK, ms)
		}
	}
}

// If all endpoints reject calls, they are scanned once per tick, not for each request.
func TestFullFleetIsScannedOnceATick(t *testing.T) {
	fixture := start(t, settings(), 200)
	fixture.serveRequests(600, nil)
	for _, e := range fixture.balancer.listed {
		e.rejectsUntil = fixture.now + time.Minute
	}
	fixture.request(read)
	if !fixture.balancer.exhausted.scopes[0] || fixture.balancer.exhausted.scopes[1] {
		t.Fatalf("exhausted scopes after a request that all endpoints reject: %v, want the subset only", fixture.balancer.exhausted.scopes)
	}
	before := len(fixture.sent)
	for _, e := range fixture.balancer.listed[5:] {
		e.rejectsUntil = 0 // without an event, so that only a scan finds it
	}
	fixture.request(read)
	if len(fixture.sent) > before {
		t.Error("the endpoints were scanned again before the next tick")
	}
	fixture.advance(20 * ms)
	if len(fixture.sent) != before+2 {
		t.Errorf("%d of 2 requests were sent after the tick, want both", len(fixture.sent)-before)
	}
}
