package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestCallsAreCancelledOnceTheClientHasGone(t *testing.T) {
	fixture := start(t, settings(), 2)
	id := fixture.request(read)
	fixture.balancer.HandleClientGone(fixture.now, id)
	if len(fixture.cancels) != 1 || fixture.cancels[0].id != id {
		t.Errorf("after the client has gone: cancelled %v, want %s", fixture.cancels, id)
	}
	fixture.finish(fixture.last(), StatusCancelled, ms)
	if len(fixture.sent) != 1 || len(fixture.fails)+len(fixture.rejections) > 0 {
		t.Error("a request whose client has gone was sent again or answered")
	}
}

func TestStartedStreamIsNeitherRetriedNorAnswered(t *testing.T) {
	config := settings()
	config.Classes[read].Streaming = true
	fixture := start(t, config, 2)
	id := fixture.request(read)
	fixture.balancer.HandleResponseStart(fixture.now, id, 0, fixture.last().to)
	fixture.advance(10 * time.Second)
	fixture.balancer.HandleOutcome(fixture.now, Outcome{ID: id, Endpoint: fixture.last().to, Final: true, Status: StatusReset})
	if len(fixture.sent) != 1 || len(fixture.fails)+len(fixture.rejections)+len(fixture.cancels) > 0 {
		t.Error("a request whose stream had started was answered, retried or cancelled")
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	fixture := start(t, settings(), 2)
	fixture.balancer.HandleOutcome(fixture.now, Outcome{ID: "unknown", Status: StatusOK})
	fixture.balancer.HandleClientGone(fixture.now, "unknown")
	fixture.balancer.HandleResponseStart(fixture.now, "unknown", 0, 1)
	fixture.balancer.HandleTimer(fixture.now, 99)
	fixture.balancer.HandleHealthCheck(fixture.now, HealthCheckResult{Endpoint: 9})
	fixture.balancer.HandlePeerMessage(fixture.now, 3, nil)
	fixture.request(read)
	call := fixture.last()
	fixture.updateEndpoint(ListEntry{Endpoint: call.to, State: EndpointRemoved})
	fixture.balancer.HandleEndpoints(fixture.now, EndpointList{Kind: ListFull, Version: 3})
	fixture.finish(call, StatusReset, ms)
	fixture.finish(call, StatusOK, ms)
	fixture.advance(2 * time.Second)
	if len(fixture.rejections) != 1 {
		t.Errorf("rejected %v, want the one request whose endpoint was removed and which has no other", fixture.rejections)
	}
}

// Equal events with the same seed give the same attempts.
func TestDeterminism(t *testing.T) {
	run := func() []attempt {
		fixture := start(t, settings(), 9)
		fixture.serveRequests(300, func(to EndpointID) Status {
			if to == 4 {
				return StatusReset
			}
			return StatusOK
		})
		return fixture.sent
	}
	if !slices.Equal(run(), run()) {
		t.Error("two runs of the same events differ")
	}
}
