package outbound_test

import (
	"bufio"
	"fmt"
	"io"
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

// usualServiceTime is the service time of all attempts in a slowRun except for the first attempt of the slow request.
const usualServiceTime = 20 * time.Millisecond

// slowRun is a run in which endpoints answer within usualServiceTime, except for the first attempt of one request, the slow request.
type slowRun struct {
	slowServiceTime time.Duration           // service time of the slow request's first attempt
	hedgeResponse   inbound.ForwardResponse // response to the slow request's later attempts, after usualServiceTime

	testNet *network
	caller  *sidecar

	mu          sync.Mutex
	sent        int           // number of attempts of the slow request
	cancelledAt time.Duration // time at which the slow request's first attempt was cancelled; 0 for never

	status  int           // status of the client's answer to the slow request; 0 for none
	elapsed time.Duration // time from sending the slow request until its answer
}

// serve answers the attempts that reach the endpoints' sidecar.
func (s *slowRun) serve(t *testing.T, call *transport.IncomingCall) {
	t.Helper()
	var r inbound.ForwardRequest
	qt.Check(t, codec.UnmarshalBuffers(call.Body, &r), qt.IsNil)
	if r.AttemptID != "slow" {
		time.AfterFunc(usualServiceTime, func() { call.Reply(servedResponse()) })
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if s.sent > 1 {
		time.AfterFunc(usualServiceTime, func() { call.Reply(&s.hedgeResponse) })
		return
	}
	timer := time.AfterFunc(s.slowServiceTime, func() { call.Reply(servedResponse()) })
	call.OnCancel(func() {
		s.mu.Lock()
		s.cancelledAt = s.caller.hub.Now()
		s.mu.Unlock()
		timer.Stop()
		call.Reply(&inbound.ForwardResponse{Kind: outcome.TimedOut, ReachedEndpoint: true})
	})
}

// play sends the slow request while other requests are being served.
func (s *slowRun) play(t *testing.T) {
	t.Helper()
	s.testNet = newNetwork(1, false)
	s.caller = startSidecar(t, s.testNet, "a", 1)
	peer, stopPeer := startPeer(s.testNet)
	defer func() {
		s.caller.close()
		stopPeer()
		time.Sleep(5 * time.Second)
	}()
	peer.HandleRaw(inbound.MethodForward, func(call *transport.IncomingCall) { s.serve(t, call) })
	s.caller.outbound.UpdateEndpoints("s", []discovery.Endpoint{
		servingEndpoint("i-1", "b", 8), servingEndpoint("i-2", "b", 8), servingEndpoint("i-3", "b", 8),
	})
	stop := make(chan struct{})
	var others sync.WaitGroup
	for i := range 8 {
		others.Go(func() { s.sendOthers(i, stop) })
	}
	time.Sleep(4 * time.Second)
	began := s.caller.hub.Now()
	s.status = s.ask("slow")
	s.elapsed = s.caller.hub.Now() - began
	time.Sleep(time.Second)
	close(stop)
	others.Wait()
}

// sendOthers sends requests one after another until stop is closed, and ignores the answers.
func (s *slowRun) sendOthers(client int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		_ = s.ask(fmt.Sprintf("%d-%d", client, i))
		time.Sleep(5 * time.Millisecond)
	}
}

// ask sends an idempotent request, and returns the status of its answer; 0 for none.
func (s *slowRun) ask(id string) int {
	conn := s.testNet.connectClient("a")
	defer closeQuietly(conn)
	request := fmt.Sprintf("GET /idempotent/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nTime-Remaining: 1900\r\n\r\n", id)
	go func() { _, _ = io.WriteString(conn, request) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close() //nolint:errcheck // the status alone counts
	return response.StatusCode
}

// A request whose endpoint takes long is hedged by a second attempt, while the first attempt continues. If the hedge is served, the first
// attempt is cancelled once the client has the answer. If the hedge is rejected or reset, the client gets the answer to the first attempt.
func TestARepeatDoesNotCostTheAttemptBefore(t *testing.T) {
	t.Run("the hedge is rejected", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			run := &slowRun{slowServiceTime: 800 * time.Millisecond, hedgeResponse: inbound.ForwardResponse{Kind: outcome.AtCapacity}}
			run.play(t)
			c.Check(run.sent > 1, qt.IsTrue, qt.Commentf("the slow request was sent %d times, want more than once", run.sent))
			c.Check(run.status, qt.Equals, 200)
			c.Check(run.cancelledAt, qt.Equals, time.Duration(0))
			c.Check(run.elapsed >= run.slowServiceTime && run.elapsed < run.slowServiceTime+100*time.Millisecond, qt.IsTrue,
				qt.Commentf("answered after %v, want the first attempt's service time %v and up to 100ms more", run.elapsed, run.slowServiceTime))
		})
	})
	t.Run("the hedge is served first", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			run := &slowRun{slowServiceTime: 1800 * time.Millisecond, hedgeResponse: *servedResponse()}
			run.play(t)
			c.Check(run.sent, qt.Equals, 2)
			c.Check(run.status, qt.Equals, 200)
			c.Check(run.elapsed < 800*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %v, want less than 800ms", run.elapsed))
			c.Check(run.cancelledAt > 0, qt.IsTrue)
		})
	})
	t.Run("the hedge is reset", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			hedgeResponse := inbound.ForwardResponse{Kind: outcome.EndpointReset, ReachedEndpoint: true}
			run := &slowRun{slowServiceTime: 800 * time.Millisecond, hedgeResponse: hedgeResponse}
			run.play(t)
			c.Check(run.sent > 1, qt.IsTrue)
			c.Check(run.status, qt.Equals, 200)
		})
	})
}
