package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// soaked is how many times as much of something is played in `make soak`.
func soaked(times int) int {
	if os.Getenv("SOAK") == "" {
		return 1
	}
	return times
}

// mixed is a Balancer amid a hard day: of n endpoints some ramp, at various shares, some are isolated, leave, are
// full, silent, slow, or have calls out; kinds and weights differ.
func mixed(t testing.TB, n, instances int, weighted bool) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{timers: map[uint64]time.Duration{}, attempts: map[RequestID]int{}, now: 100 * time.Second}
	s := settings()
	s.Instances, s.Ordinal = instances, instances/2
	b, err := New(s, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	l := List{Kind: Whole, Version: 1}
	for i := 1; i <= n; i++ {
		e := Entry{Endpoint: EndpointID(i), Cell: i / 2, Kind: i % 3, Zone: i % 4, Weight: 1}
		if weighted {
			e.Weight = float64(1 + rng.IntN(4))
		}
		switch rng.IntN(8) {
		case 0:
			e.Started = h.now - time.Duration(rng.IntN(9000))*ms
		case 1:
			e.State = Draining
		}
		l.Entries = append(l.Entries, e)
	}
	b.Targets(h.now, l)
	for i := range 40 * n {
		id := RequestID(fmt.Sprint("warm", i))
		b.Request(h.now, Request{ID: id, Class: read, Left: time.Second})
		if x := h.last(); x.id == id {
			took := time.Duration(float64(20*ms) * (0.5 + rng.ExpFloat64()) * float64(1+x.to%5) / 3)
			b.Outcome(h.now, Outcome{ID: id, Endpoint: x.to, Final: true, Elapsed: took})
		}
		if h.now += ms / 2; i%10 == 0 {
			b.Timer(h.now, tokenTick)
		}
	}
	for _, e := range b.listed {
		switch rng.IntN(10) {
		case 0:
			b.isolate(h.now, e, "test")
			e.trialAt = h.now + time.Hour
			b.settle(h.now, e)
		case 1:
			e.fullUntil = h.now + time.Second
		case 2:
			e.debts = append(e.debts, h.now+time.Second)
		}
	}
	b.limit = 1000
	b.raise(h.now)
	b.count(h.now)
	b.warm.add(h.now, b.window, 1000/float64(n))
	for _, e := range b.listed {
		e.tokens, e.tokensAt = float64(rng.IntN(3)), h.now
	}
	return b, h
}

// What is drawn from the pools is drawn by the same odds as by a look at all: two samples of 20,000 picks each
// pass for one by chi-square at a fixed seed, for first attempts and for further ones.
func TestDrawsFromPoolsAreByTheOdds(t *testing.T) {
	picks := 20_000 * soaked(3)
	for _, c := range []struct {
		instances int
		weighted  bool
		attempts  int
	}{{1, false, 0}, {1, true, 0}, {4, true, 0}, {30, true, 1}, {30, false, 1}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			b, h := mixed(t, 120, c.instances, c.weighted)
			picked := func(few int) map[EndpointID]float64 {
				b.few = few
				got := map[EndpointID]float64{}
				for range picks {
					r := &request{class: b.classes[read], attempts: c.attempts, from: b.listed[1]}
					e, trial := b.pick(h.now, r)
					if e == nil || trial {
						t.Fatal("nothing, or a trial")
					}
					got[e.id]++
				}
				return got
			}
			pools, look := picked(0), picked(1<<30)
			test := func(x, y map[EndpointID]float64) (p float64) {
				sum, n := 0.0, -1.0
				for _, e := range b.listed {
					if a, b := x[e.id], y[e.id]; a+b > 0 {
						sum += (a - b) * (a - b) / (a + b)
						n++
					}
				}
				if n < 20/float64(c.instances) {
					t.Fatalf("only %v were drawn", n+1)
				}
				return distuv.ChiSquared{K: n}.Survival(sum)
			}
			if p := test(pools, look); p < 0.001 {
				t.Errorf("p = %v", p)
			}
			// And the test can fail: bounds that the odds have outgrown by a half, unknown to the slack.
			if c.attempts == 0 {
				for _, e := range b.listed[:60] {
					e.at.bound /= 3
				}
				if p := test(picked(0), look); p > 0.001 {
					t.Errorf("odds that are off pass: p = %v", p)
				}
			}
		})
	}
}

// verify compares what the fleet keeps with a look at all endpoints.
func verify(t testing.TB, b *Balancer, now time.Duration) {
	t.Helper()
	b.raise(now)
	if b.stale {
		b.count(now)
	}
	n, busy, warm := 0, 0, 0.0
	var in [pools]int
	parts, mine := 0.0, 0
	for i, e := range b.listed {
		if i > 0 && b.listed[i-1].id >= e.id || !e.listed || b.byID[e.id] != e {
			t.Fatalf("the list is out of order at %d", e.id)
		}
		seated := e.mark != leaving
		if seated {
			n++
		}
		if e.at.seated != seated || slices.Contains(b.cells[e.cell], e) != seated {
			t.Fatalf("endpoint %d: mark %d, seated %v", e.id, e.mark, e.at.seated)
		}
		if len(e.calls) > 0 {
			busy++
		}
		want := -1
		switch {
		case e.mark == usable && e.part > 0:
			want = warmPool
		case e.mark == usable:
			want = otherPool
		case e.mark == ramping && e.part > 0:
			want = rampPool
		}
		if e.at.pooled != (want >= 0) || e.at.pooled && e.at.pool != want {
			t.Fatalf("endpoint %d: mark %d, part %v; pooled %v in %d", e.id, e.mark, e.part, e.at.pooled, e.at.pool)
		}
		if want >= 0 {
			in[want]++
			if o := b.odds(e) * b.share(now, e); o > e.at.bound*b.slack*(1+1e-9) {
				t.Fatalf("endpoint %d: odds %v over their bound %v, slack %v, pool %d", e.id, o, e.at.bound, b.slack, want)
			}
		}
		if want == warmPool {
			warm += b.odds(e)
		}
		if e.part > 0 {
			parts, mine = parts+e.part, mine+1
		}
		if has := b.arced && seated && b.arc.Has(uint32(e.id)); b.arced && (e.part > 0) != (has && b.weight(e) > 0) {
			t.Fatalf("endpoint %d: mark %d, part %v, on this instance's arcs %v", e.id, e.mark, e.part, has)
		}
		_, ramps := b.ramps.Due(e)
		at, trial := b.trials.Due(e)
		if ramps != (e.mark == ramping) || trial != (e.mark == isolated && e.part > 0 && len(e.calls) == 0) || trial && at != e.trialAt {
			t.Fatalf("endpoint %d: mark %d, part %v, ramps %v, trial %v", e.id, e.mark, e.part, ramps, trial)
		}
	}
	if b.ring.Len() != n || len(b.busy) < busy {
		t.Fatalf("%d seated, should be %d; %d busy, should be %d", b.ring.Len(), n, len(b.busy), busy)
	}
	for i := range in {
		if b.pools[i].Len() != in[i] {
			t.Fatalf("pool %d holds %d, should be %d", i, b.pools[i].Len(), in[i])
		}
	}
	if b.arced && (b.whole || !slices.IsSortedFunc(b.mine, byID)) {
		t.Fatal("the subset is out of order, or all as well")
	}
	if !b.whole && mine != len(b.mine) {
		t.Fatalf("%d have a part, %d are listed so", mine, len(b.mine))
	}
	if warm > 0 && math.Abs(math.Log(b.warmSum/warm)) > math.Log(driftMost*driftMost) {
		t.Fatalf("the warm odds' sum is %v, should be %v", b.warmSum, warm)
	}
	kept := 0
	for w, k := range b.weights {
		kept += k
		if k <= 0 {
			t.Fatalf("weight %v: %d", w, k)
		}
	}
	apart := func(e *endpoint) bool { return e.weight != b.listed[0].weight }
	none := func(e *endpoint) bool { return e.weight <= 0 }
	if weighted := slices.ContainsFunc(b.listed, apart) && !slices.ContainsFunc(b.listed, none); kept != len(b.listed) || weighted != b.weighted {
		t.Fatalf("%d weights of %d; weighted %v", kept, len(b.listed), b.weighted)
	}
}

// Whatever happens, what the fleet keeps is what a look at all endpoints would find.
func TestFleetIsAsALookAtAll(t *testing.T) {
	for seed := range uint64(40 * soaked(20)) {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := settings()
		s.Instances = []int{1, 3, 12, 40, 4}[seed%5]
		s.Ordinal = rng.IntN(s.Instances)
		if seed%7 == 0 {
			s.ColdFrom = 0
		}
		n := 60
		if s.Instances == 4 {
			n = 96 // a subset by ids, while most are listed
		}
		d := start(t, s, n)
		d.b.few = []int{0, walked}[seed/4%2]
		reports, weights := seed%3 == 0, seed%3 == 1
		var open []sent
		entry := func() Entry {
			id := EndpointID(1 + rng.IntN(n))
			e := Entry{Endpoint: id, Cell: rng.IntN(n / 2), Zone: rng.IntN(3), Kind: rng.IntN(4), Weight: 1,
				State: []State{Ready, Ready, Ready, Draining, Gone}[rng.IntN(5)]}
			if weights {
				e.Weight = float64(rng.IntN(300)) / 100
			}
			if rng.IntN(2) == 0 {
				e.Started = d.now - time.Duration(rng.IntN(12000))*ms
			}
			return e
		}
		for range 150 * soaked(4) {
			switch rng.IntN(9) {
			case 0, 1, 2:
				d.ask(rng.IntN(3))
			case 3, 4, 5:
				for range min(3, len(open)) {
					i := rng.IntN(len(open))
					x := open[i]
					open = slices.Delete(open, i, i+1)
					o := Outcome{ID: x.id, Endpoint: x.to, Attempt: x.attempt, Elapsed: time.Duration(1+rng.IntN(60)*int(1+x.to%4)) * ms,
						Status: []Status{OK, OK, OK, OK, OK, OK, Error, Full, Timeout, ConnectFailed, Reset, Spoilt}[rng.IntN(12)]}
					o.Final = o.Status == OK
					if reports {
						o.Load = &Load{Service: time.Duration(1+rng.IntN(20)*int(1+x.to%3)) * ms}
					}
					d.b.Outcome(d.now, o)
				}
			case 6:
				d.list(entry())
			case 7:
				l := List{Kind: []ListKind{Delta, Delta, Whole}[rng.IntN(3)], Version: 3}
				for range 1 + rng.IntN(80) {
					l.Entries = append(l.Entries, entry()) // some twice
				}
				d.b.Targets(d.now, l)
			case 8:
				g := Group{Instances: 1 + rng.IntN(2*s.Instances)}
				g.Ordinal, g.Sharing = rng.IntN(g.Instances), rng.IntN(2*g.Instances)
				if rng.IntN(2) == 0 {
					for i := range g.Instances {
						g.Members = append(g.Members, uint64(1000*i))
					}
					g.Self = g.Members[g.Ordinal]
				}
				if err := d.b.Regroup(d.now, g); err != nil {
					t.Fatal(err)
				}
			}
			if rng.IntN(3) == 0 {
				d.pass(time.Duration(rng.IntN(400)) * ms)
			}
			open = append(open, d.sent...)
			d.sent = d.sent[:0]
			verify(t, d.b, d.now)
		}
	}
}

// A subset by ids holds its endpoints through releases and losses: it moves no other's place, grows while most of
// it are isolated, is given up for tiles when the list gets short, and comes back.
func TestSubsetsByIDs(t *testing.T) {
	const n, instances = 2000, 40 // 150 each
	s := settings()
	s.Instances, s.Ordinal = instances, 7
	d := start(t, s, n)
	b := d.b
	verify(t, b, d.now)
	if !b.arced || len(b.mine) < 100 || len(b.mine) > 200 {
		t.Fatalf("by ids %v, %d endpoints", b.arced, len(b.mine))
	}
	set := func() map[EndpointID]bool {
		in := map[EndpointID]bool{}
		for id, part := range b.Subset() {
			if part != 1 {
				t.Fatalf("endpoint %d: a part of %v", id, part)
			}
			in[id] = true
		}
		return in
	}
	before := set()
	for i := range 50 {
		out := b.mine[i].id
		d.list(Entry{Endpoint: out, State: Gone})
		d.list(Entry{Endpoint: EndpointID(n + 1 + i), Weight: 1})
		delete(before, out)
		verify(t, b, d.now)
	}
	for id := range set() {
		if id <= n && !before[id] {
			t.Fatalf("endpoint %d came by others' leaving", id)
		}
		delete(before, id)
	}
	if len(before) > 0 {
		t.Fatalf("%v went by others' leaving", before)
	}

	held := len(b.mine)
	for _, e := range slices.Clone(b.mine) {
		if e.id%3 > 0 {
			b.isolate(d.now, e, "test")
			b.settle(d.now, e)
		}
	}
	b.stale = true
	if verify(t, b, d.now); len(b.mine) < held*3/2 || b.arc.Wide != 2 {
		t.Fatalf("%d endpoints after two thirds of %d were isolated", len(b.mine), held)
	}
	for _, e := range b.listed {
		if e.mark == isolated {
			b.ramp(d.now, e, d.now)
		}
	}
	b.stale = true
	if verify(t, b, d.now); len(b.mine) != held || b.arc.Wide != 1 {
		t.Fatalf("%d endpoints after the end of it, %d before", len(b.mine), held)
	}

	var l List
	for _, e := range b.listed[:1500] {
		l.Entries = append(l.Entries, Entry{Endpoint: e.id, State: Gone})
	}
	l.Kind, l.Version = Delta, 3
	b.Targets(d.now, l)
	if verify(t, b, d.now); b.arced || len(b.mine) > 45 {
		t.Fatalf("by ids %v with %d endpoints of %d", b.arced, len(b.mine), len(b.listed))
	}
	for i := range l.Entries {
		l.Entries[i].State, l.Entries[i].Weight = Ready, 1
	}
	l.Version = 4
	b.Targets(d.now, l)
	if verify(t, b, d.now); !b.arced {
		t.Fatal("not by ids again")
	}
}

// Each endpoint gets first attempts, whatever its id: the sidecar counts from 0. One that a request is to go elsewhere
// from gets none of that.
func TestEveryIDGetsFirstAttempts(t *testing.T) {
	d := start(t, settings(), 0)
	l := List{Kind: Whole, Version: 1}
	for id := range EndpointID(3) {
		l.Entries = append(l.Entries, Entry{Endpoint: id, Cell: int(id), Weight: 1})
	}
	d.b.Targets(d.now, l)
	got := d.serve(300, func(EndpointID) Status { return OK })
	for id := range EndpointID(3) {
		if got[id] < 50 {
			t.Errorf("endpoint %d got %d of 300", id, got[id])
		}
		for i := range 30 {
			at := len(d.sent)
			r := RequestID(fmt.Sprint("not", id, " ", i))
			d.b.Request(d.now, Request{ID: r, Class: read, Left: time.Second, Not: &id})
			if len(d.sent) != at+1 || d.sent[at].to == id {
				t.Fatalf("not to %d, and it went to %v", id, d.sent[at:])
			}
			d.end(d.sent[at], OK, ms)
		}
	}
}

// A keyed call that may have run goes to its cell's other endpoint, the one of 10,000 that is permitted, and nowhere else
// while that one is full.
func TestOnePermittedOfTenThousand(t *testing.T) {
	for _, instances := range []int{1, 40} {
		s := settings()
		s.Instances, s.Ordinal = instances, instances/2
		d := start(t, s, 10_000)
		mate := func(e EndpointID) EndpointID { return (e - 1) ^ 1 + 1 }
		for i := range 20 {
			d.serve(30, func(EndpointID) Status { return OK })
			at := len(d.sent)
			d.ask(book)
			if len(d.sent) != at+1 {
				t.Fatal("it was not sent", i)
			}
			first := d.sent[at]
			d.end(first, Reset, 10*ms)
			d.pass(300 * ms)
			if len(d.sent) != at+2 || d.sent[at+1].to != mate(first.to) {
				t.Fatalf("%d instances: after endpoint %d it went to %v; %v", instances, first.to, d.sent[at+1:], d.logs)
			}
			d.end(d.sent[at+1], Full, ms)
			d.pass(100 * ms)
			for _, x := range d.sent[at+2:] {
				if x.to != first.to && x.to != mate(first.to) {
					t.Fatalf("%d instances: out of its cell, from endpoint %d to %d", instances, first.to, x.to)
				}
			}
			for _, x := range d.sent[at+2:] {
				d.end(x, OK, 10*ms)
			}
			d.pass(2000 * ms)
		}
	}
}

// A bound on the subset holds; where all instances together do not reach every endpoint it says so, and again when
// they do.
func TestSubsetMost(t *testing.T) {
	for _, most := range []int{2, 20, 100} {
		s := settings()
		s.Instances, s.Ordinal, s.SubsetMost = 12, 5, most
		d := start(t, s, 3000)
		b := d.b
		verify(t, b, d.now)
		low, high := float64(most), float64(most)
		if most > arcsFrom { // by ids, a size is by chance
			low, high = 0.84*low-3*math.Sqrt(low), high+3*math.Sqrt(high)
		}
		if n := float64(len(b.mine)); n < low || n > high+1 {
			t.Errorf("%v endpoints, %d at most", n, most)
		}
		if !strings.Contains(strings.Join(d.logs, "; "), fmt.Sprintf("reach at most %d of 3000", 12*most)) {
			t.Errorf("%d at most: nothing said: %q", most, d.logs)
		}
		l := List{Kind: Delta, Version: 2}
		for id := EndpointID(12*most + 1); id <= 3000; id++ {
			l.Entries = append(l.Entries, Entry{Endpoint: id, State: Gone})
		}
		b.Targets(d.now, l)
		if verify(t, b, d.now); !strings.Contains(strings.Join(d.logs, "; "), fmt.Sprintf("reach all %d endpoints", 12*most)) {
			t.Errorf("%d at most: nothing said of its end: %q", most, d.logs)
		}
	}
	s := settings()
	s.SubsetMost = -1
	if _, err := New(s, 1, nil); err == nil || !strings.Contains(err.Error(), "subsetMost") {
		t.Errorf("a bound below 0: %v", err)
	}
}

// A fleet that is full is looked at once a tick, not with every request that comes, and each answer lets one through.
func TestFullFleetIsLookedAtOnceATick(t *testing.T) {
	d := start(t, settings(), 200)
	d.serve(600, nil)
	for _, e := range d.b.listed {
		e.fullUntil = d.now + time.Minute
	}
	d.ask(read)
	if !d.b.dry[0] || d.b.dry[1] {
		t.Fatalf("marked as %v", d.b.dry)
	}
	before := len(d.sent)
	for _, e := range d.b.listed[5:] {
		e.fullUntil = 0 // untold, so that a look would show
	}
	d.ask(read)
	if len(d.sent) > before {
		t.Error("it looked at all again")
	}
	d.pass(20 * ms)
	if len(d.sent) != before+2 {
		t.Errorf("%d of 2 were sent after the tick", len(d.sent)-before)
	}
}

// Endpoints that the dead alone called are called again once the rest are regrouped, and hardly any others move.
func TestRegroupLeavesNoEndpointUncalled(t *testing.T) {
	const instances, endpoints = 20, 600
	s := settings()
	s.Instances = instances
	var members []uint64
	for i := range instances {
		members = append(members, uint64(i)<<40+7)
	}
	var all []*bed
	subset := func(i int) map[EndpointID]bool {
		m := map[EndpointID]bool{}
		for id := range all[i].b.Subset() {
			m[id] = true
		}
		return m
	}
	uncalled := func(of []int) int {
		called := map[EndpointID]bool{}
		for _, i := range of {
			for id := range subset(i) {
				called[id] = true
			}
		}
		return endpoints - len(called)
	}
	regroup := func(of []int) {
		var g Group
		for _, i := range of {
			g.Members = append(g.Members, members[i])
		}
		g.Instances = len(of)
		for n, i := range of {
			g.Ordinal, g.Self = n, members[i]
			if err := all[i].b.Regroup(all[i].now, g); err != nil {
				t.Fatal(err)
			}
			verify(t, all[i].b, all[i].now)
		}
	}
	var everybody []int
	for i := range instances {
		s.Ordinal = i
		all = append(all, start(t, s, endpoints))
		everybody = append(everybody, i)
	}
	regroup(everybody)
	before := subset(3)
	left := slices.Delete(slices.Clone(everybody), 11, 12)
	regroup(left)
	lost := 0
	for id := range before {
		if !subset(3)[id] {
			lost++
		}
	}
	if n := len(subset(3)); lost > 0 || n > len(before)+endpoints/instances/2 {
		t.Errorf("one of %d went: another lost %d of its %d endpoints, and has %d", instances, lost, len(before), n)
	}
	left = []int{0, 3, 7, 8, 13, 19}
	if uncalled(left) == 0 {
		t.Error("seven in ten died, and no endpoint was without calls: the test shows nothing")
	}
	regroup(left)
	if n := uncalled(left); n > 0 {
		t.Errorf("%d endpoints are called by nobody", n)
	}
}

// What all together must not go beyond is divided by how many there may be, not by how many are in reach; a bucket that
// grows begins without a burst.
func TestRegroupDividesWhatIsShared(t *testing.T) {
	s := settings()
	s.Instances, s.Tenants = 10, []Tenant{{Name: "a", QuotaPerS: 100}}
	d := start(t, s, 40)
	rate := func(g Group, want float64) {
		t.Helper()
		level := d.b.tenants[0].level
		if err := d.b.Regroup(d.now, g); err != nil {
			t.Fatal(err)
		}
		if got := d.b.tenants[0].rate; got != want || math.Abs(d.b.all.rate-want) > 1e-9 || d.b.tenants[0].level > level {
			t.Errorf("%+v: %v and %v a second, should be %v; level %v after %v", g, got, d.b.all.rate, want, d.b.tenants[0].level, level)
		}
	}
	rate(Group{Instances: 3, Sharing: 10}, 10)
	rate(Group{Instances: 4, Ordinal: 3}, 25)
	rate(Group{Instances: 20}, 5)
	for want, g := range map[string]Group{
		"0 instances":   {},
		"no number":     {Instances: 3, Ordinal: 3},
		"this one":      {Instances: 2, Members: []uint64{1, 2}, Self: 3},
		"1 members for": {Instances: 2, Members: []uint64{1}, Self: 1},
	} {
		if err := d.b.Regroup(d.now, g); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, should say %q", g, err, want)
		}
	}
	if d.b.set.Instances != 20 {
		t.Error("a group that is none changed something")
	}
}
