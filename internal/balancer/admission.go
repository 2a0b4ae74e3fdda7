package balancer

import (
	"math"
	"time"
)

// This file decides what is taken on: tenants' shares, the order of held requests, which are refused.

const (
	bucketLeast = 8.0 // requests that chance may bring together, at any rate,
	bucketStart = 2.0 // and at the start
	tenantBurst = 4.0 // seconds of its share that a tenant may save up,
	allBurst    = 1.0 // and all tenants together

	slackMeans    = 1.8  // mean latencies that must be left until the aim when a call is sent
	holdPerSecond = 2.0  // seconds of calls, at the present rate, that may be held
	waitsLeast    = 0.2  // of a rate window in which calls were held, until it is known how many are worked off
	repeatWeight  = 0.05 // of one repeat in the mean time that repeats have spent
	firstTryShare = 0.97 // of the longest time left seen: less tells of a repeat
	classMemory   = 100  // requests of a class that its part served in time is remembered over
	classAsked    = 5    // and requests from which it counts
	successor     = 1.5  // seconds from an instance's end until the next one serves in its place
	idleLeast     = 3    // callers' connections that the only instance keeps idle once it is told to end
)

// meter starts the buckets of the tenants.
func (b *Balancer) meter(now time.Duration) {
	total := 0.0
	for _, t := range b.set.Tenants {
		rate := t.QuotaPerS / b.sharing
		b.tenants = append(b.tenants, newBucket(now, rate, tenantBurst))
		total += rate
	}
	b.all = newBucket(now, total, allBurst)
}

// beyondShare meters a tenant's requests against its share at this instance, and all of them against all
// shares together: what goes beyond both is more than the fleet can do, and is worth little.
// A repeat counts as beyond: most are of requests refused for that, and would use up the share of new ones.
func (b *Balancer) beyondShare(now time.Duration, q Request) (low, spare bool) {
	if b.set.Stage > 0 || q.Tenant >= len(b.tenants) {
		return false, true
	}
	low = q.Repeat || !b.tenants[q.Tenant].take(now, 1)
	if low {
		return true, b.all.take(now, 1)
	}
	b.all.spend(now, 1)
	return false, true
}

// closing tells whether an instance that ends refuses a request: for want of time, or, as the only one, of
// connections. Callers open no more; who finds all in use, by a burst or by slow endpoints, finds nobody and
// stops looking. Where callers do open more, some are refused in vain.
func (b *Balancer) closing(now time.Duration, c *class, q Request) bool {
	return b.ends(now, c) || b.endsAt < math.MaxInt64 && b.set.Instances == 1 && q.Idle < idleLeast
}

// ends tells whether this instance ends before a call that is sent at a time is answered, slow as it may be.
func (b *Balancer) ends(at time.Duration, c *class) bool {
	return at+seconds(slackMeans*c.mean) >= b.endsAt
}

// spent is a lower bound of the time that had passed for the client when the request arrived. Clients'
// tries begin with the same time left; a shorter one tells of a repeat, or of work in the tiers above.
func (b *Balancer) spent(c *class, q Request) time.Duration {
	c.maxLeft = max(c.maxLeft, q.Left)
	switch {
	case b.set.Stage > 0:
		return c.maxLeft - q.Left
	case float64(q.Left) < firstTryShare*float64(c.maxLeft):
		spent := c.Deadline - q.Left
		if q.Repeat && float64(c.maxLeft) >= firstTryShare*float64(c.Deadline) {
			b.repeatSpent += repeatWeight * (spent.Seconds() - b.repeatSpent)
		}
		return spent
	case q.Repeat:
		// It came before, by about as much as those that show it. Taken for new, repeats would fill an
		// overloaded tier with calls whose aim has passed.
		return seconds(b.repeatSpent)
	}
	return 0
}

// next is the held request to place first: one that can still meet its aim before one that cannot, one
// within its tenant's share before one beyond, one of a class that adds more to what the site counts, then
// the one that must be sent first to meet its aim.
func (b *Balancer) next(now time.Duration) int {
	best := 0
	for i := 1; i < len(b.held); i++ {
		if b.before(now, b.held[i], b.held[best]) {
			best = i
		}
	}
	return best
}

// before tells whether one held request is placed before another.
func (b *Balancer) before(now time.Duration, x, y *request) bool {
	if rx, ry := b.rank(now, x), b.rank(now, y); rx != ry {
		return rx > ry
	}
	if vx, vy := x.class.value*x.times, y.class.value*y.times; vx != vy {
		return vx > vy
	}
	return x.sendBy() < y.sendBy()
}

func (b *Balancer) rank(now time.Duration, r *request) int {
	rank := 0
	if r.sendBy() > now || r.class.LateWorth > 0 {
		rank += 2
	}
	if !r.low {
		rank++
	}
	return rank
}

// sendBy is until when a call must be sent to meet its aim, slow as it may be.
func (r *request) sendBy() time.Duration { return r.aimBy - seconds(slackMeans*r.class.mean) }

// rateClasses sets what serving one more unit of each class's work adds to what the site counts: its part of
// all worth, and for the class that is served worst the weight of being that. Held requests that went by
// their time alone cost the dearest class as many answers as the cheapest.
func (b *Balancer) rateClasses() {
	all, work := 0.0, 0.0
	worst := b.classes[0]
	for _, c := range b.classes {
		all += c.asked * c.mean * b.density(c)
		work += c.asked * c.mean
		if c.asked >= classAsked && (worst.asked < classAsked || c.good*worst.asked < worst.good*c.asked) {
			worst = c
		}
	}
	for _, c := range b.classes {
		c.value = 0
		if all > 0 {
			c.value = b.set.GoalWhole * b.density(c) * work / all
		}
		if c == worst && c.asked*c.mean > 0 {
			c.value += b.set.GoalWorstClass * work / (c.asked * c.mean)
		}
	}
}

// density is the worth of a unit of a class's work, taken to be as its latency.
func (b *Balancer) density(c *class) float64 {
	if b.set.WorthByWork || c.mean == 0 {
		return c.Worth
	}
	return c.Worth / c.mean
}

// tally counts a request of a class, and lets the past fade.
func (b *Balancer) tally(c *class) {
	if c.asked++; c.asked < classMemory {
		return
	}
	for _, c := range b.classes {
		c.asked /= 2
		c.good /= 2
	}
}

// shed refuses what is held beyond what can be sent in time: what will miss its aim, and the least worth
// when more is held than the present rate works off. That rate is known only where some have waited for a
// while: by what was answered before, callers who came all at once, after a quiet time or to an instance that
// has just started, were refused beside idle endpoints.
func (b *Balancer) shed(now time.Duration) {
	b.waits.turn(now, b.window, len(b.held) > 0)
	room := max(holdPerSecond*b.served.value(now, b.window), float64(len(b.listed)))
	if b.waits.share < waitsLeast {
		room = math.Inf(1)
	}
	for i := len(b.held) - 1; i >= 0; i-- {
		r := b.held[i]
		late := now >= r.sendBy() && r.class.LateWorth == 0
		if late || now+2*b.tick >= r.deadline {
			b.unhold(i)
			b.finish(now, r)
		}
	}
	for float64(len(b.held)) > room {
		worst := len(b.held) - 1
		for i := len(b.held) - 2; i >= 0; i-- {
			if b.before(now, b.held[worst], b.held[i]) {
				worst = i
			}
		}
		r := b.held[worst]
		b.unhold(worst)
		b.finish(now, r)
	}
}

// comeBack is when a refused client should ask again: when what is held and in flight now will have been
// answered at the present rate, or, where that outlasts the only instance, when its successor serves. Clients
// that come sooner find the same queue, or nobody; 0 gives no advice.
func (b *Balancer) comeBack(now time.Duration, c *class) (wait time.Duration) {
	if rate := b.served.value(now, b.window); rate > 0 {
		wait = seconds(min(float64(len(b.held)+b.out)/rate, b.set.MaxRetryAfter.Seconds()))
	}
	if b.set.Instances == 1 && b.ends(now+wait, c) {
		wait = min(b.endsAt+seconds(successor)-now, b.set.MaxRetryAfter)
	}
	return wait
}
