package balancer

import "time"

// This file paces requests by latency pressure: what answers take over what they should at most take on average. It serves where
// instances outnumber endpoints: there each instance has a request or two in flight, and no limit on their number holds anything
// back.

const (
	// What answers should take on average at most: the smaller of so many usual latencies and such a part of the latency target.
	pressureUsualMultiple = 1.5
	pressureTargetShare   = 0.55

	pressureWindowTargets = 2.0  // latency targets over which the pressure is smoothed
	maxPressureWeight     = 0.12 // most weight that one answer has in it, where few come
	maxPressureSample     = 4.0  // most that one answer counts, in what it should take
	pressureGain          = 1.5  // part of the rate that one second of a pressure of 2 takes off
	maxSendRateMultiple   = 1.5  // most sends a second, in peak rates of requests: the rate when nothing is held back
	minSendRateShare      = 0.15 // least sends a second, as a part of the most
	sendBurst             = 2.0  // requests that may be sent at once; where half a second's are more, so many
)

// sendLimiter limits the rate at which requests are sent while the pressure is above 1. The zero value has no limit.
type sendLimiter struct {
	pressure  float64 // smoothed
	updatedAt time.Duration
	limited   bool    // the pressure rose above 1, and has not fallen since
	rate      float64 // a second, while it is limited
	tokens    float64 // requests that may be sent now
	tokensAt  time.Duration
}

// refill earns tokens up to a time.
func (s *sendLimiter) refill(now time.Duration) {
	earned := s.rate * (now - s.tokensAt).Seconds()
	s.tokens = min(s.tokens+earned, max(sendBurst, s.rate/2))
	s.tokensAt = now
}

// allows reports whether a request may be sent.
func (s *sendLimiter) allows() bool { return !s.limited || s.tokens >= 1 }

// take counts a request that is sent.
func (s *sendLimiter) take() { s.tokens-- }

// record takes in what an answer took, and moves the rate of sends by it. maxRate is the rate while nothing is held back.
func (s *sendLimiter) record(now time.Duration, c *class, took time.Duration, maxRate float64) {
	target := c.LatencyTarget.Seconds()
	acceptable := min(pressureUsualMultiple*c.latency.usual, pressureTargetShare*target)
	if acceptable <= 0 {
		return
	}
	elapsed := (now - s.updatedAt).Seconds()
	weight := min(maxPressureWeight, elapsed/(pressureWindowTargets*target))
	s.pressure += weight * (min(took.Seconds()/acceptable, maxPressureSample) - s.pressure)
	s.updatedAt = now
	if !s.limited {
		s.limited = s.pressure > 1
		s.rate = maxRate
		s.tokens, s.tokensAt = sendBurst, now
		return
	}
	cut := pressureGain * min(s.pressure-1, 1) * min(elapsed, 1)
	s.rate = max(s.rate*(1-cut), minSendRateShare*maxRate)
	s.limited = s.pressure > 1
}

// recordPressure takes in what an answer took, where that is to be paced: on clients' requests only, for what the tiers above
// have worked on is not rejected below.
func (b *Balancer) recordPressure(now time.Duration, c *class, took time.Duration) {
	if b.settings.Tier > 0 || b.settings.Instances <= len(b.listed) {
		return
	}
	b.sends.record(now, c, took, maxSendRateMultiple*b.requestRate.peak(now, b.rateWindow))
}
