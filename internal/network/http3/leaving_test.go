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

// gate is a handler that answers requests for /slow after it is opened.
type gate struct {
	taken  chan struct{} // gets one element for each request that waits
	opened chan struct{} // closed to answer them
}

func newGate() *gate { return &gate{taken: make(chan struct{}, 10), opened: make(chan struct{})} }

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/slow" {
		g.taken <- struct{}{}
		select {
		case <-g.opened:
		case <-r.Context().Done():
		}
	}
	ok(w, r)
}

// attemptSlow makes an attempt at a gate in the background.
func (t *testTransport) attemptSlow() <-chan exchange.Result {
	done := make(chan exchange.Result, 1)
	go func() {
		done <- t.attempt(&exchange.Inbound{Method: "GET", Target: "/slow", Host: "h"}, testTimeout, nil)
	}()
	return done
}

// An endpoint that shuts down gracefully answers its requests; a request that crosses its GOAWAY has not run, and goes to a new connection
// if one can be made. An endpoint that dies resets its requests, and attempts reach its next incarnation.
func TestEndpointLeavesAndDies(t *testing.T) {
	test := newTestTransport(t, nil)
	secret := h3.Options{ResetSecret: [32]byte{1}}
	leaving := newGate()
	endpoint := test.serve("", secret, leaving.ServeHTTP)
	open := sync.OnceFunc(func() { close(leaving.opened) })
	t.Cleanup(open)
	done := test.attemptSlow()
	<-leaving.taken
	left := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		left <- endpoint.Shutdown(ctx)
	}()
	test.untilUnreachable()
	open()
	if res := <-done; res.Status != balancer.StatusOK {
		t.Errorf("what it had: %v", res.Status)
	}
	if err := <-left; err != nil {
		t.Error(err)
	}

	address := endpoint.Address()
	dying := newGate()
	again := test.serve(address, secret, dying.ServeHTTP)
	t.Cleanup(func() { close(dying.opened) })
	done = test.attemptSlow()
	<-dying.taken
	again.Kill()
	third, err := h3.Start(address, test.cert, secret, dying.ServeHTTP)
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	// Anything that is sent to the new process on the old connection is answered by a stateless reset.
	if res := <-done; res.Status != balancer.StatusInvalidResponse && res.Status != balancer.StatusReset && res.Status != balancer.StatusTimeout {
		t.Errorf("what died with it: %v", res.Status)
	}
	test.target(address)
	if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusOK {
		t.Errorf("its next start: %v", res.Status)
	}
}

// untilUnreachable makes attempts at an endpoint that shuts down. Until its GOAWAY has come they are served or rejected; then they can't
// connect.
func (t *testTransport) untilUnreachable() {
	t.t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		res := t.attempt(nil, 300*time.Millisecond, nil)
		switch res.Status {
		case balancer.StatusConnectFailed, balancer.StatusNotSent:
			return
		case balancer.StatusOK, balancer.StatusRejected:
		default:
			t.t.Fatalf("%v", res.Status)
		}
		if time.Now().After(end) {
			t.t.Fatalf("still %v", res.Status)
		}
	}
}
