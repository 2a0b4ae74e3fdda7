package balancer

import (
	"math"
	"time"
)

// This file smooths what is observed; it decides nothing.

// peakHoldWindows is how long a peak rate is remembered, in rate windows.
const peakHoldWindows = 5.0

// decayingRate is an exponentially smoothed rate, and its recent peak. Both fade between events, the rate over a window and the
// peak over peakHoldWindows of them. The zero value is ready for use.
type decayingRate struct {
	rate, peakRate float64 // a second, at updatedAt
	updatedAt      time.Duration
}

// add counts x more events.
func (d *decayingRate) add(now, window time.Duration, x float64) {
	windows := float64(now-d.updatedAt) / float64(window)
	d.rate = d.rate*math.Exp(-windows) + x/window.Seconds()
	d.peakRate = max(d.rate, d.peakRate*math.Exp(-windows/peakHoldWindows))
	d.updatedAt = now
}

// value is the present rate.
func (d *decayingRate) value(now, window time.Duration) float64 {
	return d.rate * math.Exp(-float64(now-d.updatedAt)/float64(window))
}

// peak is the highest rate of late.
func (d *decayingRate) peak(now, window time.Duration) float64 {
	return d.peakRate * math.Exp(-float64(now-d.updatedAt)/float64(window)/peakHoldWindows)
}

// decay lets the rate fade and keeps its peak as it is.
func (d *decayingRate) decay(now, window time.Duration) {
	d.rate, d.updatedAt = d.value(now, window), now
}

// timeShare is the smoothed share of time in which something was so. The zero value says that it never was.
type timeShare struct {
	share     float64
	active    bool
	updatedAt time.Duration
}

// set notes whether it is so from now on.
func (s *timeShare) set(now, window time.Duration, active bool) {
	was := 0.0
	if s.active {
		was = 1
	}
	s.share = was + (s.share-was)*math.Exp(-float64(now-s.updatedAt)/float64(window))
	s.active, s.updatedAt = active, now
}

// movingAverage is a mean in which the latest sample has a fixed weight, once there are enough samples for it; before that it is
// the plain mean of all of them.
type movingAverage struct {
	mean    float64
	samples float64 // that it rests on, up to 1 / weight
	// settledMean is the mean when what is derived from it was last worked out; 0 if it never was.
	settledMean float64
}

// add takes a sample in. The weight is that of a sample in the long run.
func (m *movingAverage) add(x, weight float64) {
	m.samples = min(m.samples+1, 1/weight)
	m.mean += (x - m.mean) / m.samples
}

// drift is how far the mean has moved since settledMean, as a ratio of at least 1.
func (m *movingAverage) drift() float64 {
	if m.settledMean <= 0 || m.mean <= 0 {
		return 1
	}
	return max(m.mean/m.settledMean, m.settledMean/m.mean)
}

// settle notes that what is derived from the mean is worked out with its present value.
func (m *movingAverage) settle() { m.settledMean = m.mean }

// ratioTo is the mean over that of another; 1 while nothing is known of one of them.
func (m *movingAverage) ratioTo(other *movingAverage) float64 {
	if other.samples == 0 || m.samples == 0 {
		return 1
	}
	return m.mean / other.mean
}

// moveToward moves a latency towards a mean by the given part of the difference; faster where the mean is lower.
func moveToward(latency, mean, rise float64) float64 {
	if mean < latency {
		rise = baseLatencyFall
	}
	return latency + rise*(mean-latency)
}

// seconds is a duration of so many seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
