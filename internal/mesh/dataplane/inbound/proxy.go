package inbound

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// expiryInterval is the time between two looks at the deadlines of requests that wait.
const expiryInterval = 20 * time.Millisecond

// Proxy is the way to one endpoint. It is safe for concurrent use.
type Proxy struct {
	now            func() time.Duration
	log            *logrus.Logger
	onEndpointDown func(endpointID string)
	// linkBacklog returns how long the bytes that wait for the machine's link, and some more, take; nil, until Register, for no time.
	linkBacklog func(moreBytes float64) time.Duration

	mu              sync.Mutex // guards what follows; onEndpointDown, done functions and dialling are outside of it
	controller      *admission.Controller
	lastToken       uint64
	pending         map[uint64]*pendingRequest // by token
	expiryScheduled bool
	connections     connectionPool
	sizes           responseSizes
}

// New makes the proxy to an endpoint's address, on a steady clock. onEndpointDown is called, without locks, when the endpoint refuses
// connections; nil for nobody to call.
func New(address string, now func() time.Duration, log *logrus.Logger, onEndpointDown func(endpointID string)) *Proxy {
	return &Proxy{
		now:            now,
		log:            log,
		onEndpointDown: onEndpointDown,
		controller:     admission.New(),
		pending:        map[uint64]*pendingRequest{},
		connections:    connectionPool{address: address, dial: dialTCP},
		sizes:          responseSizes{mean: map[string]float64{}},
	}
}

// SetDialer has connections to the endpoint dialled by a function in place of TCP. It is called before the first request.
func (p *Proxy) SetDialer(dial Dialer) { p.connections.dial = dial }

// Register declares the method by which peer sidecars forward requests. It is called before the first request.
func (p *Proxy) Register(h *transport.Hub) {
	p.linkBacklog = h.Backlog
	h.HandleRaw(MethodForward, p.serveForward)
}

// serveForward takes a request that a peer sidecar forwards.
func (p *Proxy) serveForward(call *transport.IncomingCall) {
	var request ForwardRequest
	if err := codec.Unmarshal(call.Body, &request); err != nil {
		p.log.WithField("peer", call.From.Name).WithError(err).Warn("inbound: forwarded request cannot be decoded")
		call.Reply(&ForwardResponse{Kind: outcome.Misdirected}) // it can't serve this caller
		return
	}
	deadline := p.now() + request.TimeRemaining
	if call.ExpiresAt != 0 {
		deadline = min(deadline, call.ExpiresAt)
	}
	targetDeadline := deadline - request.TimeRemaining + request.TargetRemaining
	cancel := p.forward(&request, targetDeadline, deadline, true, func(response *ForwardResponse) { call.Reply(response) })
	call.OnCancel(cancel)
}

// UpdateEndpoint takes what was heard of the endpoint.
func (p *Proxy) UpdateEndpoint(endpoint admission.Endpoint, state admission.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint.ID != p.controller.Endpoint().ID {
		p.connections.discardIdle()
	}
	p.apply(p.controller.UpdateEndpoint(p.now(), endpoint, state))
}

// Endpoint returns the endpoint that is known, and its state.
func (p *Proxy) Endpoint() (admission.Endpoint, admission.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controller.Endpoint(), p.controller.State()
}

// Pending returns how many requests run or wait.
func (p *Proxy) Pending() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending)
}

// Forward takes a request of this machine's own clients, with the moments on the proxy's clock after which its answer is worth little,
// and nothing. done is called once, on another goroutine. cancel gives the request up; its outcome still comes.
func (p *Proxy) Forward(request *ForwardRequest, targetDeadline, deadline time.Duration, done func(*ForwardResponse)) (cancel func()) {
	return p.forward(request, targetDeadline, deadline, false, done)
}

// forward is Forward, also for a remote request, whose answer goes back over the machine's link. That may be the bottleneck: where a large
// answer is expected, the time that it takes over the link is taken off both deadlines.
func (p *Proxy) forward(request *ForwardRequest, targetDeadline, deadline time.Duration, remote bool, done func(*ForwardResponse)) (cancel func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastToken++
	answerBytes := 0.0 // unless it is large
	if remote && p.linkBacklog != nil {
		answerBytes = p.sizes.largeSize(request.Route)
	}
	if answerBytes > 0 {
		wayBack := p.linkBacklog(p.sizes.expected + answerBytes)
		targetDeadline -= wayBack
		deadline -= wayBack
		if p.now()+p.controller.ServiceTime() > targetDeadline { // a late one would only keep the link from others
			p.rejectUnqueued(done)
			return func() {}
		}
	}
	pending := &pendingRequest{token: p.lastToken, request: request, deadline: deadline, done: done, expectedBytes: answerBytes}
	p.sizes.expect(answerBytes)
	p.pending[pending.token] = pending
	p.apply(p.controller.Submit(p.now(), admission.Request{
		Token:          pending.token,
		EndpointID:     request.EndpointID,
		Service:        request.Service,
		Priority:       request.Priority,
		Nested:         request.Nested,
		TargetDeadline: targetDeadline,
		Deadline:       deadline,
	}))
	p.scheduleExpiry()
	return func() { p.cancel(pending) }
}

// rejectUnqueued rejects a request before the admission controller knows of it. The lock is held.
func (p *Proxy) rejectUnqueued(done func(*ForwardResponse)) {
	response := &ForwardResponse{Kind: outcome.AtCapacity}
	p.reportLoad(response)
	go done(response)
}

// apply carries out the admission controller's decisions. The lock is held.
func (p *Proxy) apply(decisions []admission.Decision) {
	for _, decision := range decisions {
		pending := p.pending[decision.Token]
		if pending == nil {
			continue
		}
		if decision.Kind != outcome.None {
			p.finish(pending, &ForwardResponse{Kind: decision.Kind})
			continue
		}
		pending.running = true
		go p.run(pending)
	}
}

// finish gives a request its outcome. The lock is held.
func (p *Proxy) finish(pending *pendingRequest, response *ForwardResponse) {
	if p.pending[pending.token] != pending {
		return
	}
	delete(p.pending, pending.token)
	p.sizes.release(pending.expectedBytes)
	p.reportLoad(response)
	go pending.done(response)
}

// reportLoad adds the endpoint's load to a response. The lock is held.
func (p *Proxy) reportLoad(response *ForwardResponse) {
	response.Slots = p.controller.Endpoint().Slots
	response.Running, response.Waiting = p.controller.Load()
}

// cancel gives a request up. One that waits ends at once; one that runs has its connection closed, on which most endpoints drop it.
func (p *Proxy) cancel(pending *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending[pending.token] != pending || pending.cancelled {
		return
	}
	pending.cancelled = true
	if !pending.running {
		p.controller.Cancel(pending.token)
		p.finish(pending, &ForwardResponse{Kind: outcome.Cancelled})
		return
	}
	if pending.conn != nil {
		pending.conn.discard()
	}
}

// scheduleExpiry has the deadlines of the requests that wait looked at again and again, until none waits. The lock is held.
func (p *Proxy) scheduleExpiry() {
	if _, waiting := p.controller.Load(); p.expiryScheduled || waiting == 0 {
		return
	}
	p.expiryScheduled = true
	time.AfterFunc(expiryInterval, p.expire)
}

// expire rejects the requests that have waited too long.
func (p *Proxy) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiryScheduled = false
	p.apply(p.controller.Expire(p.now()))
	p.scheduleExpiry()
}
