package outbound

import (
	"strconv"
	"sync"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/discovery"
)

const (
	// nestedCallValue is the value of a nested call: this many times that of a client's request of the highest priority. The request
	// that waits for it holds a slot, and what was executed of it already is lost without the call.
	nestedCallValue = 4
	// minPriorityRank is the lowest priority that makes a difference; each is worth half of the one before.
	minPriorityRank = 16
	// requestIDBase is the base in which requests are numbered for the balancer.
	requestIDBase = 36
)

// dispatcher serves the requests that were admitted, by one balancer for each service.
type dispatcher struct {
	options *Options

	mu           sync.Mutex // guards what follows, the balancers and their requests
	balancers    map[string]*serviceBalancer
	zoneNumbers  map[string]int
	deferred     []func(now time.Duration)
	lastRequest  uint64
	sidecarCount int // that share the fleet's retry budget
}

func newDispatcher(options *Options) *dispatcher {
	return &dispatcher{
		options:      options,
		balancers:    map[string]*serviceBalancer{},
		zoneNumbers:  map[string]int{},
		sidecarCount: 1,
	}
}

func (d *dispatcher) now() time.Duration { return d.options.Hub.Now() }

// runLocked runs a function with the lock held, and then what was deferred, in its order.
func (d *dispatcher) runLocked(f func(now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.now())
	for len(d.deferred) > 0 {
		next := d.deferred[0]
		d.deferred = d.deferred[1:]
		next(d.now())
	}
}

// deferLocked has a function run once the event that is being handled is done, with the lock still held: balancers take no event
// while they ask for actions.
func (d *dispatcher) deferLocked(f func(now time.Duration)) { d.deferred = append(d.deferred, f) }

// zoneNumber returns the number by which balancers know a zone. The lock is held.
func (d *dispatcher) zoneNumber(name string) int {
	number, ok := d.zoneNumbers[name]
	if !ok {
		number = len(d.zoneNumbers)
		d.zoneNumbers[name] = number
	}
	return number
}

// balancerFor returns a service's balancer; nil if none can be made. The lock is held.
func (d *dispatcher) balancerFor(service string) *serviceBalancer {
	if b := d.balancers[service]; b != nil {
		return b
	}
	b, err := newServiceBalancer(d, service, d.options.Seed+uint64(len(d.balancers)))
	if err != nil {
		d.options.Log.WithField("service", service).WithError(err).Error("outbound: balancer of a service cannot be made")
		return nil
	}
	d.balancers[service] = b
	return b
}

// updateEndpoints takes the complete list of a service's endpoints.
func (d *dispatcher) updateEndpoints(service string, endpoints []discovery.Endpoint) {
	d.runLocked(func(now time.Duration) {
		if b := d.balancerFor(service); b != nil {
			b.updateEndpoints(now, endpoints)
		}
	})
}

// setSidecarCount sets how many sidecars share the fleet's retry budget.
func (d *dispatcher) setSidecarCount(n int) {
	d.runLocked(func(time.Duration) { d.sidecarCount = max(n, 1) })
}

// submit has a request served; its result comes once on its channel.
func (d *dispatcher) submit(r *request) {
	d.runLocked(func(now time.Duration) {
		b := d.balancerFor(r.forward.Service)
		if b == nil {
			r.results <- result{kind: outcome.Overloaded}
			return
		}
		d.lastRequest++
		r.id = balancer.RequestID(strconv.FormatUint(d.lastRequest, requestIDBase))
		r.balancer = b
		b.submit(now, r)
	})
}

// value returns the value of a request to the balancer, beside others of its class.
func (r *request) value() float64 {
	if r.forward.Nested {
		return nestedCallValue
	}
	rank := min(max(r.forward.Priority, 0), minPriorityRank)
	return 1 / float64(int(1)<<rank)
}

// expire gives a request up: its client has gone, or its time is nearly up. Its attempts are cancelled, and their outcomes say how far
// they had come.
func (d *dispatcher) expire(r *request) {
	d.runLocked(func(now time.Duration) {
		if r.balancer == nil || r.answered || r.expired {
			return
		}
		r.expired = true
		r.balancer.cancelAttempts(r)
		r.balancer.balancer.HandleClientGone(now, r.id)
		if !r.attempts.outstanding() {
			r.answerExpired()
		}
	})
}

// abandon ends an expired request whose attempts have not reported how far they came.
func (d *dispatcher) abandon(r *request) {
	d.runLocked(func(time.Duration) {
		if r.balancer != nil && !r.answered {
			r.answerExpired()
		}
	})
}
