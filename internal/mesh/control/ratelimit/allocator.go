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
	tokenValidity = 450 * time.Millisecond // from when the tokens were requested, by the sidecar's clock
	silentAfter   = 300 * time.Millisecond // without a message the allocator takes a sidecar to use its share
	shareLease    = 10 * time.Second
	forgetAfter   = 2 * shareLease // without a message
	evenShare     = 0.2            // part of the rate that is divided evenly; the rest is divided by demand
	sumInterval   = 100 * time.Millisecond
	sweepInterval = time.Second
	sidecarsMax   = 8192

	// initialSpare is the part of Limit.Spare that a new allocator's buckets start with: two allocators may follow one another
	// within a window.
	initialSpare = 0.25
)

// Limit is a tenant's limit in requests a second, as the configuration has it.
type Limit struct {
	Rate, Burst float64
	Spare       float64 // requests that may pass beyond it in a window
}

// Allocator holds the buckets of all tenants while this process has the duty.
type Allocator struct {
	began    time.Duration
	fresh    bool // nothing was granted before it began: the system starts for the first time
	limits   func(tenant string) (Limit, bool)
	buckets  map[string]*bucket    // by tenant
	sidecars map[string]*requester // by address
	missing  int                   // sidecars whose shares are not known yet
	swept    time.Duration
}

// bucket is what the allocator holds of one tenant. Its sums are made anew every sumInterval and kept up in between, so that a
// request costs the same whatever the number of sidecars.
type bucket struct {
	level  float64 // tokens
	at     time.Duration
	shares map[string]*share // by the sidecar's address
	demand float64           // of all sidecars
	given  float64           // shares of all sidecars
	silent float64           // shares of those that were not heard from
	summed time.Duration
	ready  bool // the sums were made once
}

// requester is a sidecar that requests tokens.
type requester struct {
	life  uint64
	heard time.Duration
}

// share is the standing share of one sidecar in one tenant's limit, in requests a second.
type share struct {
	life         uint64
	rate, demand float64
	until        time.Duration
}

// NewAllocator begins the duty. Buckets start nearly empty: the allocator before may have granted all there was just now.
func NewAllocator(now time.Duration, fresh bool, limits func(string) (Limit, bool)) *Allocator {
	return &Allocator{began: now, fresh: fresh, limits: limits, buckets: map[string]*bucket{}, sidecars: map[string]*requester{}}
}

// Sidecars sets the sidecars that are there or were of late: those that have not told yet which shares they hold may hold any.
func (a *Allocator) Sidecars(addresses []string) {
	a.missing = 0
	for _, address := range addresses {
		if a.sidecars[address] == nil {
			a.missing++
		}
	}
}

// Take answers the requests of a sidecar. It is the only method that changes what has been granted.
func (a *Allocator) Take(now time.Duration, q *TokenRequests) []TokenGrant {
	r := a.sidecars[q.Who]
	if r == nil {
		if len(a.sidecars) >= sidecarsMax {
			return nil
		}
		r = &requester{}
		a.sidecars[q.Who] = r
		a.missing = max(a.missing-1, 0)
	}
	r.life, r.heard = q.Life, now
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
	if now-a.swept < sweepInterval {
		return
	}
	a.swept = now
	for address, r := range a.sidecars {
		if now-r.heard > forgetAfter {
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
func (a *Allocator) grant(now time.Duration, q *TokenRequests, request TokenRequest, limit Limit) TokenGrant {
	b := a.bucket(request.Tenant, limit)
	b.sum(now, a.sidecars)
	s := b.shares[q.Who]
	if s == nil {
		s = &share{}
		b.shares[q.Who] = s
	}
	told := 0.0 // what the sidecar holds by its own word, which is the truth
	if request.Left > 0 {
		told = max(request.Share, 0)
	}
	s.life = q.Life
	b.set(s, told, max(request.Demand, 0))
	grant := a.tokens(now, b, request, limit)
	grant.Share, grant.Left = a.allot(now, b, s, limit), shareLease
	b.set(s, max(told, grant.Share), s.demand) // until it tells that it has the new one
	s.until = now + shareLease
	return grant
}

func (a *Allocator) bucket(tenant string, limit Limit) *bucket {
	b := a.buckets[tenant]
	if b == nil {
		b = &bucket{at: a.began, level: min(limit.Burst, initialSpare*limit.Spare), shares: map[string]*share{}}
		if a.fresh {
			b.level = limit.Burst
		}
		a.buckets[tenant] = b
	}
	return b
}

// sum makes the sums of a bucket anew, if they are due.
func (b *bucket) sum(now time.Duration, sidecars map[string]*requester) {
	if b.ready && now-b.summed < sumInterval {
		return
	}
	b.ready, b.summed = true, now
	b.demand, b.given, b.silent = 0, 0, 0
	for _, address := range slices.Sorted(maps.Keys(b.shares)) {
		s, r := b.shares[address], sidecars[address]
		if now >= s.until || r != nil && r.life != s.life { // a sidecar that restarted holds nothing of before
			delete(b.shares, address)
			continue
		}
		b.demand += s.demand
		b.given += s.rate
		if r == nil || now-r.heard > silentAfter {
			b.silent += s.rate
		}
	}
}

// set changes a share and keeps up the sums.
func (b *bucket) set(s *share, rate, demand float64) {
	b.given += rate - s.rate
	b.demand += demand - s.demand
	s.rate, s.demand = rate, demand
}

// tokens grants tokens out of a tenant's bucket.
func (a *Allocator) tokens(now time.Duration, b *bucket, request TokenRequest, limit Limit) TokenGrant {
	reserved := b.silent
	if !a.fresh && now-a.began < shareLease && (a.missing > 0 || now-a.began < time.Second) {
		reserved += max(limit.Rate-b.given, 0) // shares that were granted before its time
	}
	rate := max(limit.Rate-reserved, 0)
	refill := rate*(now-b.at).Seconds() + min(max(request.Unused, 0), limit.Burst)
	b.level, b.at = min(b.level+refill, max(limit.Burst, 1)), now
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
		grant.Back = shareLease
		if rate > 0 {
			grant.Back = min(time.Duration((1-min(b.level, 1)+lacking)/rate*float64(time.Second)), shareLease)
		}
	}
	return grant
}

// allot is the standing share that a sidecar may have: by demand, and no more than the others leave.
func (a *Allocator) allot(now time.Duration, b *bucket, mine *share, limit Limit) float64 {
	if !a.fresh && now-a.began < shareLease && a.missing > 0 {
		return min(mine.rate, limit.Rate) // what the missing ones hold is not known yet
	}
	even := limit.Rate / float64(max(len(a.sidecars)+a.missing, 1))
	want := even
	if b.demand > 0 {
		want = evenShare*even + (1-evenShare)*limit.Rate*mine.demand/b.demand
	}
	return max(min(want, limit.Rate-(b.given-mine.rate)), 0)
}
