package rehearse

import (
	"fmt"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
	"quincegap/internal/rehearsal/scenario"
)

// resetTimer sets the timer to the model's next scheduled change. The caller holds s.mu.
func (s *server) resetTimer() {
	if s.model == nil {
		return
	}
	if next, ok := s.model.Next(); ok {
		s.timer.Reset(max(0, next-s.rehearsal.now()))
	}
}

// handleTimer advances the model, and records the timer's delay if it exceeds lateThreshold.
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

// advance advances the model to the current time, and processes the attempts whose work has completed. The caller holds s.mu.
func (s *server) advance() {
	s.complete(s.model.Advance(s.rehearsal.now()))
}

// complete processes attempts whose work has completed or that have expired. The caller holds s.mu.
func (s *server) complete(completions []emulator.Completion) {
	for _, completion := range completions {
		attempt := s.accepted[completion.ID]
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

// completeWork starts an attempt's calls to the next tier, or serves the attempt if none remain. The caller holds s.mu.
func (s *server) completeWork(attempt *attempt) {
	attempt.work += s.model.WorkDone(attempt.id)
	if s.tier().Calls != "" && !attempt.afterCalls {
		s.rehearsal.calls.Go(func() { s.callNextTier(attempt) })
		return
	}
	completions := s.model.Release(s.rehearsal.now(), attempt.id)
	s.answer(attempt, audit.Served)
	if s.model != nil {
		s.complete(completions)
	}
}

// addOverhead adds work to the model that belongs to no attempt. The caller holds s.mu.
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

// changeSpeed pauses the model or changes its speed, as the step says.
func (s *server) changeSpeed(step *scenario.Step) {
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

// collapse stops a server that was overloaded while cold, and schedules its restart if its tier has a restart delay. The caller holds
// s.mu.
func (s *server) collapse() {
	s.record(audit.ServerCollapsed)
	s.stopLocked()
	if delay := s.tier().RestartAfterCollapse; delay > 0 {
		incarnation := s.incarnation
		time.AfterFunc(delay, func() { s.restartAfterCollapse(incarnation) })
	}
}

// restartAfterCollapse restarts a collapsed server, unless it was started or stopped in the meantime. Discovery is notified after the
// usual delay for a start.
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

// isIncarnation reports whether the server still has this incarnation: it was neither started nor stopped in the meantime.
func (s *server) isIncarnation(incarnation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation == incarnation
}

// loadReport returns the value of the X-Pressure header; empty if the server reports no load. The caller holds s.mu.
func (s *server) loadReport() string {
	if s.model == nil || s.spec.Spec.ReportEvery == 0 {
		return ""
	}
	if report, ok := s.model.LoadReport(); ok {
		return fmt.Sprintf("inflight=%d,queue=%d,util=%.3f", report.InFlight, report.Queued, report.Utilization)
	}
	return ""
}
