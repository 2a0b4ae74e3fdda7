package balancer

import "time"

// This file meters the tenants' requests against their quotas.

const (
	minBurst           = 8.0 // capacity beyond the seconds of the rate: at a low rate this many requests arrive at once by chance
	initialTokens      = 2.0 // tokens of a new bucket
	tenantBurstSeconds = 4.0 // seconds of its rate that a tenant's bucket may hold
	totalBurstSeconds  = 1.0 // seconds of its rate that the bucket of all tenants may hold
)

// tokenBucket meters requests: tokens are earned at a rate (per second) up to a capacity, and each request takes one.
type tokenBucket struct {
	rate      float64 // tokens per second
	tokens    float64 // at updatedAt; negative in debt
	capacity  float64
	updatedAt time.Duration
}

// newTokenBucket returns a bucket that holds some seconds of its rate, and minBurst more. It starts almost empty: an instance
// that starts under overload must not accept a burst before it has measured what the endpoints can do.
func newTokenBucket(now time.Duration, rate, burstSeconds float64) tokenBucket {
	return tokenBucket{rate: rate, tokens: initialTokens, capacity: minBurst + rate*burstSeconds, updatedAt: now}
}

// setRate changes the rate from now on. Tokens beyond the new capacity are lost; a larger capacity is not filled at once.
func (t *tokenBucket) setRate(now time.Duration, rate, burstSeconds float64) {
	t.forceTake(now, 0)
	t.rate = rate
	t.capacity = minBurst + rate*burstSeconds
	t.tokens = min(t.tokens, t.capacity)
}

// take takes n tokens and reports true, if there are as many.
func (t *tokenBucket) take(now time.Duration, n float64) bool {
	t.forceTake(now, 0)
	if t.tokens < n {
		return false
	}
	t.tokens -= n
	return true
}

// forceTake takes n tokens, and lets the bucket go into debt by up to its capacity.
func (t *tokenBucket) forceTake(now time.Duration, n float64) {
	earned := t.rate * (now - t.updatedAt).Seconds()
	t.tokens = max(min(t.capacity, t.tokens+earned)-n, -t.capacity)
	t.updatedAt = now
}

// quotas holds this instance's shares of the tenants' quotas. The zero value has none, and admits all requests.
type quotas struct {
	tenants []tokenBucket
	total   tokenBucket // for the requests of all tenants together
	started bool
}

// start creates the buckets, with the quotas divided by the given number of instances.
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

// divide changes the number of instances by which the quotas are divided from the former one.
func (q *quotas) divide(now time.Duration, tenants []Tenant, former, divisor float64) {
	if len(q.tenants) == 0 {
		return
	}
	for i := range q.tenants {
		q.tenants[i].setRate(now, tenants[i].QuotaPerSecond/divisor, tenantBurstSeconds)
	}
	q.total.setRate(now, q.total.rate*former/divisor, totalBurstSeconds)
}

// take meters a tenant's request against its own quota at this instance, and against all quotas together. It reports whether the
// request exceeds its tenant's quota, and whether all quotas together still have tokens for it: a request that exceeds both is
// more than the fleet can serve, and has little value. A client's retry always counts as over its quota: most retries are of
// requests that were rejected for it, and would use up the quota of new requests.
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
