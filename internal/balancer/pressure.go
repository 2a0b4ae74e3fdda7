package balancer

import "time"

// This file limits the rate of sends by the latency pressure, which is the ratio of the latency of answers to an acceptable mean
// latency. The limit is for services with more instances than endpoints. Each instance of such a service has only one or two
// requests in flight, so that a limit on their number has no effect.

const (
	// The acceptable mean latency is the smaller of a multiple of the usual latency and a share of the latency target.
	pressureUsualMultiple = 1.5
	pressureTargetShare   = 0.55

	pressureWindowTargets = 2.0  // time over which the pressure is smoothed, in latency targets
	maxPressureWeight     = 0.12 // largest weight of one answer in the pressure, which applies if answers are rare
	maxPressureSample     = 4.0  // largest sample of one answer, in acceptable latencies
	pressureGain          = 1.5  // relative decrease of the rate limit, per second, at a pressure of 2 or more
	maxSendRateMultiple   = 1.5  // highest and initial rate limit, as a multiple of the recent peak rate of requests
	minSendRateShare      = 0.15 // lowest rate limit, as a share of the highest
	sendBurst             = 2.0  // number of requests that may be sent at once, unless half a second at the rate limit is more
)

// sendLimiter limits the rate of sends while the pressure is above 1. The zero value has no limit.
type sendLimiter struct {
	pressure  float64 // smoothed pressure
	updatedAt time.Duration
	limited   bool    // the pressure exceeded 1, and has not fallen to 1 since
	rate      float64 // limit on requests per second, while limited
	tokens    float64 // number of requests that may be sent at tokensAt
	tokensAt  time.Duration
}

// refill adds the tokens earned until now.
func (s *sendLimiter) refill(now time.Duration) {
	earned := s.rate * (now - s.tokensAt).Seconds()
	s.tokens = min(s.tokens+earned, max(sendBurst, s.rate/2))
	s.tokensAt = now
}

// allows reports whether a request may be sent.
func (s *sendLimiter) allows() bool { return !s.limited || s.tokens >= 1 }

// take records that a request is sent.
func (s *sendLimiter) take() { s.tokens-- }

// record updates the pressure by the latency of an answer, and the rate limit by the pressure. maxRate is the highest rate limit,
// in requests per second.
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

// recordPressure records the latency of an answer if the pressure limits sends at this instance. Only instances of the first tier
// limit them: a rejection in a lower tier would waste the work of the tiers above.
func (b *Balancer) recordPressure(now time.Duration, c *class, latency time.Duration) {
	if b.settings.Tier > 0 || b.settings.Instances <= len(b.listed) {
		return
	}
	b.sends.record(now, c, latency, maxSendRateMultiple*b.requestRate.peak(now, b.rateWindow))
}
