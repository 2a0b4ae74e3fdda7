package endpointsource

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

const second = time.Second

// In the modes platform and rehearsal the platform's lists are passed to the balancer unchanged, except for unusable entries.
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
			if got, changed := driver.merger.HandlePlatformList(driver.now, l); !changed || fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%s: list %v was published as %v, want %v", mode, l, got, want)
			}
		}
		if _, due := driver.merger.NextTick(); due {
			t.Errorf("mode %s: a tick is due, want none", mode)
		}
		var shown []string
		for _, r := range driver.merger.Rows(driver.now) {
			shown = append(shown, r.UID+" "+r.State)
		}
		if got := strings.Join(shown, ","); got != "a ready,c ready" {
			t.Errorf("rows are %q, want \"a ready,c ready\"", got)
		}
	}
}

// In mode consul the cached list is used until Consul's first answer, and the platform's lists are ignored.
func TestConsulAlone(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.platform(balancer.ListCached, endpointsOf("k1", "k2")...)
	driver.want("k1 k2")
	driver.platform(balancer.ListFull, endpointsOf("p")...) // the list is ignored
	driver.want("k1 k2")
	// The first answer has other uids at the same addresses, and no endpoint in it counts as recently started.
	a, b, c := endpointOf("a"), endpointOf("b"), endpointOf("c")
	a.Address, b.Address = "k1:1", "k2:1"
	driver.consul(ConsulAnswer{Changed: []Endpoint{a, b, c}})
	driver.want("a b c")
	driver.advanceTo(1 * second)
	draining := Endpoint{
		UID: "b", Address: "k2:1", State: balancer.EndpointDraining, Reason: "check", StartUnknown: true, RegistrationIndex: 5,
	}
	driver.consul(ConsulAnswer{Changed: []Endpoint{draining}, KnownBefore: 3})
	driver.want("a b- c")
	driver.consul(ConsulAnswer{Changed: []Endpoint{endpointOf("new")}, Missing: []string{"c"}, KnownBefore: 3})
	driver.want("a b- new?")
	if rows := driver.merger.Rows(driver.now); len(rows) != 4 || rows[1].Why != "check" || rows[1].Consul != "draining" ||
		rows[1].Platform != "" {
		t.Errorf("rows are %+v, want 4, the second draining in Consul because of its check and not in the platform's list", rows)
	}
}

// newDriverWithEight returns a driver whose Consul lists eight endpoints, a to h.
func newDriverWithEight(t *testing.T) *driver {
	t.Helper()
	driver := newDriver(t, ModeConsul)
	driver.consul(ConsulAnswer{Changed: endpointsOf(firstUIDs(8)...)})
	driver.advanceTo(5 * second)
	return driver
}

// allEight is the balancer's list after newDriverWithEight.
var allEight = strings.Join(firstUIDs(8), " ")

// lackingAnswers are sequences of events in which answers lack some of eight endpoints.
var lackingAnswers = map[string]func(t *testing.T, driver *driver){
	"empty, and back": func(t *testing.T, driver *driver) {
		t.Helper()
		driver.consul(ConsulAnswer{Missing: firstUIDs(8), KnownBefore: 8})
		driver.want(allEight)
		if logs := driver.merger.TakeLogs(); len(logs) != 1 || !strings.Contains(logs[0], "lacks 8 of 8") {
			t.Errorf("log lines are %q, want one line with \"lacks 8 of 8\"", logs)
		}
		driver.consul(ConsulAnswer{Changed: endpointsOf(firstUIDs(8)...), KnownBefore: 0})
		driver.advanceTo(60 * second)
		driver.want(allEight)
	},
	"half, and later answers confirm it": func(t *testing.T, driver *driver) {
		t.Helper()
		driver.consul(ConsulAnswer{Missing: firstUIDs(5), KnownBefore: 8})
		driver.want(allEight)
		driver.advanceTo(8 * second)
		driver.apply(driver.merger.HandleConsulUnchanged(driver.now))
		driver.advanceTo(14 * second)
		driver.want(allEight)
		driver.advanceTo(15 * second)
		driver.want("f g h")
	},
	"empty, without further answers": func(t *testing.T, driver *driver) {
		t.Helper()
		driver.consul(ConsulAnswer{Missing: firstUIDs(8), KnownBefore: 8})
		driver.advanceTo(500 * second)
		driver.want(allEight) // the previous list stays in use
	},
	"confirmed by the catalogue": func(t *testing.T, driver *driver) {
		t.Helper()
		driver.consul(ConsulAnswer{ConfirmedMissing: firstUIDs(5)}) // none of these was missing, so nothing changes
		driver.want(allEight)
		driver.consul(ConsulAnswer{Missing: firstUIDs(5), KnownBefore: 8})
		driver.consul(ConsulAnswer{ConfirmedMissing: []string{"a", "b", "none"}}) // the catalogue still has the others
		driver.want("c d e f g h")
		driver.consul(ConsulAnswer{Changed: endpointsOf("c"), KnownBefore: 3})
		driver.consul(ConsulAnswer{ConfirmedMissing: firstUIDs(5)})
		driver.want("c f g h")
	},
	// Neither the catalogue nor time confirms the removal of all endpoints; only failed attempts do.
	"no endpoint would be left": func(t *testing.T, driver *driver) {
		t.Helper()
		driver.consul(ConsulAnswer{Missing: firstUIDs(8), KnownBefore: 8})
		driver.consul(ConsulAnswer{ConfirmedMissing: firstUIDs(8)})
		for range 30 {
			driver.advanceTo(driver.now + 5*second)
			driver.apply(driver.merger.HandleConsulUnchanged(driver.now))
		}
		driver.want(allEight)
		for _, uid := range firstUIDs(8) {
			driver.apply(driver.merger.HandleConnectFailure(driver.now, uid))
		}
		driver.want("")
	},
	"attempts confirm, one by one": func(t *testing.T, driver *driver) {
		t.Helper()
		driver.consul(ConsulAnswer{Missing: firstUIDs(8), KnownBefore: 8})
		driver.apply(driver.merger.HandleConnectFailure(driver.now, "c"))
		driver.apply(driver.merger.HandleConnectFailure(driver.now, "none"))
		driver.want("a b d e f g h")
	},
	"a server without a leader": func(t *testing.T, driver *driver) {
		t.Helper()
		driver.consul(ConsulAnswer{Missing: []string{"a"}, KnownBefore: 8, Untrusted: true})
		driver.want(allEight)
		driver.consul(ConsulAnswer{Missing: []string{"b"}, KnownBefore: 7})
		driver.want("c d e f g h")
	},
	"a list that shrinks in steps": func(t *testing.T, driver *driver) {
		t.Helper()
		driver.consul(ConsulAnswer{Missing: []string{"a", "b", "c"}, KnownBefore: 8})
		driver.want("d e f g h")
		driver.consul(ConsulAnswer{Missing: []string{"d", "e", "f"}, KnownBefore: 5}) // 3 of 5 are too many at once
		driver.want("d e f g h")
	},
}

// Endpoints that an answer lacks are dropped at once, or stay listed as missing until their removal is confirmed.
func TestAnswersThatLackEndpoints(t *testing.T) {
	for name, run := range lackingAnswers {
		t.Run(name, func(t *testing.T) { run(t, newDriverWithEight(t)) })
	}
}

// An answer that lacks all known endpoints needs a confirmation, however few they are.
func TestLackingAllOfFewIsDoubted(t *testing.T) {
	for n := 1; n <= maxTrustedMissing; n++ {
		driver := newDriver(t, ModeConsul)
		driver.consul(ConsulAnswer{Changed: endpointsOf(firstUIDs(n)...)})
		driver.consul(ConsulAnswer{Missing: firstUIDs(n), KnownBefore: n})
		driver.want(strings.Join(firstUIDs(n), " "))
	}
}

// While all endpoints are critical, they are listed as ready, except those in maintenance.
func TestAllCriticalStayReady(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b", "c")})
	driver.advanceTo(second)
	driver.consul(ConsulAnswer{Changed: []Endpoint{critical("a"), critical("b")}, KnownBefore: 3})
	driver.want("a- b- c")
	inMaintenance := critical("b")
	inMaintenance.Maintenance = true
	driver.consul(ConsulAnswer{Changed: []Endpoint{critical("c"), inMaintenance}, KnownBefore: 3})
	driver.want("a b- c") // b is in maintenance
	driver.advanceTo(2 * second)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a"), KnownBefore: 3})
	driver.want("a b- c-")
}

// An empty first answer neither replaces the last known list nor publishes an empty one.
func TestEmptyFirstAnswer(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.platform(balancer.ListCached, endpointsOf("k")...)
	lists := driver.lists
	driver.consul(ConsulAnswer{})
	driver.apply(driver.merger.HandleConsulUnchanged(driver.now))
	driver.advanceTo(100 * second)
	driver.want("k")
	if driver.lists != lists {
		t.Error("an empty first answer led to the publication of a list")
	}
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b")})
	driver.want("a b")
}

// An endpoint with a flapping check is held down: the first recoveries take effect at once, and the hold-downs after them get longer.
func TestFlappingCheck(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b")})
	readyFor, lastStep := time.Duration(0), time.Duration(0)
	recoveries := 0
	for i := range 300 { // one minute with a change every 200 ms
		driver.advanceTo(time.Duration(i+1) * 200 * time.Millisecond)
		if driver.published["a"].State == balancer.EndpointReady {
			readyFor += driver.now - lastStep
		}
		lastStep = driver.now
		unhealthy := driver.published["a"].State != balancer.EndpointReady
		if i%2 == 0 {
			driver.consul(ConsulAnswer{Changed: []Endpoint{critical("a")}, KnownBefore: 2})
			if driver.published["a"].State == balancer.EndpointReady {
				t.Fatalf("step %d: the endpoint is ready although its check has failed", i)
			}
		} else {
			driver.consul(ConsulAnswer{Changed: endpointsOf("a"), KnownBefore: 2})
		}
		if unhealthy && driver.published["a"].State == balancer.EndpointReady {
			recoveries++
		}
	}
	if recoveries != 2 {
		t.Errorf("%d recoveries took effect at once, want the 2 free ones", recoveries)
	}
	driver.consul(ConsulAnswer{Changed: endpointsOf("a"), KnownBefore: 2})
	driver.advanceTo(driver.now + 31*second) // the check does not flap, so the endpoint is ready after the longest hold-down
	if driver.published["a"].State != balancer.EndpointReady {
		t.Error("the endpoint is not ready after the longest hold-down")
	}
	if len(driver.merger.entries["a"].recoveries) > 3 {
		t.Errorf("the entry has %d recoveries, want at most 3", len(driver.merger.entries["a"].recoveries))
	}
}

// An endpoint counts as recently started if its start is known, or if it moved, was registered again or was critical for long.
func TestRecentStarts(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b", "c", "d")})
	driver.want("a b c d")
	driver.advanceTo(second)
	moved, anew, known := endpointOf("a"), endpointOf("b"), endpointOf("e")
	moved.Address = "elsewhere:1"
	anew.RegistrationIndex = 9
	known.StartUnknown, known.StartedMS = false, 7
	driver.consul(ConsulAnswer{Changed: []Endpoint{moved, anew, critical("c"), critical("d"), known}, KnownBefore: 4})
	driver.want("a? b? c- d- e?")
	if driver.published["e"].StartedMS != 7 || driver.published["a"].StartedMS != 2000 {
		t.Errorf("start times of e and a are %v and %v, want 7 and 2000", driver.published["e"].StartedMS, driver.published["a"].StartedMS)
	}
	driver.advanceTo(2 * second)
	driver.consul(ConsulAnswer{Changed: endpointsOf("c"), KnownBefore: 5}) // 1 s of critical does not count as a restart
	driver.advanceTo(4 * second)
	driver.consul(ConsulAnswer{Changed: endpointsOf("d"), KnownBefore: 5}) // 3 s of critical count as a restart
	driver.want("a? b? c d? e?")
}

// Of two endpoints with the same address, only the one that was registered later is ready.
func TestTwoEndpointsWithOneAddress(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	old, fresh := endpointOf("old"), endpointOf("fresh")
	old.Address, fresh.Address, fresh.RegistrationIndex = "x:1", "x:1", 9
	driver.consul(ConsulAnswer{Changed: []Endpoint{old, endpointOf("other")}})
	driver.advanceTo(second)
	driver.consul(ConsulAnswer{Changed: []Endpoint{fresh}, KnownBefore: 2})
	driver.want("fresh? old- other")
	driver.consul(ConsulAnswer{Missing: []string{"fresh"}, KnownBefore: 3})
	driver.want("old other")
}

// Two endpoints swap their addresses in one answer.
func TestSwappedAddresses(t *testing.T) {
	driver := newDriver(t, ModeConsul)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b", "c")})
	driver.advanceTo(second)
	a, b := endpointOf("a"), endpointOf("b")
	a.Address, b.Address = b.Address, a.Address
	driver.consul(ConsulAnswer{Changed: []Endpoint{a, b}, KnownBefore: 3})
	driver.want("a? b? c")
	if driver.published["a"].Address != "b:1" || driver.published["b"].Address != "a:1" {
		t.Errorf("published endpoints are %+v, want a at b:1 and b at a:1", driver.published)
	}
}

// In mode overlay the platform's list determines the endpoints. Consul determines their health, as long as it answers.
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
		t.Errorf("the weight of c is %v, want 0.25", driver.published["c"].Weight)
	}
	gone := endpointOf("b")
	gone.State = balancer.EndpointRemoved
	driver.platform(balancer.ListDelta, gone) // Consul still lists b as passing
	driver.want("a- c d-")
	driver.advanceTo(30 * second)
	driver.want("a- c d-")
	driver.advanceTo(60 * second) // without an answer, the health from Consul expires
	driver.want("a c d-")
	driver.apply(driver.merger.HandleConsulUnchanged(driver.now))
	driver.want("a- c d-")
	// The platform's list determines the endpoints, whatever Consul lacks.
	driver.consul(ConsulAnswer{Missing: []string{"c"}, KnownBefore: 5})
	driver.want("a- c d-")
}

// In mode rehearsal each difference between Consul and the platform is logged once.
func TestRehearsal(t *testing.T) {
	driver := newDriver(t, ModeRehearsal)
	driver.platform(balancer.ListFull, endpointsOf("a", "b")...)
	driver.consul(ConsulAnswer{Changed: []Endpoint{endpointOf("a"), critical("b"), endpointOf("z")}})
	driver.want("a b")
	logs := strings.Join(driver.merger.TakeLogs(), "\n")
	if !strings.Contains(logs, "b: the platform has it ready, consul draining check is critical") ||
		!strings.Contains(logs, "z: only consul lists it") || strings.Contains(logs, "a:") {
		t.Error(logs)
	}
	driver.consul(ConsulAnswer{Changed: endpointsOf("b"), Missing: []string{"z"}, KnownBefore: 3})
	if logs = strings.Join(driver.merger.TakeLogs(), "\n"); !strings.Contains(logs, "b: both agree again") {
		t.Error(logs)
	}
	if driver.consul(ConsulAnswer{Changed: endpointsOf("b"), KnownBefore: 2}); len(driver.merger.TakeLogs()) > 0 {
		t.Error("a log line was added though no difference has changed")
	}
}

// The mode may change while the sidecar runs.
func TestModeChanges(t *testing.T) {
	driver := newDriver(t, ModePlatform)
	driver.platform(balancer.ListFull, endpointsOf("a", "b")...)
	settings := *SettingsTable.Default()
	change := func(mode Mode) {
		settings.Mode = mode
		driver.apply(driver.merger.UpdateSettings(driver.now, settings))
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
	if len(driver.merger.TakeLogs()) != 3 {
		t.Error("the log does not have one line for each of 3 changes of the mode")
	}
	// Another service is followed in the same mode: its first answer is compared with the list of the previous service.
	change(ModeConsul)
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "b")})
	driver.merger.RestartConsul()
	driver.consul(ConsulAnswer{Changed: endpointsOf("a", "c")})
	driver.want("a c") // one missing of two needs no confirmation, and no endpoint of a first answer counts as recently started
}

// The Merger deletes the state of removed endpoints, so its memory stays bounded however many there have been.
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
		merger := driver.merger
		if n := len(merger.entries) + len(merger.byAddress) + len(merger.heldDown) + len(merger.missing) + len(merger.differences); n > 20 {
			t.Errorf("mode %s: the Merger holds state for %d endpoints, want at most 20", mode, n)
		}
	}
}
