package ratelimit

import "time"

// When a sidecar requests tokens, and how long requests of its clients wait for them.
const (
	heartbeatInterval = 200 * time.Millisecond // between two messages, so that the allocator knows that the sidecar is there
	urgentInterval    = 15 * time.Millisecond  // the same while requests wait
	renewInterval     = 2 * time.Second        // between two requests for one tenant where no tokens are wanted
	idleTimeout       = 10 * time.Second       // a tenant without requests is left out
	replyTimeout      = 60 * time.Millisecond  // until a message without an answer counts as lost
	waitTimeout       = 60 * time.Millisecond  // that a client's request waits for a token
	firstWaitTimeout  = 250 * time.Millisecond // the same where no allocator has been reached yet
	maxWaiters        = 1024                   // of one tenant
	minRetryAfter     = 30 * time.Millisecond  // bounds of when a refused client is to come back
	maxRetryAfter     = 2 * time.Second
	maxDenial         = 100 * time.Millisecond // for so long the allocator isn't asked again after it had no tokens
)

// TokenCache is what one sidecar holds of the tenants' limits.
type TokenCache struct {
	tenants             map[string]*tenantTokens
	reached             bool          // an allocator has answered at least once
	lastContact         time.Duration // when the requests were sent that were answered last
	lastSent            time.Duration // the last message
	inFlight            bool          // a message is under way
	highestFencingToken uint64        // highest fencing number of an allocator that grants were taken of
	sidecarCount        int           // that are there, as far as is known
}

// NewTokenCache makes an empty cache.
func NewTokenCache() *TokenCache { return &TokenCache{tenants: map[string]*tenantTokens{}} }

// SetSidecars sets how many sidecars there are.
func (c *TokenCache) SetSidecars(n int) { c.sidecarCount = n }

// HighestFencingToken is the highest fencing number of an allocator that grants were taken of.
func (c *TokenCache) HighestFencingToken() uint64 { return c.highestFencingToken }

// Reached reports whether an allocator has been reached within the validity of its tokens.
func (c *TokenCache) Reached(now time.Duration) bool {
	return c.reached && now-c.lastContact < tokenValidity
}

// Admit admits a request of a tenant or refuses it. done is called once, now or later, with whether the request may go on, and if
// not, when to come back.
func (c *TokenCache) Admit(now time.Duration, tenant string, limit Limit, done func(ok bool, back time.Duration)) {
	if limit.Rate <= 0 {
		done(true, 0)
		return
	}
	t := c.tenants[tenant]
	if t == nil {
		t = &tenantTokens{demandAt: now, fallbackRefilledAt: now, fallbackTokens: 1}
		c.tenants[tenant] = t
	}
	t.limit = limit
	t.recordDemand(now, 1)
	t.expireTokens(now)
	switch {
	case t.takeToken(now):
		done(true, 0)
	case !c.Reached(now) && c.reached:
		done(t.admitByFallbackShare(now, c.sidecarCount))
	case now < t.deniedUntil:
		done(false, clampRetryAfter(t.deniedUntil-now))
	case len(t.waiters) >= maxWaiters:
		done(false, maxRetryAfter)
	default:
		if len(t.waiters) == 0 {
			t.waitingSince = now
		}
		t.waiters = append(t.waiters, done)
	}
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// Tick gives the requests that are due, and has requests that waited too long use the standing share.
func (c *TokenCache) Tick(now time.Duration) (requests []TokenRequest, due bool) {
	interval := heartbeatInterval
	if c.expireWaiters(now) {
		interval = urgentInterval
	}
	if now-c.lastSent < interval || c.inFlight && now-c.lastSent < replyTimeout {
		return nil, false
	}
	for name, t := range c.tenants {
		t.expireTokens(now)
		if len(t.waiters) == 0 && !t.runningLow(now) && t.expiredTokens < 1 && now < t.renewAt {
			continue
		}
		requests = append(requests, t.newRequest(now, name))
	}
	c.lastSent, c.inFlight = now, true
	return requests, true
}

// expireWaiters ends waits that are too long, drops idle tenants, and reports whether tokens are wanted soon.
func (c *TokenCache) expireWaiters(now time.Duration) (urgent bool) {
	timeout := waitTimeout
	if !c.reached {
		timeout = firstWaitTimeout
	}
	for name, t := range c.tenants {
		if len(t.waiters) > 0 && now-t.waitingSince > timeout {
			t.answerWaiters(func() (bool, time.Duration) { return t.admitByFallbackShare(now, c.sidecarCount) })
		}
		if now-t.demandAt > idleTimeout && now >= t.shareUntil {
			delete(c.tenants, name)
			continue
		}
		urgent = urgent || len(t.waiters) > 0 || t.runningLow(now)
	}
	return urgent
}

// HandleReply takes the answer to the requests that were sent at a time. It refuses grants of an allocator whose fencing number is below
// that of another one it has heard from: the former's lease has ended, and the newer one does not count what it granted.
func (c *TokenCache) HandleReply(now, sent time.Duration, g *AllocationReply) (taken bool) {
	c.inFlight = false
	if !g.Granted || g.FencingToken < c.highestFencingToken {
		return false
	}
	c.highestFencingToken = g.FencingToken
	c.reached, c.lastContact = true, max(c.lastContact, sent)
	for i := range g.Grants {
		if t := c.tenants[g.Grants[i].Tenant]; t != nil {
			t.applyGrant(now, sent, &g.Grants[i])
		}
	}
	return true
}

// HandleFailure reports that the requests reached no allocator.
func (c *TokenCache) HandleFailure(time.Duration) { c.inFlight = false }

// HasWaiters reports whether requests wait for tokens.
func (c *TokenCache) HasWaiters() bool {
	for _, t := range c.tenants {
		if len(t.waiters) > 0 {
			return true
		}
	}
	return false
}
