package balancer

import "time"

// This file meters tenants' requests against their quotas.

const (
	minBurst           = 8.0 // requests that a full bucket holds beside the seconds of its rate: low rates bring as many at once by chance
	initialTokens      = 2.0 // requests that a new bucket holds
	tenantBurstSeconds = 4.0 // seconds of its rate that a tenant may save up
	totalBurstSeconds  = 1.0 // seconds of their rate that all tenants together may save up
)

// tokenBucket meters requests: tokens are earned at a rate, up to a capacity, and each request takes one.
type tokenBucket struct {
	rate, tokens, capacity float64
	updatedAt              time.Duration
}

// newTokenBucket makes a bucket that holds some seconds of its rate, and minBurst more. It starts with next to nothing: a tier
// that starts on more than it can do must not fill up before that is known.
func newTokenBucket(now time.Duration, rate, burstSeconds float64) tokenBucket {
	return tokenBucket{rate: rate, tokens: initialTokens, capacity: minBurst + rate*burstSeconds, updatedAt: now}
}

// setRate changes the rate from now on. What was saved up stays as far as the new rate would have let it: a bucket that grows
// begins without a burst.
func (t *tokenBucket) setRate(now time.Duration, rate, burstSeconds float64) {
	t.forceTake(now, 0)
	t.rate, t.capacity = rate, minBurst+rate*burstSeconds
	t.tokens = min(t.tokens, t.capacity)
}

// take takes n tokens, if they are there.
func (t *tokenBucket) take(now time.Duration, n float64) bool {
	t.forceTake(now, 0)
	if t.tokens < n {
		return false
	}
	t.tokens -= n
	return true
}

// forceTake takes n tokens, on credit where they are not there: up to its capacity.
func (t *tokenBucket) forceTake(now time.Duration, n float64) {
	earned := t.rate * (now - t.updatedAt).Seconds()
	t.tokens = max(min(t.capacity, t.tokens+earned)-n, -t.capacity)
	t.updatedAt = now
}

// quotas are this instance's parts of the tenants' quotas. The zero value has none, and admits everything.
type quotas struct {
	tenants []tokenBucket
	total   tokenBucket // what all tenants may ask for together
	started bool
}

// start begins to meter.
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

// divide sets by how many instances the quotas are divided from now on, in place of a former number.
func (q *quotas) divide(now time.Duration, tenants []Tenant, former, divisor float64) {
	if len(q.tenants) == 0 {
		return
	}
	for i := range q.tenants {
		q.tenants[i].setRate(now, tenants[i].QuotaPerSecond/divisor, tenantBurstSeconds)
	}
	q.total.setRate(now, q.total.rate*former/divisor, totalBurstSeconds)
}

// take meters a tenant's request against its quota at this instance, and all of them against all quotas together: what goes
// beyond both is more than the fleet can do, and has little value. It reports whether the request is beyond its tenant's quota,
// and whether all quotas together have room for it. A client's retry counts as beyond its quota: most are of requests that were
// rejected for that, and would use up the quota of new ones.
func (q *quotas) take(now time.Duration, incoming *Request) (overQuota, spare bool) {
	if incoming.Tenant >= len(q.tenants) {
		return false, true
	}
	if incoming.Retry || !q.tenants[incoming.Tenant].take(now, 1) {
		return true, q.total.take(now, 1)
	}
	q.total.forceTake(now, 1)
	return false, true
}
