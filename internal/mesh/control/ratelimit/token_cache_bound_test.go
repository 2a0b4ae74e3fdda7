package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// cacheModel fills a TokenCache, and counts the decisions on its requests.
type cacheModel struct {
	t         *testing.T
	cache     *TokenCache
	now       time.Duration
	decisions []int // number of decisions on each request
}

// admit sends requests of one tenant.
func (m *cacheModel) admit(tenant string, count int) {
	for range count {
		i := len(m.decisions)
		m.decisions = append(m.decisions, 0)
		m.cache.Admit(m.now, tenant, Limit{Rate: 5, Burst: 5}, func(bool, time.Duration) { m.decisions[i]++ })
	}
}

// check checks the number of waiters, and that no request was decided twice.
func (m *cacheModel) check(when string) {
	m.t.Helper()
	waiting := 0
	for tenant, tokens := range m.cache.tenants {
		if n := len(tokens.waiters); n > maxWaiters {
			m.t.Fatalf("%s: %d requests of %s wait, want %d at most", when, n, tenant, maxWaiters)
		}
		waiting += len(tokens.waiters)
	}
	undecided := 0
	for i, n := range m.decisions {
		if n > 1 {
			m.t.Fatalf("%s: request %d was decided %d times", when, i, n)
		}
		if n == 0 {
			undecided++
		}
	}
	if undecided != waiting {
		m.t.Fatalf("%s: %d requests are undecided and %d wait", when, undecided, waiting)
	}
}

// More requests come than may wait, of tenants that become idle and return, while the allocator answers, fails or changes. Each request is
// decided once, and tenants without requests are removed.
func TestTokenCacheStaysWithinItsBounds(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 58))
		model := &cacheModel{t: t, cache: NewTokenCache(seed)}
		for step := range 60 {
			when := fmt.Sprintf("seed %d, step %d", seed, step)
			model.admit(fmt.Sprint("tenant ", random.IntN(30)), random.IntN(2*maxWaiters))
			model.check(when + ", after requests")
			sent := model.now
			requests, due := model.cache.Tick(model.now)
			switch {
			case due && random.IntN(2) == 0:
				reply := &AllocationReply{Granted: random.IntN(4) > 0, FencingToken: uint64(random.IntN(5))}
				for _, request := range requests {
					reply.Grants = append(reply.Grants, TokenGrant{Tenant: request.Tenant, Tokens: float64(random.IntN(50))})
				}
				model.cache.HandleReply(model.now, sent, reply)
			case due:
				model.cache.HandleFailure(model.now)
			}
			model.check(when + ", after a tick")
			model.now += time.Duration(random.IntN(3000)) * time.Millisecond
		}
		for range 3 {
			model.now += idleTimeout
			model.cache.Tick(model.now)
		}
		if n := len(model.cache.tenants); n > 0 {
			t.Fatalf("seed %d: %d idle tenants are left", seed, n)
		}
		model.check(fmt.Sprintf("seed %d, at the end", seed))
	}
}
