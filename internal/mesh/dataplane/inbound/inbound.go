// Package inbound is the way to the endpoint beside a sidecar: every request to it comes here, waits until it is admitted, and goes
// out on a connection that carries one request at a time. What may have run and what has surely not is told apart here.
package inbound

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/gammazero/deque"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

const lookEvery = 20 * time.Millisecond // while somebody waits

// Proxy is the way to one endpoint.
type Proxy struct {
	address string
	now     func() time.Duration
	log     *logrus.Logger
	mu      sync.Mutex
	gate    *admission.Gate
	next    uint64
	jobs    map[uint64]*job
	idle    deque.Deque[*connection] // the longest idle first
	looking bool
	dead    func(life string)  // the endpoint refuses connections
	refused int                // connections in a row
	sizes   map[string]float64 // mean bytes of an answer, by route
	under   float64            // expected bytes of the answers to come, of those that are large
	dialer  func(address string, timeout time.Duration) (net.Conn, error)
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
	p        *ForwardRequest
	deadline time.Duration
	done     func(*Outcome)
	conn     *connection
	quit     bool
	running  bool
	large    float64 // bytes expected of its answer, if they wait for their turn
}

// New makes the proxy to an endpoint's address. dead is called, without locks, when the endpoint refuses connections.
func New(address string, now func() time.Duration, log *logrus.Logger, dead func(life string)) *Proxy {
	return &Proxy{address: address, now: now, log: log, gate: admission.New(), jobs: map[uint64]*job{}, dead: dead,
		sizes: map[string]float64{}, dialer: dialTCP}
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return d.Dial("tcp4", address)
}

// DialBy has connections to the endpoint dialled by f in place of TCP. It is called before the first request.
func (d *Proxy) DialBy(f func(address string, timeout time.Duration) (net.Conn, error)) { d.dialer = f }

// Tell says what is known of the endpoint.
func (d *Proxy) Tell(life admission.Life, state admission.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if life.ID != d.gate.Life().ID {
		d.drop()
	}
	d.act(d.gate.Tell(d.now(), life, state))
}

// Life is the endpoint's life and state.
func (d *Proxy) Life() (admission.Life, admission.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Life(), d.gate.State()
}

// Busy is how many requests run or wait.
func (d *Proxy) Busy() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.jobs)
}

func (d *Proxy) drop() {
	for d.idle.Len() > 0 {
		d.idle.PopFront().Close()
	}
}

// Forward takes a request; done is called once, on another goroutine. What it returns withdraws the request.
func (d *Proxy) Forward(p *ForwardRequest, aim, deadline time.Duration, done func(*Outcome)) (withdraw func()) {
	return d.forward(p, aim, deadline, false, done)
}

// forward is Forward; afar tells that the answer goes back over the machine's link, which may be the narrowest place.
func (d *Proxy) forward(p *ForwardRequest, aim, deadline time.Duration, afar bool, done func(*Outcome)) (withdraw func()) {
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
		o := &Outcome{Kind: outcome.Full, Slots: d.gate.Life().Slots}
		o.Running, o.Waiting = d.gate.Load()
		go done(o)
		return func() {}
	}
	d.under += large
	j := &job{token: d.next, p: p, deadline: deadline, done: done, large: large}
	d.jobs[j.token] = j
	d.act(d.gate.Arrive(d.now(), admission.Arrival{Token: j.token, Endpoint: p.Endpoint, Service: p.Service,
		Priority: p.Priority, Inner: p.Inner, Aim: aim, Deadline: deadline}))
	d.watch()
	return func() { d.withdraw(j) }
}

// act does what the gate has decided; the lock is held.
func (d *Proxy) act(steps []admission.Step) {
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
func (d *Proxy) end(j *job, o *Outcome) {
	if d.jobs[j.token] != j {
		return
	}
	delete(d.jobs, j.token)
	d.under = max(d.under-j.large, 0)
	o.Slots = d.gate.Life().Slots
	o.Running, o.Waiting = d.gate.Load()
	go j.done(o)
}

func (d *Proxy) withdraw(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.jobs[j.token] != j || j.quit {
		return
	}
	j.quit = true
	if !j.running {
		d.gate.Withdraw(d.now(), j.token)
		d.end(j, &Outcome{Kind: outcome.Withdrawn})
		return
	}
	if j.conn != nil {
		j.conn.Close() // most endpoints drop a request once its connection closes
	}
}

// watch lets time pass for those who wait.
func (d *Proxy) watch() {
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
func (d *Proxy) run(j *job) {
	o := d.attempt(j)
	d.mu.Lock()
	if o.Kind == outcome.Broken && j.quit {
		o.Kind = outcome.Silent
	}
	if c := j.conn; c != nil {
		if j.conn = nil; c.broken || !o.Arrived || o.Kind == outcome.Broken || o.Kind == outcome.Spoilt || o.Kind == outcome.Silent || j.quit {
			c.Close()
		} else {
			_ = c.SetDeadline(time.Time{})
			d.idle.PushBack(c)
		}
	}
	if o.Kind == outcome.Answered {
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
		if life := d.gate.Life(); d.gate.State() != admission.Gone && life.ID == j.p.Endpoint {
			dead = life.ID
			d.act(d.gate.Tell(d.now(), life, admission.Gone))
		}
	}
	d.mu.Unlock()
	if dead != "" && d.dead != nil {
		d.dead(dead)
	}
}

// attempt sends a request out, once: a connection that took nothing of it gives way to another.
func (d *Proxy) attempt(j *job) Outcome {
	for {
		c, kind := d.connection(j)
		if kind != 0 {
			return Outcome{Kind: kind}
		}
		left := j.deadline - d.now()
		if left <= 0 {
			return Outcome{Kind: outcome.Late}
		}
		_ = c.SetDeadline(time.Now().Add(left))
		used := c.used
		o := exchange(c, j.p, appendRequest(nil, j.p, left), d.now)
		c.used = true
		switch {
		case !o.Arrived && used:
			d.give(j)
			continue
		case !o.Arrived: // accepted, and reset before it took anything: an endpoint that is full does so
			o.Kind = outcome.Full
		case o.Kind == outcome.Broken && d.now() >= j.deadline-time.Millisecond:
			o.Kind = outcome.Silent
		}
		return o
	}
}

// give closes a request's connection.
func (d *Proxy) give(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j.conn.Close()
	j.conn = nil
}

// connection is an idle one that is fresh, or a new one.
func (d *Proxy) connection(j *job) (*connection, outcome.Kind) {
	for {
		d.mu.Lock()
		if j.quit {
			d.mu.Unlock()
			return nil, outcome.Withdrawn
		}
		c := d.takeIdle(j.p.Attempt)
		if c == nil {
			d.mu.Unlock()
			break
		}
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
	timeout := min(connectMost, j.deadline-d.now())
	if timeout <= 0 {
		return nil, outcome.Late
	}
	conn, err := d.dialer(d.address, timeout)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.refused++
		return nil, outcome.Unreachable
	}
	d.refused = 0
	c := &connection{Conn: conn, r: bufio.NewReaderSize(conn, 4<<10)}
	if j.quit {
		conn.Close()
		return nil, outcome.Withdrawn
	}
	j.conn = c
	return c, 0
}

// takeIdle takes the idle connection that was used last, of those that may carry an attempt; nil for none. The lock is held.
func (d *Proxy) takeIdle(attempt string) *connection {
	for i := d.idle.Len() - 1; i >= 0; i-- {
		if c := d.idle.At(i); c.mayCarry(attempt) {
			d.idle.Remove(i)
			return c
		}
	}
	return nil
}

// Serve declares the method by which other sidecars bring requests.
func (d *Proxy) Serve(h *transport.Hub) {
	d.way = h.Backlog
	h.HandleRaw(MethodForward, func(c *transport.IncomingCall) {
		var p ForwardRequest
		if err := codec.Unmarshal(c.Body, &p); err != nil {
			d.log.WithField("peer", c.From.Name).Warn("inbound: " + err.Error())
			c.Reply(&Outcome{Kind: outcome.Mistaken}) // it can't serve this caller
			return
		}
		now := d.now()
		deadline := now + p.Left
		if c.ExpiresAt != 0 {
			deadline = min(deadline, c.ExpiresAt)
		}
		aim := deadline - p.Left + p.Aim
		withdraw := d.forward(&p, aim, deadline, true, func(o *Outcome) { c.Reply(o) })
		c.OnCancel(withdraw)
	})
}
