package endpointsource

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quincegap/internal/balancer"
)

// modelUIDs are the uids of the endpoints of the model.
var modelUIDs = []string{"a", "b", "c", "d", "e", "f"}

// world is the model: the entries of the sources, against which the published endpoints are checked.
type world struct {
	mode       Mode
	platform   map[string]Endpoint // the platform's present list
	consul     map[string]Endpoint // Consul's present entries
	lacked     map[string]bool     // uids that an answer lacked since the last one that had them
	registered uint64              // the latest registration index
	// Both get each event. fast evaluates only dirty entries; slow evaluates all entries each time.
	fast, slow *driver
}

func newWorld(t *testing.T, mode Mode) *world {
	t.Helper()
	return &world{
		mode: mode, platform: map[string]Endpoint{}, consul: map[string]Endpoint{}, lacked: map[string]bool{}, registered: 5,
		fast: newDriver(t, mode), slow: newDriver(t, mode),
	}
}

// draw draws an entry of a source.
func (w *world) draw(t *rapid.T) Endpoint {
	uids := rapid.SampledFrom(modelUIDs)
	endpoint := endpointOf(uids.Draw(t, "uid"))
	switch rapid.IntRange(0, 5).Draw(t, "state") {
	case 0, 1:
		endpoint.State, endpoint.Reason = balancer.EndpointDraining, "critical"
	case 2:
		endpoint.State, endpoint.Reason, endpoint.Maintenance = balancer.EndpointDraining, "maintenance", true
	}
	if rapid.IntRange(0, 4).Draw(t, "moves") == 0 {
		endpoint.Address = uids.Draw(t, "address") + ":1"
	}
	if rapid.IntRange(0, 4).Draw(t, "anew") == 0 {
		w.registered++
		endpoint.RegistrationIndex = w.registered
	}
	return endpoint
}

// both sends an event to both drivers.
func (w *world) both(event func(d *driver)) {
	event(w.fast)
	w.slow.m.allDirty = true
	event(w.slow)
}

// advance draws a duration and advances both drivers by it. The slow one evaluates all entries at each tick.
func (w *world) advance(t *rapid.T) {
	now := w.fast.now + time.Duration(rapid.SampledFrom([]int{0, 1, 100, 1000, 3000, 12000, 70000}).Draw(t, "ms"))*time.Millisecond
	w.fast.advanceTo(now)
	for due, ok := w.slow.m.NextTick(); ok && due <= now; due, ok = w.slow.m.NextTick() {
		w.slow.now = max(w.slow.now, due)
		w.slow.m.allDirty = true
		w.slow.apply(w.slow.m.Tick(w.slow.now))
	}
	w.slow.now = now
}

// event draws an event and sends it to both drivers.
func (w *world) event(t *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0:
		w.platformDelta(t)
	case 1:
		w.platformList(t)
	case 2, 3:
		w.consulAnswer(t)
	case 4:
		if w.fast.m.consulAnswered {
			w.both(func(d *driver) { d.apply(d.m.HandleConsulUnchanged(d.now)) })
		}
	case 5:
		uid := rapid.SampledFrom(modelUIDs).Draw(t, "failed")
		w.both(func(d *driver) { d.apply(d.m.HandleConnectFailure(d.now, uid)) })
	case 7:
		if gone := slices.Sorted(maps.Keys(w.lacked)); len(gone) > 0 {
			gone = gone[:rapid.IntRange(1, len(gone)).Draw(t, "confirmed")]
			w.both(func(d *driver) { d.consul(ConsulAnswer{ConfirmedMissing: gone}) })
		}
	}
}

func (w *world) platformDelta(t *rapid.T) {
	e := w.draw(t)
	e.Maintenance = false
	if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
		if _, ok := w.platform[e.UID]; !ok {
			return
		}
		e.State = balancer.EndpointRemoved
		delete(w.platform, e.UID)
	} else {
		w.platform[e.UID] = e
	}
	w.both(func(d *driver) { d.platform(balancer.ListDelta, e) })
}

func (w *world) platformList(t *rapid.T) {
	clear(w.platform)
	var all []Endpoint
	for range rapid.IntRange(0, 5).Draw(t, "full") {
		e := w.draw(t)
		if _, twice := w.platform[e.UID]; !twice {
			w.platform[e.UID] = e
			all = append(all, e)
		}
	}
	w.both(func(d *driver) { d.platform(balancer.ListFull, all...) })
}

func (w *world) consulAnswer(t *rapid.T) {
	answer := ConsulAnswer{KnownBefore: len(w.consul), Untrusted: rapid.IntRange(0, 5).Draw(t, "untrusted") == 0}
	changed := map[string]bool{}
	for range rapid.IntRange(0, 4).Draw(t, "changed") {
		if e := w.draw(t); !changed[e.UID] {
			changed[e.UID] = true
			answer.Changed = append(answer.Changed, e)
		}
	}
	for _, uid := range modelUIDs {
		if _, known := w.consul[uid]; known && !changed[uid] && rapid.IntRange(0, 2).Draw(t, "missing") == 0 {
			answer.Missing = append(answer.Missing, uid)
			delete(w.consul, uid)
			w.lacked[uid] = true
		}
	}
	for _, e := range answer.Changed {
		w.consul[e.UID] = e
		delete(w.lacked, e.UID)
	}
	w.both(func(d *driver) { d.consul(answer) })
}

// Random events of all sources: evaluating only the dirty entries publishes the same as evaluating all of them, and the rules hold
// after each event.
func TestAgainstSlowReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, rapid.SampledFrom([]Mode{ModeConsul, ModeOverlay, ModePlatform, ModeRehearsal}).Draw(rt, "mode"))
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			w.advance(rt)
			w.event(rt)
			if got, want := fmt.Sprint(w.fast.published), fmt.Sprint(w.slow.published); got != want {
				rt.Fatalf("with dirty entries the balancer has\n%s\nwith all entries\n%s", got, want)
			}
			w.check(rt)
		}
	})
}

// check checks the balancer's list against the entries of the sources.
func (w *world) check(t *rapid.T) {
	anyReady := false
	for uid, e := range w.fast.published {
		if e.State == balancer.EndpointReady {
			anyReady = true
			w.checkReady(t, uid)
		}
	}
	if anyReady {
		return
	}
	for uid := range w.consul {
		if w.couldBeReady(uid) {
			t.Fatalf("no endpoint is ready, but %s could be", uid)
		}
	}
}

// checkReady checks that an endpoint may be ready.
func (w *world) checkReady(t *rapid.T, uid string) {
	if w.mode == ModeConsul {
		w.checkReadyByConsul(t, uid)
		return
	}
	if platform, ok := w.platform[uid]; !ok || platform.State != balancer.EndpointReady {
		t.Fatalf("%s is ready, but not by the platform", uid)
	}
	if w.mode == ModeOverlay && w.consul[uid].Maintenance && !w.fast.m.consulExpired {
		t.Fatalf("%s is ready in maintenance", uid)
	}
}

// checkReadyByConsul checks that an endpoint may be ready in mode consul.

func (w *world) checkReadyByConsul(t *rapid.T, uid string) {
	consul, inConsul := w.consul[uid]
	if !inConsul {
		if _, inPlatform := w.platform[uid]; !w.lacked[uid] && !inPlatform {
			t.Fatalf("%s is ready, and no source has listed it", uid)
		}
		return
	}
	if consul.Maintenance {
		t.Fatalf("%s is ready in maintenance", uid)
	}
	if consul.State == balancer.EndpointReady {
		return
	}
	// A critical endpoint is ready only if all ready ones are critical.
	for other, known := range w.fast.published {
		said, ok := w.consul[other]
		if known.State == balancer.EndpointReady && ok && said.State == balancer.EndpointReady {
			t.Fatalf("%s is critical and ready beside %s", uid, other)
		}
	}
}

// couldBeReady reports whether an endpoint that Consul has could be ready while none is.
func (w *world) couldBeReady(uid string) bool {
	consul := w.consul[uid]
	if consul.Maintenance {
		return false
	}
	switch w.mode {
	case ModeOverlay:
		platform, ok := w.platform[uid]
		return ok && platform.State == balancer.EndpointReady
	case ModeConsul:
		return w.fast.m.consulAnswered && !w.sharesAddress(uid, consul.Address)
	case ModePlatform, ModeRehearsal:
	}
	return false
}

// sharesAddress reports whether another endpoint may have the same address: it may be the later one, and in maintenance.
func (w *world) sharesAddress(uid, address string) bool {
	for other, said := range w.consul {
		if other != uid && said.Address == address {
			return true
		}
	}
	for other, entry := range w.fast.m.entries {
		if other != uid && entry.consul != nil && entry.consul.Address == address {
			return true
		}
	}
	return false
}
