package peers

import (
	"math/rand/v2"
	"slices"
	"time"
)

// JoinSchedule says which addresses are tried, and when, to find the others again: at the start, after a partition, when all
// have moved. Addresses of a file stay; those learnt from members are bounded, and the latest ones stay.
type JoinSchedule struct {
	MinBackoff time.Duration // between two tries while something is missing; doubles with each in vain, up to Longest
	MaxBackoff time.Duration // also between two tries while nothing is: two groups that never met know of no lack
	MaxLearned int           // addresses learnt

	configured []string
	discovered []string // by a search, the last time
	learned    []string // the latest last
	next       int
	nextAt     time.Duration
	failures   int
	rng        *rand.Rand
}

// NewJoinSchedule begins with the addresses of a file, and those of an earlier life. The first try is due at once.
func NewJoinSchedule(pace, longest time.Duration, most int, fixed, learnt []string, seed uint64) *JoinSchedule {
	r := &JoinSchedule{MinBackoff: pace, MaxBackoff: longest, MaxLearned: most, configured: slices.Clone(fixed), rng: rand.New(rand.NewPCG(seed, 0x7265)), nextAt: 0}
	for _, a := range learnt {
		r.Learn(a)
	}
	return r
}

// Learn takes the address of a member that was reached.
func (r *JoinSchedule) Learn(address string) {
	if slices.Contains(r.configured, address) {
		return
	}
	if i := slices.Index(r.learned, address); i >= 0 {
		r.learned = slices.Delete(r.learned, i, i+1)
	}
	r.learned = append(r.learned, address)
	if n := len(r.learned) - r.MaxLearned; n > 0 {
		r.learned = slices.Delete(r.learned, 0, n)
	}
}

// SetDiscovered takes what a search gave, such as one in a catalogue, in place of what the one before gave.
func (r *JoinSchedule) SetDiscovered(addresses []string) {
	r.discovered = slices.Clone(addresses[:min(len(addresses), r.MaxLearned)])
}

// Learned are the addresses to be kept for a later life.
func (r *JoinSchedule) Learned() []string { return slices.Clone(r.learned) }

// maxAddressesPerAttempt are the addresses of one try: few, for each that is silent costs a time-out.
const maxAddressesPerAttempt = 3

// Due tells whether some addresses are to be tried now, and others looked for. missing tells that somebody is: the view is a part,
// or nobody was met. The pause has jitter, so that a fleet that is restarted does not knock at one seed member in step.
func (r *JoinSchedule) Due(now time.Duration, missing bool) bool {
	if now < r.nextAt {
		if missing && float64(r.nextAt-now) > maxJitter*float64(r.backoff()) {
			r.nextAt = now + r.jitter(r.backoff()) // something is missing since: the long pause is over
		}
		return false
	}
	if !missing {
		r.failures = 0
		r.nextAt = now + r.jitter(r.MaxBackoff)
		return true
	}
	r.nextAt = now + r.jitter(r.backoff())
	r.failures++
	return true
}

// NextAddresses gives the addresses to try: few at once, each in its turn, those in reach left out, for they tell of nobody new.
func (r *JoinSchedule) NextAddresses(inReach func(address string) bool) (try []string) {
	all := slices.Concat(r.configured, r.discovered, r.learned)
	for range all {
		a := all[r.next%len(all)]
		r.next = (r.next + 1) % len(all)
		if inReach(a) {
			continue
		}
		if try = append(try, a); len(try) == maxAddressesPerAttempt {
			break
		}
	}
	return try
}

// ResetBackoff tells that a try has found somebody: the next ones come soon again while something is still missing.
func (r *JoinSchedule) ResetBackoff() { r.failures = 0 }

func (r *JoinSchedule) backoff() time.Duration {
	return min(r.MinBackoff<<min(r.failures, 16), r.MaxBackoff)
}

// maxJitter is the most that a pause comes to, of its mean.
const maxJitter = 1.5

func (r *JoinSchedule) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (maxJitter - r.rng.Float64()))
}
