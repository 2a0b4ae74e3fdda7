package balancer

import (
	"math"
	"time"
)

// This file decides what is taken on: tenants' shares, the order of held requests, which are refused.

const (
	minBurst           = 8.0 // requests that chance may bring together, at any rate,
	initialTokens      = 2.0 // and at the start
	tenantBurstSeconds = 4.0 // seconds of its share that a tenant may save up,
	totalBurstSeconds  = 1.0 // and all tenants together

	targetSlackMeans     = 1.8  // mean latencies that must be left until the aim when a call is sent
	maxPendingSeconds    = 2.0  // seconds of calls, at the present rate, that may be held
	minPendingTime       = 0.2  // of a rate window in which calls were held, until it is known how many are worked off
	retryElapsedWeight   = 0.05 // of one repeat in the mean time that repeats have spent
	firstAttemptShare    = 0.97 // of the longest time left seen: less tells of a repeat
	classHistoryRequests = 100  // requests of a class that its part served in time is remembered over
	minClassRequests     = 5    // and requests from which it counts
	successorDelay       = 1.5  // seconds from an instance's end until the next one serves in its place
	minIdleConnections   = 3    // callers' connections that the only instance keeps idle once it is told to end
)

// startQuotas starts the buckets of the tenants.
func (b *Balancer) startQuotas(now time.Duration) {
	total := 0.0
	for _, t := range b.settings.Tenants {
		rate := t.QuotaPerSecond / b.quotaDivisor
		b.tenantQuotas = append(b.tenantQuotas, newTokenBucket(now, rate, tenantBurstSeconds))
		total += rate
	}
	b.totalQuota = newTokenBucket(now, total, totalBurstSeconds)
}

// takeQuota meters a tenant's requests against its share at this instance, and all of them against all
// shares together: what goes beyond both is more than the fleet can do, and is worth little.
// A repeat counts as beyond: most are of requests refused for that, and would use up the share of new ones.
func (b *Balancer) takeQuota(now time.Duration, q Request) (low, spare bool) {
	if b.settings.Tier > 0 || q.Tenant >= len(b.tenantQuotas) {
		return false, true
	}
	low = q.Retry || !b.tenantQuotas[q.Tenant].take(now, 1)
	if low {
		return true, b.totalQuota.take(now, 1)
	}
	b.totalQuota.forceTake(now, 1)
	return false, true
}

// rejectsForShutdown tells whether an instance that ends refuses a request: for want of time, or, as the only one, of
// connections. Callers open no more; who finds all in use, by a burst or by slow endpoints, finds nobody and
// stops looking. Where callers do open more, some are refused in vain.
func (b *Balancer) rejectsForShutdown(now time.Duration, c *class, q Request) bool {
	return b.endsBeforeResponse(now, c) || b.shutdownAt < math.MaxInt64 && b.settings.Instances == 1 && q.IdleConnections < minIdleConnections
}

// endsBeforeResponse tells whether this instance ends before a call that is sent at a time is answered, slow as it may be.
func (b *Balancer) endsBeforeResponse(at time.Duration, c *class) bool {
	return at+seconds(targetSlackMeans*c.meanLatency) >= b.shutdownAt
}

// elapsedForClient is a lower bound of the time that had passed for the client when the request arrived. Clients'
// tries begin with the same time left; a shorter one tells of a repeat, or of work in the tiers above.
func (b *Balancer) elapsedForClient(c *class, q Request) time.Duration {
	c.maxTimeLeft = max(c.maxTimeLeft, q.TimeLeft)
	switch {
	case b.settings.Tier > 0:
		return c.maxTimeLeft - q.TimeLeft
	case float64(q.TimeLeft) < firstAttemptShare*float64(c.maxTimeLeft):
		spent := c.Deadline - q.TimeLeft
		if q.Retry && float64(c.maxTimeLeft) >= firstAttemptShare*float64(c.Deadline) {
			b.retryElapsed += retryElapsedWeight * (spent.Seconds() - b.retryElapsed)
		}
		return spent
	case q.Retry:
		// It came before, by about as much as those that show it. Taken for new, repeats would fill an
		// overloaded tier with calls whose aim has passed.
		return seconds(b.retryElapsed)
	}
	return 0
}

// nextPending is the held request to place first: one that can still meet its aim before one that cannot, one
// within its tenant's share before one beyond, one of a class that adds more to what the site counts, then
// the one that must be sent first to meet its aim.
func (b *Balancer) nextPending(now time.Duration) int {
	best := 0
	for i := 1; i < len(b.pending); i++ {
		if b.dispatchedBefore(now, b.pending[i], b.pending[best]) {
			best = i
		}
	}
	return best
}

// dispatchedBefore tells whether one held request is placed before another.
func (b *Balancer) dispatchedBefore(now time.Duration, x, y *request) bool {
	if rx, ry := b.priority(now, x), b.priority(now, y); rx != ry {
		return rx > ry
	}
	if vx, vy := x.class.marginalValue*x.valueFactor, y.class.marginalValue*y.valueFactor; vx != vy {
		return vx > vy
	}
	return x.latestSend() < y.latestSend()
}

func (b *Balancer) priority(now time.Duration, r *request) int {
	rank := 0
	if r.latestSend() > now || r.class.LateValueShare > 0 {
		rank += 2
	}
	if !r.overQuota {
		rank++
	}
	return rank
}

// latestSend is until when a call must be sent to meet its aim, slow as it may be.
func (r *request) latestSend() time.Duration {
	return r.targetAt - seconds(targetSlackMeans*r.class.meanLatency)
}

// updateClassValues sets what serving one more unit of each class's work adds to what the site counts: its part of
// all worth, and for the class that is served worst the weight of being that. Held requests that went by
// their time alone cost the dearest class as many answers as the cheapest.
func (b *Balancer) updateClassValues() {
	all, work := 0.0, 0.0
	worst := b.classes[0]
	for _, c := range b.classes {
		all += c.requests * c.meanLatency * b.valueDensity(c)
		work += c.requests * c.meanLatency
		if c.requests >= minClassRequests && (worst.requests < minClassRequests || c.onTime*worst.requests < worst.onTime*c.requests) {
			worst = c
		}
	}
	for _, c := range b.classes {
		c.marginalValue = 0
		if all > 0 {
			c.marginalValue = b.settings.TotalValueWeight * b.valueDensity(c) * work / all
		}
		if c == worst && c.requests*c.meanLatency > 0 {
			c.marginalValue += b.settings.WorstClassWeight * work / (c.requests * c.meanLatency)
		}
	}
}

// valueDensity is the worth of a unit of a class's work, taken to be as its latency.
func (b *Balancer) valueDensity(c *class) float64 {
	if b.settings.ValuePerWorkUnit || c.meanLatency == 0 {
		return c.Value
	}
	return c.Value / c.meanLatency
}

// countRequest counts a request of a class, and lets the past fade.
func (b *Balancer) countRequest(c *class) {
	if c.requests++; c.requests < classHistoryRequests {
		return
	}
	for _, c := range b.classes {
		c.requests /= 2
		c.onTime /= 2
	}
}

// shedLoad refuses what is held beyond what can be sent in time: what will miss its aim, and the least worth
// when more is held than the present rate works off. That rate is known only where some have waited for a
// while: by what was answered before, callers who came all at once, after a quiet time or to an instance that
// has just started, were refused beside idle endpoints.
func (b *Balancer) shedLoad(now time.Duration) {
	b.pendingTime.set(now, b.rateWindow, len(b.pending) > 0)
	room := max(maxPendingSeconds*b.servedRate.value(now, b.rateWindow), float64(len(b.listedEndpoints)))
	if b.pendingTime.share < minPendingTime {
		room = math.Inf(1)
	}
	for i := len(b.pending) - 1; i >= 0; i-- {
		r := b.pending[i]
		late := now >= r.latestSend() && r.class.LateValueShare == 0
		if late || now+2*b.tickInterval >= r.deadline {
			b.removePending(i)
			b.finish(now, r)
		}
	}
	for float64(len(b.pending)) > room {
		worst := len(b.pending) - 1
		for i := len(b.pending) - 2; i >= 0; i-- {
			if b.dispatchedBefore(now, b.pending[worst], b.pending[i]) {
				worst = i
			}
		}
		r := b.pending[worst]
		b.removePending(worst)
		b.finish(now, r)
	}
}

// retryAfter is when a refused client should ask again: when what is held and in flight now will have been
// answered at the present rate, or, where that outlasts the only instance, when its successor serves. Clients
// that come sooner find the same queue, or nobody; 0 gives no advice.
func (b *Balancer) retryAfter(now time.Duration, c *class) (wait time.Duration) {
	if rate := b.servedRate.value(now, b.rateWindow); rate > 0 {
		wait = seconds(min(float64(len(b.pending)+b.inFlight)/rate, b.settings.MaxRetryAfter.Seconds()))
	}
	if b.settings.Instances == 1 && b.endsBeforeResponse(now+wait, c) {
		wait = min(b.shutdownAt+seconds(successorDelay)-now, b.settings.MaxRetryAfter)
	}
	return wait
}
