package outbound

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery"
)

// Settings of the balancer that the mesh fixes and the operator can't change.
const (
	// decisionInterval is the shortest time between two rounds of the balancer's events.
	decisionInterval = 5 * time.Millisecond
	// slowStartWindow is how long an endpoint warms up after its start, and slowStartMinShare its initial share of requests. The endpoint's
	// keepalives report how much of the window remains.
	slowStartWindow   = 3 * time.Second
	slowStartMinShare = 0.4
	// overloadMultiple and overloadDuration define an overloaded endpoint: its latency has been this multiple of its usual latency for
	// this long.
	overloadMultiple = 2.5
	overloadDuration = time.Second
	// maxRetryAfter bounds the balancer's retry-after of rejected requests.
	maxRetryAfter = time.Second
	// connectTimeout bounds the time that an attempt may take to reach the endpoint's sidecar.
	connectTimeout = 250 * time.Millisecond
	// lateValueShare is the share of an answer's value that remains once the latency target is missed.
	lateValueShare = 0.2
	// defaultTarget and defaultDeadline are the latency target and the deadline of class 0, which is used for requests whose own class
	// could not be added.
	defaultTarget   = time.Second
	defaultDeadline = 2 * time.Second
)

// serviceBalancer serves the requests of one service. As the balancer.Host of the balancer that picks the endpoints, it carries out the
// balancer's decisions. The dispatcher's lock guards it.
type serviceBalancer struct {
	dispatcher  *dispatcher
	service     string
	balancer    *balancer.Balancer
	endpoints   endpointTable
	classes     classTable
	requests    map[balancer.RequestID]*request // requests that are not answered yet or have outstanding attempts
	retryBudget *ratelimit.RetryBudget
}

func newServiceBalancer(dispatcher *dispatcher, service string, seed uint64) (*serviceBalancer, error) {
	host := &serviceBalancer{
		dispatcher:  dispatcher,
		service:     service,
		endpoints:   newEndpointTable(),
		requests:    map[balancer.RequestID]*request{},
		retryBudget: ratelimit.NewRetryBudget(dispatcher.options.Bounds.RetryBudgetWindow),
	}
	settings := balancer.Settings{
		Instances:         1,
		Tiers:             1,
		Quantum:           decisionInterval,
		TotalValueWeight:  1,
		MayCancel:         true,
		MaxRetryAfter:     maxRetryAfter,
		ConnectTimeout:    connectTimeout,
		SlowStartMinShare: slowStartMinShare,
		SlowStartWindow:   slowStartWindow,
		OverloadMultiple:  overloadMultiple,
		OverloadDuration:  overloadDuration,
		Classes: []balancer.Class{{
			Name:           "any",
			LatencyTarget:  defaultTarget,
			Deadline:       defaultDeadline,
			Value:          1,
			LateValueShare: lateValueShare,
			Idempotency:    balancer.NonIdempotent,
		}},
	}
	var err error
	host.balancer, err = balancer.New(settings, seed, host)
	host.classes = classTable{balancer: host.balancer, log: dispatcher.options.Log, numbers: map[classKey]int{}}
	return host, err
}

// updateEndpoints replaces the list of the service's endpoints.
func (b *serviceBalancer) updateEndpoints(now time.Duration, endpoints []discovery.Endpoint) {
	b.balancer.HandleEndpoints(now, b.endpoints.update(now, endpoints, b.dispatcher.zoneNumber))
}

// submit passes a new request to the balancer.
func (b *serviceBalancer) submit(now time.Duration, r *request) {
	b.requests[r.id] = r
	b.retryBudget.CountRequest(now)
	b.balancer.HandleRequest(now, balancer.Request{
		ID:          r.id,
		Class:       b.classes.number(r.route),
		TimeLeft:    r.deadline - now,
		ValueFactor: r.value(),
	})
}

// forget removes a request if it is answered and has no outstanding attempt.
func (b *serviceBalancer) forget(r *request) {
	if r.answered && !r.attempts.outstanding() {
		delete(b.requests, r.id)
	}
}
