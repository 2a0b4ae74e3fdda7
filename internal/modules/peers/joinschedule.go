package peers

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxAddressesPerAttempt is small because each address that does not respond costs a timeout.
	maxAddressesPerAttempt = 3
	// maxJitter is the longest backoff, as a factor of its mean.
	maxJitter = 1.5
	// maxBackoffDoublings keeps the shift from overflowing; MaxBackoff is reached long before.
	maxBackoffDoublings = 16
	// jitterStream selects this random stream among those of the same seed.
	jitterStream = 0x7265
)

// JoinSchedule decides which addresses are tried, and when, to find other members: at the start, after a partition, and when all
// addresses have changed. The addresses are tried in turn. They have three origins: those that a file configures, those that a search
// has discovered, and those learned from members, of which the latest are kept.
type JoinSchedule struct {
	MinBackoff time.Duration // between two attempts while members are missing; doubles with each failure, up to MaxBackoff
	MaxBackoff time.Duration // also between two attempts while none is missing: two groups that never met do not know of each other
	MaxLearned int           // how many learned addresses are kept

	configured []string
	discovered []string // by the last search
	learned    []string // the latest last
	next       int      // index of the address that is tried next
	nextAt     time.Duration
	failures   int // attempts since the last one that found a member
	rng        *rand.Rand
}

// NewJoinSchedule returns a schedule for the addresses of a file, and those that an earlier process has learned. The first attempt is
// due at once.
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

// Learn adds the address of a member that was reached.
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

// SetDiscovered replaces the addresses of the last search, such as one in a catalogue. At most MaxLearned are kept.
func (s *JoinSchedule) SetDiscovered(addresses []string) {
	s.discovered = slices.Clone(addresses[:min(len(addresses), s.MaxLearned)])
}

// Learned returns the learned addresses, the latest last, to be saved for a later process.
func (s *JoinSchedule) Learned() []string { return slices.Clone(s.learned) }

// Due reports whether an attempt is due, and schedules the next one. missing is set while members are missing, because the view is
// partitioned or has met no other member. The backoff has jitter, so that the members of a fleet that is restarted do not connect to
// one seed member at the same time.
func (s *JoinSchedule) Due(now time.Duration, missing bool) bool {
	if now < s.nextAt {
		longest := maxJitter * float64(s.backoff())
		if missing && float64(s.nextAt-now) > longest {
			s.nextAt = now + s.jitter(s.backoff()) // members are missing since the last attempt: the backoff is shortened
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

// NextAddresses returns the addresses of one attempt, in their turn. Reachable ones are left out: their members are known.
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

// ResetBackoff resets the backoff after an attempt that has found a member.
func (s *JoinSchedule) ResetBackoff() { s.failures = 0 }

// backoff returns the mean backoff after the failures so far.
func (s *JoinSchedule) backoff() time.Duration {
	return min(s.MinBackoff<<min(s.failures, maxBackoffDoublings), s.MaxBackoff)
}

// jitter draws a duration between half and one and a half of its mean.
func (s *JoinSchedule) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (maxJitter - s.rng.Float64()))
}
