package rehearse

import (
	"fmt"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
	"quincegap/internal/rehearsal/scenario"
)

// resetTimer sets the timer to when the model changes next by itself. s.mu is held.
func (s *server) resetTimer() {
	if s.model == nil {
		return
	}
	if next, ok := s.model.Next(); ok {
		s.timer.Reset(max(0, next-s.rehearsal.now()))
	}
}

// handleTimer advances the model, and records by how much the timer was late if that matters.
func (s *server) handleTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model == nil {
		return
	}
	if next, ok := s.model.Next(); ok {
		if late := s.rehearsal.now() - next; late > lateThreshold {
			s.rehearsal.record(audit.Event{
				At: s.rehearsal.now(), Kind: audit.EmulatorLate, Duration: late, Server: s.index, Sidecar: -1, Origin: -1,
			})
		}
	}
	s.advance()
	s.resetTimer()
}

// advance brings the model up to now, and goes on with the attempts whose work has ended. s.mu is held.
func (s *server) advance() {
	s.complete(s.model.Advance(s.rehearsal.now()))
}

// complete goes on with the attempts whose work has ended. s.mu is held.
func (s *server) complete(done []emulator.Completion) {
	for _, completion := range done {
		attempt := s.calls[completion.ID]
		switch {
		case attempt == nil:
			if s.model != nil {
				s.complete(s.model.Release(s.rehearsal.now(), completion.ID))
			}
		case completion.Expired:
			s.answer(attempt, audit.Rejected)
		default:
			s.completeWork(attempt)
		}
	}
}

// completeWork makes the calls of an attempt to the next tier, or answers it if it has none to make.
func (s *server) completeWork(attempt *attempt) {
	attempt.work += s.model.WorkDone(attempt.id)
	if s.tier().Calls != "" && !attempt.afterCalls {
		s.rehearsal.calls.Go(func() { s.callNextTier(attempt) })
		return
	}
	more := s.model.Release(s.rehearsal.now(), attempt.id)
	s.answer(attempt, audit.Served)
	if s.model != nil {
		s.complete(more)
	}
}

// addOverhead gives the model work that belongs to no attempt. s.mu is held.
func (s *server) addOverhead(work time.Duration) {
	if s.model == nil || work <= 0 {
		return
	}
	s.advance()
	if s.model != nil && s.model.AddOverhead(s.rehearsal.now(), work) == emulator.Collapsed {
		s.collapse()
	}
	s.resetTimer()
}

// slow makes the model pause, or changes its speed.
func (s *server) slow(step *scenario.Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model == nil {
		return
	}
	s.advance()
	if step.Kind == scenario.ServerPause {
		s.model.Pause(s.rehearsal.now(), step.Until)
	} else {
		s.model.Slow(s.rehearsal.now(), step.Amount)
	}
	s.resetTimer()
}

// collapse stops a server that was overloaded while it was cold, and has it restarted if its tier does that. s.mu is held.
func (s *server) collapse() {
	s.record(audit.ServerCollapsed)
	s.stopLocked()
	if delay := s.tier().RestartAfterCollapse; delay > 0 {
		incarnation := s.incarnation
		time.AfterFunc(delay, func() { s.restartAfterCollapse(incarnation) })
	}
}

// restartAfterCollapse starts a collapsed server again, unless it was started or stopped since. Discovery is notified of it as of any
// start.
func (s *server) restartAfterCollapse(incarnation int) {
	if !s.isIncarnation(incarnation) || s.rehearsal.ctx.Err() != nil || s.start(true) != nil {
		return
	}
	boot := s.rehearsal.now()
	time.AfterFunc(s.rehearsal.plan.Discovery.AddDelay, func() {
		if s.isIncarnation(incarnation + 1) {
			s.rehearsal.discovery[s.spec.Tier].update(s.index, "Ready", boot)
		}
	})
}

// isIncarnation reports whether the server was neither started nor stopped since it had this incarnation.
func (s *server) isIncarnation(incarnation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation == incarnation
}

// loadReport returns the value of X-Pressure; empty if the server reports no load. s.mu is held.
func (s *server) loadReport() string {
	if s.model == nil || s.spec.Spec.ReportEvery == 0 {
		return ""
	}
	if r, ok := s.model.LoadReport(); ok {
		return fmt.Sprintf("inflight=%d,queue=%d,util=%.3f", r.InFlight, r.Queued, r.Utilization)
	}
	return ""
}
