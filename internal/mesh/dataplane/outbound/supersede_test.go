package outbound_test

import (
	"bufio"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// slowRun is what became of the attempts of one request, the first of which takes much longer than those of other requests.
type slowRun struct {
	mu        sync.Mutex
	sent      int
	withdrawn time.Duration // when the first attempt was withdrawn; 0 for never
}

// playSlowRun has endpoints answer within 20 ms, but for the first attempt of one request, which runs for so long. Its second
// attempt ends as given. It returns what its client is answered, and when.
func playSlowRun(t *testing.T, length time.Duration, second inbound.ForwardResponse) (status int, after time.Duration, run *slowRun) {
	n := newNetwork(1, false)
	a := startSidecar(t, n, "a", 1)
	far, stopFar := startFar(n)
	defer func() {
		a.close()
		stopFar()
		time.Sleep(5 * time.Second)
	}()
	run = &slowRun{}
	answer := func(call *transport.IncomingCall, o inbound.ForwardResponse) { call.Reply(&o) }
	served := inbound.ForwardResponse{Kind: outcome.Answered, Status: 200, ReachedEndpoint: true}
	far.HandleRaw(inbound.MethodForward, func(call *transport.IncomingCall) {
		var p inbound.ForwardRequest
		qt.Check(t, codec.Unmarshal(call.Body, &p), qt.IsNil)
		if p.AttemptID != "slow" {
			time.AfterFunc(20*time.Millisecond, func() { answer(call, served) })
			return
		}
		run.mu.Lock()
		defer run.mu.Unlock()
		if run.sent++; run.sent > 1 {
			time.AfterFunc(20*time.Millisecond, func() { answer(call, second) })
			return
		}
		timer := time.AfterFunc(length, func() { answer(call, served) })
		call.OnCancel(func() {
			run.mu.Lock()
			run.withdrawn = a.hub.Now()
			run.mu.Unlock()
			timer.Stop()
			call.Reply(&inbound.ForwardResponse{Kind: outcome.TimedOut, ReachedEndpoint: true})
		})
	})
	var known []discovery.Endpoint
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		known = append(known, discovery.Endpoint{ID: id, Service: "s", SidecarAddress: "b:7", Zone: "z", State: discovery.Serving, Slots: 8})
	}
	a.outbound.UpdateEndpoints("s", known)
	p := &pair{n: n}
	stop := make(chan struct{})
	var others sync.WaitGroup
	for i := range 8 {
		others.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				_ = p.idempotent(fmt.Sprintf("%d-%d", i, k))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	began := a.hub.Now()
	status = p.idempotent("slow")
	after = a.hub.Now() - began
	time.Sleep(time.Second)
	close(stop)
	others.Wait()
	return status, after, run
}

// idempotent sends a request that may be repeated, and returns the status of its answer; 0 for none.
func (p *pair) idempotent(id string) int {
	conn := p.connect()
	defer conn.Close()
	go fmt.Fprintf(conn, "GET /idempotent/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nTime-Remaining: 1900\r\n\r\n", id)
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return a.StatusCode
}

// A request whose endpoint takes long is sent to another one too. Its first attempt goes on meanwhile: it is withdrawn once the client
// has an answer, and is the answer if the other one is turned away.
func TestARepeatDoesNotCostTheAttemptBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		status, after, run := playSlowRun(t, 800*time.Millisecond, inbound.ForwardResponse{Kind: outcome.AtCapacity})
		c.Check(run.sent > 1, qt.IsTrue, qt.Commentf("it is repeated: sent %d times", run.sent))
		c.Check(status, qt.Equals, 200)
		c.Check(run.withdrawn, qt.Equals, time.Duration(0))
		c.Check(after >= 800*time.Millisecond && after < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", after))
	})
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		status, after, run := playSlowRun(t, 1800*time.Millisecond, inbound.ForwardResponse{Kind: outcome.Answered, Status: 200, ReachedEndpoint: true})
		c.Check(run.sent, qt.Equals, 2)
		c.Check(status, qt.Equals, 200)
		c.Check(after < 800*time.Millisecond, qt.IsTrue, qt.Commentf("%v", after))
		c.Check(run.withdrawn > 0, qt.IsTrue)
	})
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		status, _, run := playSlowRun(t, 800*time.Millisecond, inbound.ForwardResponse{Kind: outcome.EndpointReset, ReachedEndpoint: true})
		c.Check(run.sent > 1, qt.IsTrue)
		c.Check(status, qt.Equals, 200)
	})
}
