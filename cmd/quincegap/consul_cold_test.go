package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/standin/booking"
	"quincegap/internal/standin/consul"
)

// The fourth rule's terms in these tests: stricter than any platform's, so that an equal share breaks them.
const (
	coldShare   = 0.1
	warmAfter   = 5 * time.Second
	tipMultiple = 1.2
	tipWindow   = time.Second
	slots       = 2
	warmTakes   = 20 * time.Millisecond // a booking, in one slot of a warm box
)

const coldSettings = `
[warmup]
cold_share = 0.1
warm_after = "5s"
tip_multiple = 1.2
tip_window = "1s"
`

// slowEndpoint is a box with a capacity: so many bookings at once, each taking its time. While it is cold it can take
// less, and does not show it: one that answered more slowly would be spared for that alone.
type slowEndpoint struct {
	*booking.Endpoint
	room chan struct{}

	mu      sync.Mutex
	started time.Time // zero for long ago
	came    []time.Time
}

func startSlowEndpoint(t *testing.T, name string) *slowEndpoint {
	t.Helper()
	b := &slowEndpoint{room: make(chan struct{}, slots)}
	var err error
	b.Endpoint, err = booking.StartEndpoint(name, func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		b.mu.Lock()
		b.came = append(b.came, now)
		b.mu.Unlock()
		drain(r.Body)
		b.room <- struct{}{}
		time.Sleep(warmTakes)
		<-b.room
		write(w, name)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// share is the share of its capacity that it has at a time. The lock is held.
func (s *slowEndpoint) share(at time.Time) float64 {
	if s.started.IsZero() || at.Sub(s.started) >= warmAfter {
		return 1
	}
	return coldShare + (1-coldShare)*float64(at.Sub(s.started))/float64(warmAfter)
}

// restart makes it cold from now on.
func (s *slowEndpoint) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = time.Now()
}

// audit holds what came since its start against the rule's budget: in no window more than the multiple of what
// it could do in that window. It returns how full the fullest one was.
func (s *slowEndpoint) audit(t *testing.T) (worst float64) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	const slack = 4 // bookings, for chance
	came := s.came[slices.IndexFunc(s.came, func(at time.Time) bool { return at.After(s.started) }):]
	for i, from := range came {
		if from.Sub(s.started) > warmAfter {
			break
		}
		n := 0
		for _, at := range came[i:] {
			if at.Sub(from) < tipWindow {
				n++
			}
		}
		full := float64(slots) * float64(tipWindow) / float64(warmTakes)
		budget := tipMultiple * full * (s.share(from) + s.share(from.Add(tipWindow))) / 2
		worst = max(worst, float64(n)/budget)
		if float64(n) > budget+slack {
			t.Errorf("%s, %v after its start, got %d bookings within %v, its budget was %.0f", s.Name, from.Sub(s.started), n, tipWindow, budget)
			return worst
		}
	}
	return worst
}

// maxOutstanding bounds the bookings of a stream that are out at once. A stream has 3 to 5 out; while the machine keeps the sidecar
// waiting, callers that went on would fill its sockets and come all at once, which is neither an even pace nor the sidecar's doing.
const maxOutstanding = 16

// stream sends bookings at an even pace, as long as no more than maxOutstanding are out, until the function that is returned is
// called. That one returns how many there were, and how many of them were turned away; all others were served.
func (p *process) stream(every time.Duration) (end func() (all, refused int64)) {
	var sent, refused atomic.Int64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	outstanding := make(chan struct{}, maxOutstanding)
	done, ended := make(chan struct{}), make(chan struct{})
	book := func() {
		defer func() { <-outstanding }()
		switch status, err := p.book(client, "trip"); {
		case err != nil:
			p.t.Errorf("a booking: %v", err)
		case status == http.StatusServiceUnavailable:
			refused.Add(1)
		case status != http.StatusOK:
			p.t.Errorf("a booking: status %d", status)
		}
	}
	go func() {
		defer close(ended)
		var out sync.WaitGroup
		defer out.Wait()
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			select {
			case outstanding <- struct{}{}:
				sent.Add(1)
				out.Go(book)
			default: // this one is left out, as a ticker leaves out what nobody takes
			}
		}
	}()
	return func() (int64, int64) {
		close(done)
		<-ended
		client.CloseIdleConnections()
		return sent.Load(), refused.Load()
	}
}

func startColdRig(t *testing.T, n int) (*consulRig, []*slowEndpoint) {
	t.Helper()
	tn := startConsulRig(t, 0)
	var boxes []*slowEndpoint
	tn.consul.Update(func(all []consul.Instance) []consul.Instance {
		for i := range n {
			b := startSlowEndpoint(t, fmt.Sprintf("box-%d", i))
			boxes = append(boxes, b)
			all = append(all, consul.Instance{Node: "n", ID: b.Name, PassingWeight: 1, WarningWeight: 1}.WithAddress(b.Target().Address))
		}
		return all
	})
	text := strings.Replace(tn.text("127.0.0.1:1", "consul"), "[membership]\n", "[membership]\nrestart_after = \"300ms\"\n", 1)
	tn.p = launch(t, text+coldSettings)
	return tn, boxes
}

// An instance that is registered while the others are busy gets no more than its budget, though it says
// nothing of its start.
func TestConsulColdBudget(t *testing.T) {
	t.Parallel()
	tn, _ := startColdRig(t, 3)
	tn.awaitReady("box-0", "box-1", "box-2")
	end := tn.p.stream(5 * time.Millisecond)
	time.Sleep(2 * time.Second) // of bookings, to learn from
	fresh := startSlowEndpoint(t, "fresh")
	fresh.restart()
	tn.consul.Update(func(all []consul.Instance) []consul.Instance {
		return append(all, consul.Instance{Node: "n", ID: "fresh", PassingWeight: 1, WarningWeight: 1}.WithAddress(fresh.Target().Address))
	})
	tn.awaitReady("box-0", "box-1", "box-2", "fresh")
	time.Sleep(warmAfter + tipWindow)
	all, refused := end()
	full := fresh.audit(t)
	fresh.mu.Lock()
	n := len(fresh.came)
	fresh.mu.Unlock()
	t.Logf("%d bookings, %d turned away; fresh got %d, at most %.0f%% of its budget in a window", all, refused, n, 100*full)
	if n < 20 || refused*20 > all {
		t.Errorf("the fresh box got %d of %d bookings, %d were turned away", n, all, refused)
	}
}

// The whole fleet restarts, one box after another: each is critical for a while, and cold when it comes back.
func TestConsulRollingRestartBudget(t *testing.T) {
	t.Parallel()
	tn, boxes := startColdRig(t, 5)
	names := []string{"box-0", "box-1", "box-2", "box-3", "box-4"}
	tn.awaitReady(names...)
	end := tn.p.stream(8 * time.Millisecond)
	time.Sleep(2 * time.Second)
	for i, b := range boxes {
		tn.consul.SetStatus(b.Name, "critical")
		tn.awaitReady(slices.Delete(slices.Clone(names), i, i+1)...)
		time.Sleep(500 * time.Millisecond) // longer than restart_after, as the sidecar has seen it
		b.restart()
		tn.consul.SetStatus(b.Name, "passing")
		tn.awaitReady(names...)
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	all, refused := end()
	worst := 0.0
	for _, b := range boxes {
		worst = max(worst, b.audit(t))
	}
	t.Logf("%d bookings, %d turned away; at most %.0f%% of the budget in a window", all, refused, 100*worst)
	if refused*20 > all {
		t.Errorf("%d of %d bookings were turned away", refused, all)
	}
}
