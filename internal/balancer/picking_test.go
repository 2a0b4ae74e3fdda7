package balancer

import (
	"fmt"
	"testing"
	"time"
)

func TestFewerInFlightWins(t *testing.T) {
	f := start(t, settings(), 2)
	f.ask(read)
	first := f.last().to
	f.ask(read)
	if f.last().to == first {
		t.Error("the second call joined the first although the other endpoint was idle")
	}
}

// In a subset of two the draw takes both, and a coin for ties gave both the same, whatever their weights.
func TestTiesFallByWeight(t *testing.T) {
	s := settings()
	s.Instances = 40
	f := start(t, s, 0)
	f.b.HandleEndpoints(f.now, EndpointList{Kind: ListFull, Version: 2, Entries: []ListEntry{{Endpoint: 1, Weight: 9}, {Endpoint: 2, Weight: 1}}})
	if got := f.serve(400, nil); got[2] < 20 || got[2] > 70 {
		t.Errorf("%v sends, want a tenth to the endpoint of a tenth of the weight", got)
	}
}

// Each endpoint gets first attempts, whatever its id: the sidecar counts from 0. One that a request is to go elsewhere
// from gets none of that.
func TestEveryIDGetsFirstAttempts(t *testing.T) {
	f := start(t, settings(), 0)
	l := EndpointList{Kind: ListFull, Version: 1}
	for id := range EndpointID(3) {
		l.Entries = append(l.Entries, ListEntry{Endpoint: id, Cell: int(id), Weight: 1})
	}
	f.b.HandleEndpoints(f.now, l)
	got := f.serve(300, func(EndpointID) Status { return StatusOK })
	for id := range EndpointID(3) {
		if got[id] < 50 {
			t.Errorf("endpoint %d got %d of 300", id, got[id])
		}
		for i := range 30 {
			at := len(f.sent)
			r := RequestID(fmt.Sprint("not", id, " ", i))
			f.b.HandleRequest(f.now, Request{ID: r, Class: read, TimeLeft: time.Second, Exclude: &id})
			if len(f.sent) != at+1 || f.sent[at].to == id {
				t.Fatalf("not to %d, and it went to %v", id, f.sent[at:])
			}
			f.end(f.sent[at], StatusOK, ms)
		}
	}
}

// A fleet that is full is scanned once a tick, not with every request that comes, and each answer lets one through.
func TestFullFleetIsScannedOnceATick(t *testing.T) {
	f := start(t, settings(), 200)
	f.serve(600, nil)
	for _, e := range f.b.listed {
		e.rejectsUntil = f.now + time.Minute
	}
	f.ask(read)
	if !f.b.exhausted.scopes[0] || f.b.exhausted.scopes[1] {
		t.Fatalf("exhausted: %v", f.b.exhausted.scopes)
	}
	before := len(f.sent)
	for _, e := range f.b.listed[5:] {
		e.rejectsUntil = 0 // untold, so that a scan would show
	}
	f.ask(read)
	if len(f.sent) > before {
		t.Error("it scanned all again")
	}
	f.pass(20 * ms)
	if len(f.sent) != before+2 {
		t.Errorf("%d of 2 were sent after the tick", len(f.sent)-before)
	}
}
