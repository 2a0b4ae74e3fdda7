package ratelimit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Once a sidecar has accepted grants of a newer allocator, it rejects those of an older one, whose lease has ended.
func TestGrantsOfADepartedAllocatorAreRejected(t *testing.T) {
	c := qt.New(t)
	limit := Limit{Rate: 10, Burst: 10}
	cache := NewTokenCache(1)
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

// zoneRun simulates sidecars in two zones. One zone is partitioned together with the allocator. A new allocator starts 1.5 s after
// the partition, and the partitioned sidecars leave its membership 2 s after the partition.
type zoneRun struct {
	now         time.Duration
	partitionAt time.Duration
	limit       Limit
	allocator   *Allocator
	lastSeen    LastSeen
	names       []string
	caches      []*TokenCache
	admitted    []time.Duration // times of the admitted requests
}

const (
	zoneSidecars     = 9
	partitionedCount = zoneSidecars / 2 // sidecars with lower numbers are in the partitioned zone
)

func newZoneRun(partitionAt time.Duration, limit Limit) *zoneRun {
	run := &zoneRun{partitionAt: partitionAt, limit: limit}
	run.allocator = NewAllocator(0, true, run.limits)
	for i := range zoneSidecars {
		cache := NewTokenCache(1)
		cache.SetSidecarCount(zoneSidecars)
		run.caches = append(run.caches, cache)
		run.names = append(run.names, fmt.Sprint(i))
	}
	return run
}

func (z *zoneRun) limits(string) (Limit, bool) { return z.limit, true }

// step simulates the events at the time now.
func (z *zoneRun) step() {
	const takeoverDelay = 1500 * time.Millisecond
	hasAllocator := z.now < z.partitionAt || z.now >= z.partitionAt+takeoverDelay
	if z.now == z.partitionAt+takeoverDelay {
		z.allocator = NewAllocator(z.now, false, z.limits)
	}
	members := z.names
	if z.now >= z.partitionAt+2*time.Second {
		members = z.names[partitionedCount:]
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
		isPartitioned := z.now >= z.partitionAt && i < partitionedCount
		switch {
		case !due:
		case !hasAllocator || isPartitioned:
			cache.HandleFailure(z.now)
		default:
			request := &AllocationRequest{Sidecar: z.names[i], Incarnation: 1, Requests: requests}
			grants := z.allocator.Allocate(z.now, request)
			cache.HandleReply(z.now, z.now, &AllocationReply{Granted: true, Grants: grants})
		}
	}
}

// After a partition, the sidecars of the partitioned zone still hold fallback shares. Both zones together stay within the limit until
// the leases of these shares have ended.
func TestSharesOfACutOffZoneAreReserved(t *testing.T) {
	limit := Limit{Rate: 60, Burst: 20, Overage: 30}
	for partitionAt := 2 * time.Second; partitionAt <= 10*time.Second; partitionAt += 2 * time.Second {
		run := newZoneRun(partitionAt, limit)
		for ; run.now < 16*time.Second; run.now += 5 * time.Millisecond {
			run.step()
		}
		most := mostWithin(5*time.Second, run.admitted)
		bound := limit.Rate*5 + limit.Burst + limit.Overage
		t.Logf("partition at %v: %d requests admitted within five seconds, at most %v allowed", partitionAt, most, bound)
		qt.Check(t, float64(most) <= bound, qt.IsTrue, qt.Commentf("%d admitted, at most %v allowed", most, bound))
	}
}
