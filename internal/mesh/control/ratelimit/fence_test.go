package ratelimit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A sidecar rejects grants of an allocator whose lease has ended, once it has accepted those of a newer one.
func TestGrantsOfADepartedAllocatorAreRejected(t *testing.T) {
	c := qt.New(t)
	limit := Limit{Rate: 10, Burst: 10}
	cache := NewTokenCache()
	cache.Admit(0, "t", limit, func(bool, time.Duration) {})
	grants := func(fencingToken uint64, share float64) *AllocationReply {
		grant := TokenGrant{Tenant: "t", Tokens: 5, FallbackShare: share, ShareRemaining: shareLease}
		return &AllocationReply{Granted: true, FencingToken: fencingToken, Grants: []TokenGrant{grant}}
	}
	c.Assert(cache.HandleReply(0, 0, grants(7, 1)), qt.IsTrue)
	c.Assert(cache.HandleReply(0, 0, grants(8, 2)), qt.IsTrue)
	tokens := cache.tenants["t"].tokens
	c.Assert(cache.HandleReply(0, 0, grants(7, 10)), qt.IsFalse)
	c.Assert(cache.tenants["t"].fallback.share, qt.Equals, 2.0)
	c.Assert(cache.tenants["t"].tokens, qt.Equals, tokens)
	c.Assert(cache.HighestFencingToken(), qt.Equals, uint64(8))
	c.Assert(cache.HandleReply(0, 0, grants(8, 3)), qt.IsTrue) // the newer allocator continues
}

// zoneRun is a run of sidecars in two zones. One zone is partitioned together with the allocator, and leaves the new allocator's
// view two seconds later. The new allocator starts after a second and a half.
type zoneRun struct {
	now       time.Duration
	cut       time.Duration // time of the partition
	limit     Limit
	allocator *Allocator
	lastSeen  LastSeen
	names     []string
	caches    []*TokenCache
	admitted  []time.Duration
}

const (
	zoneSidecars  = 9
	cutOffSidecar = zoneSidecars / 2 // sidecars with lower numbers are in the partitioned zone
)

func newZoneRun(cut time.Duration, limit Limit) *zoneRun {
	z := &zoneRun{cut: cut, limit: limit}
	z.allocator = NewAllocator(0, true, z.limits)
	for i := range zoneSidecars {
		cache := NewTokenCache()
		cache.SetSidecarCount(zoneSidecars)
		z.caches = append(z.caches, cache)
		z.names = append(z.names, fmt.Sprint(i))
	}
	return z
}

func (z *zoneRun) limits(string) (Limit, bool) { return z.limit, true }

// step simulates the events of one moment.
func (z *zoneRun) step() {
	const takeover = 1500 * time.Millisecond
	hasAllocator := z.now < z.cut || z.now >= z.cut+takeover
	if z.now == z.cut+takeover {
		z.allocator = NewAllocator(z.now, false, z.limits)
	}
	members := z.names
	if z.now >= z.cut+2*time.Second {
		members = z.names[cutOffSidecar:]
	}
	z.allocator.SetSidecars(z.lastSeen.Update(z.now, members))
	for i, cache := range z.caches {
		requestedAt := z.now
		cache.Admit(z.now, "t", z.limit, func(ok bool, _ time.Duration) {
			if ok {
				z.admitted = append(z.admitted, requestedAt)
			}
		})
		requests, due := cache.Tick(z.now)
		isCutOff := z.now >= z.cut && i < cutOffSidecar
		switch {
		case !due:
		case !hasAllocator || isCutOff:
			cache.HandleFailure(z.now)
		default:
			request := &AllocationRequest{Sidecar: z.names[i], Incarnation: 1, Requests: requests}
			grants := z.allocator.Allocate(z.now, request)
			cache.HandleReply(z.now, z.now, &AllocationReply{Granted: true, Grants: grants})
		}
	}
}

// The sidecars of a partitioned zone hold most of the shares. Both zones together stay within the limit until the shares have ended.
func TestSharesOfACutOffZoneAreReserved(t *testing.T) {
	limit := Limit{Rate: 60, Burst: 20, Overage: 30}
	for cut := 2 * time.Second; cut <= 10*time.Second; cut += 2 * time.Second {
		run := newZoneRun(cut, limit)
		for ; run.now < 16*time.Second; run.now += 5 * time.Millisecond {
			run.step()
		}
		most := mostWithin(5*time.Second, run.admitted)
		bound := limit.Rate*5 + limit.Burst + limit.Overage
		t.Logf("cut at %v: %d within five seconds, %v allowed", cut, most, bound)
		qt.Check(t, float64(most) <= bound, qt.IsTrue)
	}
}
