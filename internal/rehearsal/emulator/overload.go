package emulator

import (
	"time"
)

// overloadTolerance is a factor on the allowed load of a cold server, because arrivals are random.
const overloadTolerance = 1.1

// offeredWork is an amount of work, in seconds, that was sent to a cold server.
type offeredWork struct {
	at   time.Duration
	work float64
}

// overloads records that more work (in seconds) is sent to the server, and reports whether it makes the server collapse. Only a cold
// server collapses, and never because of a single job, however large.
func (s *Server) overloads(work float64) bool {
	if s.warmedUp || s.spec.OverloadFactor == 0 || s.now >= s.startedAt+s.spec.WarmUp {
		s.offered = nil
		return false
	}
	for len(s.offered) > 0 && s.offered[0].at <= s.now-s.spec.OverloadWindow {
		s.offered = s.offered[1:]
	}
	sum := work
	for _, earlier := range s.offered {
		sum += earlier.work
	}
	s.offered = append(s.offered, offeredWork{s.now, work})
	allowed := overloadTolerance * s.spec.OverloadFactor * float64(s.spec.Cores) * s.spec.Speed * s.warmShare(s.now) *
		s.spec.OverloadWindow.Seconds()
	return len(s.offered) > 1 && sum > allowed
}

// collapse ends the server permanently and discards all of its jobs.
func (s *Server) collapse() {
	s.collapsed = true
	s.jobs = map[uint64]*job{}
	s.queue = nil
	s.queuedJobs = 0
	s.running = nil
}

// Collapsed reports whether the server has collapsed.
func (s *Server) Collapsed() bool { return s.collapsed }
