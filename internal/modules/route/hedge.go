package route

import (
	"math"
	"time"
)

// latencyHistogram is a histogram of the latencies of answers, with buckets that grow by 5% each. The weight of older answers decays.
type latencyHistogram struct {
	counts [histogramBuckets]float64
	total  float64
}

const (
	histogramBuckets = 320
	minLatency       = 100 * time.Microsecond // lower limit of the first bucket, which has all shorter latencies as well
	bucketGrowth     = 1.05                   // minLatency times this to the power of histogramBuckets is 10 minutes
	maxSamples       = 2000                   // total at which all counts are halved
	minSamples       = 50                     // total below which quantile returns no value
	maxHedgeTokens   = 10.0                   // maximum number of hedged requests in the budget
)

// bucketOf returns the index of the bucket of a latency.
func bucketOf(d time.Duration) int {
	if d <= minLatency {
		return 0
	}
	return min(histogramBuckets-1, int(math.Log(float64(d)/float64(minLatency))/math.Log(bucketGrowth)))
}

func (l *latencyHistogram) add(d time.Duration) {
	l.counts[bucketOf(d)]++
	l.total++
	if l.total < maxSamples {
		return
	}
	for i := range l.counts {
		l.counts[i] /= 2
	}
	l.total /= 2
}

// quantile returns the q-quantile of the latencies, accurate to 5%. It returns false if there are fewer than minSamples.
func (l *latencyHistogram) quantile(q float64) (time.Duration, bool) {
	if l.total < minSamples {
		return 0, false
	}
	sum := 0.0
	for i, n := range l.counts {
		if sum += n; sum >= q*l.total {
			return time.Duration(float64(minLatency) * math.Pow(bucketGrowth, float64(i+1))), true
		}
	}
	return 0, false
}

// RecordLatency records the latency of an answer. For an attempt that is cancelled because a hedged one was answered first, the latency is
// the time until the cancellation: without these attempts the histogram would lack the slow ones.
func (r *Route) RecordLatency(d time.Duration) {
	if r.Settings.HedgeQuantile > 0 {
		r.State.latencies.add(d)
	}
}

// HedgeDelay returns after which time without an answer a request is to be hedged. It returns false if the route does not hedge, or has
// recorded too few latencies.
func (r *Route) HedgeDelay() (time.Duration, bool) {
	if r.Settings.HedgeQuantile <= 0 {
		return 0, false
	}
	return r.State.latencies.quantile(r.Settings.HedgeQuantile)
}

// TakeHedge takes one hedged request out of the budget, and reports whether the budget covered it.
func (r *Route) TakeHedge() bool {
	if r.State.hedgeTokens < 1 {
		return false
	}
	r.State.hedgeTokens--
	r.State.Hedges++
	return true
}

// addHedgeTokens adds HedgeShare to the budget of hedged requests when a request is admitted.
func (r *Route) addHedgeTokens() {
	if r.Settings.HedgeQuantile > 0 {
		r.State.hedgeTokens = min(r.State.hedgeTokens+r.Settings.HedgeShare, maxHedgeTokens)
	}
}
