package peers

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxAddressesPerAttempt is small because each address that does not respond costs a timeout.
	maxAddressesPerAttempt = 3
	// maxJitter is the longest that a pause gets, as a factor of its mean.
	maxJitter = 1.5
	// maxBackoffDoublings keeps the shift from overflowing; MaxBackoff is reached long before.
	maxBackoffDoublings = 16
	// jitterStream tells this random stream from others of the same seed.
	jitterStream = 0x7265
)

// JoinSchedule says which addresses are tried, and when, to find the others: at the start, after a partition, and when all
// addresses have changed. It tries addresses of three origins in turn: those that a file configures, those that a search
// discovered, and those learned from members, of which the latest are kept.
type JoinSchedule struct {
	MinBackoff time.Duration // between two attempts while members are missing; doubles with each failure, up to MaxBackoff
	MaxBackoff time.Duration // also between two attempts while none is: two groups that never met don't know that they lack any
	MaxLearned int           // addresses

	configured []string
	discovered []string // by the last search
	learned    []string // the latest last
	next       int      // index of the address that is tried next
	nextAt     time.Duration
	failures   int // attempts since somebody was found
	rng        *rand.Rand
}

// NewJoinSchedule begins with the addresses of a file, and those learned in an earlier run. The first attempt is due at once.
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

// Learn takes the address of a member that was reached.
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

// SetDiscovered takes the result of a search, such as one in a catalogue, in place of the one before. At most MaxLearned are kept.
func (s *JoinSchedule) SetDiscovered(addresses []string) {
	s.discovered = slices.Clone(addresses[:min(len(addresses), s.MaxLearned)])
}

// Learned are the addresses to be kept for a later run, the latest last.
func (s *JoinSchedule) Learned() []string { return slices.Clone(s.learned) }

// Due tells whether some addresses are to be tried now, and others looked for. missing tells that members are: the view is
// partitioned, or has met nobody. The pauses have jitter, so that a fleet that is restarted does not connect to one seed member in
// step.
func (s *JoinSchedule) Due(now time.Duration, missing bool) bool {
	if now < s.nextAt {
		longest := maxJitter * float64(s.backoff())
		if missing && float64(s.nextAt-now) > longest {
			s.nextAt = now + s.jitter(s.backoff()) // members are missing since: the long pause ends
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

// NextAddresses gives the addresses of one attempt, each in its turn. Those that are reachable are left out: their members are
// known.
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

// ResetBackoff takes that an attempt has found somebody: the next ones come soon again while members are still missing.
func (s *JoinSchedule) ResetBackoff() { s.failures = 0 }

func (s *JoinSchedule) backoff() time.Duration {
	return min(s.MinBackoff<<min(s.failures, maxBackoffDoublings), s.MaxBackoff)
}

// jitter draws a pause between half and one and a half of its mean.
func (s *JoinSchedule) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (maxJitter - s.rng.Float64()))
}
