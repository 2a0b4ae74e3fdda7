package emulator

import (
	"math"
	"time"
)

// minThrashShare is the minimum share of its speed that a thrashing server keeps.
const minThrashShare = 0.25

// never is later than any rehearsal.
const never = time.Duration(math.MaxInt64)

// warmShare returns the share of its capacity that the server has at a time. It is below 1 during the warm-up.
func (s *Server) warmShare(at time.Duration) float64 {
	if s.warmedUp || at >= s.startedAt+s.spec.WarmUp {
		return 1
	}
	return s.spec.ColdShare + (1-s.spec.ColdShare)*float64(at-s.startedAt)/float64(s.spec.WarmUp)
}

// jobRate returns the work that each running job receives per second, before it is multiplied by warmShare.
func (s *Server) jobRate() float64 {
	jobs := len(s.running)
	if jobs == 0 || s.now < s.pausedUntil {
		return 0
	}
	rate := s.spec.Speed / s.slowdown
	if held := s.Jobs(); s.spec.Thrash > 0 && held > s.spec.ThrashAt {
		rate *= max(minThrashShare, 1-s.spec.Thrash*float64(held-s.spec.ThrashAt)/float64(s.spec.ThrashAt))
	}
	if s.congestedUntil > 0 {
		rate /= s.spec.Congestion.SlowdownFactor
	}
	return rate * min(1, float64(s.spec.Cores)/float64(jobs))
}

// progressUntil returns the work, in seconds, that a job with a rate of 1 receives from now until a time: the integral of warmShare.
func (s *Server) progressUntil(to time.Duration) float64 {
	from := s.now
	full := s.startedAt + s.spec.WarmUp
	if s.warmedUp || from >= full {
		return (to - from).Seconds()
	}
	if to <= full {
		return (to - from).Seconds() * (s.warmShare(from) + s.warmShare(to)) / 2
	}
	return (full-from).Seconds()*(s.warmShare(from)+1)/2 + (to - full).Seconds()
}

// finishTime returns the time, rounded up, at which a job with a rate of 1 will have received an amount of work (in seconds) from now on.
func (s *Server) finishTime(amount float64) time.Duration {
	if amount <= 0 {
		return s.now
	}
	full := s.startedAt + s.spec.WarmUp
	if s.warmedUp || s.now >= full {
		return addSeconds(s.now, amount)
	}
	if ramp := s.progressUntil(full); amount > ramp {
		return addSeconds(full, amount-ramp)
	}
	// Solves amount = start*t + slope*t*t/2 for t.
	start := s.warmShare(s.now)
	slope := (1 - s.spec.ColdShare) / s.spec.WarmUp.Seconds()
	if slope == 0 {
		return addSeconds(s.now, amount/start)
	}
	return addSeconds(s.now, 2*amount/(start+math.Sqrt(start*start+2*slope*amount)))
}

// addSeconds returns a time plus seconds, rounded up to a nanosecond, or never for more than a million seconds.
func addSeconds(t time.Duration, seconds float64) time.Duration {
	if seconds > 1e6 {
		return never
	}
	return t + time.Duration(math.Ceil(seconds*1e9))
}

// advanceWork advances the work to a time. The state must not change by itself before that time.
func (s *Server) advanceWork(to time.Duration) {
	if to <= s.now {
		return
	}
	if r := s.jobRate(); r > 0 {
		s.attained += r * s.progressUntil(to)
		cores := (to - s.now).Seconds() * float64(min(len(s.running), s.spec.Cores))
		s.workedSinceReport += cores
		s.worked += cores
	}
	s.now = to
}
