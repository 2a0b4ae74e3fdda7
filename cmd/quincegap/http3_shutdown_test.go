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

// shutdownRun has callers over HTTP/3 of a sidecar that gets a signal, and records what its endpoint executed.
type shutdownRun struct {
	t           *testing.T
	rig         *http3Rig
	address     string   // the sidecar's UDP address
	answered    sync.Map // the status, by id
	startedLate sync.Map // whether it began after the signal, by id
	signalled   atomic.Bool
	served      atomic.Int64

	mu       sync.Mutex
	executed map[string]int // how often, by id
}

// serve is the handler of the endpoint.
func (s *shutdownRun) serve(w http.ResponseWriter, r *http.Request) {
	drain(r.Body)
	s.mu.Lock()
	s.executed[r.Header.Get("X-Txn")]++
	s.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	write(w, "ok")
}

// book books on a connection of its own until the sidecar has ended.
func (s *shutdownRun) book() {
	transport := s.rig.caller(nil)
	transport.QUICConfig.MaxIdleTimeout = 2 * time.Second
	client := &http.Client{Transport: transport, Timeout: testTimeout}
	for {
		id := fmt.Sprintf("e%d", lastTxn.Add(1))
		after := s.signalled.Load()
		s.startedLate.Store(id, after)
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
			s.t.Errorf("status %d", status)
		}
	}
}

// check compares what was executed with what was answered, after the callers have ended.
func (s *shutdownRun) check(signal syscall.Signal) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.executed {
		status, ok := s.answered.Load(id)
		after, _ := s.startedLate.Load(id)
		if n != 1 || signal == syscall.SIGTERM && (!ok || status != http.StatusOK && after != true) {
			s.t.Errorf("%s, started after the signal %v, was executed %d times, answered %v", id, after, n, status)
		}
	}
	s.answered.Range(func(id, status any) bool {
		want := map[any]int{http.StatusOK: 1, http.StatusServiceUnavailable: 0}
		if n, ok := want[status]; ok && s.executed[id.(string)] != n {
			s.t.Errorf("%v was answered %v and was executed %d times", id, status, s.executed[id.(string)])
		}
		return true
	})
}

// SIGTERM or SIGKILL comes while callers book over HTTP/3 without pause: each booking that is served is executed once. With SIGTERM each
// that starts before the signal and is executed is served. One that starts later, when there may not be time to serve it, gets a final
// response if it is executed, which may be that it may have been executed.
func TestHTTP3Ends(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			run := &shutdownRun{t: t, executed: map[string]int{}}
			e, err := booking.StartEndpoint("box-0", run.serve)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			discovery := startDiscovery(t, e.Target())
			run.rig = newHTTP3Rig(t)
			p := launch(t, run.rig.text(discovery.Address(), "127.0.0.1:0")+"\n[stop]\nstop_longest = \"2s\"\n")
			run.address = udpAddressOf(p)
			var callers sync.WaitGroup
			for range 6 {
				callers.Go(run.book)
			}
			for deadline := time.Now().Add(testTimeout); run.served.Load() < 100; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("no bookings")
				}
			}
			run.signalled.Store(true)
			p.signal(signal)
			callers.Wait()
			run.check(signal)
		})
	}
}

// SIGTERM finds callers at each stage: a handshake that does not finish, a connection without a request, one with half a request, one with
// a request in flight, and an idle one. The request in flight is answered, and nothing else delays the end.
func TestHTTP3EndsAtEachStage(t *testing.T) {
	t.Parallel()
	arrived, serve := make(chan bool, 1), make(chan bool)
	e, err := booking.StartEndpoint("box-0", func(w http.ResponseWriter, r *http.Request) {
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
	t.Cleanup(e.Close)
	discovery := startDiscovery(t, e.Target())
	rig := newHTTP3Rig(t)
	sidecar := launch(t, rig.text(discovery.Address(), "127.0.0.1:0")+"\n[stop]\nstop_longest = \"2s\"\n")
	address := udpAddressOf(sidecar)
	relay, err := udp.Start(address, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	relay.SetFault(udp.Fault{DropReplies: true})
	dialUnfinished(t, relay.Address(), address)
	answered := make(chan string, 1)
	out := sidecar.over(rig.caller(nil), address)
	go func() {
		status, err := out.book(nil, "trip")
		answered <- fmt.Sprint(status, err)
	}()
	<-arrived
	sidecar.signal(syscall.SIGTERM)
	time.AfterFunc(300*time.Millisecond, func() { close(serve) })
	if got := <-answered; got != "200<nil>" && got != "200 <nil>" {
		t.Errorf("the request in flight: %s", got)
	}
	sidecar.checkEnds(5 * time.Second)
}

// dialUnfinished makes three connections that do not finish a request: one to unresponsive, where the handshake does not finish, one
// without a request and one with half a request.
func dialUnfinished(t *testing.T, unresponsive, address string) {
	t.Helper()
	conf := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h3"}}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	var handshake sync.WaitGroup
	handshake.Go(func() {
		if conn, err := quic.DialAddr(ctx, unresponsive, conf, nil); err == nil {
			t.Error("a handshake finished without a response")
			_ = conn.CloseWithError(0, "")
		}
	})
	t.Cleanup(func() {
		cancel()
		handshake.Wait()
	})
	for _, text := range []string{"", "\x01\x40"} {
		conn, err := quic.DialAddr(ctx, address, conf, &quic.Config{KeepAlivePeriod: 100 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
		s, err := conn.OpenStreamSync(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if text == "" {
			continue
		}
		if _, err := s.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
}
