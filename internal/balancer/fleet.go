package balancer

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"quincegap/internal/structures/deadlinequeue"
	"quincegap/internal/structures/hashring"
	"quincegap/internal/structures/weightedring"
	"quincegap/internal/structures/weightedsample"
)

// This file keeps the listed endpoints where decisions find them without a walk over the list; it decides nothing.
// An endpoint is settled after each change of what its place hangs on: its mark, its part, its pace.

// The pools that endpoints are drawn from.
const (
	warmPool  = iota // usable, with a part in the subset
	rampPool         // ramping, with a part in the subset
	otherPool        // usable, outside of the subset: for further attempts alone
	pools
)

// An endpoint's odds move with its kind's pace, all of a kind's at once and with every answer. So a pool holds a
// bound that they keep below; what is drawn is taken with probability odds / bound, which gives just the draw by
// the odds. An endpoint's bound is moved with its own changes. Its kind's only raise the slack, by which all bounds
// are multiplied when something is drawn, until they have gone so far that all of the kind are settled anew.
const (
	boundOver = 1.2  // times the odds: a new bound
	boundMost = 2.0  // times the odds: one that wastes draws
	raiseBy   = 1.25 // how far a ramp goes on between two looks at its endpoint's bound
	driftMost = 2.0  // times what it was: a kind whose endpoints are settled anew
	slackFor  = 64   // answers between two looks at the slack over all kinds
	walked    = 32   // endpoints that are looked at one by one before draws from the pools are cheaper
	drawTries = 24   // draws from the pools that may be in vain before all are looked at
)

// fleet is the standing order of the endpoints that a request may go to.
type fleet struct {
	ring     weightedring.Ring[*endpoint] // those that do not leave, with the weights that the subsets go by
	mine     []*endpoint                  // those with a part in the subset, unless
	whole    bool                         // it holds all there are
	stale    bool                         // the subset is to be worked out again
	cells    map[int][]*endpoint
	zones    map[int]int // how many are in each
	pools    [pools]weightedsample.Pool[*endpoint]
	warmSum  float64                        // of the odds in warmPool, as they were settled
	ramps    deadlinequeue.Queue[*endpoint] // ramping ones, by when their bound is to be looked at
	trials   deadlinequeue.Queue[*endpoint] // isolated ones without a call, by when a trial is due
	weights  map[float64]int                // listed weights, and how many have each
	slack    float64                        // at least 1
	looks    int                            // at the slack, by answers
	everyone []*endpoint                    // room for a list of all
	resting  deadlinequeue.Queue[*request]  // to be held when their pause is over
	short    bool                           // instances together do not reach all
	arced    bool                           // the subset is by ids,
	arc      hashring.Share                 // those that this has
	few      int                            // endpoints that are looked at one by one
	sharing  float64                        // instances that what all together may do is divided by
	group    *hashring.Group                // what the subsets by ids go by; nil for ordinals
	dry      [2]bool                        // a look at the subset, and one at all, was in vain
	freed    *endpoint                      // that the latest answer since came from
	news     []*endpoint                    // those that the list which is taken in names first
	left     []*endpoint                    // those that had a part before the subset was worked out again
}

// place is where the fleet has an endpoint.
type place struct {
	seated bool // in the ring
	cell   int
	zone   int
	weight float64 // counted among the listed ones,
	listed bool    // if it is

	pool, slot int
	pooled     bool
	bound      float64 // of its odds in the pool
	sum        float64 // its odds in warmSum
	part       float64 // it had, while the subset is worked out
}

func newFleet() fleet {
	before := func(a, b *endpoint) bool { return a.id < b.id }
	f := fleet{slack: 1, few: walked, cells: map[int][]*endpoint{}, zones: map[int]int{}, weights: map[float64]int{}}
	f.ramps.Less, f.trials.Less = before, before
	f.resting.Less = func(x, y *request) bool { return x.id < y.id }
	return f
}

func byID(x, y *endpoint) int { return cmp.Compare(x.id, y.id) }

// with puts an endpoint into a list in the order of ids, without takes it out.
func with(list []*endpoint, e *endpoint) []*endpoint {
	i, found := slices.BinarySearchFunc(list, e, byID)
	if found {
		return list
	}
	return slices.Insert(list, i, e)
}

func without(list []*endpoint, e *endpoint) []*endpoint {
	if i, found := slices.BinarySearchFunc(list, e, byID); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// weigh notes an endpoint's listed weight.
func (f *fleet) weigh(e *endpoint) {
	if e.at.listed && (!e.listed || e.at.weight != e.weight) {
		if f.weights[e.at.weight]--; f.weights[e.at.weight] == 0 {
			delete(f.weights, e.at.weight)
		}
		e.at.listed = false
	}
	if e.listed && !e.at.listed {
		f.weights[e.weight]++
		e.at.weight, e.at.listed = e.weight, true
	}
}

// apart tells whether the listed weights are all above 0 and tell endpoints apart.
func (f *fleet) apart() bool { return len(f.weights) > 1 && f.weights[0] == 0 }

// seat puts an endpoint into the ring and its cell, or takes it out, as it stands.
func (b *Balancer) seat(now time.Duration, e *endpoint) {
	in := e.listed && e.mark != leaving
	if !in && !e.at.seated {
		return
	}
	if e.at.seated && (!in || e.at.cell != e.cell) {
		if b.cells[e.at.cell] = without(b.cells[e.at.cell], e); len(b.cells[e.at.cell]) == 0 {
			delete(b.cells, e.at.cell)
		}
	}
	if in && (!e.at.seated || e.at.cell != e.cell) {
		b.cells[e.cell] = with(b.cells[e.cell], e)
	}
	if e.at.seated {
		if b.zones[e.at.zone]--; b.zones[e.at.zone] == 0 {
			delete(b.zones, e.at.zone)
		}
	}
	if in {
		b.zones[e.zone]++
	}
	e.at.cell, e.at.zone = e.cell, e.zone
	if in {
		b.ring.Put(uint32(e.id), b.weight(e), e)
	} else if e.at.seated {
		b.ring.Remove(uint32(e.id))
	}
	switch {
	case !in:
		e.part = 0
		if b.arced {
			b.mine = without(b.mine, e)
		}
	case b.whole:
		e.part = b.weight(e)
	case b.arced && b.arc.Has(uint32(e.id)):
		e.part = b.weight(e)
		b.mine = with(b.mine, e)
	}
	e.at.seated, b.stale = in, true
	b.settle(now, e)
}

// settle brings an endpoint's place in the pools and queues up to date.
func (b *Balancer) settle(now time.Duration, e *endpoint) {
	pool, in := otherPool, e.at.seated && (e.mark == usable || e.mark == ramping && e.part > 0)
	switch {
	case e.mark == ramping:
		pool = rampPool
	case e.part > 0:
		pool = warmPool
	}
	if e.at.pooled && (!in || e.at.pool != pool) {
		b.pools[e.at.pool].Remove(e.at.slot)
		b.warmSum -= e.at.sum
		e.at.pooled, e.at.sum = false, 0
	}
	if in {
		b.bound(now, e, pool)
	}
	switch {
	case e.at.seated && e.mark == ramping:
		if _, ok := b.ramps.Due(e); !ok {
			b.ramps.Put(e, b.raiseAt(now, e))
		}
	default:
		b.ramps.Remove(e)
	}
	if e.at.seated && e.mark == isolated && e.part > 0 && len(e.calls) == 0 {
		b.trials.Put(e, e.trialAt)
	} else {
		b.trials.Remove(e)
	}
}

// bound puts an endpoint into a pool, or moves its bound there, if that is due.
func (b *Balancer) bound(now time.Duration, e *endpoint, pool int) {
	o := b.odds(e)
	if pool == warmPool {
		b.warmSum += o - e.at.sum
		e.at.sum = o
	}
	if pool == rampPool {
		o *= b.share(b.raiseAt(now, e), e) // the bound is not looked at before
	}
	o *= b.drifted(e.kind) // it may go back by as much
	switch {
	case !e.at.pooled:
		e.at.bound = o * boundOver
		e.at.pool, e.at.slot, e.at.pooled = pool, b.pools[pool].Add(e, e.at.bound), true
	case o > e.at.bound || o*boundMost < e.at.bound:
		e.at.bound = o * boundOver
		b.pools[pool].Set(e.at.slot, e.at.bound)
	}
}

// raiseAt is when the share of a ramping endpoint will have grown by raiseBy, or when its ramp is over.
func (b *Balancer) raiseAt(now time.Duration, e *endpoint) time.Duration {
	over := e.coldFrom + b.set.Cold
	if b.set.ColdFrom >= 1 {
		return over
	}
	grown := (b.share(now, e)*raiseBy - b.set.ColdFrom) / (1 - b.set.ColdFrom)
	// One that starts with no share at all would be looked at again and again.
	return min(over, max(e.coldFrom+seconds(grown*b.set.Cold.Seconds()), now+b.tick))
}

// not is an endpoint that is named; nil for none. Ids begin where the host likes, so no number stands for none.
func (b *Balancer) not(id *EndpointID) *endpoint {
	if id == nil {
		return nil
	}
	return b.byID[*id]
}

// rest holds a request from the end of a pause on. It is looked for each tick, so the pause may be that much longer. An
// instance that ends has no time for pauses.
func (b *Balancer) rest(now time.Duration, r *request, pause time.Duration) {
	if pause <= 0 || b.endsAt < math.MaxInt64 {
		b.hold(r)
		return
	}
	b.resting.Put(r, now+pause)
}

// rested holds those whose pause is over. One that has lapsed meanwhile is known no more.
func (b *Balancer) rested(now time.Duration) {
	for {
		r, at, ok := b.resting.First()
		if !ok || at > now && b.endsAt == math.MaxInt64 {
			return
		}
		switch b.resting.Remove(r); {
		case b.requests[r.id] != r || r.done:
		case now+b.tick >= r.deadline:
			b.finish(now, r)
		default:
			b.hold(r)
		}
	}
}

// raise brings the bounds of ramping endpoints up to date, and ends ramps that are over.
func (b *Balancer) raise(now time.Duration) {
	b.rested(now)
	for {
		e, at, ok := b.ramps.First()
		if !ok || at > now {
			return
		}
		b.ramps.Remove(e)
		if b.share(now, e) >= 1 {
			e.mark = usable
		}
		b.settle(now, e)
	}
}

// drifted is how far what the odds of a kind's endpoints share may have moved them since they were settled.
func (b *Balancer) drifted(kind int) float64 {
	far := b.speeds.sum.moved()
	if kind < len(b.kinds) && b.kinds[kind].n >= paceTrust {
		far *= b.kinds[kind].moved()
	}
	if kind < len(b.speeds.kinds) {
		far *= b.speeds.kinds[kind].moved()
	}
	return far
}

// drift takes a kind's move into the slack, and settles its endpoints when it has gone too far. A report moves what the
// odds of all kinds share, so that the slack is looked at for all.
func (b *Balancer) drift(now time.Duration, kind int, reported bool) {
	far := b.drifted(kind)
	// Before paceTrust answers a kind's pace counts for nothing, and all its endpoints' odds leap when it does. A
	// kind that reports its first service time moves those of all kinds.
	trusted := kind < len(b.kinds) && b.kinds[kind].n >= paceTrust && b.kinds[kind].seen == 0
	switch all := b.speeds.n != b.speeds.seen || b.speeds.sum.moved() > math.Sqrt(driftMost); {
	case all:
		b.settleAll(now)
	case trusted || far > driftMost:
		b.settleKind(now, kind)
	default:
		b.slack = max(b.slack, far)
	}
	if b.looks++; b.looks >= slackFor {
		b.looks, b.slack, reported = 0, 1, true
	}
	if reported {
		for k := range max(len(b.kinds), len(b.speeds.kinds)) {
			b.slack = max(b.slack, b.drifted(k))
		}
	}
}

// settleKind settles a kind's endpoints.
func (b *Balancer) settleKind(now time.Duration, kind int) {
	if kind < len(b.kinds) && b.kinds[kind].n >= paceTrust {
		b.kinds[kind].seen = b.kinds[kind].mean
	}
	if kind < len(b.speeds.kinds) {
		b.speeds.kinds[kind].seen = b.speeds.kinds[kind].mean
	}
	for e := range b.ring.All() {
		if e.kind == kind {
			b.settle(now, e)
		}
	}
}

// settleAll settles every endpoint, with sums that begin anew.
func (b *Balancer) settleAll(now time.Duration) {
	for i := range b.kinds {
		if k := &b.kinds[i]; k.n >= paceTrust {
			k.seen = k.mean
		}
	}
	for i := range b.speeds.kinds {
		b.speeds.kinds[i].seen = b.speeds.kinds[i].mean
	}
	b.speeds.sum.seen, b.speeds.seen = b.speeds.sum.mean, b.speeds.n
	b.warmSum, b.slack = 0, 1
	for e := range b.ring.All() {
		e.at.sum = 0
		b.settle(now, e)
	}
}

// warmOdds is the sum of the odds of the subset's warm endpoints.
func (b *Balancer) warmOdds() float64 {
	if b.many(false) {
		return b.warmSum
	}
	sum := 0.0
	for _, e := range b.near(false) {
		if e.mark == usable {
			sum += b.odds(e)
		}
	}
	return sum
}

// drawOne draws one endpoint from the pools, by the bounds of the odds, and takes it with the probability that
// makes that a draw by the odds.
func (b *Balancer) drawOne(now time.Duration, pools []weightedsample.Pool[*endpoint]) (*endpoint, bool) {
	total := 0.0
	for i := range pools {
		total += pools[i].Total()
	}
	x := b.rng.Float64() * total
	for i := range pools {
		if own := pools[i].Total(); x < own {
			e, ok := pools[i].Draw(x / own)
			return e, ok && b.rng.Float64()*e.at.bound*b.slack < b.share(now, e)*b.odds(e)
		} else {
			x -= own
		}
	}
	return nil, false
}

// relist brings the list in line with the endpoints that news of it named, and forgets those that are gone; those
// with calls out are held on to by their calls.
func (b *Balancer) relist(now time.Duration, l List) {
	forget := func(e *endpoint) {
		b.fleet.weigh(e)
		b.leave(now, e)
		delete(b.byID, e.id)
	}
	if l.Kind == Delta && len(l.Entries) <= walked {
		for _, x := range l.Entries {
			e := b.byID[x.Endpoint]
			switch {
			case e == nil: // named twice, and gone
			case e.listed:
				b.listed = with(b.listed, e)
			default:
				b.listed = without(b.listed, e)
				forget(e)
			}
		}
	} else {
		b.listed = append(b.listed, b.news...)
		b.listed = slices.DeleteFunc(b.listed, func(e *endpoint) bool {
			if !e.listed {
				forget(e)
			}
			return !e.listed
		})
		if len(b.news) > 0 {
			slices.SortFunc(b.listed, byID)
		}
	}
	clear(b.news)
	b.news = b.news[:0]
	if apart := b.apart(); apart != b.weighted {
		b.weighted = apart
		b.reweigh(now)
	}
}

// reweigh takes new weights of all endpoints into the ring.
func (b *Balancer) reweigh(now time.Duration) {
	b.ring.Reweigh(b.weight)
	if b.whole || b.arced {
		for _, e := range b.near(false) {
			e.part = b.weight(e)
		}
	}
	b.stale = true
	b.settleAll(now)
}

// assignAll gives this instance all there are, each with its whole weight.
func (b *Balancer) assignAll(now time.Duration) {
	b.tellShort()
	if b.stale = false; b.whole {
		return
	}
	b.whole, b.arced, b.mine = true, false, nil
	for e := range b.ring.All() {
		e.part = b.weight(e)
		b.settle(now, e)
	}
}

// unassign takes this instance's endpoints from it; assign gives it a part of the weight of one; assigned ends that,
// and settles those whose part has changed.
func (b *Balancer) unassign() {
	b.left = append(b.left[:0], b.near(false)...)
	for _, e := range b.left {
		e.at.part, e.part = e.part, 0
	}
	b.whole, b.arced, b.mine = false, false, b.mine[:0]
}

// assignArcs gives this instance those on its arcs, each with its whole weight.
func (b *Balancer) assignArcs(now time.Duration, wide float64) {
	b.tellShort()
	if b.stale = false; b.arced && b.arc == b.arcs(wide) {
		return
	}
	b.unassign()
	b.arced, b.arc = true, b.arcs(wide)
	for e := range b.ring.All() {
		if b.arc.Has(uint32(e.id)) {
			b.assign(e, b.weight(e))
		}
	}
	b.assigned(now)
}

// arcs is this instance's share at a width. Where a bound makes it smaller than its tier's, the owners that an endpoint
// has go by the length of the list, which moves all arcs; so they are rounded down to powers of the fourth root of 2,
// and stay as they are through most changes.
func (b *Balancer) arcs(wide float64) hashring.Share {
	copies := float64(callers)
	if c := b.seats * float64(b.set.Instances) / float64(b.ring.Len()); c < copies-1e-9 {
		copies = min(copies, math.Exp2(math.Floor(4*math.Log2(c)+1e-9)/4))
	}
	return hashring.Share{Owner: b.set.Ordinal, Owners: b.set.Instances, Copies: copies, Wide: wide, Group: b.group}
}

// Regroup takes which instances there are by now, in place of Settings.Instances and Ordinal. Endpoints that the subset
// loses are used no more but by calls that are out; what was learnt of them stays. It returns an error, and changes
// nothing, where the group is none. Give it a group that holds for some time: each moves subsets.
func (b *Balancer) Regroup(now time.Duration, g Group) error {
	if err := g.check(); err != nil {
		return err
	}
	b.set.Instances, b.set.Ordinal = g.Instances, g.Ordinal
	was := b.sharing
	b.sharing = float64(max(g.Sharing, g.Instances))
	b.group = nil
	if len(g.Members) > 0 {
		b.group = hashring.NewGroup(g.Self, g.Members)
	}
	if b.tenants != nil && b.sharing != was {
		for i := range b.tenants {
			b.tenants[i].refill(now, b.set.Tenants[i].QuotaPerS/b.sharing, tenantBurst)
		}
		b.all.refill(now, b.all.rate*was/b.sharing, allBurst)
	}
	b.stale = true
	b.place(now)
	b.arm()
	return nil
}

// tellShort tells people when a bound on subsets leaves endpoints without any instance, and when it no longer does.
func (b *Balancer) tellShort() {
	n, all := b.ring.Len(), int(b.seats*float64(b.set.Instances)+0.5)
	short := b.set.SubsetMost > 0 && all < n
	if short == b.short {
		return
	}
	if b.short = short; short {
		b.host.Log(fmt.Sprintf("subsets: %d instances of %d endpoints each reach at most %d of %d; the others get no calls",
			b.set.Instances, b.set.SubsetMost, all, n))
	} else {
		b.host.Log(fmt.Sprintf("subsets: the instances reach all %d endpoints", n))
	}
}

// openOn is how many endpoints are usable on arcs of a width.
func (b *Balancer) openOn(wide float64) float64 {
	if b.arced && b.arc == b.arcs(wide) {
		return float64(b.pools[warmPool].Len() + b.pools[rampPool].Len())
	}
	n, share := 0.0, b.arcs(wide)
	for e := range b.ring.All() {
		if e.mark <= ramping && share.Has(uint32(e.id)) {
			n++
		}
	}
	return n
}

func (b *Balancer) assign(e *endpoint, part float64) {
	if e.part == 0 {
		b.mine = append(b.mine, e)
	}
	e.part += part
}

func (b *Balancer) assigned(now time.Duration) {
	b.stale = false
	b.tellShort()
	for _, e := range b.left {
		if e.part == 0 {
			e.at.part = 0
			b.settle(now, e)
		}
	}
	for _, e := range b.mine {
		if e.part != e.at.part {
			b.settle(now, e)
		}
		e.at.part = 0
	}
	if len(b.mine) <= b.few || b.arced {
		slices.SortFunc(b.mine, byID)
	}
}

// Subset gives the endpoints that this instance keeps to, each with the part of it that is this instance's, from 0 to
// 1. It is for people and measurements; isolated ones are among them.
func (b *Balancer) Subset() iter.Seq2[EndpointID, float64] {
	return func(yield func(EndpointID, float64) bool) {
		for _, e := range b.near(false) {
			if e.part > 0 && !yield(e.id, e.part/b.weight(e)) {
				return
			}
		}
	}
}

// Isolated tells whether this instance sends an endpoint trial calls alone. It is for people and measurements.
func (b *Balancer) Isolated(id EndpointID) bool {
	e := b.byID[id]
	return e != nil && e.mark == isolated
}

// isBound tells whether a request may only go to those of a cell.
func (b *Balancer) isBound(r *request) bool {
	return r.mayRun && r.class.Effect == Keyed && r.class.Scope == ScopeCell
}

// reaches tells whether there is any endpoint that a call that is out could go to again, if it may have run.
func (b *Balancer) reaches(r *request) bool {
	zone, cell := r.to.zone, r.to.cell
	if r.mayRun {
		zone, cell = r.zone, r.cell
	}
	switch {
	case r.class.Effect != Keyed || r.class.Scope == ScopeAll:
		return b.ring.Len() > 0
	case r.class.Scope == ScopeZone:
		return b.zones[zone] > 0
	}
	return len(b.cells[cell]) > 0
}

// looked notes that a look at all endpoints found none for a request that may go to any. Until the next tick the
// like of it goes only where an answer has come from since: in a fleet that is full, or cold, each request that is
// held would look at all of them again with every event.
func (b *Balancer) looked(now time.Duration, r *request, wide bool, found *endpoint) {
	if found == nil && b.many(wide) && anywhere(r) && (r.from == nil || !b.room(now, r.from)) {
		b.dry[kind(wide)], b.freed = true, nil
	}
}

// barren tells whether such a look has been in vain since the last tick.
func (b *Balancer) barren(r *request, wide bool) bool { return b.dry[kind(wide)] && anywhere(r) }

// anywhere tells whether a request may go to any endpoint, as far as the rules go.
func anywhere(r *request) bool { return !r.mayRun || r.class.Effect == Safe }

func kind(wide bool) int {
	if wide {
		return 1
	}
	return 0
}

// many tells whether the endpoints of the subset, or all, are too many to be looked at one by one.
func (b *Balancer) many(wide bool) bool {
	if wide || b.whole {
		return b.ring.Len() > b.few
	}
	return len(b.mine) > b.few
}

// near gives the endpoints of the subset, or all. The list is good until it is asked for again.
func (b *Balancer) near(wide bool) []*endpoint {
	if !wide && !b.whole {
		return b.mine
	}
	b.everyone = b.ring.Append(b.everyone[:0])
	return b.everyone
}
