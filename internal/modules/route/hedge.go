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
	maxSamples     = 2000                   // then all counts are halved
	minSamples     = 50                     // before anything is said of them
	maxHedgeTokens = 10.0                   // hedged requests that may be saved up
)

func stepOf(d time.Duration) int {
	if d <= minLatency {
		return 0
	}
	return min(histogramSteps-1, int(math.Log(float64(d)/float64(minLatency))/math.Log(stepGrowth)))
}

func (l *latencyHistogram) add(d time.Duration) {
	l.counts[stepOf(d)]++
	l.total++
	if l.total < maxSamples {
		return
	}
	for i := range l.counts {
		l.counts[i] /= 2
	}
	l.total /= 2
}

// quantile is a time that the share q of answers stay under, off by a twentieth; false if too few are known.
func (l *latencyHistogram) quantile(q float64) (time.Duration, bool) {
	if l.total < minSamples {
		return 0, false
	}
	sum := 0.0
	for i, n := range l.counts {
		if sum += n; sum >= q*l.total {
			return time.Duration(float64(minLatency) * math.Pow(stepGrowth, float64(i+1))), true
		}
	}
	return 0, false
}

// RecordLatency notes how long an answer took, or, of an attempt that was given up for another's answer, how long it had taken by
// then: without these, the slow ones would be missing.
func (r *Route) RecordLatency(d time.Duration) {
	if r.Settings.HedgeQuantile > 0 {
		r.State.latencies.add(d)
	}
}

// HedgeDelay is how long an attempt is out before a hedged request is made; false for none.
func (r *Route) HedgeDelay() (time.Duration, bool) {
	if r.Settings.HedgeQuantile <= 0 {
		return 0, false
	}
	return r.State.latencies.quantile(r.Settings.HedgeQuantile)
}

// TakeHedge takes a hedged request out of what the share allows, and tells whether it did.
func (r *Route) TakeHedge() bool {
	if r.State.hedgeTokens < 1 {
		return false
	}
	r.State.hedgeTokens--
	r.State.Hedges++
	return true
}

// earnHedge adds the share of a hedged request that a request brings.
func (r *Route) earnHedge() {
	if r.Settings.HedgeQuantile > 0 {
		r.State.hedgeTokens = min(r.State.hedgeTokens+r.Settings.HedgeShare, maxHedgeTokens)
	}
}
