package balancer

import "time"

// This file limits the rate of sends by the latency pressure, which is the ratio of the answers' latency to an acceptable mean.
// It is for services with more instances than endpoints: each instance has only one or two requests in flight then, so that a
// limit on their number has no effect.

const (
	// The acceptable mean latency is the smaller of this multiple of the usual latency and this share of the latency target.
	pressureUsualMultiple = 1.5
	pressureTargetShare   = 0.55

	pressureWindowTargets = 2.0  // latency targets over which the pressure is smoothed
	maxPressureWeight     = 0.12 // most weight of one answer in the pressure, if answers are rare
	maxPressureSample     = 4.0  // most that one answer counts, in acceptable latencies
	pressureGain          = 1.5  // relative decrease of the rate per second at a pressure of 2 or more
	maxSendRateMultiple   = 1.5  // highest limit on the rate of sends, in recent peak rates of requests; the limit begins there
	minSendRateShare      = 0.15 // lowest limit, as a share of the highest
	sendBurst             = 2.0  // requests that may be sent at once, unless half a second at the limit is more
)

// sendLimiter limits the rate of sends while the pressure is above 1. The zero value has no limit.
type sendLimiter struct {
	pressure  float64 // smoothed
	updatedAt time.Duration
	limited   bool    // the pressure exceeded 1, and has not fallen to 1 since
	rate      float64 // requests per second, while limited
	tokens    float64 // requests that may be sent at tokensAt
	tokensAt  time.Duration
}

// refill adds the tokens earned until the given time.
func (s *sendLimiter) refill(now time.Duration) {
	earned := s.rate * (now - s.tokensAt).Seconds()
	s.tokens = min(s.tokens+earned, max(sendBurst, s.rate/2))
	s.tokensAt = now
}

// allows reports whether a request may be sent.
func (s *sendLimiter) allows() bool { return !s.limited || s.tokens >= 1 }

// take records that a request is sent.
func (s *sendLimiter) take() { s.tokens-- }

// record updates the pressure by the time that an answer took, and the rate of sends by the pressure. maxRate is the highest
// limit on the rate, in requests per second.
func (s *sendLimiter) record(now time.Duration, c *class, latency time.Duration, maxRate float64) {
	target := c.LatencyTarget.Seconds()
	acceptable := min(pressureUsualMultiple*c.latency.usual, pressureTargetShare*target)
	if acceptable <= 0 {
		return
	}
	elapsed := (now - s.updatedAt).Seconds()
	weight := min(maxPressureWeight, elapsed/(pressureWindowTargets*target))
	s.pressure += weight * (min(latency.Seconds()/acceptable, maxPressureSample) - s.pressure)
	s.updatedAt = now
	if !s.limited {
		s.limited = s.pressure > 1
		s.rate = maxRate
		s.tokens = sendBurst
		s.tokensAt = now
		return
	}
	reduction := pressureGain * min(s.pressure-1, 1) * min(elapsed, 1)
	s.rate = max(s.rate*(1-reduction), minSendRateShare*maxRate)
	s.limited = s.pressure > 1
}

// recordPressure records the time that an answer took, if the pressure limits sends here. Only the first tier limits them, so
// that work which the tiers above have done is not rejected below.
func (b *Balancer) recordPressure(now time.Duration, c *class, latency time.Duration) {
	if b.settings.Tier > 0 || b.settings.Instances <= len(b.listed) {
		return
	}
	b.sends.record(now, c, latency, maxSendRateMultiple*b.requestRate.peak(now, b.rateWindow))
}
