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

// world is what the sources truly said, kept as simply as can be, to judge what the module knows.
type world struct {
	platform map[string]Endpoint
	consul   map[string]Endpoint // Consul's last answers, put together
	lacked   map[string]bool     // that an answer lacked since the module was told of it
}

// Random reports from all sources: what is told step by step is what a fresh look at everything gives, and
// the rules hold as they are stated, whatever came.
func TestAgainstSlowReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mode := rapid.SampledFrom([]Mode{ModeConsul, ModeOverlay, ModePlatform, ModeRehearsal}).Draw(rt, "mode")
		fast, slow := drive(t, mode), drive(t, mode)
		w := world{map[string]Endpoint{}, map[string]Endpoint{}, map[string]bool{}}
		uids := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
		registered := uint64(5)
		draw := func() Endpoint {
			e := ep(uids.Draw(rt, "uid"))
			switch rapid.IntRange(0, 5).Draw(rt, "state") {
			case 0, 1:
				e.State, e.Reason = balancer.EndpointDraining, "critical"
			case 2:
				e.State, e.Reason, e.Maintenance = balancer.EndpointDraining, "maintenance", true
			}
			if rapid.IntRange(0, 4).Draw(rt, "moves") == 0 {
				e.Address = uids.Draw(rt, "address") + ":1"
			}
			if rapid.IntRange(0, 4).Draw(rt, "anew") == 0 {
				registered++
				e.RegistrationIndex = registered
			}
			return e
		}
		// both plays an event on both, the slow one looking at everything.
		both := func(event func(d *driver)) {
			event(fast)
			slow.m.allDirty = true
			event(slow)
		}
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			now := fast.now + time.Duration(rapid.SampledFrom([]int{0, 1, 100, 1000, 3000, 12000, 70000}).Draw(rt, "ms"))*time.Millisecond
			fast.at(now)
			// The slow one ticks as often, each time with a look at everything.
			for due, ok := slow.m.NextTick(); ok && due <= now; due, ok = slow.m.NextTick() {
				slow.now = max(slow.now, due)
				slow.m.allDirty = true
				slow.told(slow.m.Tick(slow.now))
			}
			slow.now = now
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0:
				e := draw()
				e.Maintenance = false
				if rapid.IntRange(0, 3).Draw(rt, "gone") == 0 {
					if _, ok := w.platform[e.UID]; !ok {
						continue
					}
					e.State = balancer.EndpointRemoved
					delete(w.platform, e.UID)
				} else {
					w.platform[e.UID] = e
				}
				both(func(d *driver) { d.platform(balancer.ListDelta, e) })
			case 1:
				clear(w.platform)
				var all []Endpoint
				for range rapid.IntRange(0, 5).Draw(rt, "whole") {
					e := draw()
					if _, twice := w.platform[e.UID]; !twice {
						w.platform[e.UID] = e
						all = append(all, e)
					}
				}
				both(func(d *driver) { d.platform(balancer.ListFull, all...) })
			case 2, 3:
				a := ConsulAnswer{KnownBefore: len(w.consul), Untrusted: rapid.IntRange(0, 5).Draw(rt, "doubtful") == 0}
				changed := map[string]bool{}
				for range rapid.IntRange(0, 4).Draw(rt, "changed") {
					if e := draw(); !changed[e.UID] {
						changed[e.UID] = true
						a.Changed = append(a.Changed, e)
					}
				}
				for _, uid := range []string{"a", "b", "c", "d", "e", "f"} {
					if _, known := w.consul[uid]; known && !changed[uid] && rapid.IntRange(0, 2).Draw(rt, "missing") == 0 {
						a.Missing = append(a.Missing, uid)
						delete(w.consul, uid)
						w.lacked[uid] = true
					}
				}
				for _, e := range a.Changed {
					w.consul[e.UID] = e
					delete(w.lacked, e.UID)
				}
				both(func(d *driver) { d.consul(a) })
			case 4:
				if fast.m.consulAnswered {
					both(func(d *driver) { d.told(d.m.HandleConsulUnchanged(d.now)) })
				}
			case 7:
				if gone := slices.Sorted(maps.Keys(w.lacked)); len(gone) > 0 {
					gone = gone[:rapid.IntRange(1, len(gone)).Draw(rt, "confirmed")]
					both(func(d *driver) { d.consul(ConsulAnswer{ConfirmedMissing: gone}) })
				}
			case 5:
				uid := uids.Draw(rt, "failed")
				both(func(d *driver) { d.told(d.m.HandleConnectFailure(d.now, uid)) })
			}
			if got, want := fmt.Sprint(fast.knows), fmt.Sprint(slow.knows); got != want {
				rt.Fatalf("step by step the module knows\n%s\na look at everything gives\n%s", got, want)
			}
			w.judge(rt, mode, fast)
		}
	})
}

// evaluate holds what the module knows against what was said.
func (w *world) judge(rt *rapid.T, mode Mode, d *driver) {
	ready := 0
	for _, e := range d.knows {
		if e.State == balancer.EndpointReady {
			ready++
		}
	}
	for uid, e := range d.knows {
		if e.State != balancer.EndpointReady {
			continue
		}
		p, inPlatform := w.platform[uid]
		c, inConsul := w.consul[uid]
		switch mode {
		case ModePlatform, ModeRehearsal:
			if !inPlatform || p.State != balancer.EndpointReady {
				rt.Fatalf("%s gets work, but the platform says no", uid)
			}
		case ModeOverlay:
			if !inPlatform || p.State != balancer.EndpointReady {
				rt.Fatalf("%s gets work, but the platform says no", uid)
			}
			if inConsul && c.Maintenance && !d.m.consulExpired {
				rt.Fatalf("%s gets work in maintenance", uid)
			}
		case ModeConsul:
			if inConsul && c.Maintenance {
				rt.Fatalf("%s gets work in maintenance", uid)
			}
			// Of those that are critical some get work only where all that get any are.
			if inConsul && c.State != balancer.EndpointReady {
				for other, o := range d.knows {
					if oc, ok := w.consul[other]; o.State == balancer.EndpointReady && ok && oc.State == balancer.EndpointReady {
						rt.Fatalf("%s is critical and gets work beside %s", uid, other)
					}
				}
			}
			if !inConsul && !w.lacked[uid] && !inPlatform {
				rt.Fatalf("%s gets work, and nobody ever named it", uid)
			}
		}
	}
	if ready > 0 {
		return
	}
	// Nobody gets work: then nobody could.
	for uid, c := range w.consul {
		p, inPlatform := w.platform[uid]
		able := mode == ModeConsul && d.m.consulAnswered && !c.Maintenance || mode == ModeOverlay && inPlatform && p.State == balancer.EndpointReady && !c.Maintenance
		if able && mode == ModeConsul {
			// Another one at its address may be in maintenance and newer.
			for other, o := range w.consul {
				if other != uid && o.Address == c.Address {
					able = false
				}
			}
			for other, m := range d.m.entries {
				if other != uid && m.consul != nil && m.consul.Address == c.Address {
					able = false
				}
			}
		}
		if able {
			rt.Fatalf("no endpoint gets work, but %s could", uid)
		}
	}
}
