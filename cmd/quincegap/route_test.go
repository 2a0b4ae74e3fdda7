package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// tripsOff is a route that is off.
const tripsOff = "[route.trips]\nmatch_path = \"/trips/{rest...}\"\nserve = false\n"

// routedCallers book without pause, and count what became of it.
type routedCallers struct {
	t               *testing.T
	p               *process
	all             sync.WaitGroup
	done            atomic.Bool
	served, refused atomic.Int64
}

// book books until done is set; each booking is served or refused.
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
			c.refused.Add(1)
		default:
			c.t.Errorf("status %d", status)
		}
	}
}

// more waits until some more have come to a count.
func (c *routedCallers) more(n *atomic.Int64) {
	c.t.Helper()
	before := n.Load()
	for end := time.Now().Add(patience); n.Load() < before+5; time.Sleep(time.Millisecond) {
		if time.Now().After(end) || c.t.Failed() {
			c.t.Fatal("no more bookings")
		}
	}
}

// take has the program read a file again, and returns what it says of it up to a word.
func (p *process) take(text, word string) string {
	p.t.Helper()
	p.writeFile(text)
	p.signal(syscall.SIGHUP)
	return p.awaitLog(word)
}

// Routes come and go by SIGHUP, while callers book without pause: each booking is served or, by a route that is off,
// refused; a file whose routes are ambiguous changes nothing.
func TestRoutesBySIGHUP(t *testing.T) {
	d := startSite(t, 3)
	good := fmt.Sprintf(goodFile, d.Address())
	p := launch(t, good)
	book := func(want int) {
		t.Helper()
		if status, err := p.book(http.DefaultClient, "trip"); err != nil || status != want {
			t.Errorf("%d, %v, wanted %d", status, err, want)
		}
	}
	book(http.StatusOK)
	p.take(good+tripsOff, "reload: discovery is")
	book(http.StatusServiceUnavailable)
	said := p.take(good+tripsOff+"[route.books]\nmatch_classes = \"book-trip\"\n", "the old configuration stays")
	if !strings.Contains(said, "overlaps with [route.trips]") {
		t.Errorf("said %s", said)
	}
	book(http.StatusServiceUnavailable)
	p.take(good+"[route.trips]\nmatch_path = \"/trips/{rest...}\"\nwhole_time = \"3s\"\nmost_open = 100\n", "reload: discovery is")
	book(http.StatusOK)

	callers := &routedCallers{t: t, p: p}
	for range 4 {
		callers.all.Go(callers.book)
	}
	for range 10 {
		p.take(good+tripsOff, "reload: discovery is")
		callers.more(&callers.refused)
		p.take(good, "reload: discovery is")
		callers.more(&callers.served)
	}
	callers.done.Store(true)
	callers.all.Wait()
	book(http.StatusOK)
}
