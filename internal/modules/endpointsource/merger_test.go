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

func TestPlatformPassesThrough(t *testing.T) {
	for _, mode := range []Mode{ModePlatform, ModeRehearsal} {
		d := drive(t, mode)
		bad := ep("x")
		bad.State = StateUnknown
		for _, l := range []List{
			{Kind: balancer.ListCached, Version: 3, Endpoints: eps("a", "b")},
			{Kind: balancer.ListFull, Version: 9, Endpoints: append(eps("a", "c"), bad)},
			{Kind: balancer.ListDelta, Version: 10},
			{Kind: balancer.ListDelta, Version: 11, Endpoints: eps("a")},
		} {
			want := l
			want.Endpoints = slices.DeleteFunc(slices.Clone(l.Endpoints), func(e Endpoint) bool { return e.State == StateUnknown })
			if got, news := d.m.HandlePlatformList(d.now, l); !news || fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%s: %v became %v", mode, l, got)
			}
		}
		if _, due := d.m.NextTick(); due {
			t.Error("something is due")
		}
		var seen []string
		for _, r := range d.m.Rows(d.now) {
			seen = append(seen, r.UID+" "+r.State)
		}
		if got := strings.Join(seen, ","); got != "a ready,c ready" {
			t.Errorf("view: %s", got)
		}
	}
}

func TestConsulAlone(t *testing.T) {
	d := drive(t, ModeConsul)
	d.platform(balancer.ListCached, eps("k1", "k2")...)
	d.want("k1 k2")
	d.platform(balancer.ListFull, eps("p")...) // does not count
	d.want("k1 k2")
	// The first answer: by other names at the same addresses, and none of it as started lately.
	a, b, c := ep("a"), ep("b"), ep("c")
	a.Address, b.Address = "k1:1", "k2:1"
	d.consul(ConsulAnswer{Changed: []Endpoint{a, b, c}})
	d.want("a b c")
	d.at(1 * s)
	d.consul(ConsulAnswer{Changed: []Endpoint{{UID: "b", Address: "k2:1", State: balancer.EndpointDraining, Reason: "check", StartUnknown: true, RegistrationIndex: 5}}, KnownBefore: 3})
	d.want("a b- c")
	d.consul(ConsulAnswer{Changed: []Endpoint{ep("new")}, Missing: []string{"c"}, KnownBefore: 3})
	d.want("a b- new?")
	if rows := d.m.Rows(d.now); len(rows) != 4 || rows[1].Why != "check" || rows[1].Consul != "draining" || rows[1].Platform != "" {
		t.Errorf("%+v", rows)
	}
}

// eight is a driver whose Consul has eight endpoints, a to h.
func eight(t *testing.T) *driver {
	t.Helper()
	d := drive(t, ModeConsul)
	d.consul(ConsulAnswer{Changed: eps(letters(8)...)})
	d.at(5 * s)
	return d
}

// allEight are the uids that eight begins with.
var allEight = strings.Join(letters(8), " ")

// lackingAnswers are courses of answers that lack some of eight endpoints.
var lackingAnswers = map[string]func(t *testing.T, d *driver){
	"empty, and back": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: letters(8), KnownBefore: 8})
		d.want(allEight)
		if logs := d.m.TakeLogs(); len(logs) != 1 || !strings.Contains(logs[0], "lacks 8 of 8") {
			t.Errorf("%q", logs)
		}
		d.consul(ConsulAnswer{Changed: eps(letters(8)...), KnownBefore: 0})
		d.at(60 * s)
		d.want(allEight)
	},
	"half, and it goes on saying so": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: letters(5), KnownBefore: 8})
		d.want(allEight)
		d.at(8 * s)
		d.given(d.m.HandleConsulUnchanged(d.now))
		d.at(14 * s)
		d.want(allEight)
		d.at(15 * s)
		d.want("f g h")
	},
	"empty, and nothing more comes": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: letters(8), KnownBefore: 8})
		d.at(500 * s)
		d.want(allEight) // the last good list serves
	},
	"confirmed by the catalogue": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{ConfirmedMissing: letters(5)}) // of whom nothing was missing: that changes nothing
		d.want(allEight)
		d.consul(ConsulAnswer{Missing: letters(5), KnownBefore: 8})
		d.consul(ConsulAnswer{ConfirmedMissing: []string{"a", "b", "none"}}) // the catalogue has the others still
		d.want("c d e f g h")
		d.consul(ConsulAnswer{Changed: eps("c"), KnownBefore: 3})
		d.consul(ConsulAnswer{ConfirmedMissing: letters(5)})
		d.want("c f g h")
	},
	// Neither the catalogue nor time settles that, only the attempts do.
	"nothing would be left": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: letters(8), KnownBefore: 8})
		d.consul(ConsulAnswer{ConfirmedMissing: letters(8)})
		for range 30 {
			d.at(d.now + 5*s)
			d.given(d.m.HandleConsulUnchanged(d.now))
		}
		d.want(allEight)
		for _, uid := range letters(8) {
			d.given(d.m.HandleConnectFailure(d.now, uid))
		}
		d.want("")
	},
	"attempts agree, one by one": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: letters(8), KnownBefore: 8})
		d.given(d.m.HandleConnectFailure(d.now, "c"))
		d.given(d.m.HandleConnectFailure(d.now, "none"))
		d.want("a b d e f g h")
	},
	"a server without a leader": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: []string{"a"}, KnownBefore: 8, Untrusted: true})
		d.want(allEight)
		d.consul(ConsulAnswer{Missing: []string{"b"}, KnownBefore: 7})
		d.want("c d e f g h")
	},
	"a list that melts away in steps": func(t *testing.T, d *driver) {
		t.Helper()
		d.consul(ConsulAnswer{Missing: []string{"a", "b", "c"}, KnownBefore: 8})
		d.want("d e f g h")
		d.consul(ConsulAnswer{Missing: []string{"d", "e", "f"}, KnownBefore: 5}) // too much together
		d.want("d e f g h")
	},
}

// What an answer lacks is believed or doubted, and settled in time.
func TestEmptyAndHalfLists(t *testing.T) {
	for name, play := range lackingAnswers {
		t.Run(name, func(t *testing.T) { play(t, eight(t)) })
	}
}

// An answer that lacks all there are is doubted, however few these are.
func TestLackingAllOfFewIsDoubted(t *testing.T) {
	for n := 1; n <= maxLost; n++ {
		d := drive(t, ModeConsul)
		d.consul(ConsulAnswer{Changed: eps(letters(n)...)})
		d.consul(ConsulAnswer{Missing: letters(n), KnownBefore: n})
		d.want(strings.Join(letters(n), " "))
	}
}

func TestAllCriticalGoesOn(t *testing.T) {
	d := drive(t, ModeConsul)
	d.consul(ConsulAnswer{Changed: eps("a", "b", "c")})
	d.at(s)
	d.consul(ConsulAnswer{Changed: []Endpoint{critical("a"), critical("b")}, KnownBefore: 3})
	d.want("a- b- c")
	m := critical("b")
	m.Maintenance = true
	d.consul(ConsulAnswer{Changed: []Endpoint{critical("c"), m}, KnownBefore: 3})
	d.want("a b- c") // but not what an operator has taken out
	d.at(2 * s)
	d.consul(ConsulAnswer{Changed: eps("a"), KnownBefore: 3})
	d.want("a b- c-")
}

// A first answer without anybody neither ends the last known list nor makes an empty one.
func TestFirstAnswerIsEmpty(t *testing.T) {
	d := drive(t, ModeConsul)
	d.platform(balancer.ListCached, eps("k")...)
	lists := d.lists
	d.consul(ConsulAnswer{})
	d.given(d.m.HandleConsulUnchanged(d.now))
	d.at(100 * s)
	d.want("k")
	if d.lists != lists {
		t.Error("an empty list was published")
	}
	d.consul(ConsulAnswer{Changed: eps("a", "b")})
	d.want("a b")
}

func TestFlappingCheck(t *testing.T) {
	d := drive(t, ModeConsul)
	d.consul(ConsulAnswer{Changed: eps("a", "b")})
	readyFor, was := time.Duration(0), time.Duration(0)
	returns := 0
	for i := range 300 { // a minute, a change every 200 ms
		d.at(time.Duration(i+1) * 200 * time.Millisecond)
		if d.knows["a"].State == balancer.EndpointReady {
			readyFor += d.now - was
		}
		was = d.now
		bad := d.knows["a"].State != balancer.EndpointReady
		if i%2 == 0 {
			d.consul(ConsulAnswer{Changed: []Endpoint{critical("a")}, KnownBefore: 2})
			if d.knows["a"].State == balancer.EndpointReady {
				t.Fatal("a failing check waited")
			}
		} else {
			d.consul(ConsulAnswer{Changed: eps("a"), KnownBefore: 2})
		}
		if bad && d.knows["a"].State == balancer.EndpointReady {
			returns++
		}
	}
	if returns != 2 {
		t.Errorf("%d returns at once, want the 2 free ones", returns)
	}
	d.consul(ConsulAnswer{Changed: eps("a"), KnownBefore: 2})
	d.at(d.now + 31*s) // calm: it is back after the longest hold
	if d.knows["a"].State != balancer.EndpointReady {
		t.Error("it never comes back")
	}
	if len(d.m.entries["a"].recoveries) > 3 {
		t.Errorf("%d returns are kept", len(d.m.entries["a"].recoveries))
	}
}

func TestRecentStarts(t *testing.T) {
	d := drive(t, ModeConsul)
	d.consul(ConsulAnswer{Changed: eps("a", "b", "c", "d")})
	d.want("a b c d")
	d.at(s)
	moved, anew, known := ep("a"), ep("b"), ep("e")
	moved.Address = "elsewhere:1"
	anew.RegistrationIndex = 9
	known.StartUnknown, known.StartedMS = false, 7
	d.consul(ConsulAnswer{Changed: []Endpoint{moved, anew, critical("c"), critical("d"), known}, KnownBefore: 4})
	d.want("a? b? c- d- e?")
	if d.knows["e"].StartedMS != 7 || d.knows["a"].StartedMS != 2000 {
		t.Errorf("starts %v %v", d.knows["e"].StartedMS, d.knows["a"].StartedMS)
	}
	d.at(2 * s)
	d.consul(ConsulAnswer{Changed: eps("c"), KnownBefore: 5}) // 1 s of critical is no restart
	d.at(4 * s)
	d.consul(ConsulAnswer{Changed: eps("d"), KnownBefore: 5}) // 3 s may be
	d.want("a? b? c d? e?")
}

func TestOneAddressTwice(t *testing.T) {
	d := drive(t, ModeConsul)
	old, fresh := ep("old"), ep("fresh")
	old.Address, fresh.Address, fresh.RegistrationIndex = "x:1", "x:1", 9
	d.consul(ConsulAnswer{Changed: []Endpoint{old, ep("other")}})
	d.at(s)
	d.consul(ConsulAnswer{Changed: []Endpoint{fresh}, KnownBefore: 2})
	d.want("fresh? old- other")
	d.consul(ConsulAnswer{Missing: []string{"fresh"}, KnownBefore: 3})
	d.want("old other")
}

// Ids and addresses are swapped between two instances in one answer.
func TestSwappedAddresses(t *testing.T) {
	d := drive(t, ModeConsul)
	d.consul(ConsulAnswer{Changed: eps("a", "b", "c")})
	d.at(s)
	a, b := ep("a"), ep("b")
	a.Address, b.Address = b.Address, a.Address
	d.consul(ConsulAnswer{Changed: []Endpoint{a, b}, KnownBefore: 3})
	d.want("a? b? c")
	if d.knows["a"].Address != "b:1" || d.knows["b"].Address != "a:1" {
		t.Errorf("%+v", d.knows)
	}
}

func TestOverlay(t *testing.T) {
	d := drive(t, ModeOverlay)
	draining := ep("d")
	draining.State = balancer.EndpointDraining
	d.platform(balancer.ListFull, append(eps("a", "b", "c"), draining)...)
	d.want("a b c d-")
	warn := ep("c")
	warn.WeightShare, warn.Reason = 0.25, "warns"
	d.consul(ConsulAnswer{Changed: []Endpoint{critical("a"), ep("b"), warn, ep("d"), ep("only consul")}})
	d.want("a- b c d-")
	if d.knows["c"].Weight != 0.25 {
		t.Errorf("weight %v", d.knows["c"].Weight)
	}
	gone := ep("b")
	gone.State = balancer.EndpointRemoved
	d.platform(balancer.ListDelta, gone) // Consul has it passing still
	d.want("a- c d-")
	d.at(30 * s)
	d.want("a- c d-")
	d.at(60 * s) // Consul says nothing: its word counts no more
	d.want("a c d-")
	d.given(d.m.HandleConsulUnchanged(d.now))
	d.want("a- c d-")
	// The platform's list is the set, whatever Consul lacks.
	d.consul(ConsulAnswer{Missing: []string{"c"}, KnownBefore: 5})
	d.want("a- c d-")
}

func TestRehearsal(t *testing.T) {
	d := drive(t, ModeRehearsal)
	d.platform(balancer.ListFull, eps("a", "b")...)
	d.consul(ConsulAnswer{Changed: []Endpoint{ep("a"), critical("b"), ep("z")}})
	d.want("a b")
	logs := strings.Join(d.m.TakeLogs(), "\n")
	if !strings.Contains(logs, "b: the platform has it ready, consul draining check is critical") || !strings.Contains(logs, "z: only consul lists it") || strings.Contains(logs, "a:") {
		t.Error(logs)
	}
	d.consul(ConsulAnswer{Changed: eps("b"), Missing: []string{"z"}, KnownBefore: 3})
	if logs = strings.Join(d.m.TakeLogs(), "\n"); !strings.Contains(logs, "b: both agree again") {
		t.Error(logs)
	}
	if d.consul(ConsulAnswer{Changed: eps("b"), KnownBefore: 2}); len(d.m.TakeLogs()) > 0 {
		t.Error("the same again")
	}
}

func TestModeChanges(t *testing.T) {
	d := drive(t, ModePlatform)
	d.platform(balancer.ListFull, eps("a", "b")...)
	settings := *SettingsTable.Default()
	change := func(mode Mode) {
		settings.Mode = mode
		d.given(d.m.UpdateSettings(d.now, settings))
	}
	change(ModeConsul)
	d.want("a b") // until Consul answers
	x, y := ep("x"), ep("y")
	x.Address, y.Address = "a:1", "b:1"
	d.consul(ConsulAnswer{Changed: []Endpoint{x, y}})
	d.want("x y")
	change(ModeOverlay)
	d.want("a b")
	d.consul(ConsulAnswer{Changed: []Endpoint{critical("a"), ep("b")}})
	d.want("a- b")
	change(ModePlatform)
	d.want("a b")
	if len(d.m.TakeLogs()) != 3 {
		t.Error("changes are not logged")
	}
	// Another service under the same mode: what it lacks is measured by the one before.
	change(ModeConsul)
	d.consul(ConsulAnswer{Changed: eps("a", "b")})
	d.m.RestartConsul()
	d.consul(ConsulAnswer{Changed: eps("a", "c")})
	d.want("a c") // one of two is not doubted, and nothing of a first answer counts as started lately
}

// What went is forgotten: ids without end leave nothing.
func TestForgets(t *testing.T) {
	for _, mode := range []Mode{ModePlatform, ModeConsul, ModeOverlay, ModeRehearsal} {
		d := drive(t, mode)
		var before string
		for i := range 10000 {
			uid := fmt.Sprint(i)
			d.at(time.Duration(i) * 100 * time.Millisecond)
			gone := ep(before)
			gone.State = balancer.EndpointRemoved
			if i == 0 {
				d.platform(balancer.ListDelta, ep(uid))
				d.consul(ConsulAnswer{Changed: eps(uid, "stays", "stays2")})
			} else {
				d.platform(balancer.ListDelta, ep(uid), gone)
				d.consul(ConsulAnswer{Changed: eps(uid, "stays", "stays2"), Missing: []string{before}, KnownBefore: 3})
			}
			before = uid
		}
		if n := len(d.m.entries) + len(d.m.byAddress) + len(d.m.heldDown) + len(d.m.missing) + len(d.m.differences); n > 20 {
			t.Errorf("%s: %d are kept", mode, n)
		}
	}
}
