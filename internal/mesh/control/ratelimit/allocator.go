package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// A tenant's limit is a token bucket that one process, the allocator, holds under a lease (package lease). Sidecars draw tokens,
// which are good for a moment only. Each also holds a standing share of the rate under a lease of its own, by which it admits
// requests while it can't reach an allocator. The allocator takes the shares of sidecars that it has not heard from out of what
// it grants, so that the sum of what is admitted stays within the limit, whoever is cut off.
const (
	tokenValidity     = 450 * time.Millisecond // from when the tokens were requested, by the sidecar's clock
	unresponsiveAfter = 300 * time.Millisecond // without a message the allocator takes a sidecar to use its share
	shareLease        = 10 * time.Second
	forgetAfter       = 2 * shareLease // without a message
	evenFraction      = 0.2            // part of the rate that is divided evenly; the rest is divided by demand
	sumInterval       = 100 * time.Millisecond
	sweepInterval     = time.Second
	maxSidecars       = 8192

	// initialOverageFraction is the part of Limit.Spare that a new allocator's buckets start with: two allocators may follow one another
	// within a window.
	initialOverageFraction = 0.25
)

// Limit is a tenant's limit in requests a second, as the configuration has it.
type Limit struct {
	Rate, Burst float64
	Overage     float64 // requests that may pass beyond it in a window
}

// Allocator holds the buckets of all tenants while this process has the duty.
type Allocator struct {
	startedAt    time.Duration
	initialStart bool // nothing was granted before it began: the system starts for the first time
	limits       func(tenant string) (Limit, bool)
	buckets      map[string]*bucket    // by tenant
	sidecars     map[string]*requester // by address
	unreported   int                   // sidecars whose shares are not known yet
	lastSweep    time.Duration
}

// bucket is what the allocator holds of one tenant. Its sums are made anew every sumInterval and kept up in between, so that a
// request costs the same whatever the number of sidecars.
type bucket struct {
	level              float64 // tokens
	refilledAt         time.Duration
	shares             map[string]*fallbackShare // by the sidecar's address
	totalDemand        float64                   // of all sidecars
	totalShares        float64                   // shares of all sidecars
	unresponsiveShares float64                   // shares of those that were not heard from
	summedAt           time.Duration
	initialised        bool // the sums were made once
}

// requester is a sidecar that requests tokens.
type requester struct {
	incarnation uint64
	lastSeen    time.Duration
}

// fallbackShare is the standing share of one sidecar in one tenant's limit, in requests a second.
type fallbackShare struct {
	incarnation  uint64
	rate, demand float64
	expiresAt    time.Duration
}

// NewAllocator begins the duty. Buckets start nearly empty: the allocator before may have granted all there was just now.
func NewAllocator(now time.Duration, fresh bool, limits func(string) (Limit, bool)) *Allocator {
	return &Allocator{startedAt: now, initialStart: fresh, limits: limits, buckets: map[string]*bucket{}, sidecars: map[string]*requester{}}
}

// SetSidecars sets the sidecars that are there or were of late: those that have not told yet which shares they hold may hold any.
func (a *Allocator) SetSidecars(addresses []string) {
	a.unreported = 0
	for _, address := range addresses {
		if a.sidecars[address] == nil {
			a.unreported++
		}
	}
}

// Admit answers the requests of a sidecar. It is the only method that changes what has been granted.
func (a *Allocator) Allocate(now time.Duration, q *AllocationRequest) []TokenGrant {
	r := a.sidecars[q.Sidecar]
	if r == nil {
		if len(a.sidecars) >= maxSidecars {
			return nil
		}
		r = &requester{}
		a.sidecars[q.Sidecar] = r
		a.unreported = max(a.unreported-1, 0)
	}
	r.incarnation, r.lastSeen = q.Incarnation, now
	a.sweep(now)
	var grants []TokenGrant
	for _, request := range q.Requests {
		limit, ok := a.limits(request.Tenant)
		if !ok || limit.Rate <= 0 {
			continue
		}
		grants = append(grants, a.grant(now, q, request, limit))
	}
	return grants
}

// sweep forgets sidecars that have been silent for long, and tenants that are gone.
func (a *Allocator) sweep(now time.Duration) {
	if now-a.lastSweep < sweepInterval {
		return
	}
	a.lastSweep = now
	for address, r := range a.sidecars {
		if now-r.lastSeen > forgetAfter {
			delete(a.sidecars, address)
		}
	}
	for tenant := range a.buckets {
		if _, ok := a.limits(tenant); !ok {
			delete(a.buckets, tenant)
		}
	}
}

// grant answers one request: tokens out of the tenant's bucket, and a standing share.
func (a *Allocator) grant(now time.Duration, q *AllocationRequest, request TokenRequest, limit Limit) TokenGrant {
	b := a.bucket(request.Tenant, limit)
	b.recomputeSums(now, a.sidecars)
	s := b.shares[q.Sidecar]
	if s == nil {
		s = &fallbackShare{}
		b.shares[q.Sidecar] = s
	}
	told := 0.0 // what the sidecar holds by its own word, which is the truth
	if request.ShareRemaining > 0 {
		told = max(request.FallbackShare, 0)
	}
	s.incarnation = q.Incarnation
	b.setShare(s, told, max(request.Demand, 0))
	grant := a.grantTokens(now, b, request, limit)
	grant.FallbackShare, grant.ShareRemaining = a.allotShare(now, b, s, limit), shareLease
	b.setShare(s, max(told, grant.FallbackShare), s.demand) // until it tells that it has the new one
	s.expiresAt = now + shareLease
	return grant
}

func (a *Allocator) bucket(tenant string, limit Limit) *bucket {
	b := a.buckets[tenant]
	if b == nil {
		b = &bucket{refilledAt: a.startedAt, level: min(limit.Burst, initialOverageFraction*limit.Overage), shares: map[string]*fallbackShare{}}
		if a.initialStart {
			b.level = limit.Burst
		}
		a.buckets[tenant] = b
	}
	return b
}

// total makes the sums of a bucket anew, if they are due.
func (b *bucket) recomputeSums(now time.Duration, sidecars map[string]*requester) {
	if b.initialised && now-b.summedAt < sumInterval {
		return
	}
	b.initialised, b.summedAt = true, now
	b.totalDemand, b.totalShares, b.unresponsiveShares = 0, 0, 0
	for _, address := range slices.Sorted(maps.Keys(b.shares)) {
		s, r := b.shares[address], sidecars[address]
		if now >= s.expiresAt || r != nil && r.incarnation != s.incarnation { // a sidecar that restarted holds nothing of before
			delete(b.shares, address)
			continue
		}
		b.totalDemand += s.demand
		b.totalShares += s.rate
		if r == nil || now-r.lastSeen > unresponsiveAfter {
			b.unresponsiveShares += s.rate
		}
	}
}

// setShare changes a share and keeps up the sums.
func (b *bucket) setShare(s *fallbackShare, rate, demand float64) {
	b.totalShares += rate - s.rate
	b.totalDemand += demand - s.demand
	s.rate, s.demand = rate, demand
}

// grantTokens grants tokens out of a tenant's bucket.
func (a *Allocator) grantTokens(now time.Duration, b *bucket, request TokenRequest, limit Limit) TokenGrant {
	reserved := b.unresponsiveShares
	if !a.initialStart && now-a.startedAt < shareLease && (a.unreported > 0 || now-a.startedAt < time.Second) {
		reserved += max(limit.Rate-b.totalShares, 0) // shares that were granted before its time
	}
	rate := max(limit.Rate-reserved, 0)
	refill := rate*(now-b.refilledAt).Seconds() + min(max(request.UnusedTokens, 0), limit.Burst)
	b.level, b.refilledAt = min(b.level+refill, max(limit.Burst, 1)), now
	grant := TokenGrant{Tenant: request.Tenant}
	switch {
	case request.Tokens <= 0:
	case b.level >= request.Tokens:
		grant.Tokens = request.Tokens
	case b.level >= 1:
		grant.Tokens = float64(int(b.level))
	}
	b.level -= grant.Tokens
	if lacking := request.Tokens - grant.Tokens; lacking > 0 {
		grant.RetryAfter = shareLease
		if rate > 0 {
			grant.RetryAfter = min(time.Duration((1-min(b.level, 1)+lacking)/rate*float64(time.Second)), shareLease)
		}
	}
	return grant
}

// allotShare is the standing share that a sidecar may have: by demand, and no more than the others leave.
func (a *Allocator) allotShare(now time.Duration, b *bucket, mine *fallbackShare, limit Limit) float64 {
	if !a.initialStart && now-a.startedAt < shareLease && a.unreported > 0 {
		return min(mine.rate, limit.Rate) // what the missing ones hold is not known yet
	}
	even := limit.Rate / float64(max(len(a.sidecars)+a.unreported, 1))
	want := even
	if b.totalDemand > 0 {
		want = evenFraction*even + (1-evenFraction)*limit.Rate*mine.demand/b.totalDemand
	}
	return max(min(want, limit.Rate-(b.totalShares-mine.rate)), 0)
}
