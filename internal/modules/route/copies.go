package route

import (
	"math"
	"time"
)

// spread keeps how long answers took, in steps of a twentieth, the older ones counting less and less.
type spread struct {
	counts [steps]float64
	total  float64
}

const (
	steps     = 320
	least     = 100 * time.Microsecond // of the first step
	growth    = 1.05                   // 100 us times this to the 320th is 10 minutes
	remember  = 2000                   // answers; then all are halved
	enough    = 50                     // answers, before anything is said of them
	burstMost = 10.0                   // second copies that may be saved up
)

func stepOf(d time.Duration) int {
	if d <= least {
		return 0
	}
	return min(steps-1, int(math.Log(float64(d)/float64(least))/math.Log(growth)))
}

func (s *spread) add(d time.Duration) {
	s.counts[stepOf(d)]++
	if s.total++; s.total >= remember {
		for i := range s.counts {
			s.counts[i] /= 2
		}
		s.total /= 2
	}
}

// quantile is a time that the share q of answers stay under, off by a twentieth; false where too few are known.
func (s *spread) quantile(q float64) (time.Duration, bool) {
	if s.total < enough {
		return 0, false
	}
	sum := 0.0
	for i, n := range s.counts {
		if sum += n; sum >= q*s.total {
			return time.Duration(float64(least) * math.Pow(growth, float64(i+1))), true
		}
	}
	return 0, false
}

// Took notes how long an answer took, or, of an attempt that was given up for another's answer, how long it had taken
// by then: left out, the slow ones would be missing.
func (r *Route) Took(d time.Duration) {
	if r.Settings.CopyAfter > 0 {
		r.State.took.add(d)
	}
}

// CopyAfter is how long an attempt is out before a second copy is made of its request; false for none.
func (r *Route) CopyAfter() (time.Duration, bool) {
	if r.Settings.CopyAfter <= 0 {
		return 0, false
	}
	return r.State.took.quantile(r.Settings.CopyAfter)
}

// Copy takes a second copy out of what the share allows, and tells whether it did.
func (r *Route) Copy() bool {
	if r.State.copies < 1 {
		return false
	}
	r.State.copies--
	r.State.Copies++
	return true
}

// asked earns the share of a second copy that a request brings.
func (r *Route) asked() {
	if r.Settings.CopyAfter > 0 {
		r.State.copies = min(r.State.copies+r.Settings.CopyShare, burstMost)
	}
}
