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

// modelUIDs are the uids of all endpoints in the model.
var modelUIDs = []string{"a", "b", "c", "d", "e", "f"}

// referenceModel holds the current entries of the sources, against which the published endpoints are checked.
type referenceModel struct {
	mode             Mode
	platform         map[string]Endpoint // platform's current list, by uid
	consul           map[string]Endpoint // Consul's current entries, by uid
	missing          map[string]bool     // uids that Consul's answers lack and earlier ones had
	lastRegistration uint64              // latest registration index
	// fast and slow get the same events. fast evaluates only dirty entries; slow evaluates all entries each time.
	fast, slow *driver
}

func newReferenceModel(t *testing.T, mode Mode) *referenceModel {
	t.Helper()
	return &referenceModel{
		mode: mode, platform: map[string]Endpoint{}, consul: map[string]Endpoint{}, missing: map[string]bool{}, lastRegistration: 5,
		fast: newDriver(t, mode), slow: newDriver(t, mode),
	}
}

// draw draws a random entry of a source.
func (w *referenceModel) draw(t *rapid.T) Endpoint {
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
		w.lastRegistration++
		endpoint.RegistrationIndex = w.lastRegistration
	}
	return endpoint
}

// sendToBoth sends an event to both drivers.
func (w *referenceModel) sendToBoth(event func(d *driver)) {
	event(w.fast)
	w.slow.merger.allDirty = true
	event(w.slow)
}

// advance draws a duration and advances both drivers by it. The slow driver evaluates all entries at each tick.
func (w *referenceModel) advance(t *rapid.T) {
	now := w.fast.now + time.Duration(rapid.SampledFrom([]int{0, 1, 100, 1000, 3000, 12000, 70000}).Draw(t, "ms"))*time.Millisecond
	w.fast.advanceTo(now)
	for due, ok := w.slow.merger.NextTick(); ok && due <= now; due, ok = w.slow.merger.NextTick() {
		w.slow.now = max(w.slow.now, due)
		w.slow.merger.allDirty = true
		w.slow.apply(w.slow.merger.Tick(w.slow.now))
	}
	w.slow.now = now
}

// event draws a random event and sends it to both drivers.
func (w *referenceModel) event(t *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0:
		w.platformDelta(t)
	case 1:
		w.platformList(t)
	case 2, 3:
		w.consulAnswer(t)
	case 4:
		if w.fast.merger.consulAnswered {
			w.sendToBoth(func(d *driver) { d.apply(d.merger.HandleConsulUnchanged(d.now)) })
		}
	case 5:
		uid := rapid.SampledFrom(modelUIDs).Draw(t, "failed")
		w.sendToBoth(func(d *driver) { d.apply(d.merger.HandleConnectFailure(d.now, uid)) })
	case 7:
		if gone := slices.Sorted(maps.Keys(w.missing)); len(gone) > 0 {
			gone = gone[:rapid.IntRange(1, len(gone)).Draw(t, "confirmed")]
			w.sendToBoth(func(d *driver) { d.consul(ConsulAnswer{ConfirmedMissing: gone}) })
		}
	}
}

func (w *referenceModel) platformDelta(t *rapid.T) {
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
	w.sendToBoth(func(d *driver) { d.platform(balancer.ListDelta, e) })
}

func (w *referenceModel) platformList(t *rapid.T) {
	clear(w.platform)
	var all []Endpoint
	for range rapid.IntRange(0, 5).Draw(t, "full") {
		e := w.draw(t)
		if _, twice := w.platform[e.UID]; !twice {
			w.platform[e.UID] = e
			all = append(all, e)
		}
	}
	w.sendToBoth(func(d *driver) { d.platform(balancer.ListFull, all...) })
}

func (w *referenceModel) consulAnswer(t *rapid.T) {
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
			w.missing[uid] = true
		}
	}
	for _, e := range answer.Changed {
		w.consul[e.UID] = e
		delete(w.missing, e.UID)
	}
	w.sendToBoth(func(d *driver) { d.consul(answer) })
}

// After each of many random events, evaluating only the dirty entries has published the same as evaluating all entries, and the published
// endpoints conform to the rules of the mode.
func TestAgainstSlowReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newReferenceModel(t, rapid.SampledFrom([]Mode{ModeConsul, ModeOverlay, ModePlatform, ModeRehearsal}).Draw(rt, "mode"))
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			w.advance(rt)
			w.event(rt)
			if got, want := fmt.Sprint(w.fast.published), fmt.Sprint(w.slow.published); got != want {
				rt.Fatalf("evaluating only the dirty entries published\n%s\nwant, as after evaluating all entries,\n%s", got, want)
			}
			w.check(rt)
		}
	})
}

// check checks the balancer's list against the entries of the sources.
func (w *referenceModel) check(t *rapid.T) {
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
			t.Fatalf("no endpoint is listed as ready, but %s has to be", uid)
		}
	}
}

// checkReady checks that the sources allow an endpoint to be ready.
func (w *referenceModel) checkReady(t *rapid.T, uid string) {
	if w.mode == ModeConsul {
		w.checkReadyByConsul(t, uid)
		return
	}
	if platform, ok := w.platform[uid]; !ok || platform.State != balancer.EndpointReady {
		t.Fatalf("endpoint %s is ready, but not ready in the platform's list", uid)
	}
	if w.mode == ModeOverlay && w.consul[uid].Maintenance && !w.fast.merger.consulExpired {
		t.Fatalf("endpoint %s is ready although it is in maintenance", uid)
	}
}

// checkReadyByConsul checks that the sources allow an endpoint to be ready in mode consul.
func (w *referenceModel) checkReadyByConsul(t *rapid.T, uid string) {
	consul, inConsul := w.consul[uid]
	if !inConsul {
		if _, inPlatform := w.platform[uid]; !w.missing[uid] && !inPlatform {
			t.Fatalf("endpoint %s is ready, but no source has listed it", uid)
		}
		return
	}
	if consul.Maintenance {
		t.Fatalf("endpoint %s is ready although it is in maintenance", uid)
	}
	if consul.State == balancer.EndpointReady {
		return
	}
	// A critical endpoint is listed as ready only if all endpoints that are listed as ready are critical.
	for other, known := range w.fast.published {
		consulEntry, ok := w.consul[other]
		if known.State == balancer.EndpointReady && ok && consulEntry.State == balancer.EndpointReady {
			t.Fatalf("endpoint %s is listed as ready and critical, while %s is ready in Consul", uid, other)
		}
	}
}

// couldBeReady reports whether an endpoint in Consul has to be listed as ready if no other endpoint is.
func (w *referenceModel) couldBeReady(uid string) bool {
	consul := w.consul[uid]
	if consul.Maintenance {
		return false
	}
	switch w.mode {
	case ModeOverlay:
		platform, ok := w.platform[uid]
		return ok && platform.State == balancer.EndpointReady
	case ModeConsul:
		return w.fast.merger.consulAnswered && !w.sharesAddress(uid, consul.Address)
	case ModePlatform, ModeRehearsal:
	}
	return false
}

// sharesAddress reports whether another endpoint may have the same address. It may be of the later process, and in maintenance.
func (w *referenceModel) sharesAddress(uid, address string) bool {
	for other, consulEntry := range w.consul {
		if other != uid && consulEntry.Address == address {
			return true
		}
	}
	for other, entry := range w.fast.merger.entries {
		if other != uid && entry.consul != nil && entry.consul.Address == address {
			return true
		}
	}
	return false
}
