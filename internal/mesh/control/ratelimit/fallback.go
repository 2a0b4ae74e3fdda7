package ratelimit

import (
	"math"
	"time"
)

const (
	// maxFallbackTokens is how many tokens of a small fallback share a sidecar may accumulate.
	maxFallbackTokens = 2.0

	// fallbackOverageFraction is the least part of Limit.Overage that the fallback buckets of all sidecars may admit at once.
	fallbackOverageFraction = 0.25

	// fallbackDeviations is the number of standard deviations by which the number of tokens that sidecars happen to have at the same time
	// must not exceed the limit.
	fallbackDeviations = 3

	// initialShareFraction is the greatest part of a tenant's rate that a sidecar without a fallback share uses.
	initialShareFraction = 0.08

	// maxFallbackRetryAfter is the longest retry-after of a client that is rejected while the sidecar reaches no allocator.
	maxFallbackRetryAfter = 250 * time.Millisecond
)

// fallback is a sidecar's fallback share of one tenant's rate, and the token bucket that is refilled at the rate of the share.
//
// No sidecar can use a part of a token. If each of many sidecars had room for one token, all of them together could admit as many requests
// at once as there are sidecars, however small the limit is. A bucket with a capacity of less than one token therefore does not keep a
// token until it is used: when level reaches one, the token may be used while the share accrues the capacity, and is then lost. The levels
// of different sidecars start at random, so that at any time a fraction of the sidecars, as large as the capacity, has a token. All of them
// together thus admit as many requests at once as the sum of their capacities, as with larger buckets.
type fallback struct {
	share          float64       // requests per second
	shareExpiresAt time.Duration // end of the share's lease
	position       float64       // random number from 0 up to 1; the initial level is higher by the capacity
	filledFor      float64       // greatest number of sidecars for which level was set; 0 before the bucket is first used
	level          float64       // number of tokens in the bucket; below one plus the capacity
	refilledAt     time.Duration
}

// admit takes a token of the fallback share, and reports whether there was one; otherwise the client may retry after retryAfter.
// A sidecar whose share has expired, or that never had one because it has not reached an allocator, uses an even part of the
// rate instead. If no sidecar reaches an allocator, as after a restart of all processes or during a long outage of the control
// plane, these parts add up to no more than the limit once the sidecars know each other. If only a few sidecars reach none, not
// even through others, the sum may exceed the limit by their parts.
//
// Since the levels are random, all sidecars together stay within the limit with a high probability, and not with certainty.
func (f *fallback) admit(now time.Duration, limit Limit, sidecars float64) (ok bool, retryAfter time.Duration) {
	if now >= f.shareExpiresAt { // this process may have just started, and know few of the sidecars that share the limit
		sidecars = max(sidecars, 1/initialShareFraction)
		f.share = limit.Rate / sidecars
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

// refill adds the tokens that accrued since the last refill. Tokens that the sidecar would not have had from the start, had it known the
// present number of sidecars, are lost.
func (f *fallback) refill(now time.Duration, limit Limit, sidecars float64) {
	capacity := f.capacity(limit, sidecars)
	initial := f.position + capacity
	switch {
	case f.filledFor == 0:
		f.level = min(initial, max(capacity, 1))
	case sidecars > f.filledFor:
		f.level = min(f.level, initial)
	default:
		f.level += f.share * (now - f.refilledAt).Seconds()
	}
	f.filledFor = max(f.filledFor, sidecars)
	f.refilledAt = now
	switch {
	case capacity >= 1:
		f.level = min(f.level, capacity)
	case f.level >= 1+capacity: // tokens that were not used in time are lost
		f.level = capacity + math.Mod(f.level-capacity, 1)
	}
}

// capacity returns the number of tokens that the bucket has room for: those that accrue in prefetchSpan, or the sidecar's even part of
// fallbackAllowance if that is more, at most maxFallbackTokens.
func (f *fallback) capacity(limit Limit, sidecars float64) float64 {
	return max(f.share*prefetchSpan.Seconds(), min(fallbackAllowance(limit, sidecars)/sidecars, maxFallbackTokens))
}

// fallbackAllowance returns how many tokens the buckets of all sidecars may have together: the overage without what a new allocator starts
// with, and without the fluctuation of the number of sidecars that have a token. The numbers of tokens of two sidecars with the same share
// differ by one at most, so that the variance of each is a quarter at most.
func fallbackAllowance(limit Limit, sidecars float64) float64 {
	deviation := math.Sqrt(sidecars) / 2
	left := limit.Overage - initialLevel(limit) - fallbackDeviations*deviation
	return max(left, fallbackOverageFraction*limit.Overage)
}

// remaining returns the remaining time of the share's lease, 0 if it has expired.
func (f *fallback) remaining(now time.Duration) time.Duration { return max(f.shareExpiresAt-now, 0) }
