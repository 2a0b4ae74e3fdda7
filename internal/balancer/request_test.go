package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestCallsAreCancelledOnceTheClientHasGone(t *testing.T) {
	f := start(t, settings(), 2)
	id := f.ask(read)
	f.b.HandleClientGone(f.now, id)
	if len(f.cancels) != 1 || f.cancels[0].id != id {
		t.Errorf("cancelled %v, want %s", f.cancels, id)
	}
	f.end(f.last(), StatusCancelled, ms)
	if len(f.sent) != 1 || len(f.fails)+len(f.rejections) > 0 {
		t.Error("more was done for a client that had gone")
	}
}

func TestStreamBelongsToTheClient(t *testing.T) {
	s := settings()
	s.Classes[read].Streaming = true
	f := start(t, s, 2)
	id := f.ask(read)
	f.b.HandleResponseStart(f.now, id, 0, f.last().to)
	f.pass(10 * time.Second)
	f.b.HandleOutcome(f.now, Outcome{ID: id, Endpoint: f.last().to, Final: true, Status: StatusReset})
	if len(f.sent) != 1 || len(f.fails)+len(f.rejections)+len(f.cancels) > 0 {
		t.Error("a started stream was answered, repeated or cancelled")
	}
}

func TestUnknownEventsAreTakenInStride(t *testing.T) {
	f := start(t, settings(), 2)
	f.b.HandleOutcome(f.now, Outcome{ID: "unknown", Status: StatusOK})
	f.b.HandleClientGone(f.now, "unknown")
	f.b.HandleResponseStart(f.now, "unknown", 0, 1)
	f.b.HandleTimer(f.now, 99)
	f.b.HandleHealthCheck(f.now, HealthCheckResult{Endpoint: 9})
	f.b.HandlePeerMessage(f.now, 3, nil)
	f.ask(read)
	s := f.last()
	f.list(ListEntry{Endpoint: s.to, State: EndpointRemoved})
	f.b.HandleEndpoints(f.now, EndpointList{Kind: ListFull, Version: 3})
	f.end(s, StatusReset, ms)
	f.end(s, StatusOK, ms)
	f.pass(2 * time.Second)
	if len(f.rejections) != 1 {
		t.Errorf("rejected %v, want the one request that lost its endpoint and has no other", f.rejections)
	}
}

// The same events and seed must give the same actions.
func TestDeterminism(t *testing.T) {
	run := func() []sent {
		f := start(t, settings(), 9)
		f.serve(300, func(to EndpointID) Status {
			if to == 4 {
				return StatusReset
			}
			return StatusOK
		})
		return f.sent
	}
	if !slices.Equal(run(), run()) {
		t.Error("two runs of the same events differ")
	}
}
