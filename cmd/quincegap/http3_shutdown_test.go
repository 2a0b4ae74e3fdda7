package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"quincegap/internal/standin/booking"
	"quincegap/internal/standin/udp"
)

// shutdownRun is a run of a sidecar that gets a signal while callers book over HTTP/3. It records what the endpoint executed and what the
// sidecar answered.
type shutdownRun struct {
	t                  *testing.T
	rig                *http3Rig
	address            string   // the sidecar's UDP address
	answered           sync.Map // the status of the response, by id of the booking
	startedAfterSignal sync.Map // whether the booking began after the signal, by id
	signalled          atomic.Bool
	served             atomic.Int64 // the number of bookings that were served

	mu       sync.Mutex
	executed map[string]int // the number of executions, by id of the booking
}

// serve is the handler of the endpoint, which records and serves each booking.
func (s *shutdownRun) serve(w http.ResponseWriter, r *http.Request) {
	drain(r.Body)
	s.mu.Lock()
	s.executed[r.Header.Get("X-Txn")]++
	s.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	write(w, "ok")
}

// book sends bookings on its own connection until the sidecar has ended.
func (s *shutdownRun) book() {
	transport := s.rig.caller(nil)
	transport.QUICConfig.MaxIdleTimeout = 2 * time.Second
	client := &http.Client{Transport: transport, Timeout: testTimeout}
	for {
		id := fmt.Sprintf("e%d", lastTxn.Add(1))
		after := s.signalled.Load()
		s.startedAfterSignal.Store(id, after)
		status, _ := post(client, "https://"+s.address, "book-trip", id, id, "trip")
		if status == 0 {
			return // the sidecar has ended
		}
		s.answered.Store(id, status)
		switch {
		case status == http.StatusOK:
			s.served.Add(1)
		case status == http.StatusServiceUnavailable, status == http.StatusBadGateway && after:
		default:
			s.t.Errorf("booking %s, started after the signal %v: got status %d, want 200, 503, or 502 after the signal", id, after, status)
		}
	}
}

// check compares the executions with the answers, after the callers have ended.
func (s *shutdownRun) check(signal syscall.Signal) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.executed {
		status, ok := s.answered.Load(id)
		after, _ := s.startedAfterSignal.Load(id)
		if n != 1 || signal == syscall.SIGTERM && (!ok || status != http.StatusOK && after != true) {
			s.t.Errorf("booking %s, started after the signal %v, was executed %d times and answered with %v, want one execution and a valid answer",
				id, after, n, status)
		}
	}
	s.answered.Range(func(id, status any) bool {
		want := map[any]int{http.StatusOK: 1, http.StatusServiceUnavailable: 0}
		if n, ok := want[status]; ok && s.executed[id.(string)] != n {
			s.t.Errorf("booking %v was answered with %v and executed %d times, want %d", id, status, s.executed[id.(string)], n)
		}
		return true
	})
}

// The sidecar gets SIGTERM or SIGKILL while callers book over HTTP/3 without pause. Each booking that is served is executed once. With
// SIGTERM, each booking that starts before the signal and is executed is served. There may not be time to serve a booking that starts
// later. If it is executed it gets a final response, which may be that it may have been executed (502).
func TestHTTP3Ends(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			run := &shutdownRun{t: t, executed: map[string]int{}}
			endpoint, err := booking.StartEndpoint("box-0", run.serve)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(endpoint.Close)
			discovery := startDiscovery(t, endpoint.Target())
			run.rig = newHTTP3Rig(t)
			sidecar := launch(t, run.rig.settingsFile(discovery.Address(), "127.0.0.1:0")+"\n[stop]\nstop_longest = \"2s\"\n")
			run.address = udpAddressOf(sidecar)
			var callers sync.WaitGroup
			for range 6 {
				callers.Go(run.book)
			}
			for deadline := time.Now().Add(testTimeout); run.served.Load() < 100; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("only %d bookings were served within %v, want 100", run.served.Load(), testTimeout)
				}
			}
			run.signalled.Store(true)
			sidecar.signal(signal)
			callers.Wait()
			run.check(signal)
		})
	}
}

// The sidecar gets SIGTERM while it has a handshake that does not finish, a connection without a request, one with half a request, one with
// a request in flight, and an idle one. It answers the request in flight, and nothing else delays its end.
func TestHTTP3EndsAtEachStage(t *testing.T) {
	t.Parallel()
	arrived, serve := make(chan bool, 1), make(chan bool)
	endpoint, err := booking.StartEndpoint("box-0", func(w http.ResponseWriter, r *http.Request) {
		drain(r.Body)
		if strings.Contains(r.Header.Get("X-Txn"), "t") {
			arrived <- true
			<-serve
		}
		write(w, "ok")
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	discovery := startDiscovery(t, endpoint.Target())
	rig := newHTTP3Rig(t)
	sidecar := launch(t, rig.settingsFile(discovery.Address(), "127.0.0.1:0")+"\n[stop]\nstop_longest = \"2s\"\n")
	address := udpAddressOf(sidecar)
	relay, err := udp.Start(address, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	relay.SetFault(udp.Fault{DropReplies: true})
	dialUnfinished(t, relay.Address(), address)
	answered := make(chan string, 1)
	caller := sidecar.over(rig.caller(nil), address)
	go func() {
		status, err := caller.book(nil, "trip")
		answered <- fmt.Sprint(status, err)
	}()
	<-arrived
	sidecar.signal(syscall.SIGTERM)
	time.AfterFunc(300*time.Millisecond, func() { close(serve) })
	if got := <-answered; got != "200<nil>" && got != "200 <nil>" {
		t.Errorf("the request in flight: got status and error %q, want 200 and <nil>", got)
	}
	sidecar.checkEnds(5 * time.Second)
}

// dialUnfinished opens three connections that finish no request. The first one is to the address unresponsive, where the handshake does not
// finish. The second one sends no request, and the third one half a request.
func dialUnfinished(t *testing.T, unresponsive, address string) {
	t.Helper()
	config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h3"}}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	var handshake sync.WaitGroup
	handshake.Go(func() {
		if conn, err := quic.DialAddr(ctx, unresponsive, config, nil); err == nil {
			t.Error("the handshake with the unresponsive address finished")
			_ = conn.CloseWithError(0, "")
		}
	})
	t.Cleanup(func() {
		cancel()
		handshake.Wait()
	})
	for _, text := range []string{"", "\x01\x40"} {
		conn, err := quic.DialAddr(ctx, address, config, &quic.Config{KeepAlivePeriod: 100 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
		stream, err := conn.OpenStreamSync(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if text == "" {
			continue
		}
		if _, err := stream.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
}
