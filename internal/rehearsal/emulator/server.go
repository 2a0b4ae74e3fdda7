package emulator

import (
	"container/heap"
	"time"
)

// Server is the model of one server. The package comment says how the caller passes the time.
type Server struct {
	spec      Spec
	now       time.Duration
	startedAt time.Duration
	warmedUp  bool // whether the server was warm from the beginning, whatever startedAt is

	jobs       map[uint64]*job // all jobs in slots and in the queue, by ID
	queue      []*job          // jobs that wait for a slot, oldest first, and some that were cancelled while they waited
	queuedJobs int             // number of jobs in queue without the cancelled ones
	running    finishHeap      // jobs that share the cores
	attained   float64         // work that a job would have received if it had shared the cores since the start, in seconds at speed 1
	order      uint64          // sequence number of the latest job

	slowdown    float64 // divisor of the speed; 1 or more
	pausedUntil time.Duration
	collapsed   bool
	offered     []offeredWork // work sent within the last OverloadWindow while the server is cold, newest last

	crowdedSince   time.Duration // time since which it has held at least Congestion.MinJobs; -1 if it holds fewer
	idleSince      time.Duration // time since which its utilization is below RecoveryUtilization; -1 if it is not
	congestedUntil time.Duration // latest end of the congestion; 0 if it is not congested
	congestions    int

	reports           []timedReport
	nextReport        time.Duration
	workedSinceReport float64 // core seconds of work since the last report
	worked            float64 // core seconds of work since the start
}

// NewServer returns a server that starts now, cold, or one that is warm because it has been up for a long time.
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
	// Expired reports whether the job expired before it got a slot. None of its work was done, and the server has removed it.
	Expired bool
}

// Next returns the time at which the caller must call Advance, or false if the state will not change by itself.
func (s *Server) Next() (time.Duration, bool) {
	next := s.nextChange()
	return next, next < never
}

// Advance advances the server to a time. It returns the jobs whose work has ended, in order of time. Each keeps its slot until Release
// or Resume, unless it has expired.
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

// roundingTolerance is the part of a job's work that may be missing when it ends, in seconds and as a share of Server.attained.
const roundingTolerance = 1e-12

// completeJobs ends the jobs whose work is done, and adds them to done.
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

// nextChange returns the time at which the server's state next changes by itself, or never.
func (s *Server) nextChange() time.Duration {
	next := never
	if s.now < s.pausedUntil {
		next = s.pausedUntil
	} else if r := s.jobRate(); r > 0 {
		next = s.finishTime((s.running[0].finish - s.attained) / r)
	}
	return min(next, s.nextCongestionChange())
}

// Slow sets the divisor of the server's speed from now on. It is 1 or more; 1 restores the full speed.
func (s *Server) Slow(now time.Duration, by float64) {
	s.advanceReports(now)
	s.slowdown = max(1, by)
}

// Pause stops all work until a time, like a garbage collection pause.
func (s *Server) Pause(now, until time.Duration) {
	s.advanceReports(now)
	s.pausedUntil = max(s.pausedUntil, until)
}

// BusyTime returns the time that the cores have been busy, summed over the cores.
func (s *Server) BusyTime() time.Duration { return time.Duration(s.worked * 1e9) }

// Capacity returns the work, in seconds of one core of speed 1, that the server can currently do per second.
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
