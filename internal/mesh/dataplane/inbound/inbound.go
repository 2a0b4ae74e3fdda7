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

const expiryInterval = 20 * time.Millisecond // while somebody waits

// Proxy is the way to one endpoint.
type Proxy struct {
	address         string
	now             func() time.Duration
	log             *logrus.Logger
	mu              sync.Mutex
	controller      *admission.Controller
	lastToken       uint64
	pending         map[uint64]*pendingRequest
	idleConnections deque.Deque[*connection] // the longest idle first
	expiryScheduled bool
	onEndpointDown  func(life string)  // the endpoint refuses connections
	connectFailures int                // connections in a row
	responseSizes   map[string]float64 // mean bytes of an answer, by route
	expectedBytes   float64            // expected bytes of the answers to come, of those that are large
	dial            func(address string, timeout time.Duration) (net.Conn, error)
	linkBacklog     func(more float64) time.Duration // back: how long what is in line, and more bytes, take; nil for no time
}

const (
	responseSizeWeight = 0.1      // of one answer in the mean of their bytes
	largeResponse      = 16 << 10 // bytes from which on an answer waits for its turn on the machine's link
	maxTrackedRoutes   = 4096     // routes
)

// pendingRequest is one request from its arrival to its outcome.
type pendingRequest struct {
	token         uint64
	request       *ForwardRequest
	deadline      time.Duration
	done          func(*ForwardResponse)
	conn          *connection
	cancelled     bool
	running       bool
	expectedBytes float64 // bytes expected of its answer, if they wait for their turn
}

// New makes the proxy to an endpoint's address. dead is called, without locks, when the endpoint refuses connections.
func New(address string, now func() time.Duration, log *logrus.Logger, dead func(life string)) *Proxy {
	return &Proxy{address: address, now: now, log: log, controller: admission.New(), pending: map[uint64]*pendingRequest{}, onEndpointDown: dead,
		responseSizes: map[string]float64{}, dial: dialTCP}
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return d.Dial("tcp4", address)
}

// SetDialer has connections to the endpoint dialled by f in place of TCP. It is called before the first request.
func (d *Proxy) SetDialer(f func(address string, timeout time.Duration) (net.Conn, error)) {
	d.dial = f
}

// UpdateEndpoint says what is known of the endpoint.
func (d *Proxy) UpdateEndpoint(life admission.Endpoint, state admission.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if life.ID != d.controller.Endpoint().ID {
		d.closeIdleConnections()
	}
	d.apply(d.controller.UpdateEndpoint(d.now(), life, state))
}

// Endpoint is the endpoint's life and state.
func (d *Proxy) Endpoint() (admission.Endpoint, admission.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controller.Endpoint(), d.controller.State()
}

// Pending is how many requests run or wait.
func (d *Proxy) Pending() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.pending)
}

func (d *Proxy) closeIdleConnections() {
	for d.idleConnections.Len() > 0 {
		d.idleConnections.PopFront().Close()
	}
}

// Forward takes a request; done is called once, on another goroutine. What it returns withdraws the request.
func (d *Proxy) Forward(p *ForwardRequest, aim, deadline time.Duration, done func(*ForwardResponse)) (withdraw func()) {
	return d.forward(p, aim, deadline, false, done)
}

// forward is Forward; afar tells that the answer goes back over the machine's link, which may be the narrowest place.
func (d *Proxy) forward(p *ForwardRequest, aim, deadline time.Duration, afar bool, done func(*ForwardResponse)) (withdraw func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastToken++
	large := 0.0
	if size := d.responseSizes[p.Route]; afar && d.linkBacklog != nil && size > largeResponse {
		large = size
		back := d.linkBacklog(d.expectedBytes + size)
		aim, deadline = aim-back, deadline-back
	}
	if large > 0 && d.now()+d.controller.ServiceTime() > aim { // late ones would only keep the link from others
		o := &ForwardResponse{Kind: outcome.AtCapacity, Slots: d.controller.Endpoint().Slots}
		o.Running, o.Waiting = d.controller.Load()
		go done(o)
		return func() {}
	}
	d.expectedBytes += large
	j := &pendingRequest{token: d.lastToken, request: p, deadline: deadline, done: done, expectedBytes: large}
	d.pending[j.token] = j
	d.apply(d.controller.Submit(d.now(), admission.Request{Token: j.token, EndpointID: p.EndpointID, Service: p.Service,
		Priority: p.Priority, Nested: p.Nested, TargetDeadline: aim, Deadline: deadline}))
	d.scheduleExpiry()
	return func() { d.cancel(j) }
}

// apply does what the gate has decided; the lock is held.
func (d *Proxy) apply(steps []admission.Decision) {
	for _, s := range steps {
		j := d.pending[s.Token]
		if j == nil {
			continue
		}
		if s.Kind != 0 {
			d.finish(j, &ForwardResponse{Kind: s.Kind})
			continue
		}
		j.running = true
		go d.run(j)
	}
}

// finish gives a request its outcome; the lock is held.
func (d *Proxy) finish(j *pendingRequest, o *ForwardResponse) {
	if d.pending[j.token] != j {
		return
	}
	delete(d.pending, j.token)
	d.expectedBytes = max(d.expectedBytes-j.expectedBytes, 0)
	o.Slots = d.controller.Endpoint().Slots
	o.Running, o.Waiting = d.controller.Load()
	go j.done(o)
}

func (d *Proxy) cancel(j *pendingRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending[j.token] != j || j.cancelled {
		return
	}
	j.cancelled = true
	if !j.running {
		d.controller.Cancel(d.now(), j.token)
		d.finish(j, &ForwardResponse{Kind: outcome.Cancelled})
		return
	}
	if j.conn != nil {
		j.conn.Close() // most endpoints drop a request once its connection closes
	}
}

// scheduleExpiry lets time pass for those who wait.
func (d *Proxy) scheduleExpiry() {
	if _, waiting := d.controller.Load(); d.expiryScheduled || waiting == 0 {
		return
	}
	d.expiryScheduled = true
	time.AfterFunc(expiryInterval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.expiryScheduled = false
		d.apply(d.controller.Expire(d.now()))
		d.scheduleExpiry()
	})
}

// run brings a request to the endpoint and its outcome back.
func (d *Proxy) run(j *pendingRequest) {
	o := d.attempt(j)
	d.mu.Lock()
	if o.Kind == outcome.EndpointReset && j.cancelled {
		o.Kind = outcome.TimedOut
	}
	if c := j.conn; c != nil {
		if j.conn = nil; c.unusable || !o.ReachedEndpoint || o.Kind == outcome.EndpointReset || o.Kind == outcome.InvalidResponse || o.Kind == outcome.TimedOut || j.cancelled {
			c.Close()
		} else {
			_ = c.SetDeadline(time.Time{})
			d.idleConnections.PushBack(c)
		}
	}
	if o.Kind == outcome.Answered {
		if size, ok := d.responseSizes[j.request.Route]; ok || len(d.responseSizes) < maxTrackedRoutes {
			if !ok {
				size = float64(len(o.Body))
			}
			d.responseSizes[j.request.Route] = size + responseSizeWeight*(float64(len(o.Body))-size)
		}
	}
	steps := d.controller.Done(d.now(), j.token)
	d.finish(j, &o)
	d.apply(steps)
	dead := ""
	if d.connectFailures >= 2 {
		if life := d.controller.Endpoint(); d.controller.State() != admission.Terminated && life.ID == j.request.EndpointID {
			dead = life.ID
			d.apply(d.controller.UpdateEndpoint(d.now(), life, admission.Terminated))
		}
	}
	d.mu.Unlock()
	if dead != "" && d.onEndpointDown != nil {
		d.onEndpointDown(dead)
	}
}

// attempt sends a request out, once: a connection that took nothing of it gives way to another.
func (d *Proxy) attempt(j *pendingRequest) ForwardResponse {
	for {
		c, kind := d.acquireConnection(j)
		if kind != 0 {
			return ForwardResponse{Kind: kind}
		}
		left := j.deadline - d.now()
		if left <= 0 {
			return ForwardResponse{Kind: outcome.Expired}
		}
		_ = c.SetDeadline(time.Now().Add(left))
		used := c.used
		o := roundTrip(c, j.request, appendRequest(nil, j.request, left), d.now)
		c.used = true
		switch {
		case !o.ReachedEndpoint && used:
			d.discardConnection(j)
			continue
		case !o.ReachedEndpoint: // accepted, and reset before it took anything: an endpoint that is full does so
			o.Kind = outcome.AtCapacity
		case o.Kind == outcome.EndpointReset && d.now() >= j.deadline-time.Millisecond:
			o.Kind = outcome.TimedOut
		}
		return o
	}
}

// discardConnection closes a request's connection.
func (d *Proxy) discardConnection(j *pendingRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j.conn.Close()
	j.conn = nil
}

// acquireConnection is an idle one that is fresh, or a new one.
func (d *Proxy) acquireConnection(j *pendingRequest) (*connection, outcome.Kind) {
	for {
		d.mu.Lock()
		if j.cancelled {
			d.mu.Unlock()
			return nil, outcome.Cancelled
		}
		c := d.takeIdle(j.request.AttemptID)
		if c == nil {
			d.mu.Unlock()
			break
		}
		j.conn = c
		d.mu.Unlock()
		if c.reusable(d.now()) {
			return c, 0
		}
		c.Close()
		d.mu.Lock()
		j.conn = nil
		d.mu.Unlock()
	}
	timeout := min(maxConnectTime, j.deadline-d.now())
	if timeout <= 0 {
		return nil, outcome.Expired
	}
	conn, err := d.dial(d.address, timeout)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.connectFailures++
		return nil, outcome.Unreachable
	}
	d.connectFailures = 0
	c := &connection{Conn: conn, reader: bufio.NewReaderSize(conn, 4<<10)}
	if j.cancelled {
		conn.Close()
		return nil, outcome.Cancelled
	}
	j.conn = c
	return c, 0
}

// takeIdle takes the idle connection that was used last, of those that may carry an attempt; nil for none. The lock is held.
func (d *Proxy) takeIdle(attempt string) *connection {
	for i := d.idleConnections.Len() - 1; i >= 0; i-- {
		if c := d.idleConnections.At(i); c.mayCarry(attempt) {
			d.idleConnections.Remove(i)
			return c
		}
	}
	return nil
}

// Register declares the method by which other sidecars bring requests.
func (d *Proxy) Register(h *transport.Hub) {
	d.linkBacklog = h.Backlog
	h.HandleRaw(MethodForward, func(c *transport.IncomingCall) {
		var p ForwardRequest
		if err := codec.Unmarshal(c.Body, &p); err != nil {
			d.log.WithField("peer", c.From.Name).Warn("inbound: " + err.Error())
			c.Reply(&ForwardResponse{Kind: outcome.Misdirected}) // it can't serve this caller
			return
		}
		now := d.now()
		deadline := now + p.TimeRemaining
		if c.ExpiresAt != 0 {
			deadline = min(deadline, c.ExpiresAt)
		}
		aim := deadline - p.TimeRemaining + p.TargetRemaining
		withdraw := d.forward(&p, aim, deadline, true, func(o *ForwardResponse) { c.Reply(o) })
		c.OnCancel(withdraw)
	})
}
