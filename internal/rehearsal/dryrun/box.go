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
	"quincegap/internal/rehearsal/morning"
)

func sortedIDs(m map[balancer.RequestID]*request) []balancer.RequestID {
	return slices.Sorted(maps.Keys(m))
}

// server is one server.
type server struct {
	sim            *sim
	index          int
	sidecar        *instance // its sidecar for calls; nil if it makes none
	incarnation    int
	model          *emulator.Server // nil while it is down or silent
	silent         bool
	calls          map[uint64]*attempt // that it holds, whatever becomes of them
	faults         map[string]float64
	random         *rand.Rand
	scheduledAt    time.Duration    // when it is looked at next
	discoveryState                  // what discovery knows
	previousStates []discoveryState // what it knew, oldest first, where some hear of it late
}

// discoveryState is what discovery knows of a box from a time on.
type discoveryState struct {
	at     time.Duration
	weight float64
	state  string // its state; empty if it does not know the box
	boot   time.Duration
}

// stateAt is what discovery knew at a time.
func (b *server) stateAt(at time.Duration) discoveryState {
	if b.discoveryState.at <= at || b.sim.plan.Discovery.LateDelay == 0 {
		return b.discoveryState
	}
	for _, n := range slices.Backward(b.previousStates) {
		if n.at <= at {
			return n
		}
	}
	return discoveryState{}
}

// updateState has discovery know something else of a box.
func (b *server) updateState(n discoveryState) {
	if b.sim.plan.Discovery.LateDelay > 0 {
		b.previousStates = append(b.previousStates, b.discoveryState)
	}
	n.at = b.sim.now
	b.discoveryState = n
}

func (b *server) spec() *morning.Server { return &b.sim.plan.Servers[b.index] }
func (b *server) tier() int             { return b.spec().Tier }

func (b *server) start(cold bool) {
	b.incarnation++
	b.silent = false
	b.calls = map[uint64]*attempt{}
	b.model = emulator.NewServer(b.spec().Spec, b.sim.now, cold)
	if cold {
		b.sim.record(audit.Event{Kind: audit.ServerStarted, Server: b.index, Sidecar: -1, Origin: -1})
	} else {
		b.state, b.discoveryState.at = "Ready", math.MinInt64
	}
}

// restartAfterCollapse has the box's keeper start it again after a fall, if nothing has happened to it since.
func (b *server) restartAfterCollapse(life int) {
	if b.incarnation != life {
		return
	}
	b.stop()
	b.start(true)
	boot := b.sim.now
	b.sim.scheduleAfter(b.sim.plan.Discovery.AddDelay, func() {
		if b.incarnation == life+2 && b.state == "Ready" { // down and start count
			b.updateState(discoveryState{weight: b.weight, state: "Ready", boot: boot})
			b.sim.notifyAll(b)
		}
	})
}

// stop ends the box; its connections break.
func (b *server) stop() {
	held := b.calls
	b.incarnation++
	b.model, b.silent, b.calls = nil, false, nil
	for _, id := range slices.Sorted(maps.Keys(held)) {
		a := held[id]
		a.finishAtServer(audit.Dropped)
		b.sim.scheduleAfter(toServer, func() { a.finishAtInstance(balancer.StatusReset) })
	}
}

// scheduleAdvance has the box looked at when it wants to be.
func (b *server) scheduleAdvance() {
	if b.model == nil {
		return
	}
	next, ok := b.model.Next()
	if !ok || next == b.scheduledAt {
		return
	}
	b.scheduledAt = next
	life := b.incarnation
	b.sim.schedule(next, func() {
		if b.incarnation != life || b.model == nil {
			return
		}
		if b.scheduledAt == b.sim.now {
			b.scheduledAt = -1
		}
		b.advance()
		b.scheduleAdvance()
	})
}

func (b *server) advance() { b.complete(b.model.Advance(b.sim.now)) }

func (b *server) complete(done []emulator.Completion) {
	for _, d := range done {
		a := b.calls[d.ID]
		if a == nil || !a.inModel {
			b.complete(b.model.Release(b.sim.now, d.ID))
			continue
		}
		if d.Expired {
			a.answer(audit.Rejected)
			continue
		}
		a.work += b.model.WorkDone(d.ID)
		if b.sim.plan.Tiers[b.tier()].Calls != "" && !a.afterCalls {
			b.callNextTier(a, 0)
			continue
		}
		more := b.model.Release(b.sim.now, d.ID)
		a.answer(audit.Served)
		b.complete(more)
	}
}

// callNextTier makes the k-th call to the next tier, and then the others; after them comes the rest of the work.
func (b *server) callNextTier(a *attempt, k int) {
	s, life := b.sim, b.incarnation
	here := func() bool { return b.incarnation == life && b.model != nil && b.calls[a.id] == a }
	left := a.request.deadline - s.now
	if left <= 0 || b.sidecar == nil {
		b.fail(a)
		return
	}
	q := &call{request: fmt.Sprintf("%s.%d-%d", a.request.request, a.id, k), class: a.request.class, timeLeft: left, origin: a.request.origin}
	b.sidecar.handle(q, func(r reply) {
		switch {
		case !here():
		case r.status != 200:
			b.advance()
			b.fail(a)
			b.scheduleAdvance()
		case k+1 < s.plan.Tiers[b.tier()].CallsPerRequest:
			b.callNextTier(a, k+1)
		default:
			b.advance()
			a.afterCalls = true
			b.model.Resume(s.now, a.id, a.workAfterCalls)
			b.scheduleAdvance()
		}
	})
}

func (b *server) fail(a *attempt) {
	more := b.model.Release(b.sim.now, a.id)
	a.answer(audit.Failed)
	b.complete(more)
}

// arrive brings an attempt to its box.
func (a *attempt) arrive() {
	b, s, i := a.server, a.request.instance.sim, a.request.instance
	if a.finished {
		return // withdrawn on its way: it was never written
	}
	if b.model == nil {
		s.record(audit.Event{Kind: audit.AttemptUnreachable, Request: a.request.request, Sidecar: i.index, Server: b.index, Origin: a.request.origin})
	}
	switch {
	case b.silent && !i.connectionsTo(b).established:
		s.schedule(a.sentAt+s.plan.Rules.ConnectTimeout, func() { a.finishAtInstance(balancer.StatusConnectFailed) })
		return
	case b.model == nil && !b.silent:
		s.scheduleAfter(toServer, func() { a.finishAtInstance(balancer.StatusConnectFailed) })
		return
	}
	a.incarnation = b.incarnation
	a.connect()
	b.calls[a.id] = a
	s.record(audit.Event{Kind: audit.AttemptReceived, Request: a.request.request, FirstByteAt: s.now, AttemptID: a.id, Server: b.index, Sidecar: -1, Origin: a.request.origin})
	chance := func(what string) bool { return b.faults[what] > 0 && b.random.Float64() < b.faults[what] }
	switch {
	case b.silent || chance("lose"):
		a.muted = true
		return
	case chance("reset"):
		a.finishAtServer(audit.Dropped)
		s.scheduleAfter(toServer, func() { a.finishAtInstance(balancer.StatusReset) })
		return
	case chance("refuse"):
		a.answer(audit.Rejected)
		return
	case chance("fail"):
		a.answer(audit.Failed)
		return
	}
	s.attemptsSeen[a.request.request]++
	before, after := s.plan.WorkOf(a.request.request, b.tier(), s.attemptsSeen[a.request.request])
	a.workAfterCalls = after
	b.advance()
	switch b.model.Offer(s.now, a.id, before, a.request.deadline) {
	case emulator.Accepted:
		a.inModel = true
		b.scheduleAdvance()
	case emulator.Rejected:
		a.answer(audit.Rejected)
	case emulator.Collapsed:
		s.record(audit.Event{Kind: audit.ServerCollapsed, Server: b.index, Sidecar: -1, Origin: -1})
		b.stop()
		if life, keeper := b.incarnation, s.plan.Tiers[b.tier()].RestartAfterCollapse; keeper > 0 {
			s.scheduleAfter(keeper, func() { b.restartAfterCollapse(life) })
		}
	}
}

// finishAtServer notes the end of an attempt at its box.
func (a *attempt) finishAtServer(how audit.AttemptResult) {
	if a.endedAtServer || a.incarnation == 0 {
		return
	}
	a.endedAtServer = true
	if a.server.incarnation == a.incarnation {
		delete(a.server.calls, a.id)
	}
	a.request.instance.sim.record(audit.Event{Kind: audit.AttemptEnded, Request: a.request.request, AttemptID: a.id, Server: a.server.index, Sidecar: -1, Result: how, Work: a.work, Origin: a.request.origin})
}

// answer sends the answer of the box.
func (a *attempt) answer(how audit.AttemptResult) {
	if a.muted {
		return
	}
	b, s := a.server, a.request.instance.sim
	if how == audit.Served && b.faults["garble"] > 0 && b.random.Float64() < b.faults["garble"] {
		how = audit.Garbled
	}
	a.finishAtServer(how)
	status := map[audit.AttemptResult]balancer.Status{
		audit.Served: balancer.StatusOK, audit.Failed: balancer.StatusError,
		audit.Rejected: balancer.StatusRejected, audit.Garbled: balancer.StatusInvalidResponse,
	}[how]
	life := b.incarnation
	s.scheduleAfter(toServer, func() {
		if c := a.connections; c != nil && b.incarnation == life {
			c.established = true
		}
		a.finishAtInstance(status)
	})
}

// cancel takes an attempt back that its instance does not want any more.
func (a *attempt) cancel() {
	b, s := a.server, a.request.instance.sim
	s.scheduleAfter(toServer, func() {
		if a.endedAtServer || a.incarnation == 0 || b.incarnation != a.incarnation {
			return
		}
		if a.inModel && b.model != nil {
			b.advance()
			if a.endedAtServer {
				b.scheduleAdvance()
				return
			}
			got := b.model.WorkDone(a.id)
			stopped, expired := b.model.Cancel(s.now, a.id)
			if !stopped {
				got = 0
				a.work += a.workAfterCalls
			}
			a.work += got
			a.finishAtServer(audit.Canceled)
			b.complete(expired)
			b.scheduleAdvance()
			return
		}
		a.finishAtServer(audit.Canceled)
	})
}

// finishAtInstance is the end of an attempt at its instance.
func (a *attempt) finishAtInstance(status balancer.Status) {
	r, i := a.request, a.request.instance
	if a.finished || r.pending != a || i.requests[balancer.RequestID(r.request)] != r {
		return
	}
	a.finished = true
	a.releaseConnection(status == balancer.StatusOK || status == balancer.StatusError || status == balancer.StatusRejected)
	r.pending = nil
	if status == balancer.StatusTimeout || status == balancer.StatusCancelled {
		a.cancel()
	}
	final := r.answered
	if status == balancer.StatusOK && !r.answered {
		final = true
		r.answer(200, 0, true)
	}
	i.sim.decisions++
	i.balancer.HandleOutcome(i.clock(), balancer.Outcome{
		ID: balancer.RequestID(r.request), Endpoint: balancer.EndpointID(a.server.index + 1),
		Attempt: a.number, Final: final, Elapsed: i.sim.now - a.sentAt, Status: status,
	})
	r.release()
}

// playStep plays one step of the plan.
func (s *sim) playStep(x morning.Step) {
	switch x.Kind {
	case morning.ServerCrash:
		b := s.servers[x.Server]
		if b.sidecar != nil {
			b.sidecar.kill()
		}
		b.stop()
	case morning.ServerSilence:
		b := s.servers[x.Server]
		if b.model == nil {
			return
		}
		b.silent, b.model = true, nil
		for _, a := range b.calls {
			a.muted = true
		}
		if b.sidecar != nil {
			b.sidecar.kill()
		}
	case morning.ServerStart:
		b := s.servers[x.Server]
		b.stop()
		b.start(true)
		if b.sidecar != nil {
			b.sidecar.kill()
			s.restart(b.sidecar)
		}
	case morning.ServerPause, morning.ServerSlowdown:
		b := s.servers[x.Server]
		if b.model == nil {
			return
		}
		b.advance()
		if x.Kind == morning.ServerPause {
			b.model.Pause(s.now, x.Until)
		} else {
			b.model.Slow(s.now, x.Amount)
		}
		b.scheduleAdvance()
	case morning.ServerFault:
		s.servers[x.Server].faults[x.Name] = x.Amount
	case morning.DiscoveryUpdate:
		b := s.servers[x.Server]
		b.updateState(discoveryState{weight: b.weight, state: x.State, boot: x.Boot})
		s.notifyAll(b)
	case morning.DiscoveryWeight:
		b := s.servers[x.Server]
		if b.updateState(discoveryState{weight: x.Amount, state: b.state, boot: b.boot}); b.state != "" && b.state != "Gone" {
			s.notifyAll(b)
		}
	case morning.DiscoveryRepeat:
		s.repeats = x.Amount > 0
	case morning.SidecarSignal:
		switch i := s.instances[x.Sidecar]; x.Name {
		case "SIGTERM":
			i.shutDown()
		case "SIGKILL", "SIGSTOP":
			i.kill()
		}
	case morning.SidecarRestart:
		s.restart(s.instances[x.Sidecar])
	}
}

// notifyAll has all instances hear of a box; twice where discovery repeats itself.
func (s *sim) notifyAll(b *server) {
	for _, i := range s.instances {
		i.notify(b)
		if s.repeats {
			s.scheduleAfter(repeatDelay, func() { i.notify(b) })
		}
	}
}

// restart starts an instance again, once it has ended.
func (s *sim) restart(i *instance) {
	if i.up {
		if i.endsAt > 0 { // else it serves already
			s.schedule(i.endsAt+200*time.Millisecond, func() { s.restart(i) })
		}
		return
	}
	if err := i.start(); err != nil && s.err == nil {
		s.err = err
	}
}
