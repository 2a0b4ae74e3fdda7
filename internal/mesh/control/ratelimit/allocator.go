package ratelimit

import "time"

const (
	tokenValidity     = 450 * time.Millisecond // from the time of the request for the tokens, by the sidecar's clock
	unresponsiveAfter = 300 * time.Millisecond // without a request; the allocator then assumes that a sidecar uses its fallback share
	shareLease        = 10 * time.Second       // lease of a fallback share
	forgetAfter       = 2 * shareLease         // without a request; the allocator then forgets a sidecar
	sweepInterval     = time.Second            // between two sweeps of sidecars and tenants to forget
	maxSidecars       = 8192                   // that an allocator knows, at most

	// newAllocatorDelay is how long a new allocator reserves the shares that no sidecar has reported, even if all known sidecars
	// have reported theirs: it may not know all sidecars yet.
	newAllocatorDelay = time.Second
)

// Limit is a tenant's limit, as the configuration has it.
type Limit struct {
	Rate    float64 // requests a second; a tenant without a rate is not limited
	Burst   float64 // requests that may come at once
	Overage float64 // requests that may pass beyond rate and burst in a window of the quota
}

// Allocator owns the token buckets of all tenants while this process plays the role. It is not safe for concurrent use.
type Allocator struct {
	startedAt    time.Duration
	initialStart bool // the whole system starts for the first time: nothing was granted before startedAt
	limits       func(tenant string) (Limit, bool)
	buckets      map[string]*bucket    // by tenant
	sidecars     map[string]*requester // by address
	unreported   int                   // sidecars that have not reported their shares yet
	lastSweep    time.Duration
}

// requester is a sidecar that requests tokens.
type requester struct {
	incarnation uint64        // of the sidecar's process
	lastSeen    time.Duration // time of its newest request
}

// NewAllocator returns an allocator that starts now. limits returns a tenant's limit, and whether the tenant exists. At the
// system's initial start the buckets are full. Otherwise they start nearly empty, as the previous allocator may just have
// granted all tokens.
func NewAllocator(now time.Duration, initialStart bool, limits func(string) (Limit, bool)) *Allocator {
	return &Allocator{
		startedAt:    now,
		initialStart: initialStart,
		limits:       limits,
		buckets:      map[string]*bucket{},
		sidecars:     map[string]*requester{},
	}
}

// SetSidecars sets the addresses of the sidecars that are members or were recently (LastSeen). Those that have not reported
// their shares yet may hold shares of any size.
func (a *Allocator) SetSidecars(addresses []string) {
	a.unreported = 0
	for _, address := range addresses {
		if a.sidecars[address] == nil {
			a.unreported++
		}
	}
}

// Allocate returns the grants for a sidecar's requests, without those for tenants that have no limit. It is the only method that
// grants tokens and shares.
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

// requester returns the sidecar of an address, which it adds if necessary; nil if there are maxSidecars already.
func (a *Allocator) requester(address string) *requester {
	sidecar := a.sidecars[address]
	if sidecar == nil && len(a.sidecars) < maxSidecars {
		sidecar = &requester{}
		a.sidecars[address] = sidecar
		a.unreported = max(a.unreported-1, 0)
	}
	return sidecar
}

// sweep forgets sidecars without a request for forgetAfter, and tenants that no longer exist.
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

// grant answers one of a sidecar's requests with tokens from the tenant's bucket and a fallback share.
func (a *Allocator) grant(now time.Duration, from *AllocationRequest, request TokenRequest, limit Limit) TokenGrant {
	bucket := a.bucket(request.Tenant, limit)
	bucket.recomputeSums(now, a.sidecars)
	share := bucket.shareOf(from.Sidecar)
	reported := 0.0 // the share that the sidecar holds by its own report, which is authoritative
	if request.ShareRemaining > 0 {
		reported = max(request.FallbackShare, 0)
	}
	share.incarnation = from.Incarnation
	bucket.setShare(share, reported, max(request.Demand, 0))
	grant := a.grantTokens(now, bucket, request, limit)
	grant.FallbackShare = a.allotShare(now, bucket, share, limit)
	grant.ShareRemaining = shareLease
	bucket.setShare(share, max(reported, grant.FallbackShare), share.demand) // the sidecar may hold either until it reports the new one
	share.expiresAt = now + shareLease
	return grant
}

// bucket returns the bucket of a tenant, which it makes if necessary.
func (a *Allocator) bucket(tenant string, limit Limit) *bucket {
	b := a.buckets[tenant]
	if b == nil {
		b = newBucket(a.startedAt, a.initialStart, limit)
		a.buckets[tenant] = b
	}
	return b
}

// isNew reports whether sidecars may still hold shares that the previous allocator granted.
func (a *Allocator) isNew(now time.Duration) bool {
	return !a.initialStart && now-a.startedAt < shareLease
}

// grantTokens grants tokens from a tenant's bucket, which fills at the rate that is not reserved for shares of other sidecars.
func (a *Allocator) grantTokens(now time.Duration, bucket *bucket, request TokenRequest, limit Limit) TokenGrant {
	reserved := bucket.unresponsiveShares
	if a.isNew(now) && (a.unreported > 0 || now-a.startedAt < newAllocatorDelay) {
		reserved += max(limit.Rate-bucket.totalShares, 0) // unreported shares, granted by the previous allocator
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

// allotShare returns the fallback share that a sidecar may have: by its demand, and no more than the other sidecars leave.
func (a *Allocator) allotShare(now time.Duration, bucket *bucket, own *fallbackShare, limit Limit) float64 {
	if a.isNew(now) && a.unreported > 0 {
		return min(own.rate, limit.Rate) // the shares of the unreported sidecars are unknown
	}
	even := limit.Rate / float64(max(len(a.sidecars)+a.unreported, 1))
	wanted := even
	if bucket.totalDemand > 0 {
		wanted = evenFraction*even + (1-evenFraction)*limit.Rate*own.demand/bucket.totalDemand
	}
	return max(min(wanted, limit.Rate-(bucket.totalShares-own.rate)), 0)
}
