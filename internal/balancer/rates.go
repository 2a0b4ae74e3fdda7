package balancer

import (
	"math"
	"time"
)

// This file smooths measurements. It makes no decisions.

// peakHoldWindows is the time constant of the decay of a peak rate, in rate windows.
const peakHoldWindows = 5.0

// decayingRate is an exponentially smoothed rate, and its recent peak. Both decay between events, the rate with a time constant of
// one window, the peak with one of peakHoldWindows windows. The zero value is ready for use.
type decayingRate struct {
	rate, peakRate float64 // rate and peak at updatedAt, per second
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

// decay lets the rate decay until now. The peak is held: it does not decay in the time since the last update.
func (d *decayingRate) decay(now, window time.Duration) {
	d.rate = d.value(now, window)
	d.updatedAt = now
}

// timeShare is the smoothed share of time in which a condition was true. The zero value is for a condition that was never true.
type timeShare struct {
	share     float64
	active    bool
	updatedAt time.Duration
}

// set records whether the condition is true from now on.
func (s *timeShare) set(now, window time.Duration, active bool) {
	was := 0.0
	if s.active {
		was = 1
	}
	s.share = was + (s.share-was)*math.Exp(-float64(now-s.updatedAt)/float64(window))
	s.active = active
	s.updatedAt = now
}

// movingAverage is an exponentially weighted mean. Until the number of samples reaches 1 / weight, it is the arithmetic mean of all
// samples.
type movingAverage struct {
	mean    float64
	samples float64 // number of samples, up to 1 / weight
	// meanAtRefresh is the mean when the values derived from it were last refreshed, or 0 if they never were.
	meanAtRefresh float64
}

// add adds a sample. weight is the weight of one sample once there are enough samples.
func (m *movingAverage) add(x, weight float64) {
	m.samples = min(m.samples+1, 1/weight)
	m.mean += (x - m.mean) / m.samples
}

// drift returns the ratio between the mean and meanAtRefresh, the larger divided by the smaller. It is 1 if either is unknown.
func (m *movingAverage) drift() float64 {
	if m.meanAtRefresh <= 0 || m.mean <= 0 {
		return 1
	}
	return max(m.mean/m.meanAtRefresh, m.meanAtRefresh/m.mean)
}

// markRefreshed records that the values derived from the mean have been refreshed.
func (m *movingAverage) markRefreshed() { m.meanAtRefresh = m.mean }

// ratioTo returns the mean divided by another mean, or 1 if either has no samples.
func (m *movingAverage) ratioTo(other *movingAverage) float64 {
	if other.samples == 0 || m.samples == 0 {
		return 1
	}
	return m.mean / other.mean
}

// moveToward returns a latency moved towards a mean: by the part rise of the difference if the mean is higher, and by the part
// baseLatencyFall otherwise.
func moveToward(latency, mean, rise float64) float64 {
	if mean < latency {
		rise = baseLatencyFall
	}
	return latency + rise*(mean-latency)
}

// seconds returns a duration of s seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
