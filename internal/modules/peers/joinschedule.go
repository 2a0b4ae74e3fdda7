package peers

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxAddressesPerAttempt is the maximum number of addresses of one attempt. It is small because each address that does not respond
	// costs a timeout.
	maxAddressesPerAttempt = 3
	// maxJitter is the ratio of the longest backoff to the mean backoff.
	maxJitter = 1.5
	// maxBackoffDoublings prevents an overflow of the shift. The backoff reaches MaxBackoff long before.
	maxBackoffDoublings = 16
	// jitterStream is the second seed of the random generator, which makes its values independent of other generators with the same seed.
	jitterStream = 0x7265
)

// JoinSchedule decides when this process tries to find other members, and at which addresses: at the start, after a partition, and when
// all addresses have changed. It goes through the addresses in turn. They have three origins: addresses that the settings file configures,
// addresses that a search has discovered, and addresses of members that were reached, of which the latest are retained.
type JoinSchedule struct {
	MinBackoff time.Duration // mean time between two attempts while members are missing; doubles with each failure, up to MaxBackoff
	// MaxBackoff is also the mean time between two attempts while no member is missing: two groups that have never met do not know that
	// the other exists.
	MaxBackoff time.Duration
	MaxLearned int // maximum number of learned addresses, and of discovered ones

	configured []string      // addresses of the settings file
	discovered []string      // addresses that the last search has discovered
	learned    []string      // addresses of members that were reached, the latest last
	next       int           // index of the address that is tried next, in the concatenation of these lists
	nextAt     time.Duration // time from which the next attempt is due
	failures   int           // number of attempts since the last one that found a member
	rng        *rand.Rand
}

// NewJoinSchedule returns a schedule for the addresses of a settings file, and for those that an earlier process of this sidecar has
// learned. The first attempt is due immediately.
func NewJoinSchedule(minBackoff, maxBackoff time.Duration, maxLearned int, configured, learned []string, seed uint64) *JoinSchedule {
	s := &JoinSchedule{
		MinBackoff: minBackoff,
		MaxBackoff: maxBackoff,
		MaxLearned: maxLearned,
		configured: slices.Clone(configured),
		rng:        rand.New(rand.NewPCG(seed, jitterStream)),
	}
	for _, address := range learned {
		s.Learn(address)
	}
	return s
}

// Learn adds the address of a member that was reached, or makes it the latest one. If there are more than MaxLearned, the oldest is
// discarded.
func (s *JoinSchedule) Learn(address string) {
	if slices.Contains(s.configured, address) {
		return
	}
	if i := slices.Index(s.learned, address); i >= 0 {
		s.learned = slices.Delete(s.learned, i, i+1)
	}
	s.learned = append(s.learned, address)
	if excess := len(s.learned) - s.MaxLearned; excess > 0 {
		s.learned = slices.Delete(s.learned, 0, excess)
	}
}

// SetDiscovered replaces the discovered addresses with those of a new search, for example in a service catalogue. Only the first
// MaxLearned addresses are used.
func (s *JoinSchedule) SetDiscovered(addresses []string) {
	s.discovered = slices.Clone(addresses[:min(len(addresses), s.MaxLearned)])
}

// Learned returns the learned addresses, the latest last, so that they can be saved for a later process.
func (s *JoinSchedule) Learned() []string { return slices.Clone(s.learned) }

// Due reports whether an attempt is due, and if so schedules the next one. missing says whether members are missing, because the view is
// partitioned or has met no other member. The backoff has jitter, so that the members of a fleet that is restarted do not all connect to
// the same member at the same time.
func (s *JoinSchedule) Due(now time.Duration, missing bool) bool {
	if now < s.nextAt {
		longest := maxJitter * float64(s.backoff())
		if missing && float64(s.nextAt-now) > longest {
			s.nextAt = now + s.jitter(s.backoff()) // members went missing after the wait was set to MaxBackoff: it is shortened
		}
		return false
	}
	if !missing {
		s.failures = 0
		s.nextAt = now + s.jitter(s.MaxBackoff)
		return true
	}
	s.nextAt = now + s.jitter(s.backoff())
	s.failures++
	return true
}

// NextAddresses returns the next addresses in turn, at most as many as one attempt may have. It omits reachable addresses, because the
// members there are already known.
func (s *JoinSchedule) NextAddresses(reachable func(address string) bool) (addresses []string) {
	all := slices.Concat(s.configured, s.discovered, s.learned)
	for range all {
		address := all[s.next%len(all)]
		s.next = (s.next + 1) % len(all)
		if reachable(address) {
			continue
		}
		addresses = append(addresses, address)
		if len(addresses) == maxAddressesPerAttempt {
			break
		}
	}
	return addresses
}

// ResetBackoff resets the backoff to MinBackoff. It is called after an attempt that has found a member.
func (s *JoinSchedule) ResetBackoff() { s.failures = 0 }

// backoff returns the mean backoff for the present number of failures.
func (s *JoinSchedule) backoff() time.Duration {
	return min(s.MinBackoff<<min(s.failures, maxBackoffDoublings), s.MaxBackoff)
}

// jitter draws a duration between half and one and a half of the mean.
func (s *JoinSchedule) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (maxJitter - s.rng.Float64()))
}
