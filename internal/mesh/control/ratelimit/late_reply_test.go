package ratelimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// waitingCache is a cache that has reached an allocator once, and decisions on the requests that were made of it, by name.
type waitingCache struct {
	*TokenCache
	decisions map[string]bool
}

func newWaitingCache() *waitingCache {
	cache := &waitingCache{NewTokenCache(1), map[string]bool{}}
	cache.HandleReply(0, 0, &AllocationReply{Granted: true, FencingToken: 1})
	return cache
}

// admit makes a request of the tenant "t", whose decision is stored under a name.
func (w *waitingCache) admit(now time.Duration, name string) {
	w.Admit(now, "t", Limit{Rate: 4, Burst: 4}, func(ok bool, _ time.Duration) { w.decisions[name] = ok })
}

// grant handles the reply to the request that was sent at a time.
func (w *waitingCache) grant(now, sent time.Duration, grant TokenGrant) {
	grant.Tenant = "t"
	w.HandleReply(now, sent, &AllocationReply{Granted: true, FencingToken: 1, Grants: []TokenGrant{grant}})
}

// A reply decides only on requests that its token request counted. Those that came after, also after the counted ones were answered
// otherwise or the tenant was forgotten, wait for the next one.
func TestLateRepliesRejectOnlyCountedWaiters(t *testing.T) {
	const sent = 100 * time.Millisecond
	for name, between := range map[string]func(cache *waitingCache) (now time.Duration){
		"counted ones answered from the fallback share": func(cache *waitingCache) time.Duration {
			now := sent + waitTimeout + time.Millisecond
			cache.updateTenants(now)
			return now
		},
		"tenant forgotten": func(cache *waitingCache) time.Duration {
			now := sent + waitTimeout + time.Millisecond
			cache.updateTenants(now)
			delete(cache.tenants, "t")
			return now
		},
		"a later request counts them": func(cache *waitingCache) time.Duration {
			cache.HandleFailure(sent) // as if the connection had failed
			return sent + urgentInterval
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cache := newWaitingCache()
			cache.admit(sent, "counted 1")
			cache.admit(sent, "counted 2")
			requests, due := cache.Tick(sent)
			c.Assert(due, qt.IsTrue)
			c.Assert(requests, qt.HasLen, 1)
			now := between(cache)
			cache.lastContact = now // the allocator is still reached, so that requests wait for it
			cache.admit(now, "late 1")
			cache.admit(now, "late 2")
			if len(cache.tenants["t"].waiters) > 2 {
				cache.Tick(now)
			}
			cache.grant(now, sent, TokenGrant{})
			c.Assert(cache.decisions, qt.HasLen, 2, qt.Commentf("decided: %v", cache.decisions))
			c.Assert(cache.tenants["t"].waiters, qt.HasLen, 2)
			cache.grant(now, sent, TokenGrant{}) // a duplicate
			c.Assert(cache.tenants["t"].waiters, qt.HasLen, 2)
		})
	}
}

// A late reply does not replace the fallback share of a newer one, and does not count as the reply to the newest request.
func TestLateRepliesReplaceNoShare(t *testing.T) {
	c := qt.New(t)
	cache := newWaitingCache()
	cache.admit(100*time.Millisecond, "first")
	cache.Tick(100 * time.Millisecond)
	cache.HandleFailure(100 * time.Millisecond) // as if the connection had failed
	const second time.Duration = 100*time.Millisecond + urgentInterval
	cache.admit(second, "second")
	cache.Tick(second)
	c.Assert(cache.lastSent, qt.Equals, second)
	cache.grant(second, 100*time.Millisecond, TokenGrant{FallbackShare: 1, ShareRemaining: time.Second})
	c.Assert(cache.requestInFlight, qt.IsTrue)
	cache.grant(second, second, TokenGrant{FallbackShare: 3, ShareRemaining: time.Second})
	c.Assert(cache.requestInFlight, qt.IsFalse)
	cache.grant(second, 100*time.Millisecond, TokenGrant{FallbackShare: 1, ShareRemaining: time.Second})
	c.Assert(cache.tenants["t"].fallback.share, qt.Equals, 3.0)
}
