// Package outbound is where clients come in: it takes their requests, finds the route, the tenant and the service by the
// configuration in force, and has the decision module pick the endpoint. One lock holds all of a sidecar's choices; nothing
// that blocks is done under it.
package outbound

import (
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// Options are what a proxy is made of.
type Options struct {
	Hub              *transport.Hub
	Inbound          *inbound.Proxy // to the endpoint on this machine
	Bounds           settings.Bounds
	Service          string // of the endpoint on this machine: where requests begin
	Log              *logrus.Logger
	Seed             uint64
	MaxBodyBytes     int64                // bytes of clients' bodies that there is room for
	RefreshEndpoints func(service string) // fetches the endpoints of a service anew
	// AcquireQuota takes a request out of a tenant's limit; done is called once, with when to come back if it is not there.
	AcquireQuota func(t *configuration.Tenant, done func(ok bool, back time.Duration))
}

// Proxy takes clients' requests.
type Proxy struct {
	options       Options
	config        atomic.Pointer[configuration.Config]
	mu            sync.Mutex
	balancers     map[string]*serviceBalancer
	zoneNumbers   map[string]int
	trafficSplits splitSequences
	deferred      []func(now time.Duration)
	lastRequest   uint64
	sidecarCount  int
	openRequests  atomic.Int64 // requests under way
	bodyBytes     atomic.Int64 // bytes of their bodies
	shuttingDown  atomic.Bool  // nothing new is taken
	shutdownPlan  atomic.Pointer[shutdownPlan]
	shutdownDue   chan struct{} // closed when the time of the shutdown plan has come
	connections   clientConnections
	bodyReads     bodyReads
}

// request is one client's request.
type request struct {
	id              balancer.RequestID
	route           *configuration.Route
	balancer        *serviceBalancer
	forward         inbound.ForwardRequest // what every attempt sends
	targetDeadline  time.Duration
	deadline        time.Duration
	sentAttempts    int                      // sent, whether or not they reached an endpoint
	reachedAttempts int                      // those that reached one
	active          *attempt                 // the one under way that the module knows; nil for none
	superseded      []*attempt               // those under way in whose place the module has another sent
	concluded       bool                     // the module has given its final answer, with
	retryAfter      time.Duration            // when the client is to come back
	lastResponse    *inbound.ForwardResponse // of the attempt that ended last, but for withdrawn ones
	endpointFailure *inbound.ForwardResponse // an endpoint's own failure: the answer, unless a later attempt is served
	mayHaveExecuted bool                     // some attempt ran or may have run
	answered        bool                     // it is answered
	expired         bool                     // given up; what is out is being withdrawn
	bodyBytes       int64                    // bytes of its body that are counted
	quotaRetryAfter time.Duration            // of a request beyond its tenant's limit
	results         chan result
}

// result is what a client is answered.
type result struct {
	kind       outcome.Kind
	response   *inbound.ForwardResponse // of Answered
	retryAfter time.Duration
}

// New makes a proxy that knows no configuration yet.
func New(o Options) *Proxy {
	return &Proxy{
		options: o, balancers: map[string]*serviceBalancer{}, zoneNumbers: map[string]int{}, sidecarCount: 1,
		shutdownDue: make(chan struct{}),
	}
}

// Now is the steady clock.
func (p *Proxy) Now() time.Duration { return p.options.Hub.Now() }

// runLocked runs f with the lock held, and then what it has put off.
func (p *Proxy) runLocked(f func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.Now())
	for len(p.deferred) > 0 {
		g := p.deferred[0]
		p.deferred = p.deferred[1:]
		g(p.Now())
	}
}

func (p *Proxy) deferLocked(f func(now time.Duration)) { p.deferred = append(p.deferred, f) }

func (p *Proxy) zoneNumber(name string) int {
	n, ok := p.zoneNumbers[name]
	if !ok {
		n = len(p.zoneNumbers)
		p.zoneNumbers[name] = n
	}
	return n
}

func (p *Proxy) balancer(service string) *serviceBalancer {
	c := p.balancers[service]
	if c == nil {
		var err error
		if c, err = newServiceBalancer(p, service, p.options.Seed+uint64(len(p.balancers))); err != nil {
			p.options.Log.Error("outbound: " + err.Error())
			return nil
		}
		p.balancers[service] = c
	}
	return c
}

// Configure puts a configuration in force; an older one than the one in force changes nothing.
func (p *Proxy) Configure(c *configuration.Config) {
	p.runLocked(func(time.Duration) {
		if now := p.config.Load(); now != nil && now.Version >= c.Version {
			return
		}
		p.config.Store(c)
		p.trafficSplits.retain(c)
	})
}

// Config is the configuration in force; nil for none.
func (p *Proxy) Config() *configuration.Config { return p.config.Load() }

// UpdateEndpoints takes the list of a service's endpoints, all of them.
func (p *Proxy) UpdateEndpoints(service string, all []discovery.Endpoint) {
	p.runLocked(func(now time.Duration) {
		if c := p.balancer(service); c != nil {
			c.updateEndpoints(now, all)
		}
	})
}

// SetSidecarCount says how many sidecars share what the fleet may do.
func (p *Proxy) SetSidecarCount(n int) {
	p.runLocked(func(time.Duration) { p.sidecarCount = max(n, 1) })
}

// OpenRequests is how many requests are under way.
func (p *Proxy) OpenRequests() int { return int(p.openRequests.Load()) }

// submit has a request served; its result comes once on the channel.
func (p *Proxy) submit(r *request, priority int) {
	times := 1 / float64(int(1)<<min(max(priority, 0), 16))
	if r.forward.Nested { // a slot waits for it, and what ran already is lost without it
		times = nestedCallValue
	}
	p.runLocked(func(now time.Duration) {
		c := p.balancer(r.forward.Service)
		if c == nil {
			r.results <- result{kind: outcome.Overloaded}
			return
		}
		p.lastRequest++
		r.id, r.balancer = balancer.RequestID(strconv.FormatUint(p.lastRequest, 36)), c
		c.requests[r.id] = r
		c.retryBudget.CountRequest(now)
		c.balancer.HandleRequest(now, balancer.Request{
			ID: r.id, Class: c.class(r.route), TimeLeft: r.deadline - now,
			ValueFactor: times,
		})
	})
}

// answer gives a request its result, once; the lock is held.
func (p *Proxy) answer(r *request, res result) {
	if !r.answered {
		r.answered = true
		r.results <- res
	}
}

// expire gives a request up: its client has gone, or its time is nearly up. An attempt that is out is withdrawn, and its end says
// how far it had come.
func (p *Proxy) expire(r *request) {
	p.runLocked(func(now time.Duration) {
		c := r.balancer
		if c == nil || r.answered || r.expired {
			return
		}
		r.expired = true
		c.cancelAttempts(r)
		c.balancer.HandleClientGone(now, r.id)
		if !r.outstanding() {
			p.finishExpired(r)
		}
	})
}

// abandonExpired ends a request that was given up and whose attempt has not said how far it came.
func (p *Proxy) abandonExpired(r *request) {
	p.runLocked(func(time.Duration) {
		if r.balancer != nil && !r.answered {
			p.finishExpired(r)
		}
	})
}

// finishExpired answers a request that was given up, by what is known of its attempts; the lock is held.
func (p *Proxy) finishExpired(r *request) {
	res := result{kind: outcome.Expired}
	switch {
	case r.endpointFailure != nil:
		res = result{kind: outcome.Answered, response: r.endpointFailure}
	case r.mayHaveExecuted || r.outstanding():
		res.kind = outcome.TimedOut
	}
	res.retryAfter = res.kind.RetryAfter()
	p.answer(r, res)
	r.balancer.forget(r)
}

func asConnectionError(err error) (*transport.ConnectionError, bool) {
	var lost *transport.ConnectionError
	if errors.As(err, &lost) {
		return lost, true
	}
	if err != nil {
		return &transport.ConnectionError{Sent: true}, true
	}
	return nil, false
}
