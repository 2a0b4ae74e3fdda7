package emulator

import (
	"container/heap"
	"time"
)

// Server is the model of one server. Its methods take the time; see the package.
type Server struct {
	spec      Spec
	now       time.Duration
	startedAt time.Duration
	warmedUp  bool // it is not warming up, whatever startedAt is

	jobs       map[uint64]*job
	queue      []*job // jobs that wait for a slot, and some that were cancelled meanwhile
	queuedJobs int    // jobs in queue that were not cancelled
	running    finishHeap
	attained   float64 // work that a job would have got that shares the cores since the start, in seconds at speed 1
	order      uint64  // of the latest job

	slowdown    float64 // divides its speed; 1 or more
	pausedUntil time.Duration
	collapsed   bool
	offered     []offeredWork // within the last OverloadWindow while it is cold, newest last

	crowdedSince   time.Duration // since when it holds Congestion.MinJobs; -1 if it does not
	idleSince      time.Duration // since when it is below RecoveryUtilization; -1 if it is not
	congestedUntil time.Duration // at the latest; 0 if it is not congested
	congestions    int

	reports           []timedReport
	nextReport        time.Duration
	workedSinceReport float64 // core seconds, since the last report
	worked            float64 // core seconds, since the start
}

// NewServer returns a server that has been up for long, or, with cold set, one that starts now.
func NewServer(spec Spec, now time.Duration, cold bool) *Server {
	return &Server{
		spec: spec, now: now, startedAt: now, warmedUp: !cold, jobs: map[uint64]*job{}, slowdown: 1, crowdedSince: -1, idleSince: -1,
		nextReport: now + spec.ReportEvery,
	}
}

// Completion is the end of the work of a job.
type Completion struct {
	ID uint64
	At time.Duration
	// Expired is set if its time was up before it got a slot: nothing of it was done, and the server has removed it.
	Expired bool
}

// Next returns when the caller must call Advance; false if nothing will happen by itself.
func (s *Server) Next() (time.Duration, bool) {
	next := s.nextChange()
	return next, next < never
}

// Advance advances the server to a time and returns, in order, the jobs whose work has ended. Each keeps its slot until Release or Resume
// unless it has expired.
func (s *Server) Advance(now time.Duration) []Completion {
	if s.collapsed {
		s.now = max(s.now, now)
		return nil
	}
	var done []Completion
	for {
		next := s.nextChange()
		if next > now {
			break
		}
		s.advanceReports(next)
		s.completeJobs(&done)
		s.updateCongestion()
	}
	s.advanceReports(now)
	return done
}

// roundingTolerance is how much of a job's work may be missing when it ends, in seconds and as a share.
const roundingTolerance = 1e-12

// completeJobs ends the jobs that have got all of their work.
func (s *Server) completeJobs(done *[]Completion) {
	for len(s.running) > 0 && s.now >= s.pausedUntil && s.running[0].finish <= s.attained*(1+roundingTolerance)+roundingTolerance {
		j := heap.Pop(&s.running).(*job)
		switch j.state {
		case overhead:
		case orphaned:
			s.remove(j, done)
		default:
			j.state = blocked
			*done = append(*done, Completion{ID: j.id, At: s.now})
		}
	}
}

// nextChange returns when the server changes next by itself; never if it does not.
func (s *Server) nextChange() time.Duration {
	next := never
	if s.now < s.pausedUntil {
		next = s.pausedUntil
	} else if r := s.jobRate(); r > 0 {
		next = s.finishTime((s.running[0].finish - s.attained) / r)
	}
	return min(next, s.nextCongestionChange())
}

// Slow divides the speed of the server from now on, by 1 or more; 1 restores its speed.
func (s *Server) Slow(now time.Duration, by float64) {
	s.advanceReports(now)
	s.slowdown = max(1, by)
}

// Pause stops all work until a time, like a garbage collector.
func (s *Server) Pause(now, until time.Duration) {
	s.advanceReports(now)
	s.pausedUntil = max(s.pausedUntil, until)
}

// BusyTime returns how long its cores have been busy, summed over them.
func (s *Server) BusyTime() time.Duration { return time.Duration(s.worked * 1e9) }

// Capacity returns the work that the server can do per second now, in seconds.
func (s *Server) Capacity() float64 {
	if s.collapsed {
		return 0
	}
	capacity := float64(s.spec.Cores) * s.spec.Speed / s.slowdown * s.warmShare(s.now)
	if s.congestedUntil > 0 {
		capacity /= s.spec.Congestion.SlowdownFactor
	}
	return capacity
}
