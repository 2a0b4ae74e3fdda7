package ratelimit

import "time"

// tenantTokens is a sidecar's state for one tenant: its tokens, its fallback share, and the requests that wait for tokens.
type tenantTokens struct {
	limit    Limit
	demand   demand
	fallback fallback

	tokens         float64
	tokensExpireAt time.Duration // time at which all tokens expire; a later grant extends it
	expiredTokens  float64       // number of expired tokens that the next token request returns to the allocator
	deniedUntil    time.Duration // time before which the allocator is not expected to have tokens
	renewAt        time.Duration // time to report and renew the share, even if no tokens are wanted

	waiters          []func(ok bool, retryAfter time.Duration) // callbacks of the waiting requests, oldest first
	waitingSince     time.Duration                             // start of the first waiter's wait; each grant restarts it
	requestedWaiters int                                       // number of waiters in the newest token request; answerWaiters does not reset it
}

// newTenantTokens returns the state of a tenant without tokens. position is the random position of its fallback bucket.
func newTenantTokens(now time.Duration, position float64) *tenantTokens {
	return &tenantTokens{demand: demand{updatedAt: now}, fallback: fallback{position: position}}
}

// takeToken takes one valid token, and reports whether there was one.
func (t *tenantTokens) takeToken(now time.Duration) bool {
	if now >= t.tokensExpireAt || t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// expireTokens moves expired tokens to expiredTokens.
func (t *tenantTokens) expireTokens(now time.Duration) {
	if now >= t.tokensExpireAt && t.tokens > 0 {
		t.expiredTokens += t.tokens
		t.tokens = 0
	}
}

// runningLow reports whether the tokens will soon be used up or expire, and the allocator may have more.
func (t *tenantTokens) runningLow(now time.Duration) bool {
	expected := t.demand.expected(now)
	if expected < 1 || now < t.deniedUntil {
		return false
	}
	return now+prefetchSpan/4 >= t.tokensExpireAt || t.tokens < expected/3
}

// isIdle reports whether the tenant has sent no request for idleTimeout, and the sidecar holds no share that it has to report.
func (t *tenantTokens) isIdle(now time.Duration) bool {
	return now-t.demand.updatedAt > idleTimeout && now >= t.fallback.shareExpiresAt
}

// needsRequest reports whether the next request to the allocator must include the tenant.
func (t *tenantTokens) needsRequest(now time.Duration) bool {
	return len(t.waiters) > 0 || t.runningLow(now) || t.expiredTokens >= 1 || now >= t.renewAt
}

// newRequest returns the tenant's request for tokens. With it, the expired tokens go back to the allocator.
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
		if now < t.tokensExpireAt {
			request.Tokens -= t.tokens
		}
	}
	request.Tokens = max(request.Tokens, 0)
	return request
}

// applyGrant adds the tokens of a grant, replaces the fallback share, and decides on waiting requests. sent is the time of the
// token request.
func (t *tenantTokens) applyGrant(now, sent time.Duration, grant *TokenGrant) {
	t.expireTokens(now)
	if sent+tokenValidity > now {
		t.tokens += grant.Tokens
		t.tokensExpireAt = sent + tokenValidity
	}
	t.fallback.share = grant.FallbackShare
	t.fallback.shareExpiresAt = sent + grant.ShareRemaining
	if grant.RetryAfter > 0 {
		t.deniedUntil = now + min(grant.RetryAfter, maxDenial)
	}
	t.serveWaiters(now, clampRetryAfter(grant.RetryAfter))
}

// addWaiter adds a client's request to the waiters. done is called with the decision.
func (t *tenantTokens) addWaiter(now time.Duration, done func(ok bool, retryAfter time.Duration)) {
	if len(t.waiters) == 0 {
		t.waitingSince = now
	}
	t.waiters = append(t.waiters, done)
}

// serveWaiters admits waiting requests, oldest first, while there are tokens. Of the others, it rejects those that the token request
// counted; later ones wait for the next grant.
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

// answerWaiters admits or rejects all waiting requests from the fallback share.
func (t *tenantTokens) answerWaiters(now time.Duration, sidecars float64) {
	waiters := t.waiters
	t.waiters = nil
	for _, done := range waiters {
		done(t.fallback.admit(now, t.limit, sidecars))
	}
}
