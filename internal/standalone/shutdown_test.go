package standalone

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"
)

// A sidecar that is shutting down continues to serve callers on their open connections, because they may know no other sidecar. It
// accepts new connections, loses no request, and ends when all callers have disconnected.
func TestStopServesOpenConnections(t *testing.T) {
	arrived, release := make(chan bool), make(chan bool)
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-release
		write(w, "ok")
	}))
	sidecar.server.quietPeriod = time.Millisecond
	sidecar.setShutdown(time.Hour, 0)
	connections := sidecar.connectIdle(5)
	answer := make(chan *reply)
	send := func(c *clientConn) { answer <- c.send(sidecar.request("once", 9*time.Second)) }
	go send(connections[0])
	<-arrived
	sidecar.beginShutdown()
	close(release)
	if res := <-answer; res == nil || res.status != 200 {
		t.Errorf("request in flight at the signal: got answer %+v, want status 200", res)
	}
	for range 3 {
		go send(connections[1])
		<-arrived
		if res := <-answer; res == nil || res.status != 200 || res.close {
			t.Errorf("request on an open connection: got answer %+v, want status 200 and no close", res)
		}
	}
	late := sidecar.dial()
	go send(late)
	<-arrived
	if res := <-answer; res == nil || res.status != 200 {
		t.Errorf("request on a new connection: got answer %+v, want status 200", res)
	}
	closeQuietly(late)
	for _, c := range connections {
		closeQuietly(c)
	}
	sidecar.waitForEnd()
}

// All requests that a sidecar has accepted are answered before it is killed. Requests from before the signal are cancelled at the end of
// the shutdown, and attempts of later requests carry no more time than remains until then.
func TestStopAnswersAllInTime(t *testing.T) {
	const serveFor = 3 * time.Second
	arrived, cancelled := make(chan string, 2), make(chan bool, 2)
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.Header.Get("X-Remaining")
		awaitCancel(r)
		cancelled <- true
	}))
	sidecar.setShutdown(serveFor, 700*time.Millisecond)
	connections := sidecar.connectIdle(5)
	answer := make(chan *reply, 2)
	send := func(c *clientConn) { answer <- c.send(sidecar.request("once", time.Minute)) }
	go send(connections[0])
	<-arrived
	sidecar.beginShutdown()
	go send(connections[1])
	if left, ok := parseRemaining(<-arrived); !ok || left > serveFor {
		t.Errorf("attempt during the shutdown: got X-Remaining %v, want at most the time until the end of the shutdown", left)
	}
	for range 2 {
		// The endpoint does not answer, so only the end of the shutdown ends these requests.
		if res := <-answer; res == nil || res.status != http.StatusBadGateway || !res.close {
			t.Errorf("request at the end of the shutdown: got answer %+v, want status 502 and close", res)
		}
		<-cancelled
	}
	if now := time.Now(); now.Before(*sidecar.server.shutdownAt.Load()) || now.After(sidecar.server.shutdownAt.Load().Add(serveFor)) {
		t.Errorf("attempts were cancelled %v after the end of the shutdown, want 0 to 3 s", now.Sub(*sidecar.server.shutdownAt.Load()))
	}
	sidecar.waitForEnd()
}

// Callers open no new connections to a sidecar that is shutting down. A caller whose connections are all in use could reach no sidecar.
// So if there is no other sidecar, requests are rejected with Retry-After before all connections are in use.
func TestStopKeepsConnectionsIdle(t *testing.T) {
	arrived := make(chan bool, 1)
	endpoint := startEndpoint(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Lane") == "read" {
			arrived <- true
			awaitCancel(r)
		}
	})
	for _, test := range []struct {
		name                    string
		idle, instances, status int
	}{
		{"few idle connections and no replica", 2, 1, http.StatusServiceUnavailable},
		{"enough idle connections", 3, 1, http.StatusOK},
		{"a replica", 0, 2, http.StatusOK},
	} {
		sidecar := startReplica(t, test.instances, 1024, endpoint)
		sidecar.setShutdown(time.Hour, 700*time.Millisecond)
		if status, _ := sidecar.call(sidecar.request("once", 9*time.Second)); status != http.StatusOK {
			t.Fatalf("%s: request before the shutdown: got status %d, want 200", test.name, status)
		}
		connections := sidecar.connectIdle(2 + test.idle)
		go connections[0].send(sidecar.request("read", 9*time.Second))
		<-arrived
		sidecar.beginShutdown()
		res := connections[1].send(sidecar.request("once", 9*time.Second))
		if res == nil || res.status != test.status || (res.header.Get("Retry-After") == "") != (test.status == 200) {
			t.Errorf("%s: got answer %+v, want status %d, with Retry-After if it is not 200", test.name, res, test.status)
		}
	}
}

// If there are other sidecars, a sidecar that is shutting down closes idle connections, so that callers move to the others, while it
// still answers the requests in flight.
func TestStopHandsOver(t *testing.T) {
	arrived, release := make(chan bool), make(chan bool)
	sidecar := startReplica(t, 2, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-release
		write(w, "ok")
	}))
	sidecar.server.quietPeriod = time.Millisecond
	sidecar.setShutdown(time.Hour, time.Hour)
	connections := sidecar.connectIdle(2)
	answer := make(chan *reply)
	go func() { answer <- connections[0].send(sidecar.request("once", 9*time.Second)) }()
	<-arrived
	sidecar.beginShutdown()
	connections[1].extendDeadline()
	if _, err := connections[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read from an idle connection: got error %v, want EOF", err)
	}
	close(release)
	if res := <-answer; res == nil || res.status != 200 || !res.close {
		t.Errorf("request in flight at the signal: got answer %+v, want status 200 and close", res)
	}
	sidecar.waitForEnd()
}
