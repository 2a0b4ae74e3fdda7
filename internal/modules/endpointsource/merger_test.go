package endpointsource

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

const s = time.Second

// In the modes platform and rehearsal the platform's lists are passed through, without unusable entries.
func TestPlatformPassesThrough(t *testing.T) {
	for _, mode := range []Mode{ModePlatform, ModeRehearsal} {
		driver := newDriver(t, mode)
		unhealthy := endpointOf("x")
		unhealthy.State = StateUnknown
		for _, l := range []List{
			{Kind: balancer.ListCached, Version: 3, Endpoints: endpointsOf("a", "b")},
			{Kind: balancer.ListFull, Version: 9, Endpoints: append(endpointsOf("a", "c"), unhealthy)},
			{Kind: balancer.ListDelta, Version: 10},
			{Kind: balancer.ListDelta, Version: 11, Endpoints: endpointsOf("a")},
		} {
			want := l
			want.Endpoints = slices.DeleteFunc(slices.Clone(l.Endpoints), func(e Endpoint) bool { return e.State == StateUnknown })
			if got, changed := driver.m.HandlePlatformList(driver.now, l); !changed || fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%s: %v became %v", mode, l, got)
			}
		}
		if _, due := driver.m.NextTick(); due {
			t.Error("a tick is due")
		}
		var seen []string
		for _, r := range driver.m.Rows(driver.now) {
			seen = append(seen, r.UID+" "+r.State)
		}
		if got := strings.Join(seen, ","); got != "a ready,c ready" {
			t.Errorf("rows: %s", got)
		}
	}
}

// In mode consul the cached list is used until Consul's first answer, and the platform's lists are ignored.
func TestConsulAlone(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.platform(balancer.ListCached, endpointsOf("k1", "k2")...)
	driver.want("k1 k2")
	driver.platform(balancer.ListFull, endpointsOf("p")...) // is ignored
	driver.want("k1 k2")
	// The first answer has other uids at the same addresses, and no endpoint counts as started lately.
	a, b, c := endpointOf("a"), endpointOf("b"), endpointOf("c")
	a.Address, b.Address = "k1:1", "k2:1"
	driver.consul(ConsulAnswer{Changed: []Endpoint{a, b, c}})
	driver.want("a b c")
	driver.advanceTo(1 * s)
	draining := Endpoint{
		UID: "b", Address: "k2:1", State: balancer.EndpointDraining, Reason: "check", StartUnknown: true, RegistrationIndex: 5,
	}
	driver.consul(ConsulAnswer{Changed: []Endpoint{draining}, KnownBefore: 3})
	driver.want("a b- c")
	driver.consul(ConsulAnswer{Changed: []Endpoint{endpointOf("new")}, Missing: []string{"c"}, KnownBefore: 3})
	driver.want("a b- new?")
	if rows := driver.m.Rows(driver.now); len(rows) != 4 || rows[1].Why != "check" || rows[1].Consul != "draining" || rows[1].Platform != "" {
		t.Errorf("%+v", rows)
	}
}

// newDriverOfEight returns a driver whose Consul has eight endpoints, a to h.
func newDriverOfEight(t *testing.T) *driver {
	t.Helper()
	d := newDriver(t, ModeConsul)
	d.consul(ConsulAnswer{Changed: endpointsOf(firstUIDs(8)...)})
	d.advanceTo(5 * s)
	return d
}

// allEight is the state that newDriverOfEight begins with.
var allEight = strings.Join(firstUIDs(8), " ")

// lackingAnswers are sequences of events with answers that lack some of eight endpoints.
var lackingAnswers = map[string]func(t *testing.T, d *driver){
	"empty, and back": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: firstUIDs(8), KnownBefore: 8})
		d.want(allEight)
		if logs := d.m.TakeLogs(); len(logs) != 1 || !strings.Contains(logs[0], "lacks 8 of 8") {
			t.Errorf("%q", logs)
		}
		d.consul(ConsulAnswer{Changed: endpointsOf(firstUIDs(8)...), KnownBefore: 0})
		d.advanceTo(60 * s)
		d.want(allEight)
	},
	"half, and later answers confirm it": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: firstUIDs(5), KnownBefore: 8})
		d.want(allEight)
		d.advanceTo(8 * s)
		d.apply(d.m.HandleConsulUnchanged(d.now))
		d.advanceTo(14 * s)
		d.want(allEight)
		d.advanceTo(15 * s)
		d.want("f g h")
	},
	"empty, without further answers": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: firstUIDs(8), KnownBefore: 8})
		d.advanceTo(500 * s)
		d.want(allEight) // the list before is kept
	},
	"confirmed by the catalogue": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{ConfirmedMissing: firstUIDs(5)}) // none of them was missing: nothing changes
		d.want(allEight)
		d.consul(ConsulAnswer{Missing: firstUIDs(5), KnownBefore: 8})
		d.consul(ConsulAnswer{ConfirmedMissing: []string{"a", "b", "none"}}) // the catalogue still has the others
		d.want("c d e f g h")
		d.consul(ConsulAnswer{Changed: endpointsOf("c"), KnownBefore: 3})
		d.consul(ConsulAnswer{ConfirmedMissing: firstUIDs(5)})
		d.want("c f g h")
	},
	// Neither the catalogue nor time confirms that, only attempts do.
	"no endpoint would be left": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: firstUIDs(8), KnownBefore: 8})
		d.consul(ConsulAnswer{ConfirmedMissing: firstUIDs(8)})
		for range 30 {
			d.advanceTo(d.now + 5*s)
			d.apply(d.m.HandleConsulUnchanged(d.now))
		}
		d.want(allEight)
		for _, uid := range firstUIDs(8) {
			d.apply(d.m.HandleConnectFailure(d.now, uid))
		}
		d.want("")
	},
	"attempts confirm, one by one": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: firstUIDs(8), KnownBefore: 8})
		d.apply(d.m.HandleConnectFailure(d.now, "c"))
		d.apply(d.m.HandleConnectFailure(d.now, "none"))
		d.want("a b d e f g h")
	},
	"a server without a leader": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: []string{"a"}, KnownBefore: 8, Untrusted: true})
		d.want(allEight)
		d.consul(ConsulAnswer{Missing: []string{"b"}, KnownBefore: 7})
		d.want("c d e f g h")
	},
	"a list that shrinks in steps": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: []string{"a", "b", "c"}, KnownBefore: 8})
		d.want("d e f g h")
		d.consul(ConsulAnswer{Missing: []string{"d", "e", "f"}, KnownBefore: 5}) // too many together
		d.want("d e f g h")
	},
}

// Endpoints that an answer lacks are dropped, or missing until that is confirmed.
func TestEmptyAndHalfLists(t *testing.T) {
	for name, play := range lackingAnswers {
		t.Run(name, func(t *testing.T) { play(t, newDriverOfEight(t)) })
	}
}

// An answer that lacks all there are is doubted, however few these are.
func TestLackingAllOfFewIsDoubted(t *testing.T) {
	for n := 1; n <= maxLost; n++ {
		d := newDriver(t, ModeConsul)
		d.consul(ConsulAnswer{Changed: endpointsOf(firstUIDs(n)...)})
		d.consul(ConsulAnswer{Missing: firstUIDs(n), KnownBefore: n})
		d.want(strings.Join(firstUIDs(n), " "))
	}
}

// While all endpoints are critical they are listed as ready, except those in maintenance.
func TestAllCriticalStayReady(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b", "c")})
	driver.advanceTo(s)
	driver.consul(ConsulAnswer{Changed: []Endpoint{critical("a"), critical("b")}, KnownBefore: 3})
	driver.want("a- b- c")
	m := critical("b")
	m.Maintenance = true
	driver.consul(ConsulAnswer{Changed: []Endpoint{critical("c"), m}, KnownBefore: 3})
	driver.want("a b- c") // b is in maintenance
	driver.advanceTo(2 * s)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a"), KnownBefore: 3})
	driver.want("a b- c-")
}

// An empty first answer neither replaces the last known list nor publishes an empty one.
func TestFirstAnswerIsEmpty(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.platform(balancer.ListCached, endpointsOf("k")...)
	lists := driver.lists
	driver.consul(ConsulAnswer{})
	driver.apply(driver.m.HandleConsulUnchanged(driver.now))
	driver.advanceTo(100 * s)
	driver.want("k")
	if driver.lists != lists {
		t.Error("an empty list was published")
	}
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b")})
	driver.want("a b")
}

// A flapping check is held down: it has the free recoveries, and then ever longer hold-downs.
func TestFlappingCheck(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b")})
	readyFor, was := time.Duration(0), time.Duration(0)
	recoveries := 0
	for i := range 300 { // a minute, a change every 200 ms
		driver.advanceTo(time.Duration(i+1) * 200 * time.Millisecond)
		if driver.published["a"].State == balancer.EndpointReady {
			readyFor += driver.now - was
		}
		was = driver.now
		unhealthy := driver.published["a"].State != balancer.EndpointReady
		if i%2 == 0 {
			driver.consul(ConsulAnswer{Changed: []Endpoint{critical("a")}, KnownBefore: 2})
			if driver.published["a"].State == balancer.EndpointReady {
				t.Fatal("a failing check waited")
			}
		} else {
			driver.consul(ConsulAnswer{Changed: endpointsOf("a"), KnownBefore: 2})
		}
		if unhealthy && driver.published["a"].State == balancer.EndpointReady {
			recoveries++
		}
	}
	if recoveries != 2 {
		t.Errorf("%d recoveries at once, want the 2 free ones", recoveries)
	}
	driver.consul(ConsulAnswer{Changed: endpointsOf("a"), KnownBefore: 2})
	driver.advanceTo(driver.now + 31*s) // without flapping: it is ready after the longest hold-down
	if driver.published["a"].State != balancer.EndpointReady {
		t.Error("it is not ready again")
	}
	if len(driver.m.entries["a"].recoveries) > 3 {
		t.Errorf("%d recoveries are kept", len(driver.m.entries["a"].recoveries))
	}
}

// An endpoint counts as started lately if its start is known, or if it moved, was registered again or was critical for long.
func TestRecentStarts(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b", "c", "d")})
	driver.want("a b c d")
	driver.advanceTo(s)
	moved, anew, known := endpointOf("a"), endpointOf("b"), endpointOf("e")
	moved.Address = "elsewhere:1"
	anew.RegistrationIndex = 9
	known.StartUnknown, known.StartedMS = false, 7
	driver.consul(ConsulAnswer{Changed: []Endpoint{moved, anew, critical("c"), critical("d"), known}, KnownBefore: 4})
	driver.want("a? b? c- d- e?")
	if driver.published["e"].StartedMS != 7 || driver.published["a"].StartedMS != 2000 {
		t.Errorf("starts %v %v", driver.published["e"].StartedMS, driver.published["a"].StartedMS)
	}
	driver.advanceTo(2 * s)
	driver.consul(ConsulAnswer{Changed: endpointsOf("c"), KnownBefore: 5}) // 1 s of critical is no restart
	driver.advanceTo(4 * s)
	driver.consul(ConsulAnswer{Changed: endpointsOf("d"), KnownBefore: 5}) // 3 s may be
	driver.want("a? b? c d? e?")
}

// Of two endpoints with one address the one that was registered later is ready.
func TestOneAddressTwice(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	old, fresh := endpointOf("old"), endpointOf("fresh")
	old.Address, fresh.Address, fresh.RegistrationIndex = "x:1", "x:1", 9
	driver.consul(ConsulAnswer{Changed: []Endpoint{old, endpointOf("other")}})
	driver.advanceTo(s)
	driver.consul(ConsulAnswer{Changed: []Endpoint{fresh}, KnownBefore: 2})
	driver.want("fresh? old- other")
	driver.consul(ConsulAnswer{Missing: []string{"fresh"}, KnownBefore: 3})
	driver.want("old other")
}

// Two endpoints swap their addresses in one answer.
func TestSwappedAddresses(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b", "c")})
	driver.advanceTo(s)
	a, b := endpointOf("a"), endpointOf("b")
	a.Address, b.Address = b.Address, a.Address
	driver.consul(ConsulAnswer{Changed: []Endpoint{a, b}, KnownBefore: 3})
	driver.want("a? b? c")
	if driver.published["a"].Address != "b:1" || driver.published["b"].Address != "a:1" {
		t.Errorf("%+v", driver.published)
	}
}

// In mode overlay the platform's list determines the endpoints, and Consul their health, as long as it answers.
func TestOverlay(t *testing.T) {
	driver := newDriver(t, ModeOverlay)
	draining := endpointOf("d")
	draining.State = balancer.EndpointDraining
	driver.platform(balancer.ListFull, append(endpointsOf("a", "b", "c"), draining)...)
	driver.want("a b c d-")
	warn := endpointOf("c")
	warn.WeightShare, warn.Reason = 0.25, "warns"
	driver.consul(ConsulAnswer{Changed: []Endpoint{critical("a"), endpointOf("b"), warn, endpointOf("d"), endpointOf("only consul")}})
	driver.want("a- b c d-")
	if driver.published["c"].Weight != 0.25 {
		t.Errorf("weight %v", driver.published["c"].Weight)
	}
	gone := endpointOf("b")
	gone.State = balancer.EndpointRemoved
	driver.platform(balancer.ListDelta, gone) // Consul still has it as passing
	driver.want("a- c d-")
	driver.advanceTo(30 * s)
	driver.want("a- c d-")
	driver.advanceTo(60 * s) // without an answer Consul's health expires
	driver.want("a c d-")
	driver.apply(driver.m.HandleConsulUnchanged(driver.now))
	driver.want("a- c d-")
	// The platform's list determines the endpoints, whatever Consul lacks.
	driver.consul(ConsulAnswer{Missing: []string{"c"}, KnownBefore: 5})
	driver.want("a- c d-")
}

// In mode rehearsal the differences between Consul and the platform are logged, once each.
func TestRehearsal(t *testing.T) {
	driver := newDriver(t, ModeRehearsal)
	driver.platform(balancer.ListFull, endpointsOf("a", "b")...)
	driver.consul(ConsulAnswer{Changed: []Endpoint{endpointOf("a"), critical("b"), endpointOf("z")}})
	driver.want("a b")
	logs := strings.Join(driver.m.TakeLogs(), "\n")
	if !strings.Contains(logs, "b: the platform has it ready, consul draining check is critical") ||
		!strings.Contains(logs, "z: only consul lists it") || strings.Contains(logs, "a:") {
		t.Error(logs)
	}
	driver.consul(ConsulAnswer{Changed: endpointsOf("b"), Missing: []string{"z"}, KnownBefore: 3})
	if logs = strings.Join(driver.m.TakeLogs(), "\n"); !strings.Contains(logs, "b: both agree again") {
		t.Error(logs)
	}
	if driver.consul(ConsulAnswer{Changed: endpointsOf("b"), KnownBefore: 2}); len(driver.m.TakeLogs()) > 0 {
		t.Error("a difference is logged again")
	}
}

// The mode may change while the sidecar runs.
func TestModeChanges(t *testing.T) {
	driver := newDriver(t, ModePlatform)
	driver.platform(balancer.ListFull, endpointsOf("a", "b")...)
	settings := *SettingsTable.Default()
	change := func(mode Mode) {
		settings.Mode = mode
		driver.apply(driver.m.UpdateSettings(driver.now, settings))
	}
	change(ModeConsul)
	driver.want("a b") // until Consul answers
	x, y := endpointOf("x"), endpointOf("y")
	x.Address, y.Address = "a:1", "b:1"
	driver.consul(ConsulAnswer{Changed: []Endpoint{x, y}})
	driver.want("x y")
	change(ModeOverlay)
	driver.want("a b")
	driver.consul(ConsulAnswer{Changed: []Endpoint{critical("a"), endpointOf("b")}})
	driver.want("a- b")
	change(ModePlatform)
	driver.want("a b")
	if len(driver.m.TakeLogs()) != 3 {
		t.Error("changes are not logged")
	}
	// Another service in the same mode: its first answer is compared with the list of the one before.
	change(ModeConsul)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b")})
	driver.m.RestartConsul()
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "c")})
	driver.want("a c") // one missing of two is believed, and no endpoint of a first answer counts as started lately
}

// Endpoints that are gone are forgotten: however many there were, the state is bounded.
func TestForgetsRemovedEndpoints(t *testing.T) {
	for _, mode := range []Mode{ModePlatform, ModeConsul, ModeOverlay, ModeRehearsal} {
		driver := newDriver(t, mode)
		var before string
		for i := range 10000 {
			uid := fmt.Sprint(i)
			driver.advanceTo(time.Duration(i) * 100 * time.Millisecond)
			gone := endpointOf(before)
			gone.State = balancer.EndpointRemoved
			if i == 0 {
				driver.platform(balancer.ListDelta, endpointOf(uid))
				driver.consul(ConsulAnswer{Changed: endpointsOf(uid, "stays", "stays2")})
			} else {
				driver.platform(balancer.ListDelta, endpointOf(uid), gone)
				driver.consul(ConsulAnswer{Changed: endpointsOf(uid, "stays", "stays2"), Missing: []string{before}, KnownBefore: 3})
			}
			before = uid
		}
		m := driver.m
		if n := len(m.entries) + len(m.byAddress) + len(m.heldDown) + len(m.missing) + len(m.differences); n > 20 {
			t.Errorf("%s: %d are kept", mode, n)
		}
	}
}
