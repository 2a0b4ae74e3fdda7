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
	came, serve := make(chan bool), make(chan bool)
	rg := start(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		came <- true
		<-serve
		write(w, "ok")
	}))
	rg.server.quietPeriod = time.Millisecond
	rg.setShutdown(time.Hour, 0)
	idles := rg.connect(5)
	answer := make(chan *reply)
	ask := func(c *clientConn) { answer <- c.send(rg.request("once", 9*time.Second)) }
	go ask(idles[0])
	<-came
	rg.stop()
	close(serve)
	if res := <-answer; res == nil || res.status != 200 {
		t.Errorf("what was out at the signal: answer %+v", res)
	}
	for range 3 {
		go ask(idles[1])
		<-came
		if res := <-answer; res == nil || res.status != 200 || res.close {
			t.Errorf("on an open connection: answer %+v", res)
		}
	}
	late := rg.dial()
	go ask(late)
	<-came
	if res := <-answer; res == nil || res.status != 200 {
		t.Errorf("on a new connection: answer %+v", res)
	}
	closeNow(late)
	for _, c := range idles {
		closeNow(c)
	}
	rg.awaitEnd()
}

// All requests that a sidecar has accepted are answered before it is killed: requests from before the signal are cancelled at the
// end of the shutdown, and the attempts of later ones carry no more time than is left.
func TestStopAnswersAllInTime(t *testing.T) {
	const linger = 3 * time.Second
	came, gaveUp := make(chan string, 2), make(chan bool, 2)
	rg := start(t, 1024, startEndpoint(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		came <- r.Header.Get("X-Remaining")
		awaitCancel(r)
		gaveUp <- true
	}))
	rg.setShutdown(linger, 700*time.Millisecond)
	idles := rg.connect(5)
	answer := make(chan *reply, 2)
	ask := func(c *clientConn) { answer <- c.send(rg.request("once", time.Minute)) }
	go ask(idles[0])
	<-came
	rg.stop()
	go ask(idles[1])
	if left, ok := parseRemaining(<-came); !ok || left > linger {
		t.Errorf("an endpoint is told of %v", left)
	}
	for range 2 {
		// Nothing but the sidecar's end ends these: the endpoint is silent.
		if res := <-answer; res == nil || res.status != http.StatusBadGateway || !res.close {
			t.Errorf("answer %+v", res)
		}
		<-gaveUp
	}
	if now := time.Now(); now.Before(*rg.server.shutdownAt.Load()) || now.After(rg.server.shutdownAt.Load().Add(linger)) {
		t.Errorf("given up %v after the end", now.Sub(*rg.server.shutdownAt.Load()))
	}
	rg.awaitEnd()
}

// Callers open no new connections to a sidecar that is shutting down. A caller whose connections are all in use would reach no
// sidecar, so the only sidecar rejects requests, with Retry-After, before that.
func TestStopKeepsConnectionsIdle(t *testing.T) {
	came := make(chan bool, 1)
	one := startEndpoint(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Lane") == "read" {
			came <- true
			awaitCancel(r)
		}
	})
	for _, c := range []struct{ idles, instances, status int }{
		{2, 1, http.StatusServiceUnavailable}, {3, 1, http.StatusOK}, {0, 2, http.StatusOK},
	} {
		rg := startOneOf(t, c.instances, 1024, one)
		rg.setShutdown(time.Hour, 700*time.Millisecond)
		if status, _ := rg.ask(rg.request("once", 9*time.Second)); status != http.StatusOK {
			t.Fatalf("before the stop: %d", status)
		}
		conns := rg.connect(2 + c.idles)
		go conns[0].send(rg.request("read", 9*time.Second))
		<-came
		rg.stop()
		res := conns[1].send(rg.request("once", 9*time.Second))
		if res == nil || res.status != c.status || (res.header.Get("Retry-After") == "") != (c.status == 200) {
			t.Errorf("with %d idle and %d instances: %+v", c.idles, c.instances, res)
		}
	}
}

// Where there are other sidecars, one that is shutting down closes idle connections, so that callers move on, while it still
// answers the requests in flight.
func TestStopHandsOver(t *testing.T) {
	came, serve := make(chan bool), make(chan bool)
	rg := startOneOf(t, 2, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		came <- true
		<-serve
		write(w, "ok")
	}))
	rg.server.quietPeriod = time.Millisecond
	rg.setShutdown(time.Hour, time.Hour)
	idles := rg.connect(2)
	answer := make(chan *reply)
	go func() { answer <- idles[0].send(rg.request("once", 9*time.Second)) }()
	<-came
	rg.stop()
	idles[1].extend()
	if _, err := idles[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %v", err)
	}
	close(serve)
	if res := <-answer; res == nil || res.status != 200 || !res.close {
		t.Errorf("answer %+v", res)
	}
	rg.awaitEnd()
}
