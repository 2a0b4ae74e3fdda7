package ratelimit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Grants of an allocator whose lease has ended are refused once the sidecar has heard from a newer one.
func TestGrantsOfAFormerAllocatorAreRefused(t *testing.T) {
	c := qt.New(t)
	limit := Limit{Rate: 10, Burst: 10}
	cache := NewTokenCache()
	cache.Admit(0, "t", limit, func(bool, time.Duration) {})
	grants := func(number uint64, share float64) *AllocationReply {
		return &AllocationReply{Granted: true, FencingToken: number, Grants: []TokenGrant{{Tenant: "t", Tokens: 5, FallbackShare: share, ShareRemaining: shareLease}}}
	}
	c.Assert(cache.HandleReply(0, 0, grants(7, 1)), qt.IsTrue)
	c.Assert(cache.HandleReply(0, 0, grants(8, 2)), qt.IsTrue)
	tokens := cache.tenants["t"].tokens
	c.Assert(cache.HandleReply(0, 0, grants(7, 10)), qt.IsFalse)
	c.Assert(cache.tenants["t"].fallbackShare, qt.Equals, 2.0)
	c.Assert(cache.tenants["t"].tokens, qt.Equals, tokens)
	c.Assert(cache.HighestFencingToken(), qt.Equals, uint64(8))
	c.Assert(cache.HandleReply(0, 0, grants(8, 3)), qt.IsTrue) // its own go on
}

// Sidecars of a zone are cut off with the allocator, hold most of the shares, and drop out of the new allocator's view after two
// seconds. What both parts let in together stays within the limit until the shares have ended.
func TestSharesOfACutOffZoneAreReserved(t *testing.T) {
	const n, over = 9, 16 * time.Second
	limit := Limit{Rate: 60, Burst: 20, Overage: 30}
	limits := func(string) (Limit, bool) { return limit, true }
	var names, near []string
	for i := range n {
		names = append(names, fmt.Sprint(i))
		if i >= n/2 {
			near = append(near, fmt.Sprint(i))
		}
	}
	for cut := 2 * time.Second; cut <= 10*time.Second; cut += 2 * time.Second {
		allocator, sightings := NewAllocator(0, true, limits), &LastSeen{}
		caches := make([]*TokenCache, n)
		for i := range caches {
			caches[i] = NewTokenCache()
			caches[i].SetSidecars(n)
		}
		var admitted []time.Duration
		for now := time.Duration(0); now < over; now += 5 * time.Millisecond {
			away := now >= cut && now < cut+1500*time.Millisecond
			if now == cut+1500*time.Millisecond {
				allocator = NewAllocator(now, false, limits)
			}
			there := names
			if now >= cut+2*time.Second {
				there = near
			}
			allocator.SetSidecars(sightings.Update(now, there))
			for i, cache := range caches {
				cache.Admit(now, "t", limit, func(ok bool, _ time.Duration) {
					if ok {
						admitted = append(admitted, now)
					}
				})
				requests, due := cache.Tick(now)
				switch {
				case !due:
				case away || now >= cut && i < n/2:
					cache.HandleFailure(now)
				default:
					request := &AllocationRequest{Sidecar: names[i], Incarnation: 1, Requests: requests}
					cache.HandleReply(now, now, &AllocationReply{Granted: true, Grants: allocator.Allocate(now, request)})
				}
			}
		}
		most, first := 0, 0
		for i := range admitted {
			for admitted[i]-admitted[first] > 5*time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		bound := limit.Rate*5 + limit.Burst + limit.Overage
		t.Logf("cut at %v: %d within five seconds, %v allowed", cut, most, bound)
		qt.Check(t, float64(most) <= bound, qt.IsTrue)
	}
}
