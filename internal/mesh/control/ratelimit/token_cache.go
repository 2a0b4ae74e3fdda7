package ratelimit

import "time"

// When a sidecar requests tokens, and how long requests of its clients wait for them.
const (
	heartbeatInterval = 200 * time.Millisecond // between two requests to the allocator
	urgentInterval    = 15 * time.Millisecond  // the same while requests of clients wait, or tokens run low
	renewInterval     = 2 * time.Second        // between two requests for one tenant of which no tokens are wanted
	idleTimeout       = 10 * time.Second       // after which a tenant without requests is dropped
	replyTimeout      = 60 * time.Millisecond  // after which a request without a reply counts as lost
	waitTimeout       = 60 * time.Millisecond  // of a client's request that waits for a token
	firstWaitTimeout  = 250 * time.Millisecond // the same where no allocator has been reached yet
	maxWaiters        = 1024                   // of one tenant
	minRetryAfter     = 30 * time.Millisecond  // least retry-after of a rejected client
	maxRetryAfter     = 2 * time.Second        // greatest retry-after of a rejected client
	maxDenial         = 100 * time.Millisecond // for which the allocator isn't asked again after it had no tokens, at most
)

// TokenCache is what one sidecar holds of the tenants' limits.
type TokenCache struct {
	tenants             map[string]*tenantTokens
	reached             bool          // an allocator has replied at least once
	lastContact         time.Duration // when the newest request was sent that was replied to
	lastSent            time.Duration // when the newest request was sent
	inFlight            bool          // the newest request has no reply yet
	highestFencingToken uint64        // of an allocator that grants were accepted of
	sidecarCount        int           // members, as far as is known
}

// NewTokenCache makes an empty cache.
func NewTokenCache() *TokenCache { return &TokenCache{tenants: map[string]*tenantTokens{}} }

// SetSidecars sets how many sidecars there are.
func (c *TokenCache) SetSidecars(n int) { c.sidecarCount = n }

// HighestFencingToken is the highest of an allocator that grants were accepted of.
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

// Admit admits a request of a tenant, rejects it, or has it wait. done is called once, before Admit returns or later from
// another method, with whether the request is admitted, and if not, when the client may try again.
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

// Tick returns the token requests that are to be sent to the allocator now, and whether anything is to be sent: a request
// without token requests is a heartbeat. It also has requests that waited too long use the fallback share. It is to be
// called often, each few milliseconds.
func (c *TokenCache) Tick(now time.Duration) (requests []TokenRequest, due bool) {
	interval := heartbeatInterval
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

// expireWaiters ends waits that are too long, drops idle tenants, and reports whether tokens are wanted soon.
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

// HandleReply takes the reply to the requests that were sent at a time, and reports whether it was accepted. Grants of an
// allocator whose fencing token is below that of another one that was heard from are rejected: the lease of the former
// has ended, and the newer one does not count what it granted.
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
