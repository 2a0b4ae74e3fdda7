package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"quincegap/internal/standin/booking"
	"quincegap/internal/standin/consul"
)

// The capacity of endpoints, and the terms of the rule that no endpoint may be overloaded in slow start. slowStartSettings has the same
// terms. They are stricter than those of any platform, so that an endpoint in slow start that gets an equal share breaks the rule.
const (
	coldShare   = 0.1                   // share of its capacity that an endpoint has at its start
	warmAfter   = 5 * time.Second       // length of slow start, in which the share rises to 1
	tipMultiple = 1.2                   // factor by which the bookings within tipWindow may exceed what an endpoint can serve
	tipWindow   = time.Second           // window in which bookings are counted
	slots       = 2                     // number of bookings that an endpoint serves at a time
	serviceTime = 20 * time.Millisecond // time that an endpoint takes to serve a booking
)

// slowStartSettings has the terms of the rule above as a part of a settings file.
const slowStartSettings = `
[warmup]
cold_share = 0.1
warm_after = "5s"
tip_multiple = 1.2
tip_window = "1s"
`

// slowEndpoint is an endpoint that serves a limited number of bookings at a time. It is as fast in slow start as later, though the rule
// assumes less capacity: if it answered more slowly, it would get fewer bookings for that reason alone.
type slowEndpoint struct {
	*booking.Endpoint
	inService chan struct{} // an entry for each booking that is being served

	mu       sync.Mutex
	started  time.Time   // the begin of slow start; zero if there was none
	arrivals []time.Time // the times at which bookings arrived
}

// startSlowEndpoint starts an endpoint that is not in slow start; see restart.
func startSlowEndpoint(t *testing.T, name string) *slowEndpoint {
	t.Helper()
	endpoint := &slowEndpoint{inService: make(chan struct{}, slots)}
	var err error
	endpoint.Endpoint, err = booking.StartEndpoint(name, func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		endpoint.mu.Lock()
		endpoint.arrivals = append(endpoint.arrivals, now)
		endpoint.mu.Unlock()
		drain(r.Body)
		endpoint.inService <- struct{}{}
		time.Sleep(serviceTime)
		<-endpoint.inService
		write(w, name)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	return endpoint
}

// share returns the share of its capacity that the endpoint has at a time. The caller must hold mu.
func (s *slowEndpoint) share(at time.Time) float64 {
	if s.started.IsZero() || at.Sub(s.started) >= warmAfter {
		return 1
	}
	return coldShare + (1-coldShare)*float64(at.Sub(s.started))/float64(warmAfter)
}

// restart begins the slow start of the endpoint.
func (s *slowEndpoint) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = time.Now()
}

// checkBudget checks the arrivals since the begin of slow start against the rule's budget: within no tipWindow may more than tipMultiple
// times as many bookings arrive as the endpoint can serve in it. It returns the highest share of the budget that was used in a window;
// above 1 the budget was exceeded.
func (s *slowEndpoint) checkBudget(t *testing.T) (worst float64) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	const slack = 4 // number of bookings above the budget that is allowed for random variation
	arrivals := s.arrivals[slices.IndexFunc(s.arrivals, func(at time.Time) bool { return at.After(s.started) }):]
	for i, from := range arrivals {
		if from.Sub(s.started) > warmAfter {
			break
		}
		arrived := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < tipWindow {
				arrived++
			}
		}
		fullCapacity := float64(slots) * float64(tipWindow) / float64(serviceTime)
		budget := tipMultiple * fullCapacity * (s.share(from) + s.share(from.Add(tipWindow))) / 2
		worst = max(worst, float64(arrived)/budget)
		if float64(arrived) > budget+slack {
			t.Errorf("%s, %v after its start, got %d bookings within %v, want at most its budget %.0f",
				s.Name, from.Sub(s.started), arrived, tipWindow, budget)
			return worst
		}
	}
	return worst
}

// startSlowStartRig starts Consul with n endpoints of limited capacity, and a sidecar. It starts no callers.
func startSlowStartRig(t *testing.T, n int) (*consulRig, []*slowEndpoint) {
	t.Helper()
	rig := startConsulRig(t, 0)
	var endpoints []*slowEndpoint
	rig.consul.Update(func(all []consul.Instance) []consul.Instance {
		for i := range n {
			endpoint := startSlowEndpoint(t, fmt.Sprintf("box-%d", i))
			endpoints = append(endpoints, endpoint)
			all = append(all, newInstance(endpoint.Endpoint, endpoint.Name))
		}
		return all
	})
	text := strings.Replace(rig.settingsFile("127.0.0.1:1", "consul"), "[membership]\n", "[membership]\nrestart_after = \"300ms\"\n", 1)
	rig.sidecar = launch(t, text+slowStartSettings)
	return rig, endpoints
}

// An instance is registered while the others are under load. It gets no more bookings than its budget allows, though its registration has
// no start time.
func TestConsulColdBudget(t *testing.T) {
	t.Parallel()
	rig, _ := startSlowStartRig(t, 3)
	rig.awaitReady("box-0", "box-1", "box-2")
	stop := rig.sidecar.startStream(5 * time.Millisecond)
	time.Sleep(2 * time.Second) // enough for the sidecar to learn the rate of the other endpoints
	fresh := startSlowEndpoint(t, "fresh")
	fresh.restart()
	rig.consul.Update(func(all []consul.Instance) []consul.Instance {
		return append(all, newInstance(fresh.Endpoint, fresh.Name))
	})
	rig.awaitReady("box-0", "box-1", "box-2", "fresh")
	time.Sleep(warmAfter + tipWindow)
	sent, rejected := stop()
	used := fresh.checkBudget(t)
	fresh.mu.Lock()
	arrived := len(fresh.arrivals)
	fresh.mu.Unlock()
	t.Logf("%d bookings, %d rejected; the new instance got %d, at most %.0f%% of its budget in a window", sent, rejected, arrived, 100*used)
	if arrived < 20 || rejected*20 > sent {
		t.Errorf("the new instance got %d of %d bookings, want at least 20; %d were rejected, want at most 5%%", arrived, sent, rejected)
	}
}

// All instances restart, one after the other. Each is critical for a while, and in slow start when its check passes again.
func TestConsulRollingRestartBudget(t *testing.T) {
	t.Parallel()
	rig, endpoints := startSlowStartRig(t, 5)
	names := []string{"box-0", "box-1", "box-2", "box-3", "box-4"}
	rig.awaitReady(names...)
	stop := rig.sidecar.startStream(8 * time.Millisecond)
	time.Sleep(2 * time.Second)
	for i, endpoint := range endpoints {
		rig.consul.SetStatus(endpoint.Name, "critical")
		rig.awaitReady(slices.Delete(slices.Clone(names), i, i+1)...)
		time.Sleep(500 * time.Millisecond) // longer than restart_after, counted from when the sidecar has seen the status
		endpoint.restart()
		rig.consul.SetStatus(endpoint.Name, "passing")
		rig.awaitReady(names...)
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	sent, rejected := stop()
	used := 0.0
	for _, endpoint := range endpoints {
		used = max(used, endpoint.checkBudget(t))
	}
	t.Logf("%d bookings, %d rejected; at most %.0f%% of the budget in a window", sent, rejected, 100*used)
	if rejected*20 > sent {
		t.Errorf("%d of %d bookings were rejected, want at most 5%%", rejected, sent)
	}
}

// A new instance without a start time is in slow start and gets fewer bookings than one whose start time is long ago. Over this many
// bookings the difference is far above random variation.
func TestConsulNewInstanceIsSpared(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 3)
	// Slow start lasts longer than the bookings, however slow the machine is, so that the share of the cold instance hardly changes.
	rig.startSidecar(rig.settingsFile("127.0.0.1:1", "consul") + "[warmup]\nwarm_after = \"1h\"\n")
	rig.awaitReady("box-0", "box-1", "box-2")
	rig.awaitServed(500) // enough for the sidecar to learn the latency of the other endpoints
	cold := startCountedEndpoint(t, "cold")
	warm := startCountedEndpoint(t, "warm")
	rig.consul.Update(func(all []consul.Instance) []consul.Instance {
		old := newInstance(warm.Endpoint, "warm")
		old.Meta = map[string]string{"started_ms": "1"}
		return append(all, newInstance(cold.Endpoint, "cold"), old)
	})
	rig.awaitReady("box-0", "box-1", "box-2", "cold", "warm")
	coldBefore, warmBefore := cold.count(), warm.count()
	rig.awaitServed(1500)
	toCold, toWarm := cold.count()-coldBefore, warm.count()-warmBefore
	if toCold == 0 || 10*toCold > 8*toWarm {
		t.Errorf("of 1,500 bookings the cold instance got %d and the warm one %d, want the cold one to get some, but at most 80%% as many",
			toCold, toWarm)
	}
	rig.stopCallers()
}
