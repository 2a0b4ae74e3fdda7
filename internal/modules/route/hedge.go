package route

import (
	"math"
	"time"
)

// latencyHistogram is a histogram of the latencies of answers, in steps of 5%, in which older ones count less and less.
type latencyHistogram struct {
	counts [histogramSteps]float64
	total  float64
}

const (
	histogramSteps = 320
	minLatency     = 100 * time.Microsecond // of the first step
	stepGrowth     = 1.05                   // minLatency times this to the power of histogramSteps is 10 minutes
	maxSamples     = 2000                   // at which all counts are halved
	minSamples     = 50                     // below which there is no quantile
	maxHedgeTokens = 10.0                   // hedged requests that may be saved up
)

// stepOf returns the step of a latency.
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

// quantile returns the q-quantile of the latencies, accurate to 5%; false if there are too few samples.
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

// RecordLatency records the latency of an answer. For an attempt that is cancelled because a hedged one was answered, that is the time
// until then: without those the slow attempts would be missing.
func (r *Route) RecordLatency(d time.Duration) {
	if r.Settings.HedgeQuantile > 0 {
		r.State.latencies.add(d)
	}
}

// HedgeDelay returns after which time without an answer a request is to be hedged; false for not at all.
func (r *Route) HedgeDelay() (time.Duration, bool) {
	if r.Settings.HedgeQuantile <= 0 {
		return 0, false
	}
	return r.State.latencies.quantile(r.Settings.HedgeQuantile)
}

// TakeHedge takes a hedged request out of the budget, and reports whether the budget covered it.
func (r *Route) TakeHedge() bool {
	if r.State.hedgeTokens < 1 {
		return false
	}
	r.State.hedgeTokens--
	r.State.Hedges++
	return true
}

// earnHedge adds HedgeShare to the budget, for a request that is admitted.
func (r *Route) earnHedge() {
	if r.Settings.HedgeQuantile > 0 {
		r.State.hedgeTokens = min(r.State.hedgeTokens+r.Settings.HedgeShare, maxHedgeTokens)
	}
}
