package http3

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
	"quincegap/internal/standin/h3"
)

// gate is a handler that delays responses to requests for /slow until it is opened.
type gate struct {
	waiting chan struct{} // receives one element for each request that waits
	opened  chan struct{} // closed to respond to the waiting requests
}

func newGate() *gate { return &gate{waiting: make(chan struct{}, 10), opened: make(chan struct{})} }

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/slow" {
		g.waiting <- struct{}{}
		select {
		case <-g.opened:
		case <-r.Context().Done():
		}
	}
	ok(w, r)
}

// attemptSlow makes an attempt with a request for /slow in the background.
func (t *testTransport) attemptSlow() <-chan exchange.Result {
	done := make(chan exchange.Result, 1)
	go func() {
		done <- t.attempt(&exchange.Inbound{Method: "GET", Target: "/slow", Host: "h"}, testTimeout, nil)
	}()
	return done
}

// An endpoint that shuts down gracefully completes its requests. A request that it receives after it has sent GOAWAY is not executed, and
// is sent on a new connection if one can be made. If an endpoint is killed, its requests fail, and later attempts reach its next
// incarnation.
func TestEndpointShutdownAndKill(t *testing.T) {
	test := newTestTransport(t, nil)
	options := h3.Options{ResetSecret: [32]byte{1}}
	leaving := newGate()
	endpoint := test.serve("", options, leaving.ServeHTTP)
	open := sync.OnceFunc(func() { close(leaving.opened) })
	t.Cleanup(open)
	done := test.attemptSlow()
	<-leaving.waiting
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		stopped <- endpoint.Shutdown(ctx)
	}()
	test.untilUnreachable()
	open()
	if res := <-done; res.Status != balancer.StatusOK {
		t.Errorf("request accepted before the shutdown: got status %v, want %v", res.Status, balancer.StatusOK)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}

	address := endpoint.Address()
	dying := newGate()
	second := test.serve(address, options, dying.ServeHTTP)
	t.Cleanup(func() { close(dying.opened) })
	done = test.attemptSlow()
	<-dying.waiting
	second.Kill()
	third, err := h3.Start(address, test.cert, options, dying.ServeHTTP)
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	// The new process responds with a stateless reset to packets of the old connection.
	if res := <-done; res.Status != balancer.StatusInvalidResponse && res.Status != balancer.StatusReset && res.Status != balancer.StatusTimeout {
		t.Errorf("request to the killed endpoint: got status %v, want %v, %v or %v", res.Status,
			balancer.StatusInvalidResponse, balancer.StatusReset, balancer.StatusTimeout)
	}
	test.target(address)
	if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusOK {
		t.Errorf("request to the next incarnation: got status %v, want %v", res.Status, balancer.StatusOK)
	}
}

// untilUnreachable makes attempts at an endpoint that is shutting down until they can't connect. Before its GOAWAY has arrived, they may be
// served or rejected.
func (t *testTransport) untilUnreachable() {
	t.t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		res := t.attempt(nil, 300*time.Millisecond, nil)
		switch res.Status {
		case balancer.StatusConnectFailed, balancer.StatusNotSent:
			return
		case balancer.StatusOK, balancer.StatusRejected:
		default:
			t.t.Fatalf("attempt during the shutdown: got status %v, want %v, %v, or no connection",
				res.Status, balancer.StatusOK, balancer.StatusRejected)
		}
		if time.Now().After(end) {
			t.t.Fatalf("the endpoint is still reachable after %v: status %v", testTimeout, res.Status)
		}
	}
}
