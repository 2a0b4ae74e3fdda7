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

// server is one emulated server with its state in discovery.
type server struct {
	sim         *sim
	index       int
	sidecar     *instance           // sidecar through which it makes its calls; nil if it makes none
	incarnation int                 // counter that is incremented at each start and each end; 0 before the first start
	model       *emulator.Server    // model of the running server; nil while it is down or silent
	silent      bool                // whether its machine doesn't respond
	calls       map[uint64]*attempt // attempts that have arrived and not ended, by ID
	faults      map[string]float64  // share of attempts that a fault affects, by its name in the script
	random      *rand.Rand          // source for the choice of the attempts that faults affect
	scheduledAt time.Duration       // time for which the next advance of the model is scheduled

	known       discoveryState   // current state in discovery
	knownBefore []discoveryState // earlier values of known, oldest first; recorded only if some sidecars are notified late
}

// spec returns the entry of the server in the plan.
func (s *server) spec() *scenario.Server { return &s.sim.plan.Servers[s.index] }

// tier returns the index of the server's tier.
func (s *server) tier() int { return s.spec().Tier }

// start starts the server. A server that is not cold counts as having been up for a long time, and discovery has it as ready.
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

// stop ends the server and resets the connections of all attempts in flight.
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

// silence makes the machine of the server unresponsive: attempts that have arrived get no answer, and its sidecar ends.
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

// collapse ends a cold server that was overloaded, and schedules its restart if its tier has RestartAfterCollapse.
func (s *server) collapse() {
	s.sim.record(audit.Event{Kind: audit.ServerCollapsed, Server: s.index, Sidecar: -1, Origin: -1})
	s.stop()
	incarnation := s.incarnation
	if delay := s.sim.plan.Tiers[s.tier()].RestartAfterCollapse; delay > 0 {
		s.sim.scheduleAfter(delay, func() { s.restartAfterCollapse(incarnation) })
	}
}

// restartAfterCollapse starts a collapsed server again, unless it has been started or stopped since the collapse.
func (s *server) restartAfterCollapse(incarnation int) {
	if s.incarnation != incarnation {
		return
	}
	s.stop()
	s.start(true)
	boot := s.sim.now
	s.sim.scheduleAfter(s.sim.plan.Discovery.AddDelay, func() {
		if s.incarnation == incarnation+2 && s.known.state == stateReady { // the stop and the start above each added 1
			s.updateState(discoveryState{weight: s.known.weight, state: stateReady, boot: boot})
			s.sim.notifyAll(s)
		}
	})
}

// drawFault draws whether a fault affects an attempt. If the server doesn't have the fault, it returns false without a draw.
func (s *server) drawFault(name string) bool {
	return s.faults[name] > 0 && s.random.Float64() < s.faults[name]
}

// scheduleAdvance schedules the next advance of the model, unless it is already scheduled.
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

// advance advances the model to the current time and continues the attempts whose work has ended.
func (s *server) advance() { s.complete(s.model.Advance(s.sim.now)) }

// complete continues the attempts whose work has ended: it makes their calls to the next tier or sends their answers.
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

// callNextTier makes the calls of an attempt to the next tier one after another, starting with the given number, and then resumes the
// work of the attempt. If a call fails, so does the attempt.
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

// fail releases the slot of an attempt and answers it with an error.
func (s *server) fail(attempt *attempt) {
	more := s.model.Release(s.sim.now, attempt.id)
	attempt.answer(audit.Failed)
	s.complete(more)
}
