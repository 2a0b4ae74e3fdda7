package peers

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Rejoin says which addresses are tried, and when, to find the others again: at the start, after a partition, when all
// have moved. Addresses of a file stay; those learnt from members are bounded, and the latest ones stay.
type Rejoin struct {
	Pace    time.Duration // between two tries while something is missing; doubles with each in vain, up to Longest
	Longest time.Duration // also between two tries while nothing is: two groups that never met know of no lack
	Most    int           // addresses learnt

	fixed  []string
	found  []string // by a search, the last time
	learnt []string // the latest last
	next   int
	due    time.Duration
	vain   int
	rng    *rand.Rand
}

// NewRejoin begins with the addresses of a file, and those of an earlier life. The first try is due at once.
func NewRejoin(pace, longest time.Duration, most int, fixed, learnt []string, seed uint64) *Rejoin {
	r := &Rejoin{Pace: pace, Longest: longest, Most: most, fixed: slices.Clone(fixed), rng: rand.New(rand.NewPCG(seed, 0x7265)), due: 0}
	for _, a := range learnt {
		r.Learn(a)
	}
	return r
}

// Learn takes the address of a member that was reached.
func (r *Rejoin) Learn(address string) {
	if slices.Contains(r.fixed, address) {
		return
	}
	if i := slices.Index(r.learnt, address); i >= 0 {
		r.learnt = slices.Delete(r.learnt, i, i+1)
	}
	r.learnt = append(r.learnt, address)
	if n := len(r.learnt) - r.Most; n > 0 {
		r.learnt = slices.Delete(r.learnt, 0, n)
	}
}

// Found takes what a search gave, such as one in a catalogue, in place of what the one before gave.
func (r *Rejoin) Found(addresses []string) {
	r.found = slices.Clone(addresses[:min(len(addresses), r.Most)])
}

// Learnt are the addresses to be kept for a later life.
func (r *Rejoin) Learnt() []string { return slices.Clone(r.learnt) }

// triesAtOnce are the addresses of one try: few, for each that is silent costs a time-out.
const triesAtOnce = 3

// Due tells whether some addresses are to be tried now, and others looked for. missing tells that somebody is: the view is a part,
// or nobody was met. The pause has jitter, so that a fleet that is restarted does not knock at one seed member in step.
func (r *Rejoin) Due(now time.Duration, missing bool) bool {
	if now < r.due {
		if missing && float64(r.due-now) > jitterMost*float64(r.pause()) {
			r.due = now + r.jitter(r.pause()) // something is missing since: the long pause is over
		}
		return false
	}
	if !missing {
		r.vain = 0
		r.due = now + r.jitter(r.Longest)
		return true
	}
	r.due = now + r.jitter(r.pause())
	r.vain++
	return true
}

// Try gives the addresses to try: few at once, each in its turn, those in reach left out, for they tell of nobody new.
func (r *Rejoin) Try(inReach func(address string) bool) (try []string) {
	all := slices.Concat(r.fixed, r.found, r.learnt)
	for range all {
		a := all[r.next%len(all)]
		r.next = (r.next + 1) % len(all)
		if inReach(a) {
			continue
		}
		if try = append(try, a); len(try) == triesAtOnce {
			break
		}
	}
	return try
}

// Met tells that a try has found somebody: the next ones come soon again while something is still missing.
func (r *Rejoin) Met() { r.vain = 0 }

func (r *Rejoin) pause() time.Duration {
	return min(r.Pace<<min(r.vain, 16), r.Longest)
}

// jitterMost is the most that a pause comes to, of its mean.
const jitterMost = 1.5

func (r *Rejoin) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (jitterMost - r.rng.Float64()))
}
