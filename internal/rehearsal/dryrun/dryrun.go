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
	toBox     = 150 * time.Microsecond
)

// repeatAfter is how late the second time is where discovery says everything twice.
const repeatAfter = 200 * time.Millisecond

// clockStart is the module's clock when callers begin to come: well above 0, which stands for long past.
const clockStart = 24 * time.Hour

// mostEvents bounds a run: what the largest morning takes, several times over.
const mostEvents = 200_000_000

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
	s := &sim{plan: plan, memory: map[string]int{}, callers: rand.New(emulator.Source(plan.Seed, "connections"))}
	for i := range plan.Boxes {
		b := &box{s: s, index: i, news: news{weight: 1}, faults: map[string]float64{}, random: rand.New(emulator.Source(plan.Seed, fmt.Sprint("faults ", i)))}
		s.boxes = append(s.boxes, b)
		if plan.Boxes[i].From == 0 {
			b.start(false)
		}
	}
	for _, x := range plan.Senders() {
		i := &instance{s: s, Sender: x, index: len(s.instances)}
		s.instances = append(s.instances, i)
		if x.Box >= 0 {
			s.boxes[x.Box].own = i
		}
		if x.Box < 0 || plan.Boxes[x.Box].From == 0 {
			if err := i.start(); err != nil {
				return nil, err
			}
		}
	}
	for _, step := range plan.Steps {
		if step.At <= plan.Length {
			s.at(step.At, func() { s.step(step) })
		}
	}
	for n, a := range plan.Arrivals {
		s.at(a.At, func() { s.arrive(n) })
	}
	for n := 0; s.queue.Len() > 0; n++ {
		if n > mostEvents {
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
	plan      *morning.Plan
	now       time.Duration
	queue     queue
	seq       uint64
	log       audit.Log
	boxes     []*box
	instances []*instance
	next      int // of the front
	callers   *rand.Rand
	attempts  uint64
	memory    map[string]int // attempts seen, by request
	decisions int
	again     bool // discovery says everything twice
	err       error
}

// at has something happen at a time; what is asked for earlier comes first among equals.
func (s *sim) at(when time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{max(when, s.now), s.seq, do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *sim) add(e audit.Event) {
	e.At = s.now
	s.log.Add(e)
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// arrive plays one arrival.
func (s *sim) arrive(n int) {
	caller, toFirst := s.plan.Caller(n, s.now), s.plan.AtFirst(n)
	var try func()
	try = func() {
		number, left, ok := caller.Try(s.now)
		if !ok {
			return
		}
		again := func(r reply) {
			if wait, ok := caller.Again(s.now, r.status, r.after); ok {
				s.after(wait, try)
			}
		}
		to := s.front(toFirst)
		if to == nil {
			again(reply{})
			return
		}
		to.ask(&ask{request: morning.Request(n, number), class: s.plan.Arrivals[n].Class, left: left, origin: n, try: number}, again)
	}
	try()
}

// front is where a caller from outside sends its request: on a connection that stands idle, drawn at random, whatever
// the front does with new ones; or on a new one, to one of the sidecars that are in the front in turn.
func (s *sim) front(toFirst bool) *instance {
	outside := s.instances[:s.plan.Sidecars.Count]
	if toFirst && outside[0].fronted {
		return outside[0]
	}
	idle := 0
	for _, i := range outside {
		idle += i.idle()
	}
	if idle > 0 {
		for n := s.callers.IntN(idle); ; {
			for _, i := range outside {
				if n -= i.idle(); n < 0 {
					return i
				}
			}
		}
	}
	var in []*instance
	for _, i := range outside {
		if i.fronted {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return nil
	}
	s.next++
	return in[s.next%len(in)]
}

// idle is how many callers' connections to the instance have no request on them.
func (i *instance) idle() int {
	if !i.up {
		return 0
	}
	return i.open - i.busy
}

// ask is a request to an instance, and reply what came of it.
type ask struct {
	request string
	class   int
	left    time.Duration
	origin  int
	try     int
}

type reply struct {
	status int
	after  time.Duration
}

// instance is a sidecar: the decision module with what the program round it does.
type instance struct {
	morning.Sender
	s        *sim
	index    int
	life     int
	up       bool
	fronted  bool
	open     int           // callers' connections
	busy     int           // of these, with a request on them
	endsAt   time.Duration // when all is answered; 0 if it was not told to end
	b        *balancer.Balancer
	requests map[balancer.RequestID]*request
	conns    map[int]*conns
	byID     map[balancer.EndpointID]int
}

// request is one that an instance has taken.
type request struct {
	*ask
	in       *instance
	deadline time.Duration
	attempts int
	out      *attempt
	answered bool
	closed   bool // nobody waits any more
	reply    func(reply)
}

// attempt is one sending to a box.
type attempt struct {
	id     uint64
	number int
	r      *request
	box    *box
	life   int // of the box, when it came there; 0 before
	conns  *conns
	sent   time.Duration
	over   bool // at the instance
	ended  bool // at the box
	job    bool // the model has it
	second bool
	mute   bool
	after  time.Duration
	work   time.Duration
}

// conns are an instance's connections to one life of a box.
type conns struct {
	life, open, busy int
	met              bool // it has answered, so that one stands
}

// connsTo are those to the box as it lives now.
func (i *instance) connsTo(b *box) *conns {
	c := i.conns[b.index]
	if c == nil || c.life != b.life {
		c = &conns{life: b.life}
		i.conns[b.index] = c
	}
	return c
}

// connect has an attempt that comes to its box use a connection that stands idle, or a new one.
func (a *attempt) connect() {
	i := a.r.in
	c := i.connsTo(a.box)
	if a.conns, c.busy = c, c.busy+1; c.busy > c.open {
		c.open = c.busy
		i.s.add(audit.Event{Kind: audit.Opened, Sidecar: i.index, Box: a.box.index, Origin: -1})
	}
}

// part ends an attempt's use of its connection, which stands on after an answer.
func (a *attempt) part(answered bool) {
	if a.conns == nil {
		return
	}
	if a.conns.busy--; !answered {
		a.conns.open--
	}
	a.conns = nil
}

func (i *instance) clock() time.Duration { return clockStart + i.s.now }

// start starts the instance with the list as discovery has it.
func (i *instance) start() error {
	i.life++
	i.up, i.fronted, i.endsAt, i.open, i.busy = true, i.Box < 0, 0, 0, 0
	i.requests, i.conns, i.byID = map[balancer.RequestID]*request{}, map[int]*conns{}, map[balancer.EndpointID]int{}
	text, err := json.Marshal(i.s.plan.Settings(i.Tier, i.Number, i.Of))
	if err != nil {
		return err
	}
	set, _, err := settings.Parse(text)
	if err != nil {
		return err
	}
	if i.b, err = balancer.New(set.Settings, i.s.plan.Seed^uint64(i.index)<<32^uint64(i.life), i); err != nil {
		return err
	}
	i.s.add(audit.Event{Kind: audit.Up, Sidecar: i.index, Box: -1, Origin: -1})
	list := balancer.EndpointList{Kind: balancer.ListFull, Version: 1}
	for _, b := range i.s.boxes {
		if n := b.as(i.s.now - i.late()); b.tier() == i.Tier && n.told != "" && n.told != "Gone" {
			list.Entries = append(list.Entries, i.entry(b, n))
			i.s.add(audit.Event{Kind: audit.Told, Sidecar: i.index, Box: b.index, Text: n.told, Origin: -1})
		}
	}
	i.b.HandleEndpoints(i.clock(), list)
	return nil
}

func (i *instance) late() time.Duration { return i.s.plan.LateFor(i.Sender) }

// entry is a box in the module's list, as discovery has it at a time.
func (i *instance) entry(b *box, n news) balancer.ListEntry {
	id := balancer.EndpointID(b.index + 1)
	i.byID[id] = b.index
	p := b.plan()
	e := balancer.ListEntry{
		Endpoint: id, MachineKind: p.Tier, Cell: p.Cell, Weight: n.weight,
		State: map[string]balancer.EndpointState{"Ready": balancer.EndpointReady, "Terminating": balancer.EndpointDraining, "Gone": balancer.EndpointRemoved}[n.told],
	}
	switch {
	case n.boot == 0, i.s.plan.Discovery.Boot == morning.BootNone:
	case i.s.plan.Discovery.Boot == morning.BootAhead:
		e.StartedAt = clockStart + n.boot + morning.Ahead
	default:
		e.StartedAt = clockStart + n.boot
	}
	return e
}

// hear takes news of one box, late or at once.
func (i *instance) hear(b *box) {
	if late := i.late(); late > 0 {
		n, life := b.news, i.life
		i.s.after(late, func() {
			if i.life == life { // a later one has a list of its own
				i.take(b, n)
			}
		})
		return
	}
	i.take(b, b.news)
}

func (i *instance) take(b *box, n news) {
	if !i.up || b.tier() != i.Tier || n.told == "" {
		return
	}
	i.s.add(audit.Event{Kind: audit.Told, Sidecar: i.index, Box: b.index, Text: n.told, Origin: -1})
	i.s.decisions++
	i.b.HandleEndpoints(i.clock(), balancer.EndpointList{Kind: balancer.ListDelta, Version: i.s.seq, Entries: []balancer.ListEntry{i.entry(b, n)}})
}

// kill ends the instance at once: what it had is lost.
func (i *instance) kill() {
	if !i.up {
		return
	}
	i.up = false
	life := i.life
	i.life++
	i.s.add(audit.Event{Kind: audit.Killed, Sidecar: i.index, Box: -1, Origin: -1})
	i.cut()
	i.s.after(2*time.Second, func() {
		if i.life == life+1 {
			i.fronted = false
		}
	})
}

// cut ends all that the instance has, in the order of the ids so that each run does the same.
func (i *instance) cut() {
	for _, id := range sortedIDs(i.requests) {
		r := i.requests[id]
		if r.out != nil {
			r.out.over = true
			r.out.withdraw()
		}
		if !r.answered && !r.closed {
			r.closed = true
			i.s.add(audit.Event{Kind: audit.Closed, Request: r.request, Sidecar: i.index, Box: -1, Origin: r.origin})
			r.reply(reply{})
		}
	}
	i.requests = map[balancer.RequestID]*request{}
}

// stop tells the instance to end, as SIGTERM does.
func (i *instance) stop() {
	if !i.up {
		return
	}
	var longest time.Duration
	for _, c := range i.s.plan.Classes {
		longest = max(longest, c.Deadline)
	}
	life := i.life
	i.s.add(audit.Event{Kind: audit.Stopping, Sidecar: i.index, Box: -1, Origin: -1})
	i.endsAt = i.s.now + min(longest, 3*time.Second) + 500*time.Millisecond
	for _, r := range i.requests {
		r.deadline = min(r.deadline, i.endsAt)
	}
	i.s.decisions++
	i.b.ShutDownAt(i.clock(), clockStart+i.endsAt)
	i.s.after(300*time.Millisecond, func() {
		if i.life == life {
			i.fronted = false
		}
	})
	i.s.at(i.endsAt, func() {
		if i.life != life {
			return
		}
		for _, id := range sortedIDs(i.requests) {
			if r := i.requests[id]; r != nil && r.out != nil {
				r.out.end(balancer.StatusTimeout)
			}
		}
	})
	i.s.at(i.endsAt+100*time.Millisecond, func() {
		if i.life == life {
			i.up = false
			i.life++
			i.cut()
		}
	})
}

// ask brings a request, and has the reply called when it has ended for its caller.
func (i *instance) ask(a *ask, done func(reply)) {
	s := i.s
	if !i.up {
		s.after(toSidecar, func() { done(reply{}) })
		return
	}
	s.add(audit.Event{Kind: audit.Asked, Request: a.request, Sidecar: i.index, Box: -1, Origin: a.origin, Try: a.try, Class: a.class, Left: a.left})
	life := i.life
	i.busy++
	i.open = max(i.open, i.busy)
	r := &request{ask: a, in: i, deadline: s.now + a.left - time.Millisecond, reply: func(x reply) {
		if i.life == life {
			i.busy--
		}
		done(x)
	}}
	s.after(toSidecar, func() {
		if i.life != life {
			r.closed = true
			s.add(audit.Event{Kind: audit.Closed, Request: a.request, Sidecar: i.index, Box: -1, Origin: a.origin})
			r.reply(reply{})
			return
		}
		if i.endsAt > 0 {
			r.deadline = min(r.deadline, i.endsAt)
		}
		id := balancer.RequestID(a.request)
		i.requests[id] = r
		s.decisions++
		i.b.HandleRequest(i.clock(), balancer.Request{ID: id, Class: a.class, TimeLeft: r.deadline - s.now, IdleConnections: i.idle()})
	})
	s.after(a.left+2*s.plan.Rules.Slack, func() {
		if r.answered || r.closed || i.life != life {
			return
		}
		s.add(audit.Event{Kind: audit.GaveUp, Request: a.request, Sidecar: i.index, Box: -1, Origin: a.origin})
		r.lapse()
		r.reply(reply{})
	})
}

// lapse tells the module that the caller has gone.
func (r *request) lapse() {
	i := r.in
	if r.closed || r.answered || i.requests[balancer.RequestID(r.request)] != r {
		return
	}
	r.closed, r.answered = true, true
	if a := r.out; a != nil {
		i.s.after(0, func() { a.end(balancer.StatusCancelled) })
	}
	i.s.decisions++
	i.b.HandleClientGone(i.clock(), balancer.RequestID(r.request))
	r.forget()
}

// answer gives the final answer.
func (r *request) answer(status int, after time.Duration, good bool) {
	if r.answered {
		return
	}
	r.answered = true
	i, s := r.in, r.in.s
	s.after(toSidecar, func() {
		if r.closed {
			return
		}
		r.closed = true
		s.add(audit.Event{Kind: audit.Answered, Request: r.request, Status: status, Left: after, Good: good, Sidecar: i.index, Box: -1, Origin: r.origin, Try: r.try})
		r.reply(reply{status, after})
	})
}

func (r *request) forget() {
	if r.answered && r.out == nil {
		delete(r.in.requests, balancer.RequestID(r.request))
	}
}

// The Host.

func (i *instance) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	s, r := i.s, i.requests[id]
	s.attempts++
	if i.b.Ejected(to) {
		s.add(audit.Event{Kind: audit.Tried, Request: r.request, Sidecar: i.index, Box: i.byID[to], Origin: r.origin})
	}
	a := &attempt{id: s.attempts, number: r.attempts, r: r, box: s.boxes[i.byID[to]], sent: s.now}
	r.attempts++
	r.out = a
	deadline := r.deadline
	if timeout > 0 {
		deadline = min(deadline, s.now+timeout)
	}
	s.after(toBox, a.come)
	s.at(deadline, func() { a.end(balancer.StatusTimeout) })
}

func (i *instance) Reject(id balancer.RequestID, retryAfter time.Duration) {
	if r := i.requests[id]; r != nil {
		r.answer(503, retryAfter, false)
		r.forget()
	}
}

func (i *instance) Fail(id balancer.RequestID) {
	if r := i.requests[id]; r != nil {
		r.answer(502, 0, false)
		r.forget()
	}
}

func (i *instance) Cancel(id balancer.RequestID, number int) {
	if r := i.requests[id]; r != nil && r.out != nil && r.out.number == number {
		a := r.out
		i.s.after(0, func() { a.end(balancer.StatusCancelled) }) // the module must not be called back into
	}
}

func (i *instance) SetTimer(token uint64, after time.Duration) {
	life := i.life
	i.s.after(after, func() {
		if i.life == life && i.up {
			i.s.decisions++
			i.b.HandleTimer(i.clock(), token)
		}
	})
}

// listed notes that the instance asks for a list. It has them pushed.
func (i *instance) listed() {
	i.s.add(audit.Event{Kind: audit.Listed, Sidecar: i.index, Box: -1, Origin: -1})
}

func (i *instance) HealthCheck(balancer.EndpointID)          {}
func (i *instance) SendToPeer(int, []byte)                   {}
func (i *instance) WatchEndpoints(bool)                      { i.listed() }
func (i *instance) FetchEndpoints()                          { i.listed() }
func (i *instance) CloseIdleConnections(balancer.EndpointID) {}
func (i *instance) Log(string)                               {}
