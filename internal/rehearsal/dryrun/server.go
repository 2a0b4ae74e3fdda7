package dryrun

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
	"quincegap/internal/rehearsal/scenario"
)

// server is one emulated server, with the state that discovery has of it.
type server struct {
	sim         *sim
	index       int
	sidecar     *instance        // for its own calls; nil if it makes none
	incarnation int              // grows with each start and each end; 0 before the first start
	model       *emulator.Server // nil while it is down or silent
	silent      bool
	calls       map[uint64]*attempt // attempts that have arrived and not ended, by id
	faults      map[string]float64  // by the name in the script: the share of attempts that it happens to
	random      *rand.Rand          // draws which attempts the faults happen to
	scheduledAt time.Duration       // when it is advanced next

	known    discoveryState
	wasKnown []discoveryState // earlier values of known, oldest first; kept only if some sidecars are notified late
}

// spec returns the server as the plan has it.
func (s *server) spec() *scenario.Server { return &s.sim.plan.Servers[s.index] }

// tier returns the index of the server's tier.
func (s *server) tier() int { return s.spec().Tier }

// start starts the server; one that is not cold has been up for long, and is in discovery.
func (s *server) start(cold bool) {
	s.incarnation++
	s.silent = false
	s.calls = map[uint64]*attempt{}
	s.model = emulator.NewServer(s.spec().Spec, s.sim.now, cold)
	if cold {
		s.sim.record(audit.Event{Kind: audit.ServerStarted, Server: s.index, Sidecar: -1, Origin: -1})
	} else {
		s.known.state = stateReady
		s.known.at = math.MinInt64
	}
}

// stop ends the server, and resets its connections.
func (s *server) stop() {
	inFlight := s.calls
	s.incarnation++
	s.model = nil
	s.silent = false
	s.calls = nil
	for _, id := range slices.Sorted(maps.Keys(inFlight)) {
		a := inFlight[id]
		a.finishAtServer(audit.Dropped)
		s.sim.scheduleAfter(toServer, func() { a.finishAtInstance(balancer.StatusReset) })
	}
}

// silence makes the machine of the server unresponsive, and ends its sidecar: attempts that have arrived get no answer.
func (s *server) silence() {
	if s.model == nil {
		return
	}
	s.silent = true
	s.model = nil
	for _, a := range s.calls {
		a.muted = true
	}
	if s.sidecar != nil {
		s.sidecar.kill()
	}
}

// collapse ends a cold server that was overloaded, and has it restarted if its tier does that.
func (s *server) collapse() {
	s.sim.record(audit.Event{Kind: audit.ServerCollapsed, Server: s.index, Sidecar: -1, Origin: -1})
	s.stop()
	incarnation := s.incarnation
	if delay := s.sim.plan.Tiers[s.tier()].RestartAfterCollapse; delay > 0 {
		s.sim.scheduleAfter(delay, func() { s.restartAfterCollapse(incarnation) })
	}
}

// restartAfterCollapse starts a collapsed server again, unless it was started or stopped since.
func (s *server) restartAfterCollapse(incarnation int) {
	if s.incarnation != incarnation {
		return
	}
	s.stop()
	s.start(true)
	boot := s.sim.now
	s.sim.scheduleAfter(s.sim.plan.Discovery.AddDelay, func() {
		if s.incarnation == incarnation+2 && s.known.state == stateReady { // stop and start count
			s.updateState(discoveryState{weight: s.known.weight, state: stateReady, boot: boot})
			s.sim.notifyAll(s)
		}
	})
}

// drawFault draws whether a fault happens to an attempt; it draws nothing if the server has no such fault.
func (s *server) drawFault(name string) bool {
	return s.faults[name] > 0 && s.random.Float64() < s.faults[name]
}

// scheduleAdvance schedules the next advance of the model.
func (s *server) scheduleAdvance() {
	if s.model == nil {
		return
	}
	next, ok := s.model.Next()
	if !ok || next == s.scheduledAt {
		return
	}
	s.scheduledAt = next
	incarnation := s.incarnation
	s.sim.schedule(next, func() {
		if s.incarnation != incarnation || s.model == nil {
			return
		}
		if s.scheduledAt == s.sim.now {
			s.scheduledAt = -1
		}
		s.advance()
		s.scheduleAdvance()
	})
}

// advance brings the model up to now, and goes on with attempts whose work has ended.
func (s *server) advance() { s.complete(s.model.Advance(s.sim.now)) }

// complete goes on with attempts whose work has ended: with their calls, or with their answers.
func (s *server) complete(done []emulator.Completion) {
	for _, completion := range done {
		attempt := s.calls[completion.ID]
		if attempt == nil || !attempt.inModel {
			s.complete(s.model.Release(s.sim.now, completion.ID))
			continue
		}
		if completion.Expired {
			attempt.answer(audit.Rejected)
			continue
		}
		attempt.work += s.model.WorkDone(completion.ID)
		if s.sim.plan.Tiers[s.tier()].Calls != "" && !attempt.afterCalls {
			s.callNextTier(attempt, 0)
			continue
		}
		more := s.model.Release(s.sim.now, completion.ID)
		attempt.answer(audit.Served)
		s.complete(more)
	}
}

// callNextTier makes the calls of an attempt to the next tier, from a number on, one after another; then its work is resumed.
func (s *server) callNextTier(attempt *attempt, number int) {
	sim, incarnation := s.sim, s.incarnation
	inFlight := func() bool { return s.incarnation == incarnation && s.model != nil && s.calls[attempt.id] == attempt }
	left := attempt.request.deadline - sim.now
	if left <= 0 || s.sidecar == nil {
		s.fail(attempt)
		return
	}
	next := &call{
		request: fmt.Sprintf("%s.%d-%d", attempt.request.request, attempt.id, number),
		class:   attempt.request.class, timeLeft: left, origin: attempt.request.origin,
	}
	s.sidecar.handle(next, func(r reply) {
		switch {
		case !inFlight():
		case r.status != statusOK:
			s.advance()
			s.fail(attempt)
			s.scheduleAdvance()
		case number+1 < sim.plan.Tiers[s.tier()].CallsPerRequest:
			s.callNextTier(attempt, number+1)
		default:
			s.advance()
			attempt.afterCalls = true
			s.model.Resume(sim.now, attempt.id, attempt.workAfterCalls)
			s.scheduleAdvance()
		}
	})
}

// fail ends an attempt with an error.
func (s *server) fail(attempt *attempt) {
	more := s.model.Release(s.sim.now, attempt.id)
	attempt.answer(audit.Failed)
	s.complete(more)
}
