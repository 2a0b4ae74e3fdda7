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
	// nestedCallValue is the value of a nested call, as a multiple of the value of a client's request with the highest priority. It is higher
	// because the request that waits for the call occupies a slot, and its execution so far is wasted if the call fails.
	nestedCallValue = 4
	// maxPriorityRank bounds the rank of a priority; rank 0 is the highest. Each further rank halves the value of a request.
	maxPriorityRank = 16
	// requestIDBase is the numeral base of the request IDs that are passed to the balancer.
	requestIDBase = 36
)

// dispatcher passes accepted requests to the balancers, of which there is one for each service.
type dispatcher struct {
	options *Options

	mu           sync.Mutex                  // guards the fields below, the balancers and their requests
	balancers    map[string]*serviceBalancer // balancers by service
	zoneNumbers  map[string]int              // the balancers' zone numbers, by zone name
	deferred     []func(now time.Duration)   // functions scheduled by deferLocked, in order
	lastRequest  uint64                      // number of the last request
	sidecarCount int                         // number of sidecars that share the fleet's retry budget; at least 1
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

// deferLocked schedules a call of f after the current event, with the lock still held. It is needed because a balancer must not be called
// while it is calling its host.
func (d *dispatcher) deferLocked(f func(now time.Duration)) { d.deferred = append(d.deferred, f) }

// zoneNumber returns the number by which balancers know a zone. The caller holds the lock.
func (d *dispatcher) zoneNumber(name string) int {
	number, ok := d.zoneNumbers[name]
	if !ok {
		number = len(d.zoneNumbers)
		d.zoneNumbers[name] = number
	}
	return number
}

// balancerFor returns a service's balancer, and creates it if there is none; nil if that fails. The caller holds the lock.
func (d *dispatcher) balancerFor(service string) *serviceBalancer {
	if b := d.balancers[service]; b != nil {
		return b
	}
	b, err := newServiceBalancer(d, service, d.options.Seed+uint64(len(d.balancers)))
	if err != nil {
		d.options.Log.WithField("service", service).WithError(err).Error("outbound: cannot create the balancer of a service")
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

// submit passes a request to its service's balancer. The result is sent once, on r.results.
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

// expire gives up a request that has not been answered, and cancels its attempts. The outcomes of the attempts are still reported, and
// determine the request's answer.
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
