package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// tripsOff is a route that rejects its requests.
const tripsOff = "[route.trips]\nmatch_path = \"/trips/{rest...}\"\nserve = false\n"

// routedCallers book without pause, and count the outcomes.
type routedCallers struct {
	t        *testing.T
	p        *process
	running  sync.WaitGroup
	done     atomic.Bool // they stop
	served   atomic.Int64
	rejected atomic.Int64
}

// book books until done is set. Each booking has to be served or rejected.
func (c *routedCallers) book() {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for !c.done.Load() {
		switch status, err := c.p.book(client, "trip"); {
		case err != nil:
			c.t.Error(err)
			return
		case status == http.StatusOK:
			c.served.Add(1)
		case status == http.StatusServiceUnavailable:
			c.rejected.Add(1)
		default:
			c.t.Errorf("status %d", status)
		}
	}
}

// SIGHUP adds and removes routes while callers book without pause: each booking is served or, by a route that is off, rejected. A file
// whose routes are ambiguous changes nothing.
func TestRoutesBySIGHUP(t *testing.T) {
	good := fmt.Sprintf(sidecarFile, startSite(t, 3).Address())
	sidecar := launch(t, good)
	book := func(want int) {
		t.Helper()
		if status, err := sidecar.book(http.DefaultClient, "trip"); err != nil || status != want {
			t.Errorf("%d, %v, wanted %d", status, err, want)
		}
	}
	book(http.StatusOK)
	sidecar.reload(good+tripsOff, "reload: discovery is")
	book(http.StatusServiceUnavailable)
	log := sidecar.reload(good+tripsOff+"[route.books]\nmatch_classes = \"book-trip\"\n", "the old configuration stays")
	if !strings.Contains(log, "overlaps with [route.trips]") {
		t.Errorf("logged %s", log)
	}
	book(http.StatusServiceUnavailable)
	sidecar.reload(good+"[route.trips]\nmatch_path = \"/trips/{rest...}\"\nwhole_time = \"3s\"\nmost_open = 100\n", "reload: discovery is")
	book(http.StatusOK)

	callers := &routedCallers{t: t, p: sidecar}
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
