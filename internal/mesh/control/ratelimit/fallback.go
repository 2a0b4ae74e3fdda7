package ratelimit

import "time"

const (
	// maxFallbackTokens is how many tokens of a small fallback share a sidecar may accumulate.
	maxFallbackTokens = 2.0

	// initialShareFraction is the greatest part of a tenant's rate that a sidecar without a fallback share uses.
	initialShareFraction = 0.08

	// maxFallbackRetryAfter is the longest retry-after of a client that is rejected while the sidecar reaches no allocator.
	maxFallbackRetryAfter = 250 * time.Millisecond
)

// fallback is a sidecar's fallback share of one tenant's rate, and the token bucket that is refilled at the rate of the share.
// The bucket has room for at least one token.
type fallback struct {
	share          float64       // requests per second
	shareExpiresAt time.Duration // end of the share's lease
	level          float64       // number of tokens in the bucket
	refilledAt     time.Duration
}

// admit takes a token of the fallback share, and reports whether there was one; otherwise the client may retry after retryAfter.
// A sidecar whose share has expired, or that never had one because it has not reached an allocator, uses an even part of the
// rate instead, at most initialShareFraction. If no sidecar reaches an allocator, as after a restart of all processes or during a
// long outage of the control plane, these parts add up to no more than the limit. If only a few sidecars reach none, not even
// through others, the sum may exceed the limit by their parts.
func (f *fallback) admit(now time.Duration, limit Limit, sidecars int) (ok bool, retryAfter time.Duration) {
	sidecars = max(sidecars, 1)
	if now >= f.shareExpiresAt {
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
	return false, min(time.Duration(seconds*float64(time.Second)), maxFallbackRetryAfter) // the sidecar may reach an allocator again by then
}

// refill adds the tokens that accrued since the last refill. The bucket's capacity is the greatest of: the sidecar's even part of
// overage and burst, at most maxFallbackTokens; the tokens that accrue in prefetchSpan; and one token.
func (f *fallback) refill(now time.Duration, limit Limit, sidecars int) {
	allowance := (limit.Overage + limit.Burst) / float64(sidecars)
	capacity := max(f.share*prefetchSpan.Seconds(), min(allowance, maxFallbackTokens), 1)
	f.level = min(f.level+f.share*(now-f.refilledAt).Seconds(), capacity)
	f.refilledAt = now
}

// remaining returns the remaining time of the share's lease, 0 if it has expired.
func (f *fallback) remaining(now time.Duration) time.Duration { return max(f.shareExpiresAt-now, 0) }
