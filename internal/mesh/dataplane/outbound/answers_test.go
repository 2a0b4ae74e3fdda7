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

// The kernel of a process that stands still takes connections: a call goes out only once the process itself has greeted, so what
// was meant for it was not executed and is rejected as such, and nothing begins when it wakes.
func TestNoCallGoesToAProcessThatStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := startPair(t)
		defer p.close()
		p.n.node("b").freeze(4 * time.Second)
		c.Assert(p.ask(t, "POST", "one", 2*time.Second), qt.Equals, 503)
		time.Sleep(5 * time.Second)
		c.Assert(p.executions("one"), qt.Equals, 0)
		c.Assert(p.ask(t, "POST", "two", 2*time.Second), qt.Equals, 200)
		c.Assert(p.executions("two"), qt.Equals, 1)
	})
}

// A process that stands still with calls in its buffers begins none of them when it wakes, if their time is up. The caller could
// not know, and promises nothing.
func TestAFrozenProcessBeginsNothingLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := startPair(t)
		defer p.close()
		c.Assert(p.ask(t, "POST", "first", 2*time.Second), qt.Equals, 200)
		p.n.node("b").freeze(900 * time.Millisecond)
		c.Assert(p.ask(t, "POST", "late", 400*time.Millisecond), qt.Equals, 504)
		time.Sleep(5 * time.Second)
		c.Assert(p.executions("late"), qt.Equals, 0)
	})
}

// The answer to HEAD is taken without its body, also from an endpoint that sends one: those bytes are no other request's answer.
func TestHeadGoesThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		defer p.close()
		qt.Assert(t, p.ask(t, "HEAD", "head", 2*time.Second), qt.Equals, 200)
		qt.Assert(t, p.ask(t, "GET", "next", 2*time.Second), qt.Equals, 200)
	})
}

// A client that closes its sending half, or goes, gets what is known of its request, never an answer that nobody gave.
func TestAClientThatHasGoneGetsNoEmptySuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := startPair(t)
		defer p.close()
		p.n.node("b").freeze(2 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		r := httptest.NewRequestWithContext(ctx, "POST", "/non_idempotent/x", nil)
		r.Host = "h"
		r.Header.Set("Attempt-Id", "gone")
		w := httptest.NewRecorder()
		p.a.server.Handler.ServeHTTP(w, r)
		c.Assert(w.Code, qt.Equals, 503)
		time.Sleep(3 * time.Second)
		c.Assert(p.executions("gone"), qt.Equals, 0)
	})
}

// A process that is about to end takes a request if twice its target of 500 ms fits before the end. What it has taken, before or
// since, is answered by then.
func TestRequestsNearTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := startPair(t)
		defer p.close()
		c.Assert(p.ask(t, "POST", "served", 2*time.Second), qt.Equals, 200)
		p.n.node("b").freeze(5 * time.Second)
		before := make(chan int, 1)
		go func() { before <- p.ask(t, "POST", "taken before", 2*time.Second) }()
		synctest.Wait()
		end := p.a.hub.Now() + 1200*time.Millisecond
		p.a.outbound.ShutDownBy(end)
		held := make(chan int, 1)
		go func() { held <- p.ask(t, "POST", "held", 2*time.Second) }()
		time.Sleep(300 * time.Millisecond)
		asked := p.a.hub.Now()
		c.Assert(p.ask(t, "POST", "does not fit", 2*time.Second), qt.Equals, 503)
		c.Assert(p.a.hub.Now()-asked < 10*time.Millisecond, qt.IsTrue)
		c.Assert(<-held, qt.Equals, 504)
		c.Assert(<-before, qt.Equals, 504)
		c.Assert(p.a.hub.Now() <= end, qt.IsTrue, qt.Commentf("%v", p.a.hub.Now()))
		c.Assert(p.ask(t, "POST", "after", 2*time.Second), qt.Equals, 503)
		time.Sleep(6 * time.Second)
		c.Assert(p.executions("taken before")+p.executions("held")+p.executions("does not fit")+p.executions("after"), qt.Equals, 0)
	})
}

// Each outcome of an attempt, by each kind of request, through the proxies: how often the request is sent, and what its client is
// answered.
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

// checkOutcome has the first attempt of a request end in one way, and others be served.
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
	qt.Check(t, []int{sent, got}, qt.DeepEquals, []int{wantSent, wantStatus}, qt.Commentf("%s, %s", kind, route))
}

func servedResponse() *inbound.ForwardResponse {
	return &inbound.ForwardResponse{Kind: outcome.Answered, Status: http.StatusOK, ReachedEndpoint: true}
}

// An endpoint's own failure is the answer to a request of which no later attempt is served: it is not hidden behind one of ours.
func TestAnEndpointsFailureIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, later := range []outcome.Kind{outcome.AtCapacity, outcome.ConnectionLost, outcome.TimedOut, outcome.InvalidResponse} {
			failure := &inbound.ForwardResponse{Kind: outcome.Answered, Status: http.StatusInternalServerError, ReachedEndpoint: true}
			_, got := answerAttempts(t, "idempotent", failure, &inbound.ForwardResponse{Kind: later, ReachedEndpoint: !later.NotExecuted()})
			qt.Check(t, got, qt.Equals, http.StatusInternalServerError, qt.Commentf("%s", later))
		}
	})
}

// answerAttempts has the first attempt of a request end in one way, and others in another. It returns how many there were, and the
// status that the client got.
func answerAttempts(t *testing.T, route string, first, others *inbound.ForwardResponse) (sent, got int) {
	t.Helper()
	n := newNetwork(1, false)
	a := startSidecar(t, n, "a", 1)
	peer, stopPeer := startPeer(n)
	defer func() {
		a.close()
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
	a.outbound.UpdateEndpoints("s", []discovery.Endpoint{
		servingEndpoint("i-1", "b", 3), servingEndpoint("i-2", "b", 3), servingEndpoint("i-3", "b", 3),
	})
	conn := n.connectClient("a")
	defer closeQuietly(conn)
	request := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: x\r\nTime-Remaining: 1500\r\nContent-Length: 0\r\n\r\n", route)
	got = askOn(t, conn, http.MethodPost, request)
	return sent, got
}
