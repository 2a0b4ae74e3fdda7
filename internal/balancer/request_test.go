package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestCallsAreCancelledOnceTheClientHasGone(t *testing.T) {
	f := start(t, settings(), 2)
	id := f.request(read)
	f.b.HandleClientGone(f.now, id)
	if len(f.cancels) != 1 || f.cancels[0].id != id {
		t.Errorf("cancelled %v, want %s", f.cancels, id)
	}
	f.finish(f.last(), StatusCancelled, ms)
	if len(f.sent) != 1 || len(f.fails)+len(f.rejections) > 0 {
		t.Error("more was done for a client that had gone")
	}
}

func TestStreamBelongsToTheClient(t *testing.T) {
	s := settings()
	s.Classes[read].Streaming = true
	f := start(t, s, 2)
	id := f.request(read)
	f.b.HandleResponseStart(f.now, id, 0, f.last().to)
	f.advance(10 * time.Second)
	f.b.HandleOutcome(f.now, Outcome{ID: id, Endpoint: f.last().to, Final: true, Status: StatusReset})
	if len(f.sent) != 1 || len(f.fails)+len(f.rejections)+len(f.cancels) > 0 {
		t.Error("a stream that had begun was answered, retried or cancelled")
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
	f.request(read)
	call := f.last()
	f.updateEndpoint(ListEntry{Endpoint: call.to, State: EndpointRemoved})
	f.b.HandleEndpoints(f.now, EndpointList{Kind: ListFull, Version: 3})
	f.finish(call, StatusReset, ms)
	f.finish(call, StatusOK, ms)
	f.advance(2 * time.Second)
	if len(f.rejections) != 1 {
		t.Errorf("rejected %v, want the one request that lost its endpoint and has no other", f.rejections)
	}
}

// Equal events with the same seed give the same attempts.
func TestDeterminism(t *testing.T) {
	run := func() []attempt {
		f := start(t, settings(), 9)
		f.serveRequests(300, func(to EndpointID) Status {
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
