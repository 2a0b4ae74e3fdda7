package standalone

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"
)

// A sidecar that is shutting down goes on serving callers on the connections that they have: they may know no other sidecar. It
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
		t.Errorf("in flight at the signal: answer %+v", res)
	}
	for range 3 {
		go send(connections[1])
		<-arrived
		if res := <-answer; res == nil || res.status != 200 || res.close {
			t.Errorf("on an open connection: answer %+v", res)
		}
	}
	late := sidecar.dial()
	go send(late)
	<-arrived
	if res := <-answer; res == nil || res.status != 200 {
		t.Errorf("on a new connection: answer %+v", res)
	}
	closeQuietly(late)
	for _, c := range connections {
		closeQuietly(c)
	}
	sidecar.waitForEnd()
}

// All requests that a sidecar has accepted are answered before it is killed: requests from before the signal are cancelled at the
// end of the shutdown, and the attempts of later ones carry no more time than is left.
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
		t.Errorf("an attempt carries %v, more than is left", left)
	}
	for range 2 {
		// Only the end of the shutdown ends these: the endpoint does not answer.
		if res := <-answer; res == nil || res.status != http.StatusBadGateway || !res.close {
			t.Errorf("answer %+v", res)
		}
		<-cancelled
	}
	if now := time.Now(); now.Before(*sidecar.server.shutdownAt.Load()) || now.After(sidecar.server.shutdownAt.Load().Add(serveFor)) {
		t.Errorf("cancelled %v after the end", now.Sub(*sidecar.server.shutdownAt.Load()))
	}
	sidecar.waitForEnd()
}

// Callers open no new connections to a sidecar that is shutting down. A caller whose connections are all in use would reach no
// sidecar, so the only sidecar rejects requests, with Retry-After, before that.
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
			t.Fatalf("%s: before the shutdown: %d", test.name, status)
		}
		connections := sidecar.connectIdle(2 + test.idle)
		go connections[0].send(sidecar.request("read", 9*time.Second))
		<-arrived
		sidecar.beginShutdown()
		res := connections[1].send(sidecar.request("once", 9*time.Second))
		if res == nil || res.status != test.status || (res.header.Get("Retry-After") == "") != (test.status == 200) {
			t.Errorf("%s: %+v", test.name, res)
		}
	}
}

// Where there are other sidecars, one that is shutting down closes idle connections, so that callers move on, while it still
// answers the requests in flight.
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
	connections[1].extend()
	if _, err := connections[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %v", err)
	}
	close(release)
	if res := <-answer; res == nil || res.status != 200 || !res.close {
		t.Errorf("answer %+v", res)
	}
	sidecar.waitForEnd()
}
