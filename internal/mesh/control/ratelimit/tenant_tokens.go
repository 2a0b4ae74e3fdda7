package ratelimit

import "time"

const (
	prefetchSpan          = 300 * time.Millisecond // of demand, that tokens are requested for beforehand
	demandSpan            = time.Second            // over which demand is smoothed, for tokens,
	longTermSpan          = 8 * time.Second        // and for the standing share: many tenants have less than one request a second
	maxFallbackTokens     = 2.0                    // requests that a sidecar without an allocator may save up, where its share is small
	initialShareFraction  = 0.08                   // of a tenant's rate, at most, that a sidecar without a share takes
	maxFallbackRetryAfter = 250 * time.Millisecond // a client refused without an allocator is to come back then at the latest
)

// tenantTokens is what a sidecar holds of one tenant's limit.
type tenantTokens struct {
	limit          Limit
	demand         float64       // requests a second, smoothed over demandSpan,
	longTermDemand float64       // and over longTermSpan
	demandAt       time.Duration // of both

	tokens        float64
	tokensUntil   time.Duration // the tokens are good
	expiredTokens float64       // tokens that ran out
	deniedUntil   time.Duration // the allocator has no tokens before

	fallbackShare      float64       // standing share, in requests a second
	shareUntil         time.Duration // its lease
	renewAt            time.Duration // when it is to be told and renewed
	fallbackTokens     float64       // requests that it may admit now
	fallbackRefilledAt time.Duration

	waiters          []func(ok bool, back time.Duration)
	waitingSince     time.Duration // the first of those has waited
	requestedWaiters int           // so many of those, the first, are in the request under way
}

// takeToken takes one token, if there is one.
func (t *tenantTokens) takeToken(now time.Duration) bool {
	if now >= t.tokensUntil || t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// expireTokens puts tokens aside that have run out.
func (t *tenantTokens) expireTokens(now time.Duration) {
	if now >= t.tokensUntil && t.tokens > 0 {
		t.expiredTokens += t.tokens
		t.tokens = 0
	}
}

// recordDemand adds requests to the demand.
func (t *tenantTokens) recordDemand(now time.Duration, n float64) {
	dt := float64(now - t.demandAt)
	t.demand = t.demand/(1+dt/float64(demandSpan)) + n/demandSpan.Seconds()
	t.longTermDemand = t.longTermDemand/(1+dt/float64(longTermSpan)) + n/longTermSpan.Seconds()
	t.demandAt = now
}

// prefetchDemand is the demand of the time for which tokens are requested beforehand, in requests.
func (t *tenantTokens) prefetchDemand(now time.Duration) float64 {
	return t.demand / (1 + float64(now-t.demandAt)/float64(demandSpan)) * prefetchSpan.Seconds()
}

// runningLow reports whether tokens are about to run out.
func (t *tenantTokens) runningLow(now time.Duration) bool {
	ahead := t.prefetchDemand(now)
	if ahead < 1 || now < t.deniedUntil {
		return false
	}
	return now+prefetchSpan/4 >= t.tokensUntil || t.tokens < ahead/3
}

// admitByFallbackShare admits a request by the standing share. A sidecar that has none, having never reached an allocator or not within the
// lease of its share, takes a small even one: with no allocator at all, as after a restart of all processes or with the core
// away for long, these add up to no more than the limit; where a few sidecars alone reach none, even through others, the sum
// stays within what the rules leave.
func (t *tenantTokens) admitByFallbackShare(now time.Duration, sidecars int) (ok bool, back time.Duration) {
	sidecars = max(sidecars, 1)
	if now >= t.shareUntil {
		t.fallbackShare = t.limit.Rate * min(initialShareFraction, 1/float64(sidecars))
	}
	saved := (t.limit.Overage + t.limit.Burst) / float64(sidecars) // what may be saved up, divided among all
	most := max(t.fallbackShare*prefetchSpan.Seconds(), min(saved, maxFallbackTokens), 1)
	t.fallbackTokens = min(t.fallbackTokens+t.fallbackShare*(now-t.fallbackRefilledAt).Seconds(), most)
	t.fallbackRefilledAt = now
	if t.fallbackTokens >= 1 {
		t.fallbackTokens--
		return true, 0
	}
	if t.fallbackShare <= 0 {
		return false, maxRetryAfter
	}
	return false, min(time.Duration((1-t.fallbackTokens)/t.fallbackShare*float64(time.Second)), maxFallbackRetryAfter) // an allocator may be back by then
}

// newRequest makes the tenant's request for tokens.
func (t *tenantTokens) newRequest(now time.Duration, tenant string) TokenRequest {
	t.renewAt = now + renewInterval
	q := TokenRequest{
		Tenant: tenant, Demand: t.longTermDemand / (1 + float64(now-t.demandAt)/float64(longTermSpan)), FallbackShare: t.fallbackShare,
		ShareRemaining: max(t.shareUntil-now, 0), UnusedTokens: t.expiredTokens,
	}
	t.expiredTokens = 0
	t.requestedWaiters = len(t.waiters)
	q.Tokens = float64(t.requestedWaiters)
	if ahead := t.prefetchDemand(now); ahead >= 1 {
		q.Tokens += ahead
		if now < t.tokensUntil {
			q.Tokens -= t.tokens
		}
	}
	q.Tokens = max(q.Tokens, 0)
	return q
}

// applyGrant takes the grant to a request that was sent at a time.
func (t *tenantTokens) applyGrant(now, sent time.Duration, g *TokenGrant) {
	t.expireTokens(now)
	if sent+tokenValidity > now {
		t.tokens += g.Tokens
		t.tokensUntil = sent + tokenValidity
	}
	t.fallbackShare, t.shareUntil = g.FallbackShare, sent+g.ShareRemaining
	if g.RetryAfter > 0 {
		t.deniedUntil = now + min(g.RetryAfter, maxDenial)
	}
	t.serveWaiters(now, clampRetryAfter(g.RetryAfter))
}

// serveWaiters admits waiting requests by the tokens that are there. Those that were in the request and got none are told to come
// back; those that came later wait for the next answer.
func (t *tenantTokens) serveWaiters(now, back time.Duration) {
	i := 0
	for ; i < len(t.waiters) && t.takeToken(now); i++ {
		t.waiters[i](true, 0)
	}
	for ; i < len(t.waiters) && i < t.requestedWaiters; i++ {
		t.waiters[i](false, back)
	}
	t.waiters, t.requestedWaiters, t.waitingSince = t.waiters[i:], 0, now
}

// answerWaiters answers all waiting requests.
func (t *tenantTokens) answerWaiters(admit func() (bool, time.Duration)) {
	waiting := t.waiters
	t.waiters = nil
	for _, done := range waiting {
		done(admit())
	}
}
