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
	Hub     *transport.Hub
	Inbound *inbound.Proxy // to the endpoint on this machine
	Bounds  settings.Bounds
	Service string // of the endpoint on this machine: where requests begin
	Log     *logrus.Logger
	Seed    uint64
	Bodies  int64                // bytes of clients' bodies that there is room for
	Refresh func(service string) // fetches the endpoints of a service anew
	// Take takes a request out of a tenant's limit; done is called once, with when to come back if it is not there.
	Take func(t *configuration.Tenant, done func(ok bool, back time.Duration))
}

// Proxy takes clients' requests.
type Proxy struct {
	o           Options
	conf        atomic.Pointer[configuration.Config]
	mu          sync.Mutex
	balancers   map[string]*serviceBalancer
	zones       map[string]int
	splits      splitSequences
	queue       []func(now time.Duration)
	next        uint64
	sidecars    int
	open        atomic.Int64 // requests under way
	bodies      atomic.Int64 // bytes of their bodies
	ending      atomic.Bool  // nothing new is taken
	shutdown    atomic.Pointer[shutdownPlan]
	lastAnswer  chan struct{} // closed when the time of the shutdown plan has come
	connections clientConnections
	reads       bodyReads
}

// request is one client's request.
type request struct {
	id         balancer.RequestID
	route      *configuration.Route
	balancer   *serviceBalancer
	forward    inbound.ForwardRequest // what every attempt sends
	aim        time.Duration
	deadline   time.Duration
	attempts   int              // sent, whether or not they reached an endpoint
	arrivals   int              // those that reached one
	out        *attempt         // the one under way that the module knows; nil for none
	superseded []*attempt       // those under way in whose place the module has another sent
	finished   bool             // the module has given its final answer, with
	back       time.Duration    // when the client is to come back
	last       *inbound.Outcome // of the attempt that ended last, but for withdrawn ones
	failure    *inbound.Outcome // an endpoint's own failure: the answer, unless a later attempt is served
	mayRun     bool             // some attempt ran or may have run
	done       bool             // it is answered
	lapsed     bool             // given up; what is out is being withdrawn
	held       int64            // bytes of its body that are counted
	retryAfter time.Duration    // of a request beyond its tenant's limit
	answered   chan result
}

// result is what a client is answered.
type result struct {
	kind    outcome.Kind
	outcome *inbound.Outcome // of Answered
	back    time.Duration
}

// New makes a proxy that knows no configuration yet.
func New(o Options) *Proxy {
	return &Proxy{o: o, balancers: map[string]*serviceBalancer{}, zones: map[string]int{}, sidecars: 1,
		lastAnswer: make(chan struct{})}
}

// Now is the steady clock.
func (d *Proxy) Now() time.Duration { return d.o.Hub.Now() }

// do runs f with the lock held, and then what it has put off.
func (d *Proxy) do(f func(now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.Now())
	for len(d.queue) > 0 {
		g := d.queue[0]
		d.queue = d.queue[1:]
		g(d.Now())
	}
}

func (d *Proxy) later(f func(now time.Duration)) { d.queue = append(d.queue, f) }

func (d *Proxy) zone(name string) int {
	n, ok := d.zones[name]
	if !ok {
		n = len(d.zones)
		d.zones[name] = n
	}
	return n
}

func (d *Proxy) balancer(service string) *serviceBalancer {
	c := d.balancers[service]
	if c == nil {
		var err error
		if c, err = newServiceBalancer(d, service, d.o.Seed+uint64(len(d.balancers))); err != nil {
			d.o.Log.Error("outbound: " + err.Error())
			return nil
		}
		d.balancers[service] = c
	}
	return c
}

// Configure puts a configuration in force; an older one than the one in force changes nothing.
func (d *Proxy) Configure(c *configuration.Config) {
	d.do(func(time.Duration) {
		if now := d.conf.Load(); now != nil && now.Version >= c.Version {
			return
		}
		d.conf.Store(c)
		d.splits.keep(c)
	})
}

// Config is the configuration in force; nil for none.
func (d *Proxy) Config() *configuration.Config { return d.conf.Load() }

// Told takes the list of a service's endpoints, all of them.
func (d *Proxy) Told(service string, all []discovery.Endpoint) {
	d.do(func(now time.Duration) {
		if c := d.balancer(service); c != nil {
			c.told(now, all)
		}
	})
}

// Sidecars says how many sidecars share what the fleet may do.
func (d *Proxy) Sidecars(n int) {
	d.do(func(time.Duration) { d.sidecars = max(n, 1) })
}

// Open is how many requests are under way.
func (d *Proxy) Open() int { return int(d.open.Load()) }

// submit has a request served; its result comes once on the channel.
func (d *Proxy) submit(r *request, priority int) {
	times := 1 / float64(int(1)<<min(max(priority, 0), 16))
	if r.forward.Inner { // a slot waits for it, and what ran already is lost without it
		times = innerTimes
	}
	d.do(func(now time.Duration) {
		c := d.balancer(r.forward.Service)
		if c == nil {
			r.answered <- result{kind: outcome.Overloaded}
			return
		}
		d.next++
		r.id, r.balancer = balancer.RequestID(strconv.FormatUint(d.next, 36)), c
		c.requests[r.id] = r
		c.repeats.CountRequest(now)
		c.balancer.Request(now, balancer.Request{ID: r.id, Class: c.class(r.route), Left: r.deadline - now,
			Times: times})
	})
}

// answer gives a request its result, once; the lock is held.
func (d *Proxy) answer(r *request, res result) {
	if !r.done {
		r.done = true
		r.answered <- res
	}
}

// lapse gives a request up: its client has gone, or its time is nearly up. An attempt that is out is withdrawn, and its end says
// how far it had come.
func (d *Proxy) lapse(r *request) {
	d.do(func(now time.Duration) {
		c := r.balancer
		if c == nil || r.done || r.lapsed {
			return
		}
		r.lapsed = true
		c.withdrawAll(r)
		c.balancer.Lapsed(now, r.id)
		if !r.outstanding() {
			d.close(r)
		}
	})
}

// abandon ends a request that was given up and whose attempt has not said how far it came.
func (d *Proxy) abandon(r *request) {
	d.do(func(time.Duration) {
		if r.balancer != nil && !r.done {
			d.close(r)
		}
	})
}

// close answers a request that was given up, by what is known of its attempts; the lock is held.
func (d *Proxy) close(r *request) {
	res := result{kind: outcome.Late}
	switch {
	case r.failure != nil:
		res = result{kind: outcome.Answered, outcome: r.failure}
	case r.mayRun || r.outstanding():
		res.kind = outcome.Silent
	}
	res.back = res.kind.Back()
	d.answer(r, res)
	r.balancer.forget(r)
}

func asLost(err error) (*transport.ConnectionError, bool) {
	var lost *transport.ConnectionError
	if errors.As(err, &lost) {
		return lost, true
	}
	if err != nil {
		return &transport.ConnectionError{Sent: true}, true
	}
	return nil, false
}
