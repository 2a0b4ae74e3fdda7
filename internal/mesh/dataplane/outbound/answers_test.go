package outbound_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport"
)

// The kernel accepts connections for a suspended process. A call is sent only after the process itself has sent its hello. So requests for
// a suspended process are not executed, are rejected as not executed, and are not executed late when the process resumes.
func TestNoCallGoesToAProcessThatStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := startPair(t)
		defer pair.close()
		pair.testNet.node("b").freeze(4 * time.Second)
		c.Assert(pair.ask(t, "POST", "one", 2*time.Second), qt.Equals, 503)
		time.Sleep(5 * time.Second)
		c.Assert(pair.executions("one"), qt.Equals, 0)
		c.Assert(pair.ask(t, "POST", "two", 2*time.Second), qt.Equals, 200)
		c.Assert(pair.executions("two"), qt.Equals, 1)
	})
}

// A process that is suspended with calls in its buffers executes none of the expired ones when it resumes. The caller does not know that,
// and does not promise that they were not executed.
func TestAFrozenProcessBeginsNothingLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := startPair(t)
		defer pair.close()
		c.Assert(pair.ask(t, "POST", "first", 2*time.Second), qt.Equals, 200)
		pair.testNet.node("b").freeze(900 * time.Millisecond)
		c.Assert(pair.ask(t, "POST", "late", 400*time.Millisecond), qt.Equals, 504)
		time.Sleep(5 * time.Second)
		c.Assert(pair.executions("late"), qt.Equals, 0)
	})
}

// The answer to HEAD is read without a body, even from an endpoint that sends one. The bytes of such a body are not read as the answer to
// another request.
func TestHeadGoesThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := startPair(t)
		defer pair.close()
		qt.Assert(t, pair.ask(t, "HEAD", "head", 2*time.Second), qt.Equals, 200)
		qt.Assert(t, pair.ask(t, "GET", "next", 2*time.Second), qt.Equals, 200)
	})
}

// A client that closes its sending half or disconnects gets the outcome of its request as far as it is known, never an empty success.
func TestAClientThatHasGoneGetsNoEmptySuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := startPair(t)
		defer pair.close()
		pair.testNet.node("b").freeze(2 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		request := httptest.NewRequestWithContext(ctx, "POST", "/non_idempotent/x", nil)
		request.Host = "h"
		request.Header.Set("Attempt-Id", "gone")
		recorder := httptest.NewRecorder()
		pair.a.server.Handler.ServeHTTP(recorder, request)
		c.Assert(recorder.Code, qt.Equals, 503)
		time.Sleep(3 * time.Second)
		c.Assert(pair.executions("gone"), qt.Equals, 0)
	})
}

// A process that shuts down accepts a request only if at least twice the latency target of 500 ms is left until the end of the shutdown.
// The requests that it has accepted, before or after the shutdown began, are answered by that time.
func TestRequestsNearTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := startPair(t)
		defer pair.close()
		c.Assert(pair.ask(t, "POST", "served", 2*time.Second), qt.Equals, 200)
		pair.testNet.node("b").freeze(5 * time.Second)
		before := make(chan int, 1)
		go func() { before <- pair.ask(t, "POST", "accepted before", 2*time.Second) }()
		synctest.Wait()
		end := pair.a.hub.Now() + 1200*time.Millisecond
		pair.a.outbound.ShutDownBy(end)
		pending := make(chan int, 1)
		go func() { pending <- pair.ask(t, "POST", "pending", 2*time.Second) }()
		time.Sleep(300 * time.Millisecond)
		asked := pair.a.hub.Now()
		c.Assert(pair.ask(t, "POST", "does not fit", 2*time.Second), qt.Equals, 503)
		c.Assert(pair.a.hub.Now()-asked < 10*time.Millisecond, qt.IsTrue)
		c.Assert(<-pending, qt.Equals, 504)
		c.Assert(<-before, qt.Equals, 504)
		c.Assert(pair.a.hub.Now() <= end, qt.IsTrue, qt.Commentf("answers arrived by %v, want %v at the latest", pair.a.hub.Now(), end))
		c.Assert(pair.ask(t, "POST", "after", 2*time.Second), qt.Equals, 503)
		time.Sleep(6 * time.Second)
		for _, id := range []string{"accepted before", "pending", "does not fit", "after"} {
			c.Assert(pair.executions(id), qt.Equals, 0, qt.Commentf("executions of request %q", id))
		}
	})
}

// Checks, for each outcome of an attempt and each kind of route, how often the proxies send the request, and the client's answer.
func TestEachEndOfAnAttemptByKindOfRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for kind := outcome.Answered; kind <= outcome.EndpointReset; kind++ {
			if !kind.Entry().EndsAttempt {
				continue
			}
			for _, route := range []string{"idempotent", "downlink", "non_idempotent"} {
				checkOutcome(t, kind, route)
			}
		}
	})
}

// checkOutcome sends a request whose first attempt ends with the given outcome, and whose other attempts are served. It checks the number
// of attempts and the status of the client's answer.
func checkOutcome(t *testing.T, kind outcome.Kind, route string) {
	t.Helper()
	status := http.StatusOK
	if kind == outcome.Answered {
		status = http.StatusInternalServerError
	}
	first := &inbound.ForwardResponse{Kind: kind, Status: status, ReachedEndpoint: !kind.NotExecuted()}
	sent, got := answerAttempts(t, route, first, servedResponse())
	wantSent, wantStatus := 1, kind.Entry().Status
	switch kind.Next(status, route != "non_idempotent") {
	case outcome.Deliver:
		wantStatus = http.StatusInternalServerError
	case outcome.Retry, outcome.RetryIdempotent:
		wantSent, wantStatus = 2, http.StatusOK
	}
	qt.Check(t, []int{sent, got}, qt.DeepEquals, []int{wantSent, wantStatus},
		qt.Commentf("attempts and status after outcome %s on a route of kind %s", kind, route))
}

func servedResponse() *inbound.ForwardResponse {
	return &inbound.ForwardResponse{Kind: outcome.Answered, Status: http.StatusOK, ReachedEndpoint: true}
}

// If no later attempt is served, the client gets the endpoint's own failure. It is not replaced by an answer of the mesh.
func TestAnEndpointsFailureIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, later := range []outcome.Kind{outcome.AtCapacity, outcome.ConnectionLost, outcome.TimedOut, outcome.InvalidResponse} {
			failure := &inbound.ForwardResponse{Kind: outcome.Answered, Status: http.StatusInternalServerError, ReachedEndpoint: true}
			_, got := answerAttempts(t, "idempotent", failure, &inbound.ForwardResponse{Kind: later, ReachedEndpoint: !later.NotExecuted()})
			qt.Check(t, got, qt.Equals, http.StatusInternalServerError, qt.Commentf("status after a later attempt with outcome %s", later))
		}
	})
}

// answerAttempts sends a request. Its first attempt gets the response first, and each other attempt gets others. answerAttempts returns the
// number of attempts and the status of the client's answer.
func answerAttempts(t *testing.T, route string, first, others *inbound.ForwardResponse) (sent, got int) {
	t.Helper()
	network := newNetwork(1, false)
	caller := startSidecar(t, network, "a", 1)
	peer, stopPeer := startPeer(network)
	defer func() {
		caller.close()
		stopPeer()
		time.Sleep(time.Second)
	}()
	peer.HandleRaw(inbound.MethodForward, func(call *transport.IncomingCall) {
		sent++
		if sent == 1 {
			call.Reply(first)
			return
		}
		call.Reply(others)
	})
	caller.outbound.UpdateEndpoints("s", []discovery.Endpoint{
		servingEndpoint("i-1", "b", 3), servingEndpoint("i-2", "b", 3), servingEndpoint("i-3", "b", 3),
	})
	conn := network.connectClient("a")
	defer closeQuietly(conn)
	request := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: x\r\nTime-Remaining: 1500\r\nContent-Length: 0\r\n\r\n", route)
	got = askOn(t, conn, http.MethodPost, request)
	return sent, got
}
