package admission

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// Tunables of admission.
const (
	// serviceTimeWeight is the weight of one execution in the mean service time.
	serviceTimeWeight = 0.05
	// initialServiceTime stands for the mean service time before anything was executed.
	initialServiceTime = 60 * time.Millisecond
	// maxWaitFraction is the fraction of the time until its answer is useless that a request may be expected to wait.
	maxWaitFraction = 0.5
	// minWait is what a request may always be expected to wait.
	minWait = 20 * time.Millisecond
	// drainGrace is how long after it has begun to drain an endpoint still takes requests, of senders that have not heard of it.
	drainGrace = 1500 * time.Millisecond
	// maxQueue bounds the requests that wait.
	maxQueue = 2048
	// responseMargin is what an answer's way back takes.
	responseMargin = 10 * time.Millisecond
)

// Controller admits requests to one endpoint. It is not safe for concurrent use. The decisions that a method returns concern the
// request that it was called with and any others, in the order in which they are to be carried out.
type Controller struct {
	endpoint      Endpoint
	state         State
	drainingSince time.Duration            // of Draining
	running       map[uint64]time.Duration // when each request that the endpoint executes was admitted, by token
	queue         queue
	serviceTime   time.Duration // smoothed mean
	decisions     []Decision    // of the call that is under way
}

// New makes a controller that rejects everything until UpdateEndpoint has named an endpoint.
func New() *Controller {
	return &Controller{running: map[uint64]time.Duration{}, serviceTime: initialServiceTime}
}

// State returns the endpoint's state.
func (c *Controller) State() State { return c.state }

// Endpoint returns the endpoint that is known.
func (c *Controller) Endpoint() Endpoint { return c.endpoint }

// Load returns how many requests the endpoint executes, and how many wait.
func (c *Controller) Load() (running, waiting int) { return len(c.running), len(c.queue) }

// ServiceTime returns the mean time for which a request holds its slot.
func (c *Controller) ServiceTime() time.Duration { return c.serviceTime }

// UpdateEndpoint takes what was heard of the endpoint; nothing else changes what is known of it. For the endpoint that is known a state
// that it has left behind changes nothing.
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

// replaceEndpoint puts another endpoint in the place of the one that is known.
func (c *Controller) replaceEndpoint(now time.Duration, endpoint Endpoint, state State) {
	c.rejectAll(outcome.Misdirected)
	c.endpoint = endpoint
	c.state = state
	c.drainingSince = now
	if state == Draining { // it announced so to an earlier process of this sidecar, nobody knows when: the grace period is over
		c.drainingSince = now - drainGrace - 1
	}
	c.running = map[uint64]time.Duration{}
}

// Submit takes a request: it is admitted, queued (no decision yet) or rejected. Other requests may be shed for it.
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

// rejection returns why a request can't even be queued; outcome.None if it can.
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

// Done frees the slot of a request that was admitted and has ended; the next one takes it.
func (c *Controller) Done(now time.Duration, token uint64) []Decision {
	c.decisions = nil
	if admitted, ok := c.running[token]; ok {
		delete(c.running, token)
		c.serviceTime += time.Duration(serviceTimeWeight * float64(now-admitted-c.serviceTime))
	}
	c.admitQueued(now)
	return c.decisions
}

// Cancel takes a request out of the queue. It returns false if the request was admitted, or is not there.
func (c *Controller) Cancel(token uint64) bool { return c.queue.removeToken(token) }

// Expire rejects the queued requests that can't be answered before their deadlines any more, and all of them once the endpoint takes
// none. It is to be called every few milliseconds while requests wait.
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

// decide adds a decision to those of the call that is under way.
func (c *Controller) decide(token uint64, kind outcome.Kind) {
	c.decisions = append(c.decisions, Decision{Token: token, Kind: kind})
}

// rejectAll ends all queued requests in one way.
func (c *Controller) rejectAll(kind outcome.Kind) {
	for i := range c.queue {
		c.decide(c.queue[i].Token, kind)
	}
	c.queue = nil
}

// closedReason returns why the endpoint takes no requests; outcome.None while it does.
func (c *Controller) closedReason(now time.Duration) outcome.Kind {
	switch {
	case c.state == Unknown || c.state == Terminated:
		return outcome.Misdirected
	case c.state == Draining && now-c.drainingSince > drainGrace:
		return outcome.Draining
	}
	return outcome.None
}

// admitQueued admits queued requests, first come first, while there are free slots.
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

// shed rejects the queued requests that are not expected to begin in time, and those beyond the bound of the queue.
func (c *Controller) shed() {
	if c.endpoint.Slots == 0 {
		return
	}
	interval := float64(c.serviceTime) / float64(c.endpoint.Slots) // between two slots that come free
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
