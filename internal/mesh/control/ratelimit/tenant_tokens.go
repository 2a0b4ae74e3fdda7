package ratelimit

import "time"

// tenantTokens is a sidecar's state of one tenant's limit: tokens, the fallback share, and waiting requests.
type tenantTokens struct {
	limit    Limit
	demand   demand
	fallback fallback

	tokens        float64
	tokensUntil   time.Duration // when all of them expire; a later grant extends it
	expiredTokens float64       // to be returned to the allocator
	deniedUntil   time.Duration // the allocator has no tokens before this time
	renewAt       time.Duration // when the share is to be reported and renewed, even if no tokens are wanted

	waiters          []func(ok bool, retryAfter time.Duration) // waiting requests, oldest first
	waitingSince     time.Duration                             // since when the first waiter waits, or the last reply that left it waiting
	requestedWaiters int                                       // the first so many waiters are in the newest token request; stale after answerWaiters
}

func newTenantTokens(now time.Duration) *tenantTokens {
	return &tenantTokens{demand: demand{updatedAt: now}, fallback: fallback{level: 1, refilledAt: now}}
}

// takeToken takes one token, if there is one.
func (t *tenantTokens) takeToken(now time.Duration) bool {
	if now >= t.tokensUntil || t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// expireTokens sets expired tokens aside, to be returned to the allocator.
func (t *tenantTokens) expireTokens(now time.Duration) {
	if now >= t.tokensUntil && t.tokens > 0 {
		t.expiredTokens += t.tokens
		t.tokens = 0
	}
}

// runningLow reports whether tokens are about to run out, and the allocator may have more.
func (t *tenantTokens) runningLow(now time.Duration) bool {
	expected := t.demand.expected(now)
	if expected < 1 || now < t.deniedUntil {
		return false
	}
	return now+prefetchSpan/4 >= t.tokensUntil || t.tokens < expected/3
}

// isIdle reports whether the tenant has had no requests for idleTimeout, and holds no share that has to be reported.
func (t *tenantTokens) isIdle(now time.Duration) bool {
	return now-t.demand.updatedAt > idleTimeout && now >= t.fallback.shareUntil
}

// needsRequest reports whether the tenant is to be in the next request to the allocator.
func (t *tenantTokens) needsRequest(now time.Duration) bool {
	return len(t.waiters) > 0 || t.runningLow(now) || t.expiredTokens >= 1 || now >= t.renewAt
}

// newRequest returns the tenant's request for tokens, which also returns the expired ones.
func (t *tenantTokens) newRequest(now time.Duration, tenant string) TokenRequest {
	request := TokenRequest{
		Tenant:         tenant,
		Demand:         t.demand.longTermRate(now),
		FallbackShare:  t.fallback.share,
		ShareRemaining: t.fallback.remaining(now),
		UnusedTokens:   t.expiredTokens,
	}
	t.renewAt = now + renewInterval
	t.expiredTokens = 0
	t.requestedWaiters = len(t.waiters)
	request.Tokens = float64(t.requestedWaiters)
	if expected := t.demand.expected(now); expected >= 1 {
		request.Tokens += expected
		if now < t.tokensUntil {
			request.Tokens -= t.tokens
		}
	}
	request.Tokens = max(request.Tokens, 0)
	return request
}

// applyGrant adds the tokens and the share of a grant. sent is the time of the request.
func (t *tenantTokens) applyGrant(now, sent time.Duration, grant *TokenGrant) {
	t.expireTokens(now)
	if sent+tokenValidity > now {
		t.tokens += grant.Tokens
		t.tokensUntil = sent + tokenValidity
	}
	t.fallback.share = grant.FallbackShare
	t.fallback.shareUntil = sent + grant.ShareRemaining
	if grant.RetryAfter > 0 {
		t.deniedUntil = now + min(grant.RetryAfter, maxDenial)
	}
	t.serveWaiters(now, clampRetryAfter(grant.RetryAfter))
}

// wait adds a client's request to the waiters.
func (t *tenantTokens) wait(now time.Duration, done func(ok bool, retryAfter time.Duration)) {
	if len(t.waiters) == 0 {
		t.waitingSince = now
	}
	t.waiters = append(t.waiters, done)
}

// serveWaiters admits waiting requests while there are tokens. The remaining ones that the token request counted are rejected; later
// ones wait for the next reply.
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

// answerWaiters admits or rejects all waiting requests by the fallback share.
func (t *tenantTokens) answerWaiters(now time.Duration, sidecars int) {
	waiters := t.waiters
	t.waiters = nil
	for _, done := range waiters {
		done(t.fallback.admit(now, t.limit, sidecars))
	}
}
