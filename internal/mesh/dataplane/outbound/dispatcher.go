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
	// nestedCallValue is the value of a nested call, in values of a client's request of the highest priority. The request that waits for
	// the call occupies a slot, and its execution so far is wasted if the call fails.
	nestedCallValue = 4
	// maxPriorityRank bounds the rank of a priority, 0 for the highest: a request has half the value of one a rank higher.
	maxPriorityRank = 16
	// requestIDBase is the base in which requests are numbered for the balancer.
	requestIDBase = 36
)

// dispatcher hands the requests that were accepted to the balancers, one for each service.
type dispatcher struct {
	options *Options

	mu           sync.Mutex                  // guards what follows, the balancers and their requests
	balancers    map[string]*serviceBalancer // by service
	zoneNumbers  map[string]int              // by zone
	deferred     []func(now time.Duration)   // by deferLocked, in order
	lastRequest  uint64                      // number of the last request
	sidecarCount int                         // sidecars that share the fleet's retry budget; 1 at least
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

// runLocked calls f with the lock held, and then the deferred functions in order.
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

// deferLocked calls f after the event that is being handled, with the lock still held: a balancer must not be called while it calls its
// host.
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

// updateEndpoints replaces the list of a service's endpoints.
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

// submit hands a request to its service's balancer. The result is sent once, on r.results.
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

// value returns the value of a request relative to others of its class.
func (r *request) value() float64 {
	if r.forward.Nested {
		return nestedCallValue
	}
	rank := min(max(r.forward.Priority, 0), maxPriorityRank)
	return 1 / float64(int(1)<<rank)
}

// expire gives up a request that has not been answered, and cancels its attempts. Their outcomes, which are still reported, decide on its
// answer.
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

// abandon answers an expired request without waiting for the outcomes of its cancelled attempts.
func (d *dispatcher) abandon(r *request) {
	d.runLocked(func(time.Duration) {
		if r.balancer != nil && !r.answered {
			r.answerExpired()
		}
	})
}
