package ratelimit

import "time"

const (
	// maxFallbackTokens is how many requests a sidecar without an allocator may save up, where its share is small.
	maxFallbackTokens = 2.0

	// initialShareFraction is how much of a tenant's rate, at most, a sidecar without a share takes.
	initialShareFraction = 0.08

	// maxFallbackRetryAfter bounds the retry-after of a client that was rejected without an allocator.
	maxFallbackRetryAfter = 250 * time.Millisecond
)

// fallback is a sidecar's fallback share of one tenant's rate, and the token bucket that it fills. The bucket has room for
// one request at least.
type fallback struct {
	share      float64       // in requests a second
	shareUntil time.Duration // the share's lease ends
	level      float64       // requests that may be admitted now
	refilledAt time.Duration
}

// admit admits a request by the share. A sidecar that has none, as it never reached an allocator or not within the lease
// of its share, takes a small even share. With no allocator at all, as after a restart of all processes or with the core
// away for long, these add up to no more than the limit; where a few sidecars alone reach none, even through others, the
// sum stays within what the rules leave.
func (f *fallback) admit(now time.Duration, limit Limit, sidecars int) (ok bool, retryAfter time.Duration) {
	sidecars = max(sidecars, 1)
	if now >= f.shareUntil {
		f.share = limit.Rate * min(initialShareFraction, 1/float64(sidecars))
	}
	f.refill(now, limit, sidecars)
	if f.level >= 1 {
		f.level--
		return true, 0
	}
	if f.share <= 0 {
		return false, maxRetryAfter
	}
	seconds := (1 - f.level) / f.share
	return false, min(time.Duration(seconds*float64(time.Second)), maxFallbackRetryAfter) // an allocator may be back by then
}

// refill saves up requests by the share. What all sidecars may save up together is what the limit allows beyond its rate.
func (f *fallback) refill(now time.Duration, limit Limit, sidecars int) {
	allowance := (limit.Overage + limit.Burst) / float64(sidecars)
	capacity := max(f.share*prefetchSpan.Seconds(), min(allowance, maxFallbackTokens), 1)
	f.level = min(f.level+f.share*(now-f.refilledAt).Seconds(), capacity)
	f.refilledAt = now
}

// remaining is how long the share's lease still lasts.
func (f *fallback) remaining(now time.Duration) time.Duration { return max(f.shareUntil-now, 0) }
