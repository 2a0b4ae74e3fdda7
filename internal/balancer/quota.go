package balancer

import "time"

// This file meters the tenants' requests against their quotas.

const (
	minBurst           = 8.0 // least capacity of a bucket: even at a low rate, this many requests arrive at once by chance
	initialTokens      = 2.0 // number of tokens of a new bucket
	tenantBurstSeconds = 4.0 // capacity of a tenant's bucket above minBurst, in seconds of its rate
	totalBurstSeconds  = 1.0 // capacity of the bucket of all tenants above minBurst, in seconds of its rate
)

// tokenBucket meters requests: tokens are added at a rate up to a capacity, and each request takes one.
type tokenBucket struct {
	rate      float64 // tokens per second
	tokens    float64 // number of tokens at updatedAt; negative if forceTake has taken more than there were
	capacity  float64
	updatedAt time.Duration
}

// newTokenBucket returns a bucket with a capacity of burstSeconds of its rate plus minBurst. It starts almost empty: an instance
// that starts under overload must not accept a burst before it has measured what the endpoints can serve.
func newTokenBucket(now time.Duration, rate, burstSeconds float64) tokenBucket {
	return tokenBucket{rate: rate, tokens: initialTokens, capacity: minBurst + rate*burstSeconds, updatedAt: now}
}

// setRate changes the rate from now on. Tokens above the new capacity are discarded. A larger capacity is not filled at once.
func (t *tokenBucket) setRate(now time.Duration, rate, burstSeconds float64) {
	t.forceTake(now, 0)
	t.rate = rate
	t.capacity = minBurst + rate*burstSeconds
	t.tokens = min(t.tokens, t.capacity)
}

// take takes n tokens and returns true. If there are fewer than n, it takes none and returns false.
func (t *tokenBucket) take(now time.Duration, n float64) bool {
	t.forceTake(now, 0)
	if t.tokens < n {
		return false
	}
	t.tokens -= n
	return true
}

// forceTake takes n tokens even if there are fewer. The number of tokens then becomes negative, down to minus the capacity.
func (t *tokenBucket) forceTake(now time.Duration, n float64) {
	earned := t.rate * (now - t.updatedAt).Seconds()
	t.tokens = max(min(t.capacity, t.tokens+earned)-n, -t.capacity)
	t.updatedAt = now
}

// quotas holds this instance's shares of the tenants' quotas. The zero value has no quotas, and admits all requests.
type quotas struct {
	tenants []tokenBucket
	total   tokenBucket // bucket for the requests of all tenants together
	started bool
}

// start creates the buckets. The quotas are divided by divisor, the number of instances that share them.
func (q *quotas) start(now time.Duration, tenants []Tenant, divisor float64) {
	q.started = true
	total := 0.0
	for _, t := range tenants {
		rate := t.QuotaPerSecond / divisor
		q.tenants = append(q.tenants, newTokenBucket(now, rate, tenantBurstSeconds))
		total += rate
	}
	q.total = newTokenBucket(now, total, totalBurstSeconds)
}

// divide changes the number of instances by which the quotas are divided, from former to divisor.
func (q *quotas) divide(now time.Duration, tenants []Tenant, former, divisor float64) {
	if len(q.tenants) == 0 {
		return
	}
	for i := range q.tenants {
		q.tenants[i].setRate(now, tenants[i].QuotaPerSecond/divisor, tenantBurstSeconds)
	}
	q.total.setRate(now, q.total.rate*former/divisor, totalBurstSeconds)
}

// take meters a request against its tenant's quota at this instance, and against the sum of all quotas. It reports whether the
// request exceeds its tenant's quota (overQuota), and whether the sum of all quotas still has tokens for it (withinTotal). A request
// that exceeds both is more than the fleet can serve, and has little value. A client's retry always counts as over its quota: most
// retries are made because the quota was exceeded, and would use up the quota of new requests.
func (q *quotas) take(now time.Duration, incoming *Request) (overQuota, withinTotal bool) {
	if incoming.Tenant >= len(q.tenants) {
		return false, true
	}
	if incoming.Retry || !q.tenants[incoming.Tenant].take(now, 1) {
		return true, q.total.take(now, 1)
	}
	q.total.forceTake(now, 1)
	return false, true
}
