package ratelimit

import "time"

const (
	// tokenValidity is how long granted tokens may be used. The sidecar counts it from the time at which it sent the request.
	tokenValidity = 450 * time.Millisecond

	// unresponsiveAfter is the time without a request after which the allocator assumes that a sidecar admits requests from its
	// fallback share.
	unresponsiveAfter = 300 * time.Millisecond

	shareLease    = 10 * time.Second // lease duration of a fallback share
	forgetAfter   = 2 * shareLease   // time without a request after which the allocator removes a sidecar
	sweepInterval = time.Second      // minimum time between two calls of sweep that remove sidecars and tenants
	maxSidecars   = 8192             // maximum number of sidecars that an allocator serves

	// newAllocatorDelay is how long a new allocator reserves unreported shares even if all known sidecars have reported theirs:
	// it may not know all sidecars yet.
	newAllocatorDelay = time.Second
)

// Limit is the rate limit that the configuration sets for a tenant.
type Limit struct {
	Rate    float64 // requests per second; 0 means that the tenant is not limited
	Burst   float64 // requests that may arrive at once
	Overage float64 // requests that one quota window allows in addition to rate and burst
}

// Allocator holds the token buckets of all tenants while this process is the allocator. It is not safe for concurrent use.
type Allocator struct {
	startedAt          time.Duration
	initialStart       bool // true if the whole system starts for the first time: nothing was granted before startedAt
	limits             func(tenant string) (Limit, bool)
	buckets            map[string]*bucket       // token buckets by tenant
	sidecars           map[string]*sidecarState // known sidecars by address
	unreportedSidecars int                      // number of sidecars that have not reported their shares yet
	lastSweep          time.Duration
}

// sidecarState is the state of one sidecar that requests tokens.
type sidecarState struct {
	incarnation uint64        // identifies the sidecar's process; it changes when the process restarts
	lastSeen    time.Duration // time of the sidecar's newest request
}

// NewAllocator returns an allocator that starts at the time now. limits returns a tenant's limit, and whether the tenant
// exists. initialStart says that the whole system starts for the first time: the buckets then start full. Otherwise they start
// nearly empty, as the previous allocator may just have granted all tokens.
func NewAllocator(now time.Duration, initialStart bool, limits func(string) (Limit, bool)) *Allocator {
	return &Allocator{
		startedAt:    now,
		initialStart: initialStart,
		limits:       limits,
		buckets:      map[string]*bucket{},
		sidecars:     map[string]*sidecarState{},
	}
}

// SetSidecars sets the addresses of the sidecars that are members or were members recently, as LastSeen.Update returns them.
// A sidecar that has not sent a request to this allocator yet may hold shares of any size.
func (a *Allocator) SetSidecars(addresses []string) {
	a.unreportedSidecars = 0
	for _, address := range addresses {
		if a.sidecars[address] == nil {
			a.unreportedSidecars++
		}
	}
}

// Allocate returns the grants for a sidecar's token requests, except requests for unknown tenants and for tenants without a
// limit. It returns nil if the sidecar is unknown and there are maxSidecars already. It is the only method that grants tokens
// and shares.
func (a *Allocator) Allocate(now time.Duration, request *AllocationRequest) []TokenGrant {
	sidecar := a.findOrAddSidecar(request.Sidecar)
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

// findOrAddSidecar returns the state of the sidecar with the given address, and adds it if it is unknown. It returns nil if the
// sidecar is unknown and there are maxSidecars already.
func (a *Allocator) findOrAddSidecar(address string) *sidecarState {
	sidecar := a.sidecars[address]
	if sidecar == nil && len(a.sidecars) < maxSidecars {
		sidecar = &sidecarState{}
		a.sidecars[address] = sidecar
		a.unreportedSidecars = max(a.unreportedSidecars-1, 0)
	}
	return sidecar
}

// sweep removes the sidecars that have sent no request for forgetAfter, and the buckets of tenants that no longer exist. It
// does so once every sweepInterval at most.
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

// grant returns tokens from the tenant's bucket and a fallback share for one token request of a sidecar.
func (a *Allocator) grant(now time.Duration, from *AllocationRequest, request TokenRequest, limit Limit) TokenGrant {
	bucket := a.findOrAddBucket(request.Tenant, limit)
	bucket.recomputeSums(now, a.sidecars)
	share := bucket.findOrAddShare(from.Sidecar)
	reported := 0.0 // the share that the sidecar says it holds; its report overrides what the allocator has recorded
	if request.ShareRemaining > 0 {
		reported = max(request.FallbackShare, 0)
	}
	share.incarnation = from.Incarnation
	bucket.setShare(share, reported, max(request.Demand, 0))
	grant := a.grantTokens(now, bucket, request, limit)
	grant.FallbackShare = a.allotShare(now, bucket, share, limit)
	grant.ShareRemaining = shareLease
	bucket.setShare(share, max(reported, grant.FallbackShare), share.demand) // until the sidecar reports the new share, it may hold either
	share.expiresAt = now + shareLease
	return grant
}

// findOrAddBucket returns the token bucket of a tenant, and creates it if there is none.
func (a *Allocator) findOrAddBucket(tenant string, limit Limit) *bucket {
	b := a.buckets[tenant]
	if b == nil {
		b = newBucket(a.startedAt, a.initialStart, limit)
		a.buckets[tenant] = b
	}
	return b
}

// isNew reports whether this allocator started so recently that sidecars may still hold shares of the previous one.
func (a *Allocator) isNew(now time.Duration) bool {
	return !a.initialStart && now-a.startedAt < shareLease
}

// grantTokens grants tokens from a tenant's bucket. The bucket refills at the part of the limit's rate that is not reserved for
// the fallback shares of unresponsive sidecars and for unreported shares.
func (a *Allocator) grantTokens(now time.Duration, bucket *bucket, request TokenRequest, limit Limit) TokenGrant {
	reserved := bucket.unresponsiveShares
	if a.isNew(now) && (a.unreportedSidecars > 0 || now-a.startedAt < newAllocatorDelay) {
		reserved += max(limit.Rate-bucket.totalShares, 0) // shares that the previous allocator granted
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

// allotShare returns the fallback share to grant to a sidecar, in requests per second. It depends on the sidecar's part of the
// total demand, and is limited to the part of the rate that the shares of the other sidecars leave.
func (a *Allocator) allotShare(now time.Duration, bucket *bucket, own *fallbackShare, limit Limit) float64 {
	if a.isNew(now) && a.unreportedSidecars > 0 {
		return min(own.rate, limit.Rate) // the shares of the unreported sidecars are unknown
	}
	evenShare := limit.Rate / float64(max(len(a.sidecars)+a.unreportedSidecars, 1))
	wantedShare := evenShare
	if bucket.totalDemand > 0 {
		wantedShare = evenFraction*evenShare + (1-evenFraction)*limit.Rate*own.demand/bucket.totalDemand
	}
	return max(min(wantedShare, limit.Rate-(bucket.totalShares-own.rate)), 0)
}
