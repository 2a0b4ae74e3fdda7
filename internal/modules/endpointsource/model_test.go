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

// modelUIDs are the endpoints of the model.
var modelUIDs = []string{"a", "b", "c", "d", "e", "f"}

// world is what the sources truly said, kept as simply as can be, to judge what the balancer knows.
type world struct {
	mode       Mode
	platform   map[string]Endpoint
	consul     map[string]Endpoint // Consul's last answers, put together
	lacked     map[string]bool     // that an answer lacked since the balancer was given it
	registered uint64
	// fast is given each event; slow is, too, and looks at everything each time.
	fast, slow *driver
}

func newWorld(t *testing.T, mode Mode) *world {
	t.Helper()
	return &world{
		mode: mode, platform: map[string]Endpoint{}, consul: map[string]Endpoint{}, lacked: map[string]bool{}, registered: 5,
		fast: drive(t, mode), slow: drive(t, mode),
	}
}

// draw is what a source says of some endpoint.
func (w *world) draw(t *rapid.T) Endpoint {
	uids := rapid.SampledFrom(modelUIDs)
	e := ep(uids.Draw(t, "uid"))
	switch rapid.IntRange(0, 5).Draw(t, "state") {
	case 0, 1:
		e.State, e.Reason = balancer.EndpointDraining, "critical"
	case 2:
		e.State, e.Reason, e.Maintenance = balancer.EndpointDraining, "maintenance", true
	}
	if rapid.IntRange(0, 4).Draw(t, "moves") == 0 {
		e.Address = uids.Draw(t, "address") + ":1"
	}
	if rapid.IntRange(0, 4).Draw(t, "anew") == 0 {
		w.registered++
		e.RegistrationIndex = w.registered
	}
	return e
}

// both plays an event on both.
func (w *world) both(event func(d *driver)) {
	event(w.fast)
	w.slow.m.allDirty = true
	event(w.slow)
}

// pass lets time go by. The slow one ticks as often, each time with a look at everything.
func (w *world) pass(t *rapid.T) {
	now := w.fast.now + time.Duration(rapid.SampledFrom([]int{0, 1, 100, 1000, 3000, 12000, 70000}).Draw(t, "ms"))*time.Millisecond
	w.fast.at(now)
	for due, ok := w.slow.m.NextTick(); ok && due <= now; due, ok = w.slow.m.NextTick() {
		w.slow.now = max(w.slow.now, due)
		w.slow.m.allDirty = true
		w.slow.given(w.slow.m.Tick(w.slow.now))
	}
	w.slow.now = now
}

// event brings one event.
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
			w.both(func(d *driver) { d.given(d.m.HandleConsulUnchanged(d.now)) })
		}
	case 5:
		uid := rapid.SampledFrom(modelUIDs).Draw(t, "failed")
		w.both(func(d *driver) { d.given(d.m.HandleConnectFailure(d.now, uid)) })
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

// Random reports from all sources: what is published step by step is what a fresh look at everything gives, and
// the rules hold as they are stated, whatever came.
func TestAgainstSlowReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, rapid.SampledFrom([]Mode{ModeConsul, ModeOverlay, ModePlatform, ModeRehearsal}).Draw(rt, "mode"))
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			w.pass(rt)
			w.event(rt)
			if got, want := fmt.Sprint(w.fast.knows), fmt.Sprint(w.slow.knows); got != want {
				rt.Fatalf("step by step the balancer knows\n%s\na look at everything gives\n%s", got, want)
			}
			w.judge(rt)
		}
	})
}

// judge holds what the balancer knows against what was said.
func (w *world) judge(t *rapid.T) {
	anyReady := false
	for uid, e := range w.fast.knows {
		if e.State == balancer.EndpointReady {
			anyReady = true
			w.judgeReady(t, uid)
		}
	}
	if anyReady {
		return
	}
	for uid := range w.consul {
		if w.couldBeReady(uid) {
			t.Fatalf("no endpoint gets work, but %s could", uid)
		}
	}
}

// judgeReady checks that an endpoint may get work.
func (w *world) judgeReady(t *rapid.T, uid string) {
	if w.mode == ModeConsul {
		w.judgeReadyByConsul(t, uid)
		return
	}
	if platform, ok := w.platform[uid]; !ok || platform.State != balancer.EndpointReady {
		t.Fatalf("%s gets work, but the platform says no", uid)
	}
	if w.mode == ModeOverlay && w.consul[uid].Maintenance && !w.fast.m.consulExpired {
		t.Fatalf("%s gets work in maintenance", uid)
	}
}

func (w *world) judgeReadyByConsul(t *rapid.T, uid string) {
	consul, inConsul := w.consul[uid]
	if !inConsul {
		if _, inPlatform := w.platform[uid]; !w.lacked[uid] && !inPlatform {
			t.Fatalf("%s gets work, and nobody ever named it", uid)
		}
		return
	}
	if consul.Maintenance {
		t.Fatalf("%s gets work in maintenance", uid)
	}
	if consul.State == balancer.EndpointReady {
		return
	}
	// Of those that are critical some get work only where all that get any are.
	for other, known := range w.fast.knows {
		said, ok := w.consul[other]
		if known.State == balancer.EndpointReady && ok && said.State == balancer.EndpointReady {
			t.Fatalf("%s is critical and gets work beside %s", uid, other)
		}
	}
}

// couldBeReady reports whether an endpoint that Consul has could get work where none does.
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

// sharesAddress reports whether another one may be at an endpoint's address: it may be in maintenance and newer.
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
