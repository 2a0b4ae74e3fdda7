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

	waiters      []waiter      // clients' requests that wait, oldest first
	waitingSince time.Duration // start of the first waiter's wait; each grant restarts it
	grantSentAt  time.Duration // time of the newest token request that was granted
}

// waiter is a client's request that waits for tokens.
type waiter struct {
	done        func(ok bool, retryAfter time.Duration) // called with the decision
	requested   bool                                    // whether a token request counted it
	requestedAt time.Duration                           // time of the first token request that counted it
}

// wasRequested reports whether the token request that was sent at the given time, or an earlier one, counted the waiter.
func (w *waiter) wasRequested(sent time.Duration) bool { return w.requested && w.requestedAt <= sent }

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
	t.markRequested(now)
	request.Tokens = float64(len(t.waiters))
	if expected := t.demand.expected(now); expected >= 1 {
		request.Tokens += expected
		if now < t.tokensExpireAt {
			request.Tokens -= t.tokens
		}
	}
	request.Tokens = max(request.Tokens, 0)
	return request
}

// applyGrant adds the tokens of a grant, replaces the fallback share unless a later request was granted before, and decides on
// waiting requests. sent is the time of the token request.
func (t *tenantTokens) applyGrant(now, sent time.Duration, grant *TokenGrant) {
	t.expireTokens(now)
	if sent+tokenValidity > now {
		t.tokens += grant.Tokens
		t.tokensExpireAt = sent + tokenValidity
	}
	if sent >= t.grantSentAt { // replies may arrive in another order than that of the requests
		t.grantSentAt = sent
		t.fallback.share = grant.FallbackShare
		t.fallback.shareExpiresAt = sent + grant.ShareRemaining
		if grant.RetryAfter > 0 {
			t.deniedUntil = now + min(grant.RetryAfter, maxDenial)
		}
	}
	t.serveWaiters(now, sent, clampRetryAfter(grant.RetryAfter))
}

// addWaiter adds a client's request to the waiters. done is called with the decision.
func (t *tenantTokens) addWaiter(now time.Duration, done func(ok bool, retryAfter time.Duration)) {
	if len(t.waiters) == 0 {
		t.waitingSince = now
	}
	t.waiters = append(t.waiters, waiter{done: done})
}

// markRequested records that a token request sent now counts all waiters.
func (t *tenantTokens) markRequested(now time.Duration) {
	for i := range t.waiters {
		if w := &t.waiters[i]; !w.requested {
			w.requested = true
			w.requestedAt = now
		}
	}
}

// serveWaiters admits waiting requests, oldest first, while there are tokens. Of the others, it rejects those that the token request sent
// at the given time counted; later ones wait for the next grant.
func (t *tenantTokens) serveWaiters(now, sent, retryAfter time.Duration) {
	i := 0
	for ; i < len(t.waiters) && t.takeToken(now); i++ {
		t.waiters[i].done(true, 0)
	}
	for ; i < len(t.waiters) && t.waiters[i].wasRequested(sent); i++ {
		t.waiters[i].done(false, retryAfter)
	}
	t.waiters = t.waiters[i:]
	t.waitingSince = now
}

// answerWaiters admits or rejects all waiting requests from the fallback share.
func (t *tenantTokens) answerWaiters(now time.Duration, sidecars float64) {
	waiters := t.waiters
	t.waiters = nil
	for _, w := range waiters {
		w.done(t.fallback.admit(now, t.limit, sidecars))
	}
}
