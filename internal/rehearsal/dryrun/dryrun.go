// Package dryrun plays a morning in virtual time: callers, boxes on the models of
// internal/rehearsal/emulator, discovery, and instances of the decision module, with no
// socket between them. It does no I/O; the same plan gives the same events, byte
// for byte, on any machine. It is judged by the same auditor as a rehearsal on
// sockets.
//
// What it leaves out: connections (a box that is up takes any call), the sidecar's
// own time, rude callers, and SIGHUP.
package dryrun

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
	"quincegap/internal/rehearsal/morning"
)

// The network, one way.
const (
	toSidecar = 100 * time.Microsecond
	toServer  = 150 * time.Microsecond
)

// repeatDelay is how late the second time is where discovery says everything twice.
const repeatDelay = 200 * time.Millisecond

// clockStart is the module's clock when callers begin to come: well above 0, which stands for long past.
const clockStart = 24 * time.Hour

// maxEvents bounds a run: what the largest morning takes, several times over.
const maxEvents = 200_000_000

// Result is what came of a run.
type Result struct {
	Verdict   *audit.Verdict
	Events    []audit.Event
	Decisions int // calls of the modules
	plan      *morning.Plan
}

// Plan is what was played.
func (r *Result) Plan() *morning.Plan { return r.plan }

// Run plays a plan.
func Run(plan *morning.Plan) (*Result, error) {
	s := &sim{plan: plan, attemptsSeen: map[string]int{}, callers: rand.New(emulator.RandomSource(plan.Seed, "connections"))}
	for i := range plan.Servers {
		b := &server{sim: s, index: i, discoveryState: discoveryState{weight: 1}, faults: map[string]float64{}, random: rand.New(emulator.RandomSource(plan.Seed, fmt.Sprint("faults ", i)))}
		s.servers = append(s.servers, b)
		if plan.Servers[i].StartsAt == 0 {
			b.start(false)
		}
	}
	for _, x := range plan.SidecarSpecs() {
		i := &instance{sim: s, SidecarSpec: x, index: len(s.instances)}
		s.instances = append(s.instances, i)
		if x.Server >= 0 {
			s.servers[x.Server].sidecar = i
		}
		if x.Server < 0 || plan.Servers[x.Server].StartsAt == 0 {
			if err := i.start(); err != nil {
				return nil, err
			}
		}
	}
	for _, step := range plan.Steps {
		if step.At <= plan.Length {
			s.schedule(step.At, func() { s.playStep(step) })
		}
	}
	for n, a := range plan.Arrivals {
		s.schedule(a.At, func() { s.playArrival(n) })
	}
	for n := 0; s.queue.Len() > 0; n++ {
		if n > maxEvents {
			return nil, fmt.Errorf("at %v the run has had %d events: something goes round in circles", s.now, n)
		}
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	if s.err != nil {
		return nil, s.err
	}
	events, lost := s.log.Events()
	rules := plan.AuditRules()
	for _, i := range s.instances {
		rules.Sidecars = append(rules.Sidecars, i.Name)
	}
	return &Result{audit.Judge(rules, events, lost), events, s.decisions, plan}, nil
}

// sim is one run.
type sim struct {
	plan         *morning.Plan
	now          time.Duration
	queue        eventQueue
	seq          uint64
	log          audit.Log
	servers      []*server
	instances    []*instance
	nextSidecar  int // of the front
	callers      *rand.Rand
	attempts     uint64
	attemptsSeen map[string]int // attempts seen, by request
	decisions    int
	repeats      bool // discovery says everything twice
	err          error
}

// schedule has something happen at a time; what is asked for earlier comes first among equals.
func (s *sim) schedule(when time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{max(when, s.now), s.seq, do})
}

func (s *sim) scheduleAfter(d time.Duration, do func()) { s.schedule(s.now+d, do) }

func (s *sim) record(e audit.Event) {
	e.At = s.now
	s.log.Add(e)
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// playArrival plays one arrival.
func (s *sim) playArrival(n int) {
	caller, toFirst := s.plan.Caller(n, s.now), s.plan.PrefersFirstSidecar(n)
	var try func()
	try = func() {
		number, left, ok := caller.NextAttempt(s.now)
		if !ok {
			return
		}
		again := func(r reply) {
			if wait, ok := caller.RetryAfter(s.now, r.status, r.retryAfter); ok {
				s.scheduleAfter(wait, try)
			}
		}
		to := s.pickSidecar(toFirst)
		if to == nil {
			again(reply{})
			return
		}
		to.handle(&call{request: morning.RequestID(n, number), class: s.plan.Arrivals[n].Class, timeLeft: left, origin: n, callerAttempt: number}, again)
	}
	try()
}

// pickSidecar is where a caller from outside sends its request: on a connection that stands idle, drawn at random, whatever
// the front does with new ones; or on a new one, to one of the sidecars that are in the front in turn.
func (s *sim) pickSidecar(toFirst bool) *instance {
	outside := s.instances[:s.plan.Sidecars.Count]
	if toFirst && outside[0].inRotation {
		return outside[0]
	}
	idle := 0
	for _, i := range outside {
		idle += i.idleConnections()
	}
	if idle > 0 {
		for n := s.callers.IntN(idle); ; {
			for _, i := range outside {
				if n -= i.idleConnections(); n < 0 {
					return i
				}
			}
		}
	}
	var in []*instance
	for _, i := range outside {
		if i.inRotation {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return nil
	}
	s.nextSidecar++
	return in[s.nextSidecar%len(in)]
}

// idleConnections is how many callers' connections to the instance have no request on them.
func (i *instance) idleConnections() int {
	if !i.up {
		return 0
	}
	return i.open - i.busy
}

// handle is a request to an instance, and reply what came of it.
type call struct {
	request       string
	class         int
	timeLeft      time.Duration
	origin        int
	callerAttempt int
}

type reply struct {
	status     int
	retryAfter time.Duration
}

// instance is a sidecar: the decision module with what the program round it does.
type instance struct {
	morning.SidecarSpec
	sim         *sim
	index       int
	incarnation int
	up          bool
	inRotation  bool
	open        int           // callers' connections
	busy        int           // of these, with a request on them
	endsAt      time.Duration // when all is answered; 0 if it was not told to end
	balancer    *balancer.Balancer
	requests    map[balancer.RequestID]*request
	connections map[int]*connections
	serverByID  map[balancer.EndpointID]int
}

// request is one that an instance has taken.
type request struct {
	*call
	instance  *instance
	deadline  time.Duration
	attempts  int
	pending   *attempt
	answered  bool
	abandoned bool // nobody waits any more
	reply     func(reply)
}

// attempt is one sending to a box.
type attempt struct {
	id             uint64
	number         int
	request        *request
	server         *server
	incarnation    int // of the box, when it came there; 0 before
	connections    *connections
	sentAt         time.Duration
	finished       bool // at the instance
	endedAtServer  bool // at the box
	inModel        bool // the model has it
	afterCalls     bool
	muted          bool
	workAfterCalls time.Duration
	work           time.Duration
}

// connections are an instance's connections to one life of a box.
type connections struct {
	incarnation, open, busy int
	established             bool // it has answered, so that one stands
}

// connectionsTo are those to the box as it lives now.
func (i *instance) connectionsTo(b *server) *connections {
	c := i.connections[b.index]
	if c == nil || c.incarnation != b.incarnation {
		c = &connections{incarnation: b.incarnation}
		i.connections[b.index] = c
	}
	return c
}

// connect has an attempt that comes to its box use a connection that stands idle, or a new one.
func (a *attempt) connect() {
	i := a.request.instance
	c := i.connectionsTo(a.server)
	if a.connections, c.busy = c, c.busy+1; c.busy > c.open {
		c.open = c.busy
		i.sim.record(audit.Event{Kind: audit.ConnectionOpened, Sidecar: i.index, Server: a.server.index, Origin: -1})
	}
}

// releaseConnection ends an attempt's use of its connection, which stands on after an answer.
func (a *attempt) releaseConnection(answered bool) {
	if a.connections == nil {
		return
	}
	if a.connections.busy--; !answered {
		a.connections.open--
	}
	a.connections = nil
}

func (i *instance) clock() time.Duration { return clockStart + i.sim.now }

// start starts the instance with the list as discovery has it.
func (i *instance) start() error {
	i.incarnation++
	i.up, i.inRotation, i.endsAt, i.open, i.busy = true, i.Server < 0, 0, 0, 0
	i.requests, i.connections, i.serverByID = map[balancer.RequestID]*request{}, map[int]*connections{}, map[balancer.EndpointID]int{}
	text, err := json.Marshal(i.sim.plan.Settings(i.Tier, i.Number, i.Count))
	if err != nil {
		return err
	}
	set, _, err := settings.Parse(text)
	if err != nil {
		return err
	}
	if i.balancer, err = balancer.New(set.Settings, i.sim.plan.Seed^uint64(i.index)<<32^uint64(i.incarnation), i); err != nil {
		return err
	}
	i.sim.record(audit.Event{Kind: audit.SidecarUp, Sidecar: i.index, Server: -1, Origin: -1})
	list := balancer.EndpointList{Kind: balancer.ListFull, Version: 1}
	for _, b := range i.sim.servers {
		if n := b.stateAt(i.sim.now - i.notificationDelay()); b.tier() == i.Tier && n.state != "" && n.state != "Gone" {
			list.Entries = append(list.Entries, i.listEntry(b, n))
			i.sim.record(audit.Event{Kind: audit.SidecarNotified, Sidecar: i.index, Server: b.index, Text: n.state, Origin: -1})
		}
	}
	i.balancer.HandleEndpoints(i.clock(), list)
	return nil
}

func (i *instance) notificationDelay() time.Duration {
	return i.sim.plan.NotificationDelay(i.SidecarSpec)
}

// listEntry is a box in the module's list, as discovery has it at a time.
func (i *instance) listEntry(b *server, n discoveryState) balancer.ListEntry {
	id := balancer.EndpointID(b.index + 1)
	i.serverByID[id] = b.index
	p := b.spec()
	e := balancer.ListEntry{
		Endpoint: id, MachineKind: p.Tier, Cell: p.Cell, Weight: n.weight,
		State: map[string]balancer.EndpointState{"Ready": balancer.EndpointReady, "Terminating": balancer.EndpointDraining, "Gone": balancer.EndpointRemoved}[n.state],
	}
	switch {
	case n.boot == 0, i.sim.plan.Discovery.BootTime == morning.BootTimeNone:
	case i.sim.plan.Discovery.BootTime == morning.BootTimeAhead:
		e.StartedAt = clockStart + n.boot + morning.BootTimeSkew
	default:
		e.StartedAt = clockStart + n.boot
	}
	return e
}

// notify takes news of one box, late or at once.
func (i *instance) notify(b *server) {
	if late := i.notificationDelay(); late > 0 {
		n, life := b.discoveryState, i.incarnation
		i.sim.scheduleAfter(late, func() {
			if i.incarnation == life { // a later one has a list of its own
				i.applyUpdate(b, n)
			}
		})
		return
	}
	i.applyUpdate(b, b.discoveryState)
}

func (i *instance) applyUpdate(b *server, n discoveryState) {
	if !i.up || b.tier() != i.Tier || n.state == "" {
		return
	}
	i.sim.record(audit.Event{Kind: audit.SidecarNotified, Sidecar: i.index, Server: b.index, Text: n.state, Origin: -1})
	i.sim.decisions++
	i.balancer.HandleEndpoints(i.clock(), balancer.EndpointList{Kind: balancer.ListDelta, Version: i.sim.seq, Entries: []balancer.ListEntry{i.listEntry(b, n)}})
}

// kill ends the instance at once: what it had is lost.
func (i *instance) kill() {
	if !i.up {
		return
	}
	i.up = false
	life := i.incarnation
	i.incarnation++
	i.sim.record(audit.Event{Kind: audit.SidecarKilled, Sidecar: i.index, Server: -1, Origin: -1})
	i.abortRequests()
	i.sim.scheduleAfter(2*time.Second, func() {
		if i.incarnation == life+1 {
			i.inRotation = false
		}
	})
}

// abortRequests ends all that the instance has, in the order of the ids so that each run does the same.
func (i *instance) abortRequests() {
	for _, id := range sortedIDs(i.requests) {
		r := i.requests[id]
		if r.pending != nil {
			r.pending.finished = true
			r.pending.cancel()
		}
		if !r.answered && !r.abandoned {
			r.abandoned = true
			i.sim.record(audit.Event{Kind: audit.ConnectionClosed, Request: r.request, Sidecar: i.index, Server: -1, Origin: r.origin})
			r.reply(reply{})
		}
	}
	i.requests = map[balancer.RequestID]*request{}
}

// shutDown tells the instance to end, as SIGTERM does.
func (i *instance) shutDown() {
	if !i.up {
		return
	}
	var longest time.Duration
	for _, c := range i.sim.plan.Classes {
		longest = max(longest, c.Deadline)
	}
	life := i.incarnation
	i.sim.record(audit.Event{Kind: audit.SidecarStopping, Sidecar: i.index, Server: -1, Origin: -1})
	i.endsAt = i.sim.now + min(longest, 3*time.Second) + 500*time.Millisecond
	for _, r := range i.requests {
		r.deadline = min(r.deadline, i.endsAt)
	}
	i.sim.decisions++
	i.balancer.ShutDownAt(i.clock(), clockStart+i.endsAt)
	i.sim.scheduleAfter(300*time.Millisecond, func() {
		if i.incarnation == life {
			i.inRotation = false
		}
	})
	i.sim.schedule(i.endsAt, func() {
		if i.incarnation != life {
			return
		}
		for _, id := range sortedIDs(i.requests) {
			if r := i.requests[id]; r != nil && r.pending != nil {
				r.pending.finishAtInstance(balancer.StatusTimeout)
			}
		}
	})
	i.sim.schedule(i.endsAt+100*time.Millisecond, func() {
		if i.incarnation == life {
			i.up = false
			i.incarnation++
			i.abortRequests()
		}
	})
}

// handle brings a request, and has the reply called when it has ended for its caller.
func (i *instance) handle(a *call, done func(reply)) {
	s := i.sim
	if !i.up {
		s.scheduleAfter(toSidecar, func() { done(reply{}) })
		return
	}
	s.record(audit.Event{Kind: audit.RequestSent, Request: a.request, Sidecar: i.index, Server: -1, Origin: a.origin, CallerAttempt: a.callerAttempt, Class: a.class, Duration: a.timeLeft})
	life := i.incarnation
	i.busy++
	i.open = max(i.open, i.busy)
	r := &request{call: a, instance: i, deadline: s.now + a.timeLeft - time.Millisecond, reply: func(x reply) {
		if i.incarnation == life {
			i.busy--
		}
		done(x)
	}}
	s.scheduleAfter(toSidecar, func() {
		if i.incarnation != life {
			r.abandoned = true
			s.record(audit.Event{Kind: audit.ConnectionClosed, Request: a.request, Sidecar: i.index, Server: -1, Origin: a.origin})
			r.reply(reply{})
			return
		}
		if i.endsAt > 0 {
			r.deadline = min(r.deadline, i.endsAt)
		}
		id := balancer.RequestID(a.request)
		i.requests[id] = r
		s.decisions++
		i.balancer.HandleRequest(i.clock(), balancer.Request{ID: id, Class: a.class, TimeLeft: r.deadline - s.now, IdleConnections: i.idleConnections()})
	})
	s.scheduleAfter(a.timeLeft+2*s.plan.Rules.Slack, func() {
		if r.answered || r.abandoned || i.incarnation != life {
			return
		}
		s.record(audit.Event{Kind: audit.CallerTimedOut, Request: a.request, Sidecar: i.index, Server: -1, Origin: a.origin})
		r.abandon()
		r.reply(reply{})
	})
}

// abandon tells the module that the caller has gone.
func (r *request) abandon() {
	i := r.instance
	if r.abandoned || r.answered || i.requests[balancer.RequestID(r.request)] != r {
		return
	}
	r.abandoned, r.answered = true, true
	if a := r.pending; a != nil {
		i.sim.scheduleAfter(0, func() { a.finishAtInstance(balancer.StatusCancelled) })
	}
	i.sim.decisions++
	i.balancer.HandleClientGone(i.clock(), balancer.RequestID(r.request))
	r.release()
}

// answer gives the final answer.
func (r *request) answer(status int, after time.Duration, good bool) {
	if r.answered {
		return
	}
	r.answered = true
	i, s := r.instance, r.instance.sim
	s.scheduleAfter(toSidecar, func() {
		if r.abandoned {
			return
		}
		r.abandoned = true
		s.record(audit.Event{Kind: audit.AnswerReceived, Request: r.request, Status: status, Duration: after, Authentic: good, Sidecar: i.index, Server: -1, Origin: r.origin, CallerAttempt: r.callerAttempt})
		r.reply(reply{status, after})
	})
}

func (r *request) release() {
	if r.answered && r.pending == nil {
		delete(r.instance.requests, balancer.RequestID(r.request))
	}
}

// The Host.

func (i *instance) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	s, r := i.sim, i.requests[id]
	s.attempts++
	if i.balancer.Ejected(to) {
		s.record(audit.Event{Kind: audit.EjectedAttempted, Request: r.request, Sidecar: i.index, Server: i.serverByID[to], Origin: r.origin})
	}
	a := &attempt{id: s.attempts, number: r.attempts, request: r, server: s.servers[i.serverByID[to]], sentAt: s.now}
	r.attempts++
	r.pending = a
	deadline := r.deadline
	if timeout > 0 {
		deadline = min(deadline, s.now+timeout)
	}
	s.scheduleAfter(toServer, a.arrive)
	s.schedule(deadline, func() { a.finishAtInstance(balancer.StatusTimeout) })
}

func (i *instance) Reject(id balancer.RequestID, retryAfter time.Duration) {
	if r := i.requests[id]; r != nil {
		r.answer(503, retryAfter, false)
		r.release()
	}
}

func (i *instance) Fail(id balancer.RequestID) {
	if r := i.requests[id]; r != nil {
		r.answer(502, 0, false)
		r.release()
	}
}

func (i *instance) Cancel(id balancer.RequestID, number int) {
	if r := i.requests[id]; r != nil && r.pending != nil && r.pending.number == number {
		a := r.pending
		i.sim.scheduleAfter(0, func() { a.finishAtInstance(balancer.StatusCancelled) }) // the module must not be called back into
	}
}

func (i *instance) SetTimer(token uint64, after time.Duration) {
	life := i.incarnation
	i.sim.scheduleAfter(after, func() {
		if i.incarnation == life && i.up {
			i.sim.decisions++
			i.balancer.HandleTimer(i.clock(), token)
		}
	})
}

// recordListRequest notes that the instance asks for a list. It has them pushed.
func (i *instance) recordListRequest() {
	i.sim.record(audit.Event{Kind: audit.ListRequested, Sidecar: i.index, Server: -1, Origin: -1})
}

func (i *instance) HealthCheck(balancer.EndpointID)          {}
func (i *instance) SendToPeer(int, []byte)                   {}
func (i *instance) WatchEndpoints(bool)                      { i.recordListRequest() }
func (i *instance) FetchEndpoints()                          { i.recordListRequest() }
func (i *instance) CloseIdleConnections(balancer.EndpointID) {}
func (i *instance) Log(string)                               {}
