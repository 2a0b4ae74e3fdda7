package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// tripsOff is the part of a settings file with a route that rejects its requests.
const tripsOff = "[route.trips]\nmatch_path = \"/trips/{rest...}\"\nserve = false\n"

// routedCallers book without pause, and count the outcomes.
type routedCallers struct {
	t        *testing.T
	sidecar  *process
	running  sync.WaitGroup
	done     atomic.Bool // whether the callers have to stop
	served   atomic.Int64
	rejected atomic.Int64
}

// book sends bookings until done is set. A booking that is neither served nor rejected fails the test.
func (c *routedCallers) book() {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for !c.done.Load() {
		switch status, err := c.sidecar.book(client, "trip"); {
		case err != nil:
			c.t.Errorf("a booking of a caller failed: %v", err)
			return
		case status == http.StatusOK:
			c.served.Add(1)
		case status == http.StatusServiceUnavailable:
			c.rejected.Add(1)
		default:
			c.t.Errorf("a booking of a caller: got status %d, want 200 or 503", status)
		}
	}
}

// SIGHUP adds and removes routes while callers book without pause. Each booking is either served, or rejected by a route that is switched
// off. A file whose routes overlap ambiguously changes nothing.
func TestRoutesBySIGHUP(t *testing.T) {
	good := fmt.Sprintf(sidecarFile, startSite(t, 3).Address())
	sidecar := launch(t, good)
	book := func(want int) {
		t.Helper()
		if status, err := sidecar.book(http.DefaultClient, "trip"); err != nil || status != want {
			t.Errorf("a booking: got status %d, error %v, want status %d", status, err, want)
		}
	}
	book(http.StatusOK)
	sidecar.reload(good+tripsOff, "reload: discovery is")
	book(http.StatusServiceUnavailable)
	log := sidecar.reload(good+tripsOff+"[route.books]\nmatch_classes = \"book-trip\"\n", "the previous configuration remains in effect")
	if !strings.Contains(log, "overlaps with [route.trips]") {
		t.Errorf("the reload with ambiguous routes logged %s\nwant it to say that the route overlaps with [route.trips]", log)
	}
	book(http.StatusServiceUnavailable)
	sidecar.reload(good+"[route.trips]\nmatch_path = \"/trips/{rest...}\"\nwhole_time = \"3s\"\nmost_open = 100\n", "reload: discovery is")
	book(http.StatusOK)

	callers := &routedCallers{t: t, sidecar: sidecar}
	for range 4 {
		callers.running.Go(callers.book)
	}
	for range 10 {
		sidecar.reload(good+tripsOff, "reload: discovery is")
		awaitMore(t, &callers.rejected, 5)
		sidecar.reload(good, "reload: discovery is")
		awaitMore(t, &callers.served, 5)
	}
	callers.done.Store(true)
	callers.running.Wait()
	book(http.StatusOK)
}
