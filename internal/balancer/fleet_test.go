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
	l := EndpointList{Kind: ListFull, Version: 1}
	for i := 1; i <= n; i++ {
		e := ListEntry{Endpoint: EndpointID(i), Cell: i / 2, MachineKind: i % 3, Zone: i % 4, Weight: 1}
		if weighted {
			e.Weight = float64(1 + rng.IntN(4))
		}
		switch rng.IntN(8) {
		case 0:
			e.StartedAt = h.now - time.Duration(rng.IntN(9000))*ms
		case 1:
			e.State = EndpointDraining
		}
		l.Entries = append(l.Entries, e)
	}
	b.HandleEndpoints(h.now, l)
	for i := range 40 * n {
		id := RequestID(fmt.Sprint("warm", i))
		b.HandleRequest(h.now, Request{ID: id, Class: read, TimeLeft: time.Second})
		if x := h.last(); x.id == id {
			took := time.Duration(float64(20*ms) * (0.5 + rng.ExpFloat64()) * float64(1+x.to%5) / 3)
			b.HandleOutcome(h.now, Outcome{ID: id, Endpoint: x.to, Final: true, Elapsed: took})
		}
		if h.now += ms / 2; i%10 == 0 {
			b.HandleTimer(h.now, timerTick)
		}
	}
	for _, e := range b.listed {
		switch rng.IntN(10) {
		case 0:
			b.eject(h.now, e, "test")
			e.trialAt = h.now + time.Hour
			b.refreshPools(h.now, e)
		case 1:
			e.rejectsUntil = h.now + time.Second
		case 2:
			e.penalties = append(e.penalties, h.now+time.Second)
		}
	}
	b.concurrency.limit = 1000
	b.advanceSlowStarts(h.now)
	b.updateSubset(h.now)
	b.warmSendRate.add(h.now, b.rateWindow, 1000/float64(n))
	for _, e := range b.listed {
		e.slowStartTokens, e.slowStartTokensAt = float64(rng.IntN(3)), h.now
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
				b.scanLimit = few
				got := map[EndpointID]float64{}
				for range picks {
					r := &request{class: b.classes[read], attempts: c.attempts, failedEndpoint: b.listed[1]}
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
					e.index.bound /= 3
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
	b.advanceSlowStarts(now)
	if b.subset.stale {
		b.updateSubset(now)
	}
	n, busy, warm := 0, 0, 0.0
	var in [poolCount]int
	parts, mine := 0.0, 0
	for i, e := range b.listed {
		if i > 0 && b.listed[i-1].id >= e.id || !e.listed || b.endpointsByID[e.id] != e {
			t.Fatalf("the list is out of order at %d", e.id)
		}
		seated := e.availability != draining
		if seated {
			n++
		}
		if e.index.indexed != seated || slices.Contains(b.index.byCell[e.cell], e) != seated {
			t.Fatalf("endpoint %d: mark %d, seated %v", e.id, e.availability, e.index.indexed)
		}
		if len(e.calls) > 0 {
			busy++
		}
		want := -1
		switch {
		case e.availability == available && e.subsetWeight > 0:
			want = availablePool
		case e.availability == available:
			want = outsidePool
		case e.availability == warmingUp && e.subsetWeight > 0:
			want = warmingUpPool
		}
		if e.index.pooled != (want >= 0) || e.index.pooled && e.index.pool != want {
			t.Fatalf("endpoint %d: mark %d, part %v; pooled %v in %d", e.id, e.availability, e.subsetWeight, e.index.pooled, e.index.pool)
		}
		if want >= 0 {
			in[want]++
			if o := b.weights.drawWeight(e) * b.capacityShare(now, e); o > e.index.bound*b.pools.boundSlack*(1+1e-9) {
				t.Fatalf("endpoint %d: odds %v over their bound %v, slack %v, pool %d", e.id, o, e.index.bound, b.pools.boundSlack, want)
			}
		}
		if want == availablePool {
			warm += b.weights.drawWeight(e)
		}
		if e.subsetWeight > 0 {
			parts, mine = parts+e.subsetWeight, mine+1
		}
		if has := b.subset.byHash && seated && b.subset.share.Owns(uint32(e.id)); b.subset.byHash && (e.subsetWeight > 0) != (has && b.weights.endpointWeight(e) > 0) {
			t.Fatalf("endpoint %d: mark %d, part %v, on this instance's arcs %v", e.id, e.availability, e.subsetWeight, has)
		}
		_, ramps := b.slowStarts.Deadline(e)
		at, trial := b.trials.Deadline(e)
		if ramps != (e.availability == warmingUp) || trial != (e.availability == ejected && e.subsetWeight > 0 && len(e.calls) == 0) || trial && at != e.trialAt {
			t.Fatalf("endpoint %d: mark %d, part %v, ramps %v, trial %v", e.id, e.availability, e.subsetWeight, ramps, trial)
		}
	}
	if b.index.ordered.Len() != n || len(b.busy) < busy {
		t.Fatalf("%d seated, should be %d; %d busy, should be %d", b.index.ordered.Len(), n, len(b.busy), busy)
	}
	for i := range in {
		if b.pools.pools[i].Len() != in[i] {
			t.Fatalf("pool %d holds %d, should be %d", i, b.pools.pools[i].Len(), in[i])
		}
	}
	if b.subset.byHash && (b.subset.all || !slices.IsSortedFunc(b.subset.members, compareIDs)) {
		t.Fatal("the subset is out of order, or all as well")
	}
	if !b.subset.all && mine != len(b.subset.members) {
		t.Fatalf("%d have a part, %d are listed so", mine, len(b.subset.members))
	}
	if warm > 0 && math.Abs(math.Log(b.pools.availableWeight/warm)) > math.Log(maxDrift*maxDrift) {
		t.Fatalf("the warm odds' sum is %v, should be %v", b.pools.availableWeight, warm)
	}
	kept := 0
	for w, k := range b.index.weightCounts {
		kept += k
		if k <= 0 {
			t.Fatalf("weight %v: %d", w, k)
		}
	}
	apart := func(e *endpoint) bool { return e.listedWeight != b.listed[0].listedWeight }
	none := func(e *endpoint) bool { return e.listedWeight <= 0 }
	if weighted := slices.ContainsFunc(b.listed, apart) && !slices.ContainsFunc(b.listed, none); kept != len(b.listed) || weighted != b.weights.useListed {
		t.Fatalf("%d weights of %d; weighted %v", kept, len(b.listed), b.weights.useListed)
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
			s.SlowStartMinShare = 0
		}
		n := 60
		if s.Instances == 4 {
			n = 96 // a subset by ids, while most are listed
		}
		d := start(t, s, n)
		d.b.scanLimit = []int{0, maxScanned}[seed/4%2]
		reports, weights := seed%3 == 0, seed%3 == 1
		var open []sent
		entry := func() ListEntry {
			id := EndpointID(1 + rng.IntN(n))
			e := ListEntry{
				Endpoint: id, Cell: rng.IntN(n / 2), Zone: rng.IntN(3), MachineKind: rng.IntN(4), Weight: 1,
				State: []EndpointState{EndpointReady, EndpointReady, EndpointReady, EndpointDraining, EndpointRemoved}[rng.IntN(5)],
			}
			if weights {
				e.Weight = float64(rng.IntN(300)) / 100
			}
			if rng.IntN(2) == 0 {
				e.StartedAt = d.now - time.Duration(rng.IntN(12000))*ms
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
					o := Outcome{
						ID: x.id, Endpoint: x.to, Attempt: x.attempt, Elapsed: time.Duration(1+rng.IntN(60)*int(1+x.to%4)) * ms,
						Status: []Status{StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusError, StatusRejected, StatusTimeout, StatusConnectFailed, StatusReset, StatusInvalidResponse}[rng.IntN(12)],
					}
					o.Final = o.Status == StatusOK
					if reports {
						o.Load = &Load{ServiceTime: time.Duration(1+rng.IntN(20)*int(1+x.to%3)) * ms}
					}
					d.b.HandleOutcome(d.now, o)
				}
			case 6:
				d.list(entry())
			case 7:
				l := EndpointList{Kind: []ListKind{ListDelta, ListDelta, ListFull}[rng.IntN(3)], Version: 3}
				for range 1 + rng.IntN(80) {
					l.Entries = append(l.Entries, entry()) // some twice
				}
				d.b.HandleEndpoints(d.now, l)
			case 8:
				g := InstanceGroup{Instances: 1 + rng.IntN(2*s.Instances)}
				g.Ordinal, g.MaxInstances = rng.IntN(g.Instances), rng.IntN(2*g.Instances)
				if rng.IntN(2) == 0 {
					for i := range g.Instances {
						g.Members = append(g.Members, uint64(1000*i))
					}
					g.Self = g.Members[g.Ordinal]
				}
				if err := d.b.UpdateGroup(d.now, g); err != nil {
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
	if !b.subset.byHash || len(b.subset.members) < 100 || len(b.subset.members) > 200 {
		t.Fatalf("by ids %v, %d endpoints", b.subset.byHash, len(b.subset.members))
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
		out := b.subset.members[i].id
		d.list(ListEntry{Endpoint: out, State: EndpointRemoved})
		d.list(ListEntry{Endpoint: EndpointID(n + 1 + i), Weight: 1})
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

	held := len(b.subset.members)
	for _, e := range slices.Clone(b.subset.members) {
		if e.id%3 > 0 {
			b.eject(d.now, e, "test")
			b.refreshPools(d.now, e)
		}
	}
	b.subset.stale = true
	if verify(t, b, d.now); len(b.subset.members) < held*3/2 || b.subset.share.Widening != 2 {
		t.Fatalf("%d endpoints after two thirds of %d were isolated", len(b.subset.members), held)
	}
	for _, e := range b.listed {
		if e.availability == ejected {
			b.startSlowStart(d.now, e, d.now)
		}
	}
	b.subset.stale = true
	if verify(t, b, d.now); len(b.subset.members) != held || b.subset.share.Widening != 1 {
		t.Fatalf("%d endpoints after the end of it, %d before", len(b.subset.members), held)
	}

	var l EndpointList
	for _, e := range b.listed[:1500] {
		l.Entries = append(l.Entries, ListEntry{Endpoint: e.id, State: EndpointRemoved})
	}
	l.Kind, l.Version = ListDelta, 3
	b.HandleEndpoints(d.now, l)
	if verify(t, b, d.now); b.subset.byHash || len(b.subset.members) > 45 {
		t.Fatalf("by ids %v with %d endpoints of %d", b.subset.byHash, len(b.subset.members), len(b.listed))
	}
	for i := range l.Entries {
		l.Entries[i].State, l.Entries[i].Weight = EndpointReady, 1
	}
	l.Version = 4
	b.HandleEndpoints(d.now, l)
	if verify(t, b, d.now); !b.subset.byHash {
		t.Fatal("not by ids again")
	}
}

// Each endpoint gets first attempts, whatever its id: the sidecar counts from 0. One that a request is to go elsewhere
// from gets none of that.
func TestEveryIDGetsFirstAttempts(t *testing.T) {
	d := start(t, settings(), 0)
	l := EndpointList{Kind: ListFull, Version: 1}
	for id := range EndpointID(3) {
		l.Entries = append(l.Entries, ListEntry{Endpoint: id, Cell: int(id), Weight: 1})
	}
	d.b.HandleEndpoints(d.now, l)
	got := d.serve(300, func(EndpointID) Status { return StatusOK })
	for id := range EndpointID(3) {
		if got[id] < 50 {
			t.Errorf("endpoint %d got %d of 300", id, got[id])
		}
		for i := range 30 {
			at := len(d.sent)
			r := RequestID(fmt.Sprint("not", id, " ", i))
			d.b.HandleRequest(d.now, Request{ID: r, Class: read, TimeLeft: time.Second, Exclude: &id})
			if len(d.sent) != at+1 || d.sent[at].to == id {
				t.Fatalf("not to %d, and it went to %v", id, d.sent[at:])
			}
			d.end(d.sent[at], StatusOK, ms)
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
			d.serve(30, func(EndpointID) Status { return StatusOK })
			at := len(d.sent)
			d.ask(book)
			if len(d.sent) != at+1 {
				t.Fatal("it was not sent", i)
			}
			first := d.sent[at]
			d.end(first, StatusReset, 10*ms)
			d.pass(300 * ms)
			if len(d.sent) != at+2 || d.sent[at+1].to != mate(first.to) {
				t.Fatalf("%d instances: after endpoint %d it went to %v; %v", instances, first.to, d.sent[at+1:], d.logs)
			}
			d.end(d.sent[at+1], StatusRejected, ms)
			d.pass(100 * ms)
			for _, x := range d.sent[at+2:] {
				if x.to != first.to && x.to != mate(first.to) {
					t.Fatalf("%d instances: out of its cell, from endpoint %d to %d", instances, first.to, x.to)
				}
			}
			for _, x := range d.sent[at+2:] {
				d.end(x, StatusOK, 10*ms)
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
		s.Instances, s.Ordinal, s.MaxSubsetSize = 12, 5, most
		d := start(t, s, 3000)
		b := d.b
		verify(t, b, d.now)
		low, high := float64(most), float64(most)
		if most > hashSubsetFrom { // by ids, a size is by chance
			low, high = 0.84*low-3*math.Sqrt(low), high+3*math.Sqrt(high)
		}
		if n := float64(len(b.subset.members)); n < low || n > high+1 {
			t.Errorf("%v endpoints, %d at most", n, most)
		}
		if !strings.Contains(strings.Join(d.logs, "; "), fmt.Sprintf("reach at most %d of 3000", 12*most)) {
			t.Errorf("%d at most: nothing said: %q", most, d.logs)
		}
		l := EndpointList{Kind: ListDelta, Version: 2}
		for id := EndpointID(12*most + 1); id <= 3000; id++ {
			l.Entries = append(l.Entries, ListEntry{Endpoint: id, State: EndpointRemoved})
		}
		b.HandleEndpoints(d.now, l)
		if verify(t, b, d.now); !strings.Contains(strings.Join(d.logs, "; "), fmt.Sprintf("reach all %d endpoints", 12*most)) {
			t.Errorf("%d at most: nothing said of its end: %q", most, d.logs)
		}
	}
	s := settings()
	s.MaxSubsetSize = -1
	if _, err := New(s, 1, nil); err == nil || !strings.Contains(err.Error(), "subsetMost") {
		t.Errorf("a bound below 0: %v", err)
	}
}

// A fleet that is full is looked at once a tick, not with every request that comes, and each answer lets one through.
func TestFullFleetIsLookedAtOnceATick(t *testing.T) {
	d := start(t, settings(), 200)
	d.serve(600, nil)
	for _, e := range d.b.listed {
		e.rejectsUntil = d.now + time.Minute
	}
	d.ask(read)
	if !d.b.exhausted.scopes[0] || d.b.exhausted.scopes[1] {
		t.Fatalf("marked as %v", d.b.exhausted.scopes)
	}
	before := len(d.sent)
	for _, e := range d.b.listed[5:] {
		e.rejectsUntil = 0 // untold, so that a look would show
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
		var g InstanceGroup
		for _, i := range of {
			g.Members = append(g.Members, members[i])
		}
		g.Instances = len(of)
		for n, i := range of {
			g.Ordinal, g.Self = n, members[i]
			if err := all[i].b.UpdateGroup(all[i].now, g); err != nil {
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
	s.Instances, s.Tenants = 10, []Tenant{{Name: "a", QuotaPerSecond: 100}}
	d := start(t, s, 40)
	rate := func(g InstanceGroup, want float64) {
		t.Helper()
		level := d.b.quotas.tenants[0].tokens
		if err := d.b.UpdateGroup(d.now, g); err != nil {
			t.Fatal(err)
		}
		if got := d.b.quotas.tenants[0].rate; got != want || math.Abs(d.b.quotas.total.rate-want) > 1e-9 || d.b.quotas.tenants[0].tokens > level {
			t.Errorf("%+v: %v and %v a second, should be %v; level %v after %v", g, got, d.b.quotas.total.rate, want, d.b.quotas.tenants[0].tokens, level)
		}
	}
	rate(InstanceGroup{Instances: 3, MaxInstances: 10}, 10)
	rate(InstanceGroup{Instances: 4, Ordinal: 3}, 25)
	rate(InstanceGroup{Instances: 20}, 5)
	for want, g := range map[string]InstanceGroup{
		"0 instances":   {},
		"no number":     {Instances: 3, Ordinal: 3},
		"this one":      {Instances: 2, Members: []uint64{1, 2}, Self: 3},
		"1 members for": {Instances: 2, Members: []uint64{1}, Self: 1},
	} {
		if err := d.b.UpdateGroup(d.now, g); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, should say %q", g, err, want)
		}
	}
	if d.b.settings.Instances != 20 {
		t.Error("a group that is none changed something")
	}
}
