package balancer

import (
	"fmt"
	"testing"
	"time"
)

func TestFewerInFlightWins(t *testing.T) {
	f := start(t, settings(), 2)
	f.request(read)
	first := f.last().to
	f.request(read)
	if f.last().to == first {
		t.Error("the second call joined the first although the other endpoint was idle")
	}
}

// In a subset of two endpoints, both are candidates of each draw. A tie between them is decided by weight: with equal chances both
// would get as many calls, whatever their weights.
func TestTiesFallByWeight(t *testing.T) {
	s := settings()
	s.Instances = 40
	f := start(t, s, 0)
	entries := []ListEntry{{Endpoint: 1, Weight: 9}, {Endpoint: 2, Weight: 1}}
	f.b.HandleEndpoints(f.now, EndpointList{Kind: ListFull, Version: 2, Entries: entries})
	if got := f.serveRequests(400, nil); got[2] < 20 || got[2] > 70 {
		t.Errorf("%v sends, want a tenth to the endpoint of a tenth of the weight", got)
	}
}

// Each endpoint gets first attempts, whatever its ID: the sidecar counts from 0. An endpoint that a request excludes does not get it.
func TestEveryIDGetsFirstAttempts(t *testing.T) {
	f := start(t, settings(), 0)
	list := EndpointList{Kind: ListFull, Version: 1}
	for id := range EndpointID(3) {
		list.Entries = append(list.Entries, ListEntry{Endpoint: id, Cell: int(id), Weight: 1})
	}
	f.b.HandleEndpoints(f.now, list)
	got := f.serveRequests(300, func(EndpointID) Status { return StatusOK })
	for id := range EndpointID(3) {
		if got[id] < 50 {
			t.Errorf("endpoint %d got %d of 300", id, got[id])
		}
		for i := range 30 {
			before := len(f.sent)
			requestID := RequestID(fmt.Sprint("not", id, " ", i))
			f.b.HandleRequest(f.now, Request{ID: requestID, Class: read, TimeLeft: time.Second, Exclude: &id})
			if len(f.sent) != before+1 || f.sent[before].to == id {
				t.Fatalf("a request that excludes %d was sent as %v", id, f.sent[before:])
			}
			f.finish(f.sent[before], StatusOK, ms)
		}
	}
}

// If all endpoints reject calls, they are scanned once a tick, and not for each request.
func TestFullFleetIsScannedOnceATick(t *testing.T) {
	f := start(t, settings(), 200)
	f.serveRequests(600, nil)
	for _, e := range f.b.listed {
		e.rejectsUntil = f.now + time.Minute
	}
	f.request(read)
	if !f.b.exhausted.scopes[0] || f.b.exhausted.scopes[1] {
		t.Fatalf("exhausted: %v", f.b.exhausted.scopes)
	}
	before := len(f.sent)
	for _, e := range f.b.listed[5:] {
		e.rejectsUntil = 0 // without an event, so that only a scan finds it
	}
	f.request(read)
	if len(f.sent) > before {
		t.Error("the endpoints were scanned again")
	}
	f.advance(20 * ms)
	if len(f.sent) != before+2 {
		t.Errorf("%d of 2 were sent after the tick", len(f.sent)-before)
	}
}
