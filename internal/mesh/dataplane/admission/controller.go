package admission

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// Tunables of admission.
const (
	// serviceTimeWeight is the weight of one execution in the mean service time.
	serviceTimeWeight = 0.05
	// initialServiceTime is the assumed mean service time before the first execution.
	initialServiceTime = 60 * time.Millisecond
	// maxWaitFraction is the largest fraction of its slack that a request may be expected to wait. A larger fraction rejects fewer
	// requests but answers more of them late.
	maxWaitFraction = 0.5
	// minWait is the expected wait below which no request is shed.
	minWait = 20 * time.Millisecond
	// drainGrace is how long a draining endpoint still gets requests, from senders that have not been notified of the drain yet.
	drainGrace = 1500 * time.Millisecond
	// maxQueue bounds the number of queued requests.
	maxQueue = 2048
	// responseMargin is the time reserved for sending an answer back to the client.
	responseMargin = 10 * time.Millisecond
)

// Controller admits requests to one endpoint. It is not safe for concurrent use. A method may return decisions on requests other than the
// one in its argument; the caller must carry out the decisions in the returned order.
type Controller struct {
	endpoint      Endpoint
	state         State
	drainingSince time.Duration            // when the drain began; valid in state Draining
	running       map[uint64]time.Duration // admission time of each request that occupies a slot, by token
	queue         queue
	serviceTime   time.Duration // exponentially weighted mean
	decisions     []Decision    // decisions to be returned by the current method call
}

// New returns a controller that rejects all requests until UpdateEndpoint is called.
func New() *Controller {
	return &Controller{running: map[uint64]time.Duration{}, serviceTime: initialServiceTime}
}

// State returns the endpoint's state.
func (c *Controller) State() State { return c.state }

// Endpoint returns the endpoint.
func (c *Controller) Endpoint() Endpoint { return c.endpoint }

// Load returns the number of requests that occupy a slot, and the number of queued requests.
func (c *Controller) Load() (running, waiting int) { return len(c.running), len(c.queue) }

// ServiceTime returns the mean time for which a request occupies its slot.
func (c *Controller) ServiceTime() time.Duration { return c.serviceTime }

// UpdateEndpoint sets the endpoint and its state. If the same endpoint is already in a later state, the whole update is ignored.
func (c *Controller) UpdateEndpoint(now time.Duration, endpoint Endpoint, state State) []Decision {
	c.decisions = nil
	switch {
	case endpoint.ID != c.endpoint.ID:
		c.replaceEndpoint(now, endpoint, state)
	case state >= c.state:
		if state == Draining && c.state != Draining {
			c.drainingSince = now
		}
		c.endpoint = endpoint
		c.state = state
	}
	if c.state == Terminated {
		c.rejectAll(outcome.Misdirected)
	}
	c.admitQueued(now)
	return c.decisions
}

// replaceEndpoint replaces the endpoint by another one, and rejects the requests that are queued for the old one.
func (c *Controller) replaceEndpoint(now time.Duration, endpoint Endpoint, state State) {
	c.rejectAll(outcome.Misdirected)
	c.endpoint = endpoint
	c.state = state
	c.drainingSince = now
	if state == Draining { // the drain began at an unknown time before this process started, so the grace period counts as over
		c.drainingSince = now - drainGrace - 1
	}
	c.running = map[uint64]time.Duration{}
}

// Submit submits a request, which is admitted, rejected, or queued without a decision. Other queued requests may be shed in its favour.
func (c *Controller) Submit(now time.Duration, r Request) []Decision {
	c.decisions = nil
	if kind := c.rejection(now, &r); kind != outcome.None {
		c.decide(r.Token, kind)
		return c.decisions
	}
	c.queue.insert(queuedRequest{Request: r, queuedAt: now})
	c.admitQueued(now)
	c.shed()
	return c.decisions
}

// rejection returns the reason why a request can't be queued; outcome.None if it can.
func (c *Controller) rejection(now time.Duration, r *Request) outcome.Kind {
	if kind := c.closedReason(now); kind != outcome.None {
		return kind
	}
	otherEndpoint := r.EndpointID != "" && r.EndpointID != c.endpoint.ID
	otherService := r.Service != "" && r.Service != c.endpoint.Service
	switch {
	case otherEndpoint || otherService:
		return outcome.Misdirected
	case now+responseMargin >= r.Deadline:
		return outcome.Expired
	}
	return outcome.None
}

// Done frees the slot of an admitted request that has ended, and admits the next one.
func (c *Controller) Done(now time.Duration, token uint64) []Decision {
	c.decisions = nil
	if admitted, ok := c.running[token]; ok {
		delete(c.running, token)
		c.serviceTime += time.Duration(serviceTimeWeight * float64(now-admitted-c.serviceTime))
	}
	c.admitQueued(now)
	return c.decisions
}

// Cancel removes a request from the queue. It returns false if the request is not queued because it was admitted or has ended.
func (c *Controller) Cancel(token uint64) bool { return c.queue.removeToken(token) }

// Expire rejects the queued requests that can no longer be answered before their deadlines. Once the endpoint accepts no requests, it
// rejects all queued ones. It must be called every few milliseconds while requests are queued.
func (c *Controller) Expire(now time.Duration) []Decision {
	c.decisions = nil
	if kind := c.closedReason(now); kind != outcome.None {
		c.rejectAll(kind)
		return c.decisions
	}
	for i := 0; i < len(c.queue); {
		r := &c.queue[i]
		if now+responseMargin+c.serviceTime/2 < r.Deadline {
			i++
			continue
		}
		c.decide(r.Token, outcome.Expired)
		c.queue.remove(i)
	}
	return c.decisions
}

// decide adds a decision to those that the current method call returns.
func (c *Controller) decide(token uint64, kind outcome.Kind) {
	c.decisions = append(c.decisions, Decision{Token: token, Kind: kind})
}

// rejectAll rejects all queued requests.
func (c *Controller) rejectAll(kind outcome.Kind) {
	for i := range c.queue {
		c.decide(c.queue[i].Token, kind)
	}
	c.queue = nil
}

// closedReason returns the reason why the endpoint accepts no requests; outcome.None if it accepts them.
func (c *Controller) closedReason(now time.Duration) outcome.Kind {
	switch {
	case c.state == Unknown || c.state == Terminated:
		return outcome.Misdirected
	case c.state == Draining && now-c.drainingSince > drainGrace:
		return outcome.Draining
	}
	return outcome.None
}

// admitQueued admits queued requests, in the order of the queue, while there are free slots.
func (c *Controller) admitQueued(now time.Duration) {
	for len(c.queue) > 0 && len(c.running) < c.endpoint.Slots {
		if kind := c.closedReason(now); kind != outcome.None {
			c.rejectAll(kind)
			return
		}
		r := c.queue[0]
		c.queue.remove(0)
		if now+responseMargin >= r.Deadline {
			c.decide(r.Token, outcome.Expired)
			continue
		}
		c.running[r.Token] = now
		c.decide(r.Token, outcome.None)
	}
}

// shed rejects the queued requests that are not expected to start in time, and those past position maxQueue.
func (c *Controller) shed() {
	if c.endpoint.Slots == 0 {
		return
	}
	interval := float64(c.serviceTime) / float64(c.endpoint.Slots) // expected time between two slots becoming free
	for i := 0; i < len(c.queue); {
		r := &c.queue[i]
		expectedWait := time.Duration(interval * float64(i+1))
		slack := r.usefulUntil() - r.queuedAt - c.serviceTime
		maxWait := max(time.Duration(maxWaitFraction*float64(slack)), minWait)
		if expectedWait <= maxWait && i < maxQueue {
			i++
			continue
		}
		c.decide(r.Token, outcome.AtCapacity)
		c.queue.remove(i)
	}
}
