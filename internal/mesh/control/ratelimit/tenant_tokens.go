package ratelimit

import "time"

const (
	// prefetchSpan is the time whose demand tokens are requested for beforehand.
	prefetchSpan = 300 * time.Millisecond

	// demandSpan is the time over which demand is smoothed for tokens, longTermSpan that for the fallback share: many
	// tenants have less than one request a second.
	demandSpan   = time.Second
	longTermSpan = 8 * time.Second

	// maxFallbackTokens is how many requests a sidecar without an allocator may save up, where its share is small.
	maxFallbackTokens = 2.0

	// initialShareFraction is how much of a tenant's rate, at most, a sidecar without a share takes.
	initialShareFraction = 0.08

	// maxFallbackRetryAfter bounds the retry-after of a client that was rejected without an allocator.
	maxFallbackRetryAfter = 250 * time.Millisecond
)

// tenantTokens is what a sidecar holds of one tenant's limit.
type tenantTokens struct {
	limit          Limit
	demand         float64       // requests a second, smoothed over demandSpan
	longTermDemand float64       // the same over longTermSpan
	demandAt       time.Duration // time of the newest request, and of both demands

	tokens        float64
	tokensUntil   time.Duration // they expire
	expiredTokens float64       // to be given back
	deniedUntil   time.Duration // the allocator has no tokens before

	fallbackShare      float64       // in requests a second
	shareUntil         time.Duration // its lease ends
	renewAt            time.Duration // the share is to be reported and renewed, even if no tokens are wanted
	fallbackTokens     float64       // requests that may be admitted now by the share
	fallbackRefilledAt time.Duration

	waiters          []func(ok bool, retryAfter time.Duration) // oldest first
	waitingSince     time.Duration                             // the first of them
	requestedWaiters int                                       // the first so many of them are in the newest token request
}

func newTenantTokens(now time.Duration) *tenantTokens {
	return &tenantTokens{demandAt: now, fallbackRefilledAt: now, fallbackTokens: 1}
}

// takeToken takes one token, if there is one.
func (t *tenantTokens) takeToken(now time.Duration) bool {
	if now >= t.tokensUntil || t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// expireTokens puts tokens aside whose time is over.
func (t *tenantTokens) expireTokens(now time.Duration) {
	if now >= t.tokensUntil && t.tokens > 0 {
		t.expiredTokens += t.tokens
		t.tokens = 0
	}
}

// recordDemand adds requests to the demand.
func (t *tenantTokens) recordDemand(now time.Duration, n float64) {
	elapsed := float64(now - t.demandAt)
	t.demand = t.demand/(1+elapsed/float64(demandSpan)) + n/demandSpan.Seconds()
	t.longTermDemand = t.longTermDemand/(1+elapsed/float64(longTermSpan)) + n/longTermSpan.Seconds()
	t.demandAt = now
}

// prefetchDemand is how many requests are expected within prefetchSpan.
func (t *tenantTokens) prefetchDemand(now time.Duration) float64 {
	return t.demand / (1 + float64(now-t.demandAt)/float64(demandSpan)) * prefetchSpan.Seconds()
}

// runningLow reports whether tokens are about to run out, and more may be had.
func (t *tenantTokens) runningLow(now time.Duration) bool {
	expected := t.prefetchDemand(now)
	if expected < 1 || now < t.deniedUntil {
		return false
	}
	return now+prefetchSpan/4 >= t.tokensUntil || t.tokens < expected/3
}

// admitByFallbackShare admits a request by the fallback share. A sidecar that has none, as it never reached an allocator
// or not within the lease of its share, takes a small even share. With no allocator at all, as after a restart of all
// processes or with the core away for long, these add up to no more than the limit; where a few sidecars alone reach
// none, even through others, the sum stays within what the rules leave.
func (t *tenantTokens) admitByFallbackShare(now time.Duration, sidecars int) (ok bool, retryAfter time.Duration) {
	sidecars = max(sidecars, 1)
	if now >= t.shareUntil {
		t.fallbackShare = t.limit.Rate * min(initialShareFraction, 1/float64(sidecars))
	}
	t.refillFallback(now, sidecars)
	if t.fallbackTokens >= 1 {
		t.fallbackTokens--
		return true, 0
	}
	if t.fallbackShare <= 0 {
		return false, maxRetryAfter
	}
	seconds := (1 - t.fallbackTokens) / t.fallbackShare
	return false, min(time.Duration(seconds*float64(time.Second)), maxFallbackRetryAfter) // an allocator may be back by then
}

// refillFallback saves up requests by the fallback share. What all sidecars may save up together is what the limit allows
// beyond its rate.
func (t *tenantTokens) refillFallback(now time.Duration, sidecars int) {
	allowance := (t.limit.Overage + t.limit.Burst) / float64(sidecars)
	capacity := max(t.fallbackShare*prefetchSpan.Seconds(), min(allowance, maxFallbackTokens), 1)
	t.fallbackTokens = min(t.fallbackTokens+t.fallbackShare*(now-t.fallbackRefilledAt).Seconds(), capacity)
	t.fallbackRefilledAt = now
}

// needsRequest reports whether the tenant is to be in the next request to the allocator.
func (t *tenantTokens) needsRequest(now time.Duration) bool {
	return len(t.waiters) > 0 || t.runningLow(now) || t.expiredTokens >= 1 || now >= t.renewAt
}

// newRequest makes the tenant's request for tokens, and gives the expired ones back with it.
func (t *tenantTokens) newRequest(now time.Duration, tenant string) TokenRequest {
	request := TokenRequest{
		Tenant:         tenant,
		Demand:         t.longTermDemand / (1 + float64(now-t.demandAt)/float64(longTermSpan)),
		FallbackShare:  t.fallbackShare,
		ShareRemaining: max(t.shareUntil-now, 0),
		UnusedTokens:   t.expiredTokens,
	}
	t.renewAt = now + renewInterval
	t.expiredTokens = 0
	t.requestedWaiters = len(t.waiters)
	request.Tokens = float64(t.requestedWaiters)
	if expected := t.prefetchDemand(now); expected >= 1 {
		request.Tokens += expected
		if now < t.tokensUntil {
			request.Tokens -= t.tokens
		}
	}
	request.Tokens = max(request.Tokens, 0)
	return request
}

// applyGrant takes the grant to a request that was sent at a time.
func (t *tenantTokens) applyGrant(now, sent time.Duration, grant *TokenGrant) {
	t.expireTokens(now)
	if sent+tokenValidity > now {
		t.tokens += grant.Tokens
		t.tokensUntil = sent + tokenValidity
	}
	t.fallbackShare = grant.FallbackShare
	t.shareUntil = sent + grant.ShareRemaining
	if grant.RetryAfter > 0 {
		t.deniedUntil = now + min(grant.RetryAfter, maxDenial)
	}
	t.serveWaiters(now, clampRetryAfter(grant.RetryAfter))
}

// wait has a client's request wait for tokens.
func (t *tenantTokens) wait(now time.Duration, done func(ok bool, retryAfter time.Duration)) {
	if len(t.waiters) == 0 {
		t.waitingSince = now
	}
	t.waiters = append(t.waiters, done)
}

// serveWaiters admits waiting requests by the tokens that are there. Those that were in the token request and got none
// are rejected; those that came later wait for the next reply.
func (t *tenantTokens) serveWaiters(now, retryAfter time.Duration) {
	i := 0
	for ; i < len(t.waiters) && t.takeToken(now); i++ {
		t.waiters[i](true, 0)
	}
	for ; i < len(t.waiters) && i < t.requestedWaiters; i++ {
		t.waiters[i](false, retryAfter)
	}
	t.waiters = t.waiters[i:]
	t.requestedWaiters = 0
	t.waitingSince = now
}

// answerWaiters answers all waiting requests.
func (t *tenantTokens) answerWaiters(admit func() (bool, time.Duration)) {
	waiters := t.waiters
	t.waiters = nil
	for _, done := range waiters {
		done(admit())
	}
}
