package ratelimit

import (
	"math/rand/v2"
	"time"
)

// These constants determine when a sidecar requests tokens, and how long its clients' requests wait for them.
const (
	maxRequestInterval = 200 * time.Millisecond // time between two requests to the allocator
	urgentInterval     = 15 * time.Millisecond  // time between two requests while clients' requests wait or tokens run low
	renewInterval      = 2 * time.Second        // time between two token requests for a tenant that needs no tokens
	idleTimeout        = 10 * time.Second       // time after which a tenant without requests is removed
	replyTimeout       = 60 * time.Millisecond  // time after which a request without a reply counts as lost
	waitTimeout        = 60 * time.Millisecond  // time after which a waiting request uses the fallback share
	firstWaitTimeout   = 250 * time.Millisecond // same as waitTimeout, but until the first reply of an allocator
	maxWaiters         = 1024                   // maximum number of waiting requests of one tenant
	minRetryAfter      = 30 * time.Millisecond  // least retry-after of a rejected client
	maxRetryAfter      = 2 * time.Second        // greatest retry-after of a rejected client
	maxDenial          = 100 * time.Millisecond // longest time without token requests after the allocator had too few tokens
)

// TokenCache is one sidecar's state for all tenants. It admits requests with the tokens that the allocator has granted. It is not
// safe for concurrent use.
type TokenCache struct {
	tenants             map[string]*tenantTokens // state by tenant name
	everReached         bool                     // true once an allocator has replied
	lastContact         time.Duration            // time at which the newest answered request was sent
	lastSent            time.Duration            // time at which the newest request was sent
	requestInFlight     bool                     // true while the newest request has no reply
	highestFencingToken uint64                   // highest fencing token of the allocators whose grants were accepted
	sidecarCount        float64                  // number of known sidecars; at least 1
	rng                 *rand.Rand
}

// NewTokenCache returns an empty cache. seed determines its random numbers, and must differ between sidecars.
func NewTokenCache(seed uint64) *TokenCache {
	return &TokenCache{tenants: map[string]*tenantTokens{}, sidecarCount: 1, rng: rand.New(rand.NewPCG(seed, seed))}
}

// SetSidecarCount sets the number of sidecars. A sidecar without a fallback share divides the limit by it.
func (c *TokenCache) SetSidecarCount(n int) { c.sidecarCount = float64(max(n, 1)) }

// HighestFencingToken returns the highest fencing token of the allocators whose grants were accepted, 0 if there is none.
func (c *TokenCache) HighestFencingToken() uint64 { return c.highestFencingToken }

// Reached reports whether an allocator has answered a request that was sent within the last tokenValidity.
func (c *TokenCache) Reached(now time.Duration) bool {
	return c.everReached && now-c.lastContact < tokenValidity
}

// HasWaiters reports whether any client's request waits for tokens.
func (c *TokenCache) HasWaiters() bool {
	for _, tokens := range c.tenants {
		if len(tokens.waiters) > 0 {
			return true
		}
	}
	return false
}

// Admit admits a tenant's request, rejects it, or adds it to the waiters. It calls done exactly once with the decision, either
// before it returns or later from Tick or HandleReply. A rejected client may retry after retryAfter.
func (c *TokenCache) Admit(now time.Duration, tenant string, limit Limit, done func(ok bool, retryAfter time.Duration)) {
	if limit.Rate <= 0 {
		done(true, 0)
		return
	}
	tokens := c.findOrAddTenant(now, tenant)
	tokens.limit = limit
	tokens.demand.record(now, 1)
	tokens.expireTokens(now)
	switch {
	case tokens.takeToken(now):
		done(true, 0)
	case !c.Reached(now) && c.everReached:
		done(tokens.fallback.admit(now, tokens.limit, c.sidecarCount))
	case now < tokens.deniedUntil:
		done(false, clampRetryAfter(tokens.deniedUntil-now))
	case len(tokens.waiters) >= maxWaiters:
		done(false, maxRetryAfter)
	default:
		tokens.addWaiter(now, done)
	}
}

// findOrAddTenant returns the state of a tenant, and adds it if there is none.
func (c *TokenCache) findOrAddTenant(now time.Duration, tenant string) *tenantTokens {
	tokens := c.tenants[tenant]
	if tokens == nil {
		tokens = newTenantTokens(now, c.rng.Float64())
		c.tenants[tenant] = tokens
	}
	return tokens
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// Tick returns the token requests to send to the allocator now, and reports whether an AllocationRequest is due. If one is due, it
// is to be sent even without token requests, to show the allocator that the sidecar reaches it. Tick also admits or rejects
// requests that have waited too long, from the fallback share. It is to be called every few milliseconds.
func (c *TokenCache) Tick(now time.Duration) (requests []TokenRequest, due bool) {
	interval := maxRequestInterval
	if c.updateTenants(now) {
		interval = urgentInterval
	}
	awaitsReply := c.requestInFlight && now-c.lastSent < replyTimeout
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
	c.requestInFlight = true
	return requests, true
}

// updateTenants decides on requests that have waited too long, removes idle tenants, and reports whether tokens are needed urgently.
func (c *TokenCache) updateTenants(now time.Duration) (urgent bool) {
	timeout := waitTimeout
	if !c.everReached {
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

// HandleReply applies the reply to the request that was sent at the given time, and reports whether it accepted the reply. It rejects
// a reply whose fencing token is lower than one that it has accepted: the lease of that older allocator has ended, and the newer
// allocator does not account for its grants. It also rejects a reply of a process that is not the allocator.
func (c *TokenCache) HandleReply(now, sent time.Duration, reply *AllocationReply) (accepted bool) {
	if sent == c.lastSent {
		c.requestInFlight = false
	}
	if !reply.Granted || reply.FencingToken < c.highestFencingToken {
		return false
	}
	c.highestFencingToken = reply.FencingToken
	c.everReached = true
	c.lastContact = max(c.lastContact, sent)
	for i := range reply.Grants {
		grant := &reply.Grants[i]
		if tokens := c.tenants[grant.Tenant]; tokens != nil {
			tokens.applyGrant(now, sent, grant)
		}
	}
	return true
}

// HandleFailure tells the cache that the newest request reached no allocator, so that the next one does not wait for a reply.
func (c *TokenCache) HandleFailure(time.Duration) { c.requestInFlight = false }
