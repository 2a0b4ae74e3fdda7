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
	return &Proxy{
		address: address, now: now, log: log, controller: admission.New(), pending: map[uint64]*pendingRequest{}, onEndpointDown: dead,
		responseSizes: map[string]float64{}, dial: dialTCP,
	}
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return d.Dial("tcp4", address)
}

// SetDialer has connections to the endpoint dialled by f in place of TCP. It is called before the first request.
func (p *Proxy) SetDialer(f func(address string, timeout time.Duration) (net.Conn, error)) {
	p.dial = f
}

// UpdateEndpoint says what is known of the endpoint.
func (p *Proxy) UpdateEndpoint(life admission.Endpoint, state admission.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if life.ID != p.controller.Endpoint().ID {
		p.closeIdleConnections()
	}
	p.apply(p.controller.UpdateEndpoint(p.now(), life, state))
}

// Endpoint is the endpoint's life and state.
func (p *Proxy) Endpoint() (admission.Endpoint, admission.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controller.Endpoint(), p.controller.State()
}

// Pending is how many requests run or wait.
func (p *Proxy) Pending() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending)
}

func (p *Proxy) closeIdleConnections() {
	for p.idleConnections.Len() > 0 {
		p.idleConnections.PopFront().Close()
	}
}

// Forward takes a request; done is called once, on another goroutine. What it returns withdraws the request.
func (p *Proxy) Forward(forwardRequest *ForwardRequest, aim, deadline time.Duration, done func(*ForwardResponse)) (withdraw func()) {
	return p.forward(forwardRequest, aim, deadline, false, done)
}

// forward is Forward; afar tells that the answer goes back over the machine's link, which may be the narrowest place.
func (p *Proxy) forward(forwardRequest *ForwardRequest, aim, deadline time.Duration, afar bool, done func(*ForwardResponse)) (withdraw func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastToken++
	large := 0.0
	if size := p.responseSizes[forwardRequest.Route]; afar && p.linkBacklog != nil && size > largeResponse {
		large = size
		back := p.linkBacklog(p.expectedBytes + size)
		aim, deadline = aim-back, deadline-back
	}
	if large > 0 && p.now()+p.controller.ServiceTime() > aim { // late ones would only keep the link from others
		o := &ForwardResponse{Kind: outcome.AtCapacity, Slots: p.controller.Endpoint().Slots}
		o.Running, o.Waiting = p.controller.Load()
		go done(o)
		return func() {}
	}
	p.expectedBytes += large
	j := &pendingRequest{token: p.lastToken, request: forwardRequest, deadline: deadline, done: done, expectedBytes: large}
	p.pending[j.token] = j
	p.apply(p.controller.Submit(p.now(), admission.Request{
		Token: j.token, EndpointID: forwardRequest.EndpointID, Service: forwardRequest.Service,
		Priority: forwardRequest.Priority, Nested: forwardRequest.Nested, TargetDeadline: aim, Deadline: deadline,
	}))
	p.scheduleExpiry()
	return func() { p.cancel(j) }
}

// apply does what the gate has decided; the lock is held.
func (p *Proxy) apply(steps []admission.Decision) {
	for _, s := range steps {
		j := p.pending[s.Token]
		if j == nil {
			continue
		}
		if s.Kind != 0 {
			p.finish(j, &ForwardResponse{Kind: s.Kind})
			continue
		}
		j.running = true
		go p.run(j)
	}
}

// finish gives a request its outcome; the lock is held.
func (p *Proxy) finish(j *pendingRequest, o *ForwardResponse) {
	if p.pending[j.token] != j {
		return
	}
	delete(p.pending, j.token)
	p.expectedBytes = max(p.expectedBytes-j.expectedBytes, 0)
	o.Slots = p.controller.Endpoint().Slots
	o.Running, o.Waiting = p.controller.Load()
	go j.done(o)
}

func (p *Proxy) cancel(j *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending[j.token] != j || j.cancelled {
		return
	}
	j.cancelled = true
	if !j.running {
		p.controller.Cancel(j.token)
		p.finish(j, &ForwardResponse{Kind: outcome.Cancelled})
		return
	}
	if j.conn != nil {
		j.conn.Close() // most endpoints drop a request once its connection closes
	}
}

// scheduleExpiry lets time pass for those who wait.
func (p *Proxy) scheduleExpiry() {
	if _, waiting := p.controller.Load(); p.expiryScheduled || waiting == 0 {
		return
	}
	p.expiryScheduled = true
	time.AfterFunc(expiryInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expiryScheduled = false
		p.apply(p.controller.Expire(p.now()))
		p.scheduleExpiry()
	})
}

// run brings a request to the endpoint and its outcome back.
func (p *Proxy) run(j *pendingRequest) {
	o := p.attempt(j)
	p.mu.Lock()
	if o.Kind == outcome.EndpointReset && j.cancelled {
		o.Kind = outcome.TimedOut
	}
	if c := j.conn; c != nil {
		if j.conn = nil; c.unusable || !o.ReachedEndpoint || o.Kind == outcome.EndpointReset || o.Kind == outcome.InvalidResponse || o.Kind == outcome.TimedOut || j.cancelled {
			c.Close()
		} else {
			_ = c.SetDeadline(time.Time{})
			p.idleConnections.PushBack(c)
		}
	}
	if o.Kind == outcome.Answered {
		if size, ok := p.responseSizes[j.request.Route]; ok || len(p.responseSizes) < maxTrackedRoutes {
			if !ok {
				size = float64(len(o.Body))
			}
			p.responseSizes[j.request.Route] = size + responseSizeWeight*(float64(len(o.Body))-size)
		}
	}
	steps := p.controller.Done(p.now(), j.token)
	p.finish(j, &o)
	p.apply(steps)
	dead := ""
	if p.connectFailures >= 2 {
		if life := p.controller.Endpoint(); p.controller.State() != admission.Terminated && life.ID == j.request.EndpointID {
			dead = life.ID
			p.apply(p.controller.UpdateEndpoint(p.now(), life, admission.Terminated))
		}
	}
	p.mu.Unlock()
	if dead != "" && p.onEndpointDown != nil {
		p.onEndpointDown(dead)
	}
}

// attempt sends a request out, once: a connection that took nothing of it gives way to another.
func (p *Proxy) attempt(j *pendingRequest) ForwardResponse {
	for {
		c, kind := p.acquireConnection(j)
		if kind != 0 {
			return ForwardResponse{Kind: kind}
		}
		left := j.deadline - p.now()
		if left <= 0 {
			return ForwardResponse{Kind: outcome.Expired}
		}
		_ = c.SetDeadline(time.Now().Add(left))
		used := c.used
		o := roundTrip(c, j.request, appendRequest(nil, j.request, left), p.now)
		c.used = true
		switch {
		case !o.ReachedEndpoint && used:
			p.discardConnection(j)
			continue
		case !o.ReachedEndpoint: // accepted, and reset before it took anything: an endpoint that is full does so
			o.Kind = outcome.AtCapacity
		case o.Kind == outcome.EndpointReset && p.now() >= j.deadline-time.Millisecond:
			o.Kind = outcome.TimedOut
		}
		return o
	}
}

// discardConnection closes a request's connection.
func (p *Proxy) discardConnection(j *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j.conn.Close()
	j.conn = nil
}

// acquireConnection is an idle one that is fresh, or a new one.
func (p *Proxy) acquireConnection(j *pendingRequest) (*connection, outcome.Kind) {
	for {
		p.mu.Lock()
		if j.cancelled {
			p.mu.Unlock()
			return nil, outcome.Cancelled
		}
		c := p.takeIdle(j.request.AttemptID)
		if c == nil {
			p.mu.Unlock()
			break
		}
		j.conn = c
		p.mu.Unlock()
		if c.reusable(p.now()) {
			return c, 0
		}
		c.Close()
		p.mu.Lock()
		j.conn = nil
		p.mu.Unlock()
	}
	timeout := min(maxConnectTime, j.deadline-p.now())
	if timeout <= 0 {
		return nil, outcome.Expired
	}
	conn, err := p.dial(p.address, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.connectFailures++
		return nil, outcome.Unreachable
	}
	p.connectFailures = 0
	c := &connection{Conn: conn, reader: bufio.NewReaderSize(conn, 4<<10)}
	if j.cancelled {
		conn.Close()
		return nil, outcome.Cancelled
	}
	j.conn = c
	return c, 0
}

// takeIdle takes the idle connection that was used last, of those that may carry an attempt; nil for none. The lock is held.
func (p *Proxy) takeIdle(attempt string) *connection {
	for i := p.idleConnections.Len() - 1; i >= 0; i-- {
		if c := p.idleConnections.At(i); c.mayCarry(attempt) {
			p.idleConnections.Remove(i)
			return c
		}
	}
	return nil
}

// Register declares the method by which other sidecars bring requests.
func (p *Proxy) Register(h *transport.Hub) {
	p.linkBacklog = h.Backlog
	h.HandleRaw(MethodForward, func(c *transport.IncomingCall) {
		var forwardRequest ForwardRequest
		if err := codec.Unmarshal(c.Body, &forwardRequest); err != nil {
			p.log.WithField("peer", c.From.Name).Warn("inbound: " + err.Error())
			c.Reply(&ForwardResponse{Kind: outcome.Misdirected}) // it can't serve this caller
			return
		}
		now := p.now()
		deadline := now + forwardRequest.TimeRemaining
		if c.ExpiresAt != 0 {
			deadline = min(deadline, c.ExpiresAt)
		}
		aim := deadline - forwardRequest.TimeRemaining + forwardRequest.TargetRemaining
		withdraw := p.forward(&forwardRequest, aim, deadline, true, func(o *ForwardResponse) { c.Reply(o) })
		c.OnCancel(withdraw)
	})
}
