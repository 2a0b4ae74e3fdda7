// Package admission decides which requests go on to an endpoint, and when: they wait at the endpoint's own sidecar, and none reaches
// the endpoint without passing it. It alone knows the endpoint's life, its slots and its drain mark, so what it turns away has surely
// not run. It does no I/O; time is an argument.
package admission

import (
	"slices"
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// Tunables.
const (
	serviceTimeWeight  = 0.05                    // of one run in the mean time that runs take
	initialServiceTime = 60 * time.Millisecond   // taken for it before the first
	maxWaitFraction    = 0.5                     // of the time until it is worthless that a request may be expected to wait
	minWait            = 20 * time.Millisecond   // and what it always may
	drainGrace         = 1500 * time.Millisecond // after the mark: who has not heard of it yet is still let on
	maxQueue           = 2048
	responseMargin     = 10 * time.Millisecond // what an answer's way back takes
)

// State is what an endpoint is open to.
type State uint8

// The states of the endpoint beside this sidecar, as far as it is known.
const (
	Unknown State = iota // nothing has been heard of one
	Serving
	Draining   // by its own word; what runs may end
	Terminated // deregistered, or found dead
)

// Endpoint is one start of the endpoint.
type Endpoint struct {
	ID      string
	Service string
	Slots   int
}

// Request is a request that wants to go on.
type Request struct {
	Token          uint64
	EndpointID     string // the life that was chosen; empty for any
	Service        string
	Priority       int           // 0 is highest
	Nested         bool          // part of a request that runs already
	TargetDeadline time.Duration // an answer later than this is worth little; on this clock
	Deadline       time.Duration // on this clock
}

type queuedRequest struct {
	Request
	queuedAt time.Duration
}

// usefulUntil is when an answer comes too late to be of use: to an inner request when its deadline has passed, as what waits for it
// is lost without it.
func (q *queuedRequest) usefulUntil() time.Duration {
	if q.Nested {
		return q.Deadline
	}
	return q.TargetDeadline
}

// Decision is what is to be done with a request: Kind 0 to let it on, else what it ended as.
type Decision struct {
	Token uint64
	Kind  outcome.Kind
}

// Controller keeps the admission of one endpoint.
type Controller struct {
	endpoint      Endpoint
	state         State
	drainingSince time.Duration // when it was told to drain
	running       map[uint64]time.Duration
	queue         []queuedRequest // in the order of going on
	serviceTime   time.Duration
	decisions     []Decision
}

// New makes a gate that lets nobody on until a life is told.
func New() *Controller {
	return &Controller{running: map[uint64]time.Duration{}, serviceTime: initialServiceTime}
}

// State is the endpoint's state.
func (c *Controller) State() State { return c.state }

// Endpoint is the endpoint's life.
func (c *Controller) Endpoint() Endpoint { return c.endpoint }

// Load is how many run, and how many wait.
func (c *Controller) Load() (running, waiting int) { return len(c.running), len(c.queue) }

// ServiceTime is the mean time that runs take.
func (c *Controller) ServiceTime() time.Duration { return c.serviceTime }

// UpdateEndpoint is the one function that changes what is known of the endpoint. A drain mark is never taken back within a life, and a
// life that has gone is over.
func (c *Controller) UpdateEndpoint(now time.Duration, life Endpoint, state State) []Decision {
	c.decisions = nil
	switch {
	case life.ID != c.endpoint.ID:
		c.rejectAll(outcome.Misdirected)
		c.endpoint, c.state, c.drainingSince = life, state, now
		if state == Draining { // it said so before, to a process that has ended: nobody knows when
			c.drainingSince = now - drainGrace - 1
		}
		c.running = map[uint64]time.Duration{}
	case state < c.state:
	default:
		if state == Draining && c.state != Draining {
			c.drainingSince = now
		}
		c.endpoint, c.state = life, state
	}
	if c.state == Terminated {
		c.rejectAll(outcome.Misdirected)
	}
	c.admitQueued(now)
	return c.decisions
}

func (c *Controller) rejectAll(k outcome.Kind) {
	for _, w := range c.queue {
		c.decisions = append(c.decisions, Decision{w.Token, k})
	}
	c.queue = nil
}

// closedReason is why nothing more goes on; 0 while it does.
func (c *Controller) closedReason(now time.Duration) outcome.Kind {
	switch {
	case c.state == Unknown || c.state == Terminated:
		return outcome.Misdirected
	case c.state == Draining && now-c.drainingSince > drainGrace:
		return outcome.Draining
	}
	return 0
}

// Submit takes a request in: it goes on, waits, or is turned away.
func (c *Controller) Submit(now time.Duration, a Request) []Decision {
	c.decisions = nil
	switch k := c.closedReason(now); {
	case k != 0:
		c.decisions = append(c.decisions, Decision{a.Token, k})
	case a.EndpointID != "" && a.EndpointID != c.endpoint.ID, a.Service != "" && a.Service != c.endpoint.Service:
		c.decisions = append(c.decisions, Decision{a.Token, outcome.Misdirected})
	case now+responseMargin >= a.Deadline:
		c.decisions = append(c.decisions, Decision{a.Token, outcome.Expired})
	default:
		c.insert(queuedRequest{a, now})
		c.admitQueued(now)
		c.shed(now)
	}
	return c.decisions
}

// insert puts a request in its place: what runs already waits for inner ones, so they go first; then by priority, then by
// arrival.
func (c *Controller) insert(w queuedRequest) {
	i, _ := slices.BinarySearchFunc(c.queue, w, func(x, y queuedRequest) int {
		if before(&y, &x) {
			return 1
		}
		return -1
	})
	c.queue = slices.Insert(c.queue, i, w)
}

func before(x, y *queuedRequest) bool {
	if x.Nested != y.Nested {
		return x.Nested
	}
	return x.Priority < y.Priority
}

// admitQueued lets on whoever is next while there are slots.
func (c *Controller) admitQueued(now time.Duration) {
	for len(c.queue) > 0 && len(c.running) < c.endpoint.Slots {
		if k := c.closedReason(now); k != 0 {
			c.rejectAll(k)
			return
		}
		w := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		if now+responseMargin >= w.Deadline {
			c.decisions = append(c.decisions, Decision{w.Token, outcome.Expired})
			continue
		}
		c.running[w.Token] = now
		c.decisions = append(c.decisions, Decision{w.Token, 0})
	}
}

// shed turns away those that are not expected to go on in time.
func (c *Controller) shed(now time.Duration) {
	if c.endpoint.Slots == 0 {
		return
	}
	each := float64(c.serviceTime) / float64(c.endpoint.Slots)
	for i := 0; i < len(c.queue); {
		w := &c.queue[i]
		expected := time.Duration(each * float64(i+1))
		left := w.usefulUntil() - w.queuedAt - c.serviceTime
		may := max(time.Duration(maxWaitFraction*float64(left)), minWait)
		if expected > may || i >= maxQueue {
			c.decisions = append(c.decisions, Decision{w.Token, outcome.AtCapacity})
			c.queue = slices.Delete(c.queue, i, i+1)
			continue
		}
		i++
	}
}

// Done tells that a request which had gone on has ended, and took its slot with it; who is next goes on.
func (c *Controller) Done(now time.Duration, token uint64) []Decision {
	c.decisions = nil
	if at, ok := c.running[token]; ok {
		delete(c.running, token)
		c.serviceTime += time.Duration(serviceTimeWeight * float64(now-at-c.serviceTime))
	}
	c.admitQueued(now)
	return c.decisions
}

// Cancel takes a request out that has not gone on; false if it has, or is not there.
func (c *Controller) Cancel(now time.Duration, token uint64) bool {
	for i := range c.queue {
		if c.queue[i].Token == token {
			c.queue = slices.Delete(c.queue, i, i+1)
			return true
		}
	}
	return false
}

// Expire lets time pass: those whose time is up are turned away at once, and so are all when the drain mark has come of age.
func (c *Controller) Expire(now time.Duration) []Decision {
	c.decisions = nil
	if k := c.closedReason(now); k != 0 {
		c.rejectAll(k)
		return c.decisions
	}
	for i := 0; i < len(c.queue); {
		if w := &c.queue[i]; now+responseMargin+c.serviceTime/2 >= w.Deadline {
			c.decisions = append(c.decisions, Decision{w.Token, outcome.Expired})
			c.queue = slices.Delete(c.queue, i, i+1)
			continue
		}
		i++
	}
	return c.decisions
}
