package route

import (
	"math"
	"time"
)

// latencyHistogram keeps how long answers took, in steps of a twentieth, the older ones counting less and less.
type latencyHistogram struct {
	counts [histogramSteps]float64
	total  float64
}

const (
	histogramSteps = 320
	minLatency     = 100 * time.Microsecond // of the first step
	stepGrowth     = 1.05                   // 100 us times this to the 320th is 10 minutes
	maxSamples     = 2000                   // answers; then all are halved
	minSamples     = 50                     // answers, before anything is said of them
	maxHedgeTokens = 10.0                   // second copies that may be saved up
)

func stepOf(d time.Duration) int {
	if d <= minLatency {
		return 0
	}
	return min(histogramSteps-1, int(math.Log(float64(d)/float64(minLatency))/math.Log(stepGrowth)))
}

func (s *latencyHistogram) add(d time.Duration) {
	s.counts[stepOf(d)]++
	if s.total++; s.total >= maxSamples {
		for i := range s.counts {
			s.counts[i] /= 2
		}
		s.total /= 2
	}
}

// quantile is a time that the share q of answers stay under, off by a twentieth; false where too few are known.
func (s *latencyHistogram) quantile(q float64) (time.Duration, bool) {
	if s.total < minSamples {
		return 0, false
	}
	sum := 0.0
	for i, n := range s.counts {
		if sum += n; sum >= q*s.total {
			return time.Duration(float64(minLatency) * math.Pow(stepGrowth, float64(i+1))), true
		}
	}
	return 0, false
}

// RecordLatency notes how long an answer took, or, of an attempt that was given up for another's answer, how long it had taken
// by then: left out, the slow ones would be missing.
func (r *Route) RecordLatency(d time.Duration) {
	if r.Settings.HedgeQuantile > 0 {
		r.State.latencies.add(d)
	}
}

// HedgeDelay is how long an attempt is out before a second copy is made of its request; false for none.
func (r *Route) HedgeDelay() (time.Duration, bool) {
	if r.Settings.HedgeQuantile <= 0 {
		return 0, false
	}
	return r.State.latencies.quantile(r.Settings.HedgeQuantile)
}

// TakeHedge takes a second copy out of what the share allows, and tells whether it did.
func (r *Route) TakeHedge() bool {
	if r.State.hedgeTokens < 1 {
		return false
	}
	r.State.hedgeTokens--
	r.State.Hedges++
	return true
}

// specificity earns the share of a second copy that a request brings.
func (r *Route) earnHedge() {
	if r.Settings.HedgeQuantile > 0 {
		r.State.hedgeTokens = min(r.State.hedgeTokens+r.Settings.HedgeShare, maxHedgeTokens)
	}
}
