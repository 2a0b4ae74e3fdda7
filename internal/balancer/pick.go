package balancer

import (
	"cmp"
	"math"
	"time"
)

// This file decides where a call goes: this instance's subset, who may be drawn, the draw and the odds in it.

const (
	candidates  = 2   // distinct endpoints drawn for a pick, as the design has it
	callers     = 3   // instances to call one endpoint; of more each keeps to a subset, that tells it something
	subsetLeast = 2.0 // endpoints' worth of weight in a subset: with one there is nothing to compare

	// arcsFrom is the size from which a subset is by the endpoints' ids alone, so that one that comes or goes
	// moves no other's place; it stays so down to arcsTo. Smaller ones would differ too much by chance.
	arcsFrom = 64.0
	arcsTo   = 48.0
	arcsOpen = 0.5 // part of such a subset that has to be usable: else it grows to twice the size

	kindWeight   = 0.02 // of one answer in the pace of a kind,
	paceWeight   = 0.1  // and of an endpoint
	reportWeight = 0.3  // of one report in an endpoint's service time
	paceTrust    = 4.0  // answers that the pace of its kind counts for
)

// pick chooses an endpoint for a request: a due trial, else the fewer in flight of two drawn among those
// with room; ramping ones are drawn less often. Where none is in good health, suspect and then isolated
// ones serve: isolation never empties the set.
func (b *Balancer) pick(now time.Duration, r *request) (to *endpoint, trial bool) {
	if e := b.dueTrial(now, r); e != nil {
		return e, true
	}
	wide := r.attempts > 0 || r.mayRun
	if b.barren(r, wide) {
		if e := b.freed; e != nil && b.fits(now, r, e, wide) && b.free(now, r, e) {
			return e, false
		}
		return nil, false
	}
	first, second := b.drawn(now, r, wide)
	if second != nil {
		return b.lighter(now, first, second), false
	}
	healthy := first != nil
	c := b.scratch[:0]
	near := b.cells[r.cell]
	if !b.isBound(r) {
		near = b.near(wide)
	}
	for _, e := range near {
		if b.fits(now, r, e, wide) {
			healthy = true
			if e != first && b.free(now, r, e) {
				c = append(c, e)
			}
		}
	}
	b.scratch = c
	if healthy {
		to = b.draw(now, first, c)
		b.looked(now, r, wide, to)
		return to, false
	}
	for _, e := range b.near(true) {
		spent := e.mark == ramping && !b.rampRoom(now, e) || float64(b.load(now, e)) >= limitSlack
		if b.permitted(now, r, e) && !spent {
			c = append(c, e)
		}
	}
	b.scratch = c
	to = b.draw(now, nil, c)
	b.looked(now, r, wide, to)
	return to, to != nil && to.mark == isolated
}

// fits tells whether an endpoint is in good health for a request. Further attempts may leave the subset,
// but not for a ramping endpoint: all instances' together would push it over.
func (b *Balancer) fits(now time.Duration, r *request, e *endpoint, wide bool) bool {
	return e.mark <= ramping && (e.part > 0 || wide && e.mark == usable) && b.permitted(now, r, e) &&
		!b.suspect(now, e, suspectAfter)
}

// free tells whether it may have this request, too.
func (b *Balancer) free(now time.Duration, r *request, e *endpoint) bool {
	return b.room(now, e) && (e != r.from || len(b.listed) == 1)
}

// drawn draws candidates from the pools, by the odds and among those that are free, without a look at all:
// both, or one or none where too many draws were in vain. The others are to be looked at then.
func (b *Balancer) drawn(now time.Duration, r *request, wide bool) (first, second *endpoint) {
	if !b.many(wide) || b.isBound(r) {
		return nil, nil
	}
	from := b.pools[:otherPool]
	if wide {
		from = b.pools[:]
	}
	for range drawTries {
		e, ok := b.drawOne(now, from)
		if !ok || e == first || !b.fits(now, r, e, wide) || !b.free(now, r, e) {
			continue
		}
		if first != nil {
			return first, e
		}
		first = e
	}
	return first, nil
}

// draw takes distinct candidates at random, each by its odds, after one that may have been drawn, and
// returns the lighter.
func (b *Balancer) draw(now time.Duration, first *endpoint, c []*endpoint) *endpoint {
	b.note(now, c)
	best, n := first, 0
	if first != nil {
		n = 1
	}
	for ; n < candidates && len(c) > 0; n++ {
		total := 0.0
		for _, e := range c {
			total += e.odds
		}
		x, i := b.rng.Float64()*total, 0
		for ; i < len(c)-1; i++ {
			if x -= c[i].odds; x < 0 {
				break
			}
		}
		e := c[i]
		c[i], c = c[len(c)-1], c[:len(c)-1]
		best = b.lighter(now, best, e)
	}
	return best
}

// lighter is the one with the fewest own calls in flight for its odds; of equals, the one drawn first, so
// that ties fall at random and by the odds: the same calls are a longer queue at a smaller endpoint, and a
// coin, in a subset of two, gave both the same whatever their odds.
func (b *Balancer) lighter(now time.Duration, first, e *endpoint) *endpoint {
	if first == nil || float64(b.load(now, e))/b.odds(e) < float64(b.load(now, first))/b.odds(first) {
		return e
	}
	return first
}

// odds is an endpoint's chance in a draw: by the part of its weight in the subset, or by its whole size for
// a further attempt that has left the subset. At full size an instance has so few calls in flight that the
// draw, not the comparison, keeps small machines from getting what large ones get.
func (b *Balancer) odds(e *endpoint) float64 {
	if e.part > 0 {
		return b.size(e) * e.part / b.weight(e)
	}
	return b.size(e)
}

// size is what an endpoint can do beside others: its listed weight, less what it is slower than its kind by;
// where the list weighs all alike, what its pace tells.
func (b *Balancer) size(e *endpoint) float64 {
	if len(b.speeds.kinds) > 0 && !b.weighted {
		if e.kind >= len(b.speeds.kinds) { // moved to a kind that has reported nothing
			return b.speed(e)
		}
		return b.speed(e) * b.speeds.kinds[e.kind].over(e.service)
	}
	if !b.weighted {
		return 1 / b.slow(e)
	}
	return e.weight * b.kindPace(e) / b.slow(e)
}

// count notes which endpoints are in this instance's subset, and with what part of their weight. Many
// instances that each call every endpoint fill its connection table with idle connections, and know nothing
// of any. Small subsets tile a ring of the listed weights by ordinal, so that together they reach each
// endpoint in proportion to its weight; an instance that has isolated some goes on along the ring. Endpoints
// that leave are no part of it: when many left at once, their shares fell to the few that came after them.
func (b *Balancer) count(now time.Duration) {
	total, n := b.ring.Total(), float64(b.ring.Len())
	b.seats = min(max(callers*n/float64(b.set.Instances), subsetLeast), cmp.Or(float64(b.set.SubsetMost), n), n)
	if b.seats >= n {
		b.assignAll(now)
		return
	}
	if b.seats > arcsFrom || b.arced && b.seats > arcsTo {
		wide := 1.0
		for wide*b.seats < n && b.openOn(wide) < arcsOpen*b.seats {
			wide *= 2
		}
		b.assignArcs(now, wide)
		return
	}
	need := total * b.seats / n
	_, at := math.Modf(float64(b.set.Ordinal) * b.seats / n)
	eps := total * 1e-9
	b.unassign()
	c, at := b.ring.Seek(at*total, eps)
	for i := 0; need > eps && i < 2*b.ring.Len(); i, at = i+1, 0 {
		e, w, _ := c.Next()
		if take := min(w-max(at, 0)-e.part, need); take >= eps {
			b.assign(e, take)
			if e.mark <= ramping {
				need -= take
			}
		}
	}
	b.assigned(now)
}
