package balancer

import (
	"testing"
	"time"
)

// All in slow start at once: what one instance sends each is capped by what available ones were seen to bear.
func TestSlowStartIsCapped(t *testing.T) {
	f := start(t, settings(), 10)
	f.serve(300, nil) // 50 a second, 5 to each
	for id := EndpointID(1); id <= 10; id++ {
		f.list(ListEntry{Endpoint: id, StartedAt: f.now})
	}
	got := map[EndpointID]int{}
	at := len(f.sent)
	for range 500 {
		f.ask(read)
		f.pass(2 * ms)
		for ; at < len(f.sent); at++ {
			got[f.sent[at].to]++
			f.end(f.sent[at], StatusOK, 2*ms)
		}
	}
	for id, n := range got {
		if n > 8 { // 3 times a fifth of ten a second, and a little for chance
			t.Errorf("%d sends in its first second to endpoint %d in slow start", n, id)
		}
	}
	if len(got) == 0 {
		t.Error("endpoints in slow start got nothing at all")
	}
}

// A machine in slow start was pushed over by retries of instances whose subsets do not hold it, and by its
// getting a whole endpoint's rate from each instance whose subset holds a sliver of it.
func TestSlowStartGoesByTheSubsetAndTakesNoRetriesFromOutside(t *testing.T) {
	s := settings()
	s.Instances = 60
	f := start(t, s, 20)
	f.serve(200, nil)
	var outside *endpoint
	for _, e := range f.b.listed {
		if e.subsetWeight == 0 {
			outside = e
		}
	}
	f.list(ListEntry{Endpoint: outside.id, StartedAt: f.now, Weight: 1})
	for range 50 {
		f.ask(read)
		f.end(f.last(), StatusRejected, ms)
		if to := f.last().to; to == outside.id {
			t.Fatal("a retry went to an endpoint in slow start outside the subset")
		}
		f.end(f.last(), StatusOK, 20*ms)
		f.pass(100 * ms)
	}
	cold := f.b.listed[0]
	for _, e := range f.b.listed {
		if e.subsetWeight > 0 {
			cold = e
		}
	}
	rate := func(part float64) float64 {
		cold.subsetWeight, cold.availability, cold.slowStartFrom, cold.slowStartTokens, cold.slowStartTokensAt = part, warmingUp, f.now, 0, f.now-10*ms
		f.b.slowStartAllows(f.now, cold)
		return cold.slowStartTokens
	}
	if whole, sliver := rate(1), rate(0.1); whole == 0 || sliver > 0.11*whole {
		t.Errorf("%.3f sends allowed for a tenth of an endpoint in slow start, %.3f for all of it", sliver, whole)
	}
}

// While no endpoint is available, what slow starts go by does not fade: nothing could renew it. It fades as soon as one is.
func TestSlowStartsKeepTheirRateWhileNoneIsAvailable(t *testing.T) {
	f := start(t, settings(), 2)
	for range 200 {
		f.ask(read)
		f.end(f.last(), StatusOK, 10*ms)
		f.pass(10 * ms)
	}
	before := f.b.warmSendRate.peak(f.now, f.b.rateWindow)
	for id := EndpointID(1); id <= 2; id++ {
		f.list(ListEntry{Endpoint: id, Weight: 1, StartedAt: f.now})
	}
	f.ask(read) // it keeps the ticks going
	f.pass(3 * time.Second)
	if !f.b.noneAvailable {
		t.Error("slow starts are limited as if others could take their calls")
	}
	if after := f.b.warmSendRate.peak(f.now, f.b.rateWindow); after < 0.95*before {
		t.Errorf("%.1f a second, %.1f before the endpoints started anew", after, before)
	}
	f.end(f.last(), StatusOK, 10*ms)
	f.list(ListEntry{Endpoint: 3, Weight: 1})
	kept := f.b.warmSendRate.peak(f.now, f.b.rateWindow)
	f.pass(3 * time.Second)
	if f.b.noneAvailable {
		t.Error("slow starts go on as if there were no available endpoint")
	}
	if after := f.b.warmSendRate.peak(f.now, f.b.rateWindow); after > 0.7*kept {
		t.Errorf("%.1f a second after 3 s with an available one that is sent nothing, %.1f before", after, kept)
	}
}
