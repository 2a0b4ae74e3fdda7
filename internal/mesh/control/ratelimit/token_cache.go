package ratelimit

import "time"

// When a sidecar requests tokens, and how long requests of its clients wait for them.
const (
	heartbeatInterval = 200 * time.Millisecond // between two messages, so that the allocator knows that the sidecar is there
	urgentInterval    = 15 * time.Millisecond  // the same while requests wait
	renewInterval     = 2 * time.Second        // between two requests for one tenant where no tokens are wanted
	idleAfter         = 10 * time.Second       // a tenant without requests is left out
	replyTimeout      = 60 * time.Millisecond  // until a message without an answer counts as lost
	waitTimeout       = 60 * time.Millisecond  // that a client's request waits for a token
	firstWaitTimeout  = 250 * time.Millisecond // the same where no allocator has been reached yet
	waitersMax        = 1024                   // of one tenant
	backMin           = 30 * time.Millisecond  // bounds of when a refused client is to come back
	backMax           = 2 * time.Second
	deniedMax         = 100 * time.Millisecond // for so long the allocator isn't asked again after it had no tokens
)

// TokenCache is what one sidecar holds of the tenants' limits.
type TokenCache struct {
	tenants  map[string]*tenantTokens
	reached  bool          // an allocator has answered at least once
	got      time.Duration // when the requests were sent that were answered last
	sent     time.Duration // the last message
	out      bool          // a message is under way
	newest   uint64        // highest fencing number of an allocator that grants were taken of
	sidecars int           // that are there, as far as is known
}

// NewTokenCache makes an empty cache.
func NewTokenCache() *TokenCache { return &TokenCache{tenants: map[string]*tenantTokens{}} }

// Sidecars sets how many sidecars there are.
func (c *TokenCache) Sidecars(n int) { c.sidecars = n }

// Newest is the highest fencing number of an allocator that grants were taken of.
func (c *TokenCache) Newest() uint64 { return c.newest }

// Reached reports whether an allocator has been reached within the validity of its tokens.
func (c *TokenCache) Reached(now time.Duration) bool { return c.reached && now-c.got < tokenValidity }

// Take admits a request of a tenant or refuses it. done is called once, now or later, with whether the request may go on, and if
// not, when to come back.
func (c *TokenCache) Take(now time.Duration, tenant string, limit Limit, done func(ok bool, back time.Duration)) {
	if limit.Rate <= 0 {
		done(true, 0)
		return
	}
	t := c.tenants[tenant]
	if t == nil {
		t = &tenantTokens{at: now, levelAt: now, level: 1}
		c.tenants[tenant] = t
	}
	t.limit = limit
	t.count(now, 1)
	t.lapse(now)
	switch {
	case t.spend(now):
		done(true, 0)
	case !c.Reached(now) && c.reached:
		done(t.admitAlone(now, c.sidecars))
	case now < t.denied:
		done(false, clampBack(t.denied-now))
	case len(t.waiting) >= waitersMax:
		done(false, backMax)
	default:
		if len(t.waiting) == 0 {
			t.since = now
		}
		t.waiting = append(t.waiting, done)
	}
}

func clampBack(d time.Duration) time.Duration { return min(max(d, backMin), backMax) }

// Tick gives the requests that are due, and has requests that waited too long use the standing share.
func (c *TokenCache) Tick(now time.Duration) (requests []TokenRequest, due bool) {
	interval := heartbeatInterval
	if c.endWaits(now) {
		interval = urgentInterval
	}
	if now-c.sent < interval || c.out && now-c.sent < replyTimeout {
		return nil, false
	}
	for name, t := range c.tenants {
		t.lapse(now)
		if len(t.waiting) == 0 && !t.short(now) && t.unused < 1 && now < t.renew {
			continue
		}
		requests = append(requests, t.request(now, name))
	}
	c.sent, c.out = now, true
	return requests, true
}

// endWaits ends waits that are too long, drops idle tenants, and reports whether tokens are wanted soon.
func (c *TokenCache) endWaits(now time.Duration) (urgent bool) {
	timeout := waitTimeout
	if !c.reached {
		timeout = firstWaitTimeout
	}
	for name, t := range c.tenants {
		if len(t.waiting) > 0 && now-t.since > timeout {
			t.release(func() (bool, time.Duration) { return t.admitAlone(now, c.sidecars) })
		}
		if now-t.at > idleAfter && now >= t.shareUntil {
			delete(c.tenants, name)
			continue
		}
		urgent = urgent || len(t.waiting) > 0 || t.short(now)
	}
	return urgent
}

// Got takes the answer to the requests that were sent at a time. It refuses grants of an allocator whose fencing number is below
// that of another one it has heard from: the former's lease has ended, and the newer one does not count what it granted.
func (c *TokenCache) Got(now, sent time.Duration, g *TokenGrants) (taken bool) {
	c.out = false
	if !g.Granted || g.Epoch < c.newest {
		return false
	}
	c.newest = g.Epoch
	c.reached, c.got = true, max(c.got, sent)
	for i := range g.Grants {
		if t := c.tenants[g.Grants[i].Tenant]; t != nil {
			t.take(now, sent, &g.Grants[i])
		}
	}
	return true
}

// Failed reports that the requests reached no allocator.
func (c *TokenCache) Failed(time.Duration) { c.out = false }

// Waiting reports whether requests wait for tokens.
func (c *TokenCache) Waiting() bool {
	for _, t := range c.tenants {
		if len(t.waiting) > 0 {
			return true
		}
	}
	return false
}
