package inbound

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
	"quincegap/internal/mesh/transport/membudget"
	"quincegap/internal/mesh/transport/sockets"
)

// expiryInterval is the time between two checks of the deadlines of queued requests.
const expiryInterval = 20 * time.Millisecond

// Proxy forwards requests to one endpoint. It is safe for concurrent use.
type Proxy struct {
	now            func() time.Duration
	log            *logrus.Logger
	onEndpointDown func(endpointID string)
	// linkBacklog returns the time until all bytes queued for the machine's link, and moreBytes after them, have been sent; nil before
	// Register.
	linkBacklog func(moreBytes float64) time.Duration
	// answerMemory bounds the memory of the endpoint's answers from when they are read until done has returned; nil for no bound. It is set
	// before the first request.
	answerMemory *membudget.Pool

	mu              sync.Mutex // guards the fields below; not held while onEndpointDown, a done function or the dialer is called
	controller      *admission.Controller
	lastToken       uint64
	pending         map[uint64]*pendingRequest // by token
	expiryScheduled bool
	connections     connectionPool
	sizes           responseSizes
}

// New returns a proxy to the endpoint at an address. now is a monotonic clock. onEndpointDown is called without locks held when the
// endpoint refuses connections; it may be nil.
func New(address string, now func() time.Duration, log *logrus.Logger, onEndpointDown func(endpointID string)) *Proxy {
	return &Proxy{
		now:            now,
		log:            log,
		onEndpointDown: onEndpointDown,
		controller:     admission.New(),
		pending:        map[uint64]*pendingRequest{},
		connections:    connectionPool{address: address, dial: sockets.NewGroup(sockets.Options{}).Dial},
		sizes:          responseSizes{mean: map[string]float64{}},
	}
}

// SetDialer replaces the function that dials the endpoint; by default it dials TCP. SetDialer must be called before the first request.
func (p *Proxy) SetDialer(dial Dialer) { p.connections.dial = dial }

// SetAnswerMemory sets the pool that bounds the memory of the endpoint's answers. It must be called before the first request.
func (p *Proxy) SetAnswerMemory(answers *membudget.Pool) { p.answerMemory = answers }

// Register registers MethodForward with a hub, so that peer sidecars can forward requests here. It must be called before the first
// request.
func (p *Proxy) Register(h *transport.Hub) {
	p.linkBacklog = h.Backlog
	h.HandleRaw(MethodForward, p.serveForward)
}

// serveForward handles a request that a peer sidecar forwards.
func (p *Proxy) serveForward(call *transport.IncomingCall) {
	var request ForwardRequest
	if err := codec.UnmarshalBuffers(call.Body, &request); err != nil {
		p.log.WithField("peer", call.From.Name).WithError(err).Warn("inbound: cannot decode the forwarded request of a peer sidecar")
		call.Reply(&ForwardResponse{Kind: outcome.Misdirected}) // this process can't serve that caller's requests
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

// UpdateEndpoint updates the endpoint and its state, upon the endpoint's keepalives or deregistration or when this sidecar shuts down.
func (p *Proxy) UpdateEndpoint(endpoint admission.Endpoint, state admission.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint.ID != p.controller.Endpoint().ID {
		p.connections.discardIdle()
	}
	p.apply(p.controller.UpdateEndpoint(p.now(), endpoint, state))
}

// Endpoint returns the endpoint and its state, as set by the last UpdateEndpoint; the state is Terminated if the endpoint was found to be
// down since.
func (p *Proxy) Endpoint() (admission.Endpoint, admission.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controller.Endpoint(), p.controller.State()
}

// Pending returns the number of requests that are running or queued.
func (p *Proxy) Pending() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending)
}

// Forward forwards a request of a client on this machine. targetDeadline and deadline are times on the proxy's clock: an answer after
// targetDeadline has little value, and an answer after deadline has none. done is called once, on another goroutine, with the response.
// cancel cancels the request; done is still called.
func (p *Proxy) Forward(request *ForwardRequest, targetDeadline, deadline time.Duration, done func(*ForwardResponse)) (cancel func()) {
	return p.forward(request, targetDeadline, deadline, false, done)
}

// forward forwards a local or remote request. The answer to a remote request is sent over the machine's link, which may be the bottleneck:
// if a large answer is expected, the time to send it is subtracted from both deadlines.
func (p *Proxy) forward(
	request *ForwardRequest, targetDeadline, deadline time.Duration, remote bool, done func(*ForwardResponse),
) (cancel func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastToken++
	answerBytes := 0.0 // remains 0 unless a large answer is expected
	if remote && p.linkBacklog != nil {
		answerBytes = p.sizes.largeSize(request.Route)
	}
	if answerBytes > 0 {
		sendTime := p.linkBacklog(p.sizes.expected + answerBytes)
		targetDeadline -= sendTime
		deadline -= sendTime
		if p.now()+p.controller.ServiceTime() > targetDeadline { // a late answer would only delay others on the link
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

// rejectUnqueued rejects a request that was not submitted to the admission controller. The caller holds the lock.
func (p *Proxy) rejectUnqueued(done func(*ForwardResponse)) {
	response := &ForwardResponse{Kind: outcome.AtCapacity}
	p.reportLoad(response)
	go done(response)
}

// apply carries out decisions of the admission controller. The caller holds the lock.
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

// finish ends a request with its response. It does nothing if the request has ended already. The caller holds the lock.
func (p *Proxy) finish(pending *pendingRequest, response *ForwardResponse) {
	if p.pending[pending.token] != pending {
		p.answerMemory.Release(pending.answerBytes)
		return
	}
	delete(p.pending, pending.token)
	p.sizes.release(pending.expectedBytes)
	p.reportLoad(response)
	go func() {
		pending.done(response)
		p.answerMemory.Release(pending.answerBytes) // done accounts for the answer itself
	}()
}

// reportLoad adds the endpoint's load to a response. The caller holds the lock.
func (p *Proxy) reportLoad(response *ForwardResponse) {
	response.Slots = p.controller.Endpoint().Slots
	response.Running, response.Waiting = p.controller.Load()
}

// cancel cancels a request. A queued request ends at once. The connection of a running request is closed, upon which most endpoints abandon
// the request.
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

// scheduleExpiry schedules the next check of deadlines if requests are queued and no check is scheduled. The caller holds the lock.
func (p *Proxy) scheduleExpiry() {
	if _, waiting := p.controller.Load(); p.expiryScheduled || waiting == 0 {
		return
	}
	p.expiryScheduled = true
	time.AfterFunc(expiryInterval, p.expire)
}

// expire rejects the queued requests that can no longer be answered in time.
func (p *Proxy) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiryScheduled = false
	p.apply(p.controller.Expire(p.now()))
	p.scheduleExpiry()
}
