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

// server is one emulated server, with what discovery knows of it.
type server struct {
	sim         *sim
	index       int
	sidecar     *instance        // for its own calls; nil if it makes none
	incarnation int              // grows with each start and each end; 0 before the first start
	model       *emulator.Server // nil while it is down or silent
	silent      bool
	calls       map[uint64]*attempt // that have come to it and not ended, by their ids
	faults      map[string]float64  // share of calls, by what befalls them
	random      *rand.Rand          // of faults
	scheduledAt time.Duration       // when it is looked at next

	known    discoveryState
	wasKnown []discoveryState // what discovery knew, oldest first, where some sidecars are notified late
}

// spec returns what the plan says of the server.
func (s *server) spec() *scenario.Server { return &s.sim.plan.Servers[s.index] }

// tier returns the index of the server's tier.
func (s *server) tier() int { return s.spec().Tier }

// start brings the server up; one that is not cold has been there for long, and discovery knows it.
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

// stop ends the server; its connections break.
func (s *server) stop() {
	held := s.calls
	s.incarnation++
	s.model = nil
	s.silent = false
	s.calls = nil
	for _, id := range slices.Sorted(maps.Keys(held)) {
		a := held[id]
		a.finishAtServer(audit.Dropped)
		s.sim.scheduleAfter(toServer, func() { a.finishAtInstance(balancer.StatusReset) })
	}
}

// silence takes the machine of the server away, and its sidecar with it: what came to it gets no answer.
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

// collapse ends a cold server that was overloaded; it is started again where its tier says so.
func (s *server) collapse() {
	s.sim.record(audit.Event{Kind: audit.ServerCollapsed, Server: s.index, Sidecar: -1, Origin: -1})
	s.stop()
	incarnation := s.incarnation
	if delay := s.sim.plan.Tiers[s.tier()].RestartAfterCollapse; delay > 0 {
		s.sim.scheduleAfter(delay, func() { s.restartAfterCollapse(incarnation) })
	}
}

// restartAfterCollapse starts the server again after a collapse, if nothing has happened to it since.
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

// drawFault draws whether a fault befalls a call; nothing is drawn where the server has no such fault.
func (s *server) drawFault(name string) bool {
	return s.faults[name] > 0 && s.random.Float64() < s.faults[name]
}

// scheduleAdvance has the server looked at when its model wants to be.
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

// advance brings the model up to now, and goes on with the attempts whose work has ended.
func (s *server) advance() { s.complete(s.model.Advance(s.sim.now)) }

// complete goes on with attempts whose work has ended: with their calls, or with their answers.
func (s *server) complete(done []emulator.Completion) {
	for _, d := range done {
		a := s.calls[d.ID]
		if a == nil || !a.inModel {
			s.complete(s.model.Release(s.sim.now, d.ID))
			continue
		}
		if d.Expired {
			a.answer(audit.Rejected)
			continue
		}
		a.work += s.model.WorkDone(d.ID)
		if s.sim.plan.Tiers[s.tier()].Calls != "" && !a.afterCalls {
			s.callNextTier(a, 0)
			continue
		}
		more := s.model.Release(s.sim.now, d.ID)
		a.answer(audit.Served)
		s.complete(more)
	}
}

// callNextTier makes the k-th call of an attempt to the next tier, and then the others; after them comes the rest of its work.
func (s *server) callNextTier(a *attempt, k int) {
	sim, incarnation := s.sim, s.incarnation
	inFlight := func() bool { return s.incarnation == incarnation && s.model != nil && s.calls[a.id] == a }
	left := a.request.deadline - sim.now
	if left <= 0 || s.sidecar == nil {
		s.fail(a)
		return
	}
	next := &call{
		request: fmt.Sprintf("%s.%d-%d", a.request.request, a.id, k), class: a.request.class, timeLeft: left, origin: a.request.origin,
	}
	s.sidecar.handle(next, func(r reply) {
		switch {
		case !inFlight():
		case r.status != statusOK:
			s.advance()
			s.fail(a)
			s.scheduleAdvance()
		case k+1 < sim.plan.Tiers[s.tier()].CallsPerRequest:
			s.callNextTier(a, k+1)
		default:
			s.advance()
			a.afterCalls = true
			s.model.Resume(sim.now, a.id, a.workAfterCalls)
			s.scheduleAdvance()
		}
	})
}

// fail ends an attempt with an error.
func (s *server) fail(a *attempt) {
	more := s.model.Release(s.sim.now, a.id)
	a.answer(audit.Failed)
	s.complete(more)
}
