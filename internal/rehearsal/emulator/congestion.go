package emulator

import (
	"time"
)

// updateCongestion updates the times since which the server is crowded or idle, and starts or ends congestion.
func (s *Server) updateCongestion() {
	congestion := s.spec.Congestion
	if congestion == nil {
		return
	}
	if s.Jobs() < congestion.MinJobs {
		s.crowdedSince = -1
	} else if s.crowdedSince < 0 {
		s.crowdedSince = s.now
	}
	if float64(len(s.running)) >= congestion.RecoveryUtilization*float64(s.spec.Cores) {
		s.idleSince = -1
	} else if s.idleSince < 0 {
		s.idleSince = s.now
	}
	switch {
	case s.congestedUntil > 0 && (s.now >= s.congestedUntil || s.idleSince >= 0 && s.now >= s.idleSince+congestion.RecoveryTime):
		s.congestedUntil, s.crowdedSince = 0, -1
	case s.congestedUntil == 0 && s.crowdedSince >= 0 && s.now >= s.crowdedSince+congestion.After:
		s.congestedUntil = s.now + congestion.MaxDuration
		s.congestions++
	}
}

// nextCongestionChange returns the time at which congestion next starts or ends if nothing else changes, or never.
func (s *Server) nextCongestionChange() time.Duration {
	congestion := s.spec.Congestion
	switch {
	case congestion == nil:
		return never
	case s.congestedUntil > 0 && s.idleSince >= 0:
		return min(s.congestedUntil, s.idleSince+congestion.RecoveryTime)
	case s.congestedUntil > 0:
		return s.congestedUntil
	case s.crowdedSince >= 0:
		return s.crowdedSince + congestion.After
	}
	return never
}

// Congestions returns how many times the server has become congested.
func (s *Server) Congestions() int { return s.congestions }
