package ratelimit

import "time"

// When a sidecar requests tokens, and how long its clients' requests wait for them.
const (
	maxRequestInterval = 200 * time.Millisecond // between two requests to the allocator
	urgentInterval     = 15 * time.Millisecond  // the same while clients' requests wait, or tokens run low
	renewInterval      = 2 * time.Second        // between two requests for a tenant for which no tokens are wanted
	idleTimeout        = 10 * time.Second       // after which a tenant without requests is dropped
	replyTimeout       = 60 * time.Millisecond  // after which a request without a reply counts as lost
	waitTimeout        = 60 * time.Millisecond  // of a waiting request, which then uses the fallback share
	firstWaitTimeout   = 250 * time.Millisecond // the same before any allocator has been reached
	maxWaiters         = 1024                   // of one tenant
	minRetryAfter      = 30 * time.Millisecond  // least retry-after of a rejected client
	maxRetryAfter      = 2 * time.Second        // greatest retry-after of a rejected client
	maxDenial          = 100 * time.Millisecond // longest time without requests after the allocator had no tokens
)

// TokenCache is one sidecar's state of all tenants' limits. It admits requests by the tokens that it has drawn from the allocator.
// It is not safe for concurrent use.
type TokenCache struct {
	tenants             map[string]*tenantTokens // by name
	reached             bool                     // an allocator has replied at least once
	lastContact         time.Duration            // when the newest answered request was sent
	lastSent            time.Duration            // when the newest request was sent
	inFlight            bool                     // the newest request has no reply yet
	highestFencingToken uint64                   // of all allocators whose grants were accepted
	sidecarCount        int                      // known members
}

// NewTokenCache returns an empty cache.
func NewTokenCache() *TokenCache { return &TokenCache{tenants: map[string]*tenantTokens{}} }

// SetSidecarCount sets the number of sidecars, by which the fallback divides the limit.
func (c *TokenCache) SetSidecarCount(n int) { c.sidecarCount = n }

// HighestFencingToken returns the highest fencing token of an allocator whose grants were accepted; 0 for none.
func (c *TokenCache) HighestFencingToken() uint64 { return c.highestFencingToken }

// Reached reports whether an allocator has been reached within the validity of its tokens.
func (c *TokenCache) Reached(now time.Duration) bool {
	return c.reached && now-c.lastContact < tokenValidity
}

// HasWaiters reports whether requests wait for tokens.
func (c *TokenCache) HasWaiters() bool {
	for _, tokens := range c.tenants {
		if len(tokens.waiters) > 0 {
			return true
		}
	}
	return false
}

// Admit admits a tenant's request, rejects it, or adds it to the waiters. done is called once, before Admit returns or later by
// another method, with the decision. A rejected client may try again after retryAfter.
func (c *TokenCache) Admit(now time.Duration, tenant string, limit Limit, done func(ok bool, retryAfter time.Duration)) {
	if limit.Rate <= 0 {
		done(true, 0)
		return
	}
	tokens := c.tokensOf(now, tenant)
	tokens.limit = limit
	tokens.demand.record(now, 1)
	tokens.expireTokens(now)
	switch {
	case tokens.takeToken(now):
		done(true, 0)
	case !c.Reached(now) && c.reached:
		done(tokens.fallback.admit(now, tokens.limit, c.sidecarCount))
	case now < tokens.deniedUntil:
		done(false, clampRetryAfter(tokens.deniedUntil-now))
	case len(tokens.waiters) >= maxWaiters:
		done(false, maxRetryAfter)
	default:
		tokens.wait(now, done)
	}
}

func (c *TokenCache) tokensOf(now time.Duration, tenant string) *tenantTokens {
	tokens := c.tenants[tenant]
	if tokens == nil {
		tokens = newTenantTokens(now)
		c.tenants[tenant] = tokens
	}
	return tokens
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// Tick returns the token requests to send to the allocator now, and reports whether anything is due: an AllocationRequest without
// token requests still shows the allocator that the sidecar reaches it. It also admits or rejects requests that have waited too long, by the fallback share. It is to
// be called every few milliseconds.
func (c *TokenCache) Tick(now time.Duration) (requests []TokenRequest, due bool) {
	interval := maxRequestInterval
	if c.expireWaiters(now) {
		interval = urgentInterval
	}
	awaitsReply := c.inFlight && now-c.lastSent < replyTimeout
	if now-c.lastSent < interval || awaitsReply {
		return nil, false
	}
	for tenant, tokens := range c.tenants {
		tokens.expireTokens(now)
		if tokens.needsRequest(now) {
			requests = append(requests, tokens.newRequest(now, tenant))
		}
	}
	c.lastSent = now
	c.inFlight = true
	return requests, true
}

// expireWaiters ends waits that are too long, drops idle tenants, and reports whether tokens are urgently needed.
func (c *TokenCache) expireWaiters(now time.Duration) (urgent bool) {
	timeout := waitTimeout
	if !c.reached {
		timeout = firstWaitTimeout
	}
	for tenant, tokens := range c.tenants {
		if len(tokens.waiters) > 0 && now-tokens.waitingSince > timeout {
			tokens.answerWaiters(now, c.sidecarCount)
		}
		if tokens.isIdle(now) {
			delete(c.tenants, tenant)
			continue
		}
		urgent = urgent || len(tokens.waiters) > 0 || tokens.runningLow(now)
	}
	return urgent
}

// HandleReply applies the reply to the request that was sent at the given time, and reports whether it was accepted. It rejects grants
// of an allocator whose fencing token is lower than that of another one whose grants were accepted: the lease of the older allocator
// has ended, and the newer one does not count its grants.
func (c *TokenCache) HandleReply(now, sent time.Duration, reply *AllocationReply) (accepted bool) {
	c.inFlight = false
	if !reply.Granted || reply.FencingToken < c.highestFencingToken {
		return false
	}
	c.highestFencingToken = reply.FencingToken
	c.reached = true
	c.lastContact = max(c.lastContact, sent)
	for i := range reply.Grants {
		grant := &reply.Grants[i]
		if tokens := c.tenants[grant.Tenant]; tokens != nil {
			tokens.applyGrant(now, sent, grant)
		}
	}
	return true
}

// HandleFailure reports that the newest request reached no allocator.
func (c *TokenCache) HandleFailure(time.Duration) { c.inFlight = false }
