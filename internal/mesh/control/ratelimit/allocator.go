package ratelimit

import "time"

const (
	tokenValidity     = 450 * time.Millisecond // from when the tokens were requested, by the sidecar's clock
	unresponsiveAfter = 300 * time.Millisecond // without a request the allocator expects a sidecar to use its share
	shareLease        = 10 * time.Second       // of a fallback share
	forgetAfter       = 2 * shareLease         // without a request the allocator forgets a sidecar
	sweepInterval     = time.Second            // between two sweeps of what can be forgotten
	maxSidecars       = 8192                   // that an allocator keeps

	// newAllocatorDelay is how long a new allocator reserves what is not accounted for, even if all sidecars that it knows
	// of have reported: it may not know all of them yet.
	newAllocatorDelay = time.Second
)

// Limit is a tenant's limit, as the configuration has it.
type Limit struct {
	Rate    float64 // requests a second; a tenant without a rate is not limited
	Burst   float64 // requests that may come at once
	Overage float64 // requests that may pass beyond rate and burst in a window of the quota
}

// Allocator keeps the buckets of all tenants while this process plays the role.
type Allocator struct {
	startedAt    time.Duration
	initialStart bool // nothing was granted before startedAt: the whole system starts for the first time
	limits       func(tenant string) (Limit, bool)
	buckets      map[string]*bucket    // by tenant
	sidecars     map[string]*requester // by address
	unreported   int                   // sidecars whose shares are not known yet
	lastSweep    time.Duration
}

// requester is a sidecar that requests tokens.
type requester struct {
	incarnation uint64
	lastSeen    time.Duration
}

// NewAllocator starts an allocator. limits returns a tenant's limit, and whether the tenant exists. At the system's
// initial start buckets are full; else they start nearly empty, as the allocator before may have granted all there was
// just now.
func NewAllocator(now time.Duration, initialStart bool, limits func(string) (Limit, bool)) *Allocator {
	return &Allocator{
		startedAt:    now,
		initialStart: initialStart,
		limits:       limits,
		buckets:      map[string]*bucket{},
		sidecars:     map[string]*requester{},
	}
}

// SetSidecars sets the sidecars that are members, or were of late. Those that have not reported yet which shares they
// hold may hold any.
func (a *Allocator) SetSidecars(addresses []string) {
	a.unreported = 0
	for _, address := range addresses {
		if a.sidecars[address] == nil {
			a.unreported++
		}
	}
}

// Allocate answers the requests of a sidecar; requests for tenants without a limit are left out. It is the only method
// that changes what has been granted.
func (a *Allocator) Allocate(now time.Duration, request *AllocationRequest) []TokenGrant {
	sidecar := a.requester(request.Sidecar)
	if sidecar == nil {
		return nil
	}
	sidecar.incarnation = request.Incarnation
	sidecar.lastSeen = now
	a.sweep(now)
	var grants []TokenGrant
	for _, tokenRequest := range request.Requests {
		limit, ok := a.limits(tokenRequest.Tenant)
		if !ok || limit.Rate <= 0 {
			continue
		}
		grants = append(grants, a.grant(now, request, tokenRequest, limit))
	}
	return grants
}

// requester is the sidecar of an address; nil if there is no room for another one.
func (a *Allocator) requester(address string) *requester {
	sidecar := a.sidecars[address]
	if sidecar == nil && len(a.sidecars) < maxSidecars {
		sidecar = &requester{}
		a.sidecars[address] = sidecar
		a.unreported = max(a.unreported-1, 0)
	}
	return sidecar
}

// sweep forgets sidecars that have been unresponsive for long, and tenants that no longer exist.
func (a *Allocator) sweep(now time.Duration) {
	if now-a.lastSweep < sweepInterval {
		return
	}
	a.lastSweep = now
	for address, sidecar := range a.sidecars {
		if now-sidecar.lastSeen > forgetAfter {
			delete(a.sidecars, address)
		}
	}
	for tenant := range a.buckets {
		if _, ok := a.limits(tenant); !ok {
			delete(a.buckets, tenant)
		}
	}
}

// grant answers one of a sidecar's requests: tokens out of the tenant's bucket, and a fallback share.
func (a *Allocator) grant(now time.Duration, from *AllocationRequest, request TokenRequest, limit Limit) TokenGrant {
	bucket := a.bucket(request.Tenant, limit)
	bucket.recomputeSums(now, a.sidecars)
	share := bucket.shareOf(from.Sidecar)
	reported := 0.0 // what the sidecar holds by its own report, which is the truth
	if request.ShareRemaining > 0 {
		reported = max(request.FallbackShare, 0)
	}
	share.incarnation = from.Incarnation
	bucket.setShare(share, reported, max(request.Demand, 0))
	grant := a.grantTokens(now, bucket, request, limit)
	grant.FallbackShare = a.allotShare(now, bucket, share, limit)
	grant.ShareRemaining = shareLease
	bucket.setShare(share, max(reported, grant.FallbackShare), share.demand) // until it reports that it has the new one
	share.expiresAt = now + shareLease
	return grant
}

// bucket is the bucket of a tenant.
func (a *Allocator) bucket(tenant string, limit Limit) *bucket {
	b := a.buckets[tenant]
	if b == nil {
		b = newBucket(a.startedAt, a.initialStart, limit)
		a.buckets[tenant] = b
	}
	return b
}

// isNew reports whether shares may be in force that the allocator before granted.
func (a *Allocator) isNew(now time.Duration) bool {
	return !a.initialStart && now-a.startedAt < shareLease
}

// grantTokens grants tokens out of a tenant's bucket.
func (a *Allocator) grantTokens(now time.Duration, bucket *bucket, request TokenRequest, limit Limit) TokenGrant {
	reserved := bucket.unresponsiveShares
	if a.isNew(now) && (a.unreported > 0 || now-a.startedAt < newAllocatorDelay) {
		reserved += max(limit.Rate-bucket.totalShares, 0) // shares that were granted before its time
	}
	rate := max(limit.Rate-reserved, 0)
	bucket.refill(now, rate, request.UnusedTokens, limit)
	granted := bucket.take(request.Tokens)
	grant := TokenGrant{Tenant: request.Tenant, Tokens: granted}
	if lacking := request.Tokens - granted; lacking > 0 {
		grant.RetryAfter = bucket.timeUntil(lacking, rate)
	}
	return grant
}

// allotShare is the fallback share that a sidecar may have: by demand, and no more than the others leave.
func (a *Allocator) allotShare(now time.Duration, bucket *bucket, own *fallbackShare, limit Limit) float64 {
	if a.isNew(now) && a.unreported > 0 {
		return min(own.rate, limit.Rate) // what the unreported sidecars hold is not known yet
	}
	even := limit.Rate / float64(max(len(a.sidecars)+a.unreported, 1))
	wanted := even
	if bucket.totalDemand > 0 {
		wanted = evenFraction*even + (1-evenFraction)*limit.Rate*own.demand/bucket.totalDemand
	}
	return max(min(wanted, limit.Rate-(bucket.totalShares-own.rate)), 0)
}
