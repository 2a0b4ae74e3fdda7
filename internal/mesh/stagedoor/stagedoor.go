// Package stagedoor is the way to the endpoint beside a sidecar: every request to it comes here, waits in its wings, and goes
// out on a connection that carries one request at a time. What may have run and what has surely not is told apart here.
package stagedoor

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/gammazero/deque"
	"github.com/sirupsen/logrus"

	"gingerlead/internal/mesh/cue"
	"gingerlead/internal/mesh/curtain"
	"gingerlead/internal/mesh/script"
	"gingerlead/internal/mesh/wings"
)

const lookEvery = 20 * time.Millisecond // while somebody waits

// Door serves one endpoint.
type Door struct {
	address string
	now     func() time.Duration
	log     *logrus.Logger
	mu      sync.Mutex
	gate    *wings.Gate
	next    uint64
	jobs    map[uint64]*job
	idle    deque.Deque[*connection] // the longest idle first
	looking bool
	dead    func(life string)                // the endpoint refuses connections
	refused int                              // connections in a row
	sizes   map[string]float64               // mean bytes of an answer, by route
	under   float64                          // expected bytes of the answers to come, of those that are large
	way     func(more float64) time.Duration // back: how long what is in line, and more bytes, take; nil for no time
}

const (
	sizeWeight = 0.1      // of one answer in the mean of their bytes
	sizeLarge  = 16 << 10 // bytes from which on an answer waits for its turn on the machine's link
	sizesMost  = 4096     // routes
)

// job is one request from its arrival to its outcome.
type job struct {
	token    uint64
	p        *Perform
	deadline time.Duration
	done     func(*Outcome)
	conn     *connection
	quit     bool
	running  bool
	large    float64 // bytes expected of its answer, if they wait for their turn
}

// New makes the door to an endpoint's address. dead is called, without locks, when the endpoint refuses connections.
func New(address string, now func() time.Duration, log *logrus.Logger, dead func(life string)) *Door {
	return &Door{address: address, now: now, log: log, gate: wings.New(), jobs: map[uint64]*job{}, dead: dead,
		sizes: map[string]float64{}}
}

// Tell says what is known of the endpoint.
func (d *Door) Tell(life wings.Life, state wings.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if life.ID != d.gate.Life().ID {
		d.drop()
	}
	d.act(d.gate.Tell(d.now(), life, state))
}

// Life is the endpoint's life and state.
func (d *Door) Life() (wings.Life, wings.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Life(), d.gate.State()
}

// Busy is how many requests run or wait.
func (d *Door) Busy() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.jobs)
}

func (d *Door) drop() {
	for d.idle.Len() > 0 {
		d.idle.PopFront().Close()
	}
}

// Perform takes a request; done is called once, on another goroutine. What it returns withdraws the request.
func (d *Door) Perform(p *Perform, aim, deadline time.Duration, done func(*Outcome)) (withdraw func()) {
	return d.perform(p, aim, deadline, false, done)
}

// perform is Perform; afar tells that the answer goes back over the machine's link, which may be the narrowest place.
func (d *Door) perform(p *Perform, aim, deadline time.Duration, afar bool, done func(*Outcome)) (withdraw func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	large := 0.0
	if size := d.sizes[p.Route]; afar && d.way != nil && size > sizeLarge {
		large = size
		back := d.way(d.under + size)
		aim, deadline = aim-back, deadline-back
	}
	if large > 0 && d.now()+d.gate.Work() > aim { // late ones would only keep the link from others
		o := &Outcome{Kind: curtain.Full, Slots: d.gate.Life().Slots}
		o.Running, o.Waiting = d.gate.Load()
		go done(o)
		return func() {}
	}
	d.under += large
	j := &job{token: d.next, p: p, deadline: deadline, done: done, large: large}
	d.jobs[j.token] = j
	d.act(d.gate.Arrive(d.now(), wings.Arrival{Token: j.token, Endpoint: p.Endpoint, Service: p.Service,
		Priority: p.Priority, Inner: p.Inner, Aim: aim, Deadline: deadline}))
	d.watch()
	return func() { d.withdraw(j) }
}

// act does what the gate has decided; the lock is held.
func (d *Door) act(steps []wings.Step) {
	for _, s := range steps {
		j := d.jobs[s.Token]
		if j == nil {
			continue
		}
		if s.Kind != 0 {
			d.end(j, &Outcome{Kind: s.Kind})
			continue
		}
		j.running = true
		go d.run(j)
	}
}

// end gives a request its outcome; the lock is held.
func (d *Door) end(j *job, o *Outcome) {
	if d.jobs[j.token] != j {
		return
	}
	delete(d.jobs, j.token)
	d.under = max(d.under-j.large, 0)
	o.Slots = d.gate.Life().Slots
	o.Running, o.Waiting = d.gate.Load()
	go j.done(o)
}

func (d *Door) withdraw(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.jobs[j.token] != j || j.quit {
		return
	}
	j.quit = true
	if !j.running {
		d.gate.Withdraw(d.now(), j.token)
		d.end(j, &Outcome{Kind: curtain.Withdrawn})
		return
	}
	if j.conn != nil {
		j.conn.Close() // most endpoints drop a request once its connection closes
	}
}

// watch lets time pass for those who wait.
func (d *Door) watch() {
	if _, waiting := d.gate.Load(); d.looking || waiting == 0 {
		return
	}
	d.looking = true
	time.AfterFunc(lookEvery, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.looking = false
		d.act(d.gate.Look(d.now()))
		d.watch()
	})
}

// run brings a request to the endpoint and its outcome back.
func (d *Door) run(j *job) {
	o := d.attempt(j)
	if o.Kind == curtain.Broken && j.quit {
		o.Kind = curtain.Silent
	}
	d.mu.Lock()
	if c := j.conn; c != nil {
		if j.conn = nil; c.broken || o.Kind == curtain.Broken || o.Kind == curtain.Spoilt || o.Kind == curtain.Silent || j.quit {
			c.Close()
		} else {
			_ = c.SetDeadline(time.Time{})
			d.idle.PushBack(c)
		}
	}
	if o.Kind == curtain.Answered {
		if size, ok := d.sizes[j.p.Route]; ok || len(d.sizes) < sizesMost {
			if !ok {
				size = float64(len(o.Body))
			}
			d.sizes[j.p.Route] = size + sizeWeight*(float64(len(o.Body))-size)
		}
	}
	steps := d.gate.Done(d.now(), j.token)
	d.end(j, &o)
	d.act(steps)
	dead := ""
	if d.refused >= 2 {
		if life := d.gate.Life(); d.gate.State() != wings.Gone && life.ID == j.p.Endpoint {
			dead = life.ID
			d.act(d.gate.Tell(d.now(), life, wings.Gone))
		}
	}
	d.mu.Unlock()
	if dead != "" && d.dead != nil {
		d.dead(dead)
	}
}

func (d *Door) attempt(j *job) Outcome {
	c, kind := d.connection(j)
	if kind != 0 {
		return Outcome{Kind: kind}
	}
	left := j.deadline - d.now()
	if left <= 0 {
		return Outcome{Kind: curtain.Late}
	}
	_ = c.SetDeadline(time.Now().Add(left))
	o := exchange(c, j.p, appendRequest(nil, j.p, left), d.now)
	if o.Kind == curtain.Broken && d.now() >= j.deadline-time.Millisecond {
		o.Kind = curtain.Silent
	}
	return o
}

// connection is an idle one that is fresh, or a new one.
func (d *Door) connection(j *job) (*connection, curtain.Kind) {
	for {
		d.mu.Lock()
		if j.quit {
			d.mu.Unlock()
			return nil, curtain.Withdrawn
		}
		if d.idle.Len() == 0 {
			d.mu.Unlock()
			break
		}
		c := d.idle.PopBack()
		j.conn = c
		d.mu.Unlock()
		if c.fresh(d.now()) {
			return c, 0
		}
		c.Close()
		d.mu.Lock()
		j.conn = nil
		d.mu.Unlock()
	}
	dial := net.Dialer{Timeout: min(connectMost, j.deadline-d.now()), KeepAlive: -1}
	if dial.Timeout <= 0 {
		return nil, curtain.Late
	}
	conn, err := dial.Dial("tcp4", d.address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.refused++
		return nil, curtain.Unreachable
	}
	d.refused = 0
	c := &connection{Conn: conn, r: bufio.NewReaderSize(conn, 4<<10)}
	if j.quit {
		conn.Close()
		return nil, curtain.Withdrawn
	}
	j.conn = c
	return c, 0
}

// Serve declares the ask that brings requests from other sidecars.
func (d *Door) Serve(h *cue.Hub) {
	d.way = h.Backlog
	h.Serve(MethodPerform, func(c *cue.Call) {
		var p Perform
		if err := script.Read(c.Body, &p); err != nil {
			d.log.WithField("peer", c.From.Name).Warn("stagedoor: " + err.Error())
			c.Answer(&Outcome{Kind: curtain.Malformed})
			return
		}
		now := d.now()
		deadline := now + p.Left
		if c.Expires != 0 {
			deadline = min(deadline, c.Expires)
		}
		aim := deadline - p.Left + p.Aim
		withdraw := d.perform(&p, aim, deadline, true, func(o *Outcome) { c.Answer(o) })
		c.OnWithdrawn(withdraw)
	})
}
