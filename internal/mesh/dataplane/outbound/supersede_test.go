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

// usualServiceTime is how long the endpoints of a slowRun take for all other attempts.
const usualServiceTime = 20 * time.Millisecond

// slowRun is a run in which endpoints answer within usualServiceTime, except for the first attempt of one request, the slow one.
type slowRun struct {
	length time.Duration           // service time of the first attempt
	second inbound.ForwardResponse // to the second attempt, after usualServiceTime

	n      *network
	caller *sidecar

	mu          sync.Mutex
	sent        int           // attempts of the slow request
	cancelledAt time.Duration // when its first attempt was cancelled; 0 for never

	status int           // of the client's answer to the slow request; 0 for none
	after  time.Duration // from the request to the answer
}

// serve answers the attempts that reach the endpoints' sidecar.
func (s *slowRun) serve(t *testing.T, call *transport.IncomingCall) {
	t.Helper()
	var r inbound.ForwardRequest
	qt.Check(t, codec.Unmarshal(call.Body, &r), qt.IsNil)
	if r.AttemptID != "slow" {
		time.AfterFunc(usualServiceTime, func() { call.Reply(servedResponse()) })
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if s.sent > 1 {
		time.AfterFunc(usualServiceTime, func() { call.Reply(&s.second) })
		return
	}
	timer := time.AfterFunc(s.length, func() { call.Reply(servedResponse()) })
	call.OnCancel(func() {
		s.mu.Lock()
		s.cancelledAt = s.caller.hub.Now()
		s.mu.Unlock()
		timer.Stop()
		call.Reply(&inbound.ForwardResponse{Kind: outcome.TimedOut, ReachedEndpoint: true})
	})
}

// play runs the slow request amid others.
func (s *slowRun) play(t *testing.T) {
	t.Helper()
	s.n = newNetwork(1, false)
	s.caller = startSidecar(t, s.n, "a", 1)
	peer, stopPeer := startPeer(s.n)
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
	s.after = s.caller.hub.Now() - began
	time.Sleep(time.Second)
	close(stop)
	others.Wait()
}

// sendOthers sends requests one after another, and ignores the answers.
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
	conn := s.n.connectClient("a")
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

// A request whose endpoint takes long is hedged. The first attempt goes on: it is cancelled when the client has an answer, and is the
// answer if the hedged one is rejected.
func TestARepeatDoesNotCostTheAttemptBefore(t *testing.T) {
	t.Run("the hedged one is rejected", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			run := &slowRun{length: 800 * time.Millisecond, second: inbound.ForwardResponse{Kind: outcome.AtCapacity}}
			run.play(t)
			c.Check(run.sent > 1, qt.IsTrue, qt.Commentf("it is repeated: sent %d times", run.sent))
			c.Check(run.status, qt.Equals, 200)
			c.Check(run.cancelledAt, qt.Equals, time.Duration(0))
			c.Check(run.after >= run.length && run.after < run.length+100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", run.after))
		})
	})
	t.Run("the hedged one is served first", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			run := &slowRun{length: 1800 * time.Millisecond, second: *servedResponse()}
			run.play(t)
			c.Check(run.sent, qt.Equals, 2)
			c.Check(run.status, qt.Equals, 200)
			c.Check(run.after < 800*time.Millisecond, qt.IsTrue, qt.Commentf("%v", run.after))
			c.Check(run.cancelledAt > 0, qt.IsTrue)
		})
	})
	t.Run("the hedged one is reset", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			second := inbound.ForwardResponse{Kind: outcome.EndpointReset, ReachedEndpoint: true}
			run := &slowRun{length: 800 * time.Millisecond, second: second}
			run.play(t)
			c.Check(run.sent > 1, qt.IsTrue)
			c.Check(run.status, qt.Equals, 200)
		})
	})
}
