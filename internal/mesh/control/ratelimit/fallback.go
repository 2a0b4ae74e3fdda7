package ratelimit

import "time"

const (
	// maxFallbackTokens is how many requests a sidecar with a small share may save up while it reaches no allocator.
	maxFallbackTokens = 2.0

	// initialShareFraction is the part of a tenant's rate that a sidecar without a share uses, at most.
	initialShareFraction = 0.08

	// maxFallbackRetryAfter is the longest retry-after of a client that is rejected while no allocator is reached.
	maxFallbackRetryAfter = 250 * time.Millisecond
)

// fallback is a sidecar's fallback share of one tenant's rate, and the token bucket that it fills. The bucket has room for
// one request at least.
type fallback struct {
	share      float64       // in requests a second
	shareUntil time.Duration // end of the share's lease
	level      float64       // requests that may be admitted now
	refilledAt time.Duration
}

// admit admits or rejects a request by the share. A sidecar without a share, because it never reached an allocator or not within
// the lease of its share, uses a small even share. If no sidecar reaches an allocator, as after a restart of all processes or
// during a long outage of the core, these shares add up to no more than the limit. If only a few sidecars reach none, not even
// through others, the sum may exceed it by these small shares.
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

// refill adds the requests of the time since the last refill. A sidecar saves up its part of what the limit allows beyond its
// rate, at most maxFallbackTokens, or what it needs for prefetchSpan, and in any case one request.
func (f *fallback) refill(now time.Duration, limit Limit, sidecars int) {
	allowance := (limit.Overage + limit.Burst) / float64(sidecars)
	capacity := max(f.share*prefetchSpan.Seconds(), min(allowance, maxFallbackTokens), 1)
	f.level = min(f.level+f.share*(now-f.refilledAt).Seconds(), capacity)
	f.refilledAt = now
}

// remaining returns how long the share's lease still lasts.
func (f *fallback) remaining(now time.Duration) time.Duration { return max(f.shareUntil-now, 0) }
