package balancer

import (
	"math"
	"time"
)

// This file smooths measurements. It makes no decisions.

// peakHoldWindows is the time over which a peak rate decays, in rate windows.
const peakHoldWindows = 5.0

// decayingRate is an exponentially smoothed rate, and its recent peak. Both decay between events: the rate over a window, the
// peak over peakHoldWindows of them. The zero value is ready for use.
type decayingRate struct {
	rate, peakRate float64 // per second, at updatedAt
	updatedAt      time.Duration
}

// add records x events.
func (d *decayingRate) add(now, window time.Duration, x float64) {
	windows := float64(now-d.updatedAt) / float64(window)
	d.rate = d.rate*math.Exp(-windows) + x/window.Seconds()
	d.peakRate = max(d.rate, d.peakRate*math.Exp(-windows/peakHoldWindows))
	d.updatedAt = now
}

// value returns the current rate per second.
func (d *decayingRate) value(now, window time.Duration) float64 {
	return d.rate * math.Exp(-float64(now-d.updatedAt)/float64(window))
}

// peak returns the recent peak of the rate per second.
func (d *decayingRate) peak(now, window time.Duration) float64 {
	return d.peakRate * math.Exp(-float64(now-d.updatedAt)/float64(window)/peakHoldWindows)
}

// decay updates the rate to the given time. The peak does not decay in that time.
func (d *decayingRate) decay(now, window time.Duration) {
	d.rate = d.value(now, window)
	d.updatedAt = now
}

// timeShare is the smoothed share of time in which a condition held. The zero value stands for a condition that has never held.
type timeShare struct {
	share     float64
	active    bool
	updatedAt time.Duration
}

// set records whether the condition holds from now on.
func (s *timeShare) set(now, window time.Duration, active bool) {
	was := 0.0
	if s.active {
		was = 1
	}
	s.share = was + (s.share-was)*math.Exp(-float64(now-s.updatedAt)/float64(window))
	s.active = active
	s.updatedAt = now
}

// movingAverage is an exponentially weighted mean. Until there are enough samples for the weight it is the plain mean of all
// samples.
type movingAverage struct {
	mean    float64
	samples float64 // number of samples, up to 1 / weight
	// settledMean is the mean when the values derived from it were last computed, or 0 if they never were.
	settledMean float64
}

// add adds a sample. The weight is that of one sample in the long run.
func (m *movingAverage) add(x, weight float64) {
	m.samples = min(m.samples+1, 1/weight)
	m.mean += (x - m.mean) / m.samples
}

// drift returns the ratio between the mean and settledMean, the larger over the smaller. It is 1 if either is unknown.
func (m *movingAverage) drift() float64 {
	if m.settledMean <= 0 || m.mean <= 0 {
		return 1
	}
	return max(m.mean/m.settledMean, m.settledMean/m.mean)
}

// settle records that the values derived from the mean have been computed.
func (m *movingAverage) settle() { m.settledMean = m.mean }

// ratioTo returns the mean divided by another, or 1 if one of them has no samples.
func (m *movingAverage) ratioTo(other *movingAverage) float64 {
	if other.samples == 0 || m.samples == 0 {
		return 1
	}
	return m.mean / other.mean
}

// moveToward moves a latency towards a mean: by the part rise of the difference if the mean is higher, by baseLatencyFall
// otherwise.
func moveToward(latency, mean, rise float64) float64 {
	if mean < latency {
		rise = baseLatencyFall
	}
	return latency + rise*(mean-latency)
}

// seconds returns a duration of s seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
