package outbound

import (
	"math"
	"strconv"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport/codec"
)

// Settings of the decision module that are the mesh's, not the operator's.
const (
	decisionInterval  = 5 * time.Millisecond
	slowStartWindow   = 3 * time.Second // until a new endpoint is warm; the rest comes with its beats
	slowStartMinShare = 0.4
	overloadMultiple  = 2.5
	overloadDuration  = time.Second
	maxRetryAfter     = time.Second
	connectTimeout    = 250 * time.Millisecond
	maxClasses        = 256
	nestedCallValue   = 4 // how much more calls of endpoints are worth than clients' requests of the highest rank
	maxAttempts       = 8 // of one request, those that surely did not run among them
	minStatus         = 200
	maxStatus         = 999 // of an answer that can be written
)

// knownEndpoint is one endpoint as the decision module knows it, by a number.
type knownEndpoint struct {
	number balancer.EndpointID
	discovery.Endpoint
}

// classKey is what makes requests alike for the module.
type classKey struct {
	kind            configuration.RouteKind
	target, timeout time.Duration
}

// serviceBalancer is one service's endpoints with the decision module that picks among them. It is the module's host.
type serviceBalancer struct {
	proxy        *Proxy
	service      string
	balancer     *balancer.Balancer
	endpoints    map[balancer.EndpointID]*knownEndpoint
	byID         map[string]*knownEndpoint
	lastEndpoint balancer.EndpointID
	classes      map[classKey]int
	requests     map[balancer.RequestID]*request
	retryBudget  *ratelimit.RetryBudget
	listVersion  uint64
}

func newServiceBalancer(d *Proxy, service string, seed uint64) (*serviceBalancer, error) {
	c := &serviceBalancer{
		proxy: d, service: service, endpoints: map[balancer.EndpointID]*knownEndpoint{}, byID: map[string]*knownEndpoint{},
		classes: map[classKey]int{}, requests: map[balancer.RequestID]*request{},
		retryBudget: ratelimit.NewRetryBudget(d.options.Bounds.RetryBudgetWindow),
	}
	b, err := balancer.New(balancer.Settings{
		Instances: 1, Tiers: 1, Quantum: decisionInterval, TotalValueWeight: 1, MayCancel: true, MaxRetryAfter: maxRetryAfter,
		ConnectTimeout: connectTimeout, SlowStartMinShare: slowStartMinShare, SlowStartWindow: slowStartWindow, OverloadMultiple: overloadMultiple, OverloadDuration: overloadDuration,
		Classes: []balancer.Class{{
			Name: "any", LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1, LateValueShare: 0.2,
			Idempotency: balancer.NonIdempotent,
		}},
	}, seed, c)
	c.balancer = b
	return c, err
}

// class is the number of a route's class. Each change of a route's times may ask for a new one; once there are too many, routes share
// those that are most like theirs.
func (s *serviceBalancer) class(r *configuration.Route) int {
	key := classKey{r.Kind, r.Target, r.Timeout}
	if n, ok := s.classes[key]; ok {
		return n
	}
	if len(s.classes) >= maxClasses {
		return s.nearestClass(key)
	}
	effect := balancer.Idempotent
	if !r.Kind.IsIdempotent() {
		effect = balancer.NonIdempotent
	}
	target := r.Target
	if target <= 0 {
		target = r.Timeout / 2
	}
	n, err := s.balancer.AddClass(balancer.Class{
		Name: strconv.Itoa(len(s.classes)), LatencyTarget: target, Deadline: r.Timeout,
		Value: 1, LateValueShare: 0.2, Idempotency: effect,
	})
	if err != nil {
		s.proxy.options.Log.Warn("outbound: " + err.Error())
		return 0
	}
	s.classes[key] = n
	return n
}

// nearestClass is the class of the same kind of requests whose times are nearest to a key's; 0, which may be sent once only, if there is
// none of its kind.
func (s *serviceBalancer) nearestClass(key classKey) (number int) {
	nearest := time.Duration(math.MaxInt64)
	for other, n := range s.classes {
		distance := (other.timeout - key.timeout).Abs() + (other.target - key.target).Abs()
		if other.kind == key.kind && (distance < nearest || distance == nearest && n < number) {
			nearest, number = distance, n
		}
	}
	return number
}

// updateEndpoints takes the list of the service's endpoints, all of them.
func (s *serviceBalancer) updateEndpoints(now time.Duration, all []discovery.Endpoint) {
	s.listVersion++
	l := balancer.EndpointList{Kind: balancer.ListFull, Version: s.listVersion}
	seen := map[string]bool{}
	for _, e := range all {
		p := s.byID[e.ID]
		if e.State >= discovery.Crashed {
			continue
		}
		if p == nil {
			s.lastEndpoint++
			p = &knownEndpoint{number: s.lastEndpoint}
			s.byID[e.ID], s.endpoints[p.number] = p, p
		}
		p.Endpoint, seen[e.ID] = e, true
		entry := balancer.ListEntry{Endpoint: p.number, Zone: s.proxy.zoneNumber(e.Zone), Weight: 1}
		if e.State == discovery.Draining {
			entry.State = balancer.EndpointDraining
		}
		if e.WarmupRemaining > 0 {
			entry.StartedAt = now + e.WarmupRemaining - slowStartWindow
		}
		l.Entries = append(l.Entries, entry)
	}
	for id, p := range s.byID {
		if !seen[id] {
			delete(s.byID, id)
			delete(s.endpoints, p.number)
		}
	}
	s.balancer.HandleEndpoints(now, l)
}

// Send makes an attempt (balancer.Host).
func (s *serviceBalancer) Send(id balancer.RequestID, to balancer.EndpointID, _ time.Duration) {
	r, p := s.requests[id], s.endpoints[to]
	if r == nil {
		return
	}
	now := s.proxy.Now()
	a := &attempt{request: r, endpoint: to, number: r.sentAttempts, sentAt: now}
	r.sentAttempts++
	r.active = a
	if p == nil { // it left between two events
		s.proxy.deferLocked(func(now time.Duration) { s.attemptEnded(now, a, &inbound.ForwardResponse{Kind: outcome.Misdirected}) })
		return
	}
	if r.mayHaveExecuted && !r.route.Kind.IsIdempotent() { // the module never does so; this guards against a fault of it
		s.proxy.options.Log.WithField("attempt", r.forward.AttemptID).Error("outbound: a request that may have run is not sent again")
		s.proxy.deferLocked(func(now time.Duration) { s.attemptEnded(now, a, &inbound.ForwardResponse{Kind: outcome.Cancelled}) })
		return
	}
	forward := r.forward
	forward.EndpointID, forward.TimeRemaining, forward.TargetRemaining = p.ID, r.deadline-now, r.targetDeadline-now
	done := func(o *inbound.ForwardResponse) {
		s.proxy.runLocked(func(now time.Duration) { s.attemptEnded(now, a, o) })
	}
	if p.SidecarAddress == s.proxy.options.Hub.Self().Address {
		a.cancel = s.proxy.options.Inbound.Forward(&forward, r.targetDeadline, r.deadline, done)
		return
	}
	call := s.proxy.options.Hub.Send(p.SidecarAddress, inbound.MethodForward, codec.MarshalAppend(nil, &forward), r.deadline,
		func(body []byte, err error) { done(parseResponse(body, err)) })
	a.cancel = call.Cancel
}

// parseResponse is what the end of a call to the endpoint's sidecar says of the attempt.
func parseResponse(body []byte, err error) *inbound.ForwardResponse {
	if lost, ok := asConnectionError(err); ok {
		if lost.Sent {
			return &inbound.ForwardResponse{Kind: outcome.ConnectionLost, ReachedEndpoint: true}
		}
		return &inbound.ForwardResponse{Kind: outcome.Unreachable}
	}
	if len(body) == 0 { // it has no room for it, or does not know the call: not run
		return &inbound.ForwardResponse{Kind: outcome.AtCapacity}
	}
	o := &inbound.ForwardResponse{}
	noStatus := func() bool { return o.Kind == outcome.Answered && (o.Status < minStatus || o.Status > maxStatus) }
	if err := codec.Unmarshal(body, o); err != nil || o.Kind == 0 || !o.Kind.Entry().EndsAttempt || noStatus() {
		return &inbound.ForwardResponse{Kind: outcome.InvalidResponse, ReachedEndpoint: true}
	}
	return o
}

// balancerStatus is what an outcome is to the decision module. quit tells that the attempt was withdrawn.
func balancerStatus(o *inbound.ForwardResponse, quit bool) balancer.Status {
	switch o.Kind {
	case outcome.Answered:
		if o.Status >= 500 {
			return balancer.StatusError
		}
		return balancer.StatusOK
	case outcome.AtCapacity, outcome.Rejected, outcome.Draining, outcome.Expired, outcome.Overloaded:
		return balancer.StatusRejected
	case outcome.Misdirected, outcome.Unreachable:
		if quit {
			return balancer.StatusNotSent
		}
		return balancer.StatusConnectFailed
	case outcome.Cancelled:
		return balancer.StatusNotSent
	case outcome.ConnectionLost:
		return balancer.StatusReset
	case outcome.InvalidResponse, outcome.EndpointReset: // of one connection; the endpoint's own sidecar says if it is down
		return balancer.StatusInvalidResponse
	}
	if quit {
		return balancer.StatusCancelled
	}
	return balancer.StatusTimeout
}

// SetTimer (balancer.Host).
func (s *serviceBalancer) SetTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() {
		s.proxy.runLocked(func(now time.Duration) { s.balancer.HandleTimer(now, token) })
	})
}

// FetchEndpoints gets the list of endpoints anew from the service's homes (balancer.Host).
func (s *serviceBalancer) FetchEndpoints() {
	if f := s.proxy.options.RefreshEndpoints; f != nil {
		go f(s.service)
	}
}

// Log (balancer.Host).
func (s *serviceBalancer) Log(text string) {
	s.proxy.options.Log.WithField("service", s.service).Info("balancer: " + text)
}

// HealthCheck (balancer.Host): endpoints' own sidecars vouch for them, so nobody probes.
func (s *serviceBalancer) HealthCheck(balancer.EndpointID) {}

// SendToPeer (balancer.Host): not used by the module.
func (s *serviceBalancer) SendToPeer(int, []byte) {}

// WatchEndpoints (balancer.Host): lists are pushed.
func (s *serviceBalancer) WatchEndpoints(bool) {}

// CloseIdleConnections (balancer.Host): the endpoint's own sidecar has its connections.
func (s *serviceBalancer) CloseIdleConnections(balancer.EndpointID) {}
