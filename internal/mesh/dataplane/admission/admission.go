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
func (w *queuedRequest) usefulUntil() time.Duration {
	if w.Nested {
		return w.Deadline
	}
	return w.TargetDeadline
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
func (g *Controller) State() State { return g.state }

// Endpoint is the endpoint's life.
func (g *Controller) Endpoint() Endpoint { return g.endpoint }

// Load is how many run, and how many wait.
func (g *Controller) Load() (running, waiting int) { return len(g.running), len(g.queue) }

// ServiceTime is the mean time that runs take.
func (g *Controller) ServiceTime() time.Duration { return g.serviceTime }

// UpdateEndpoint is the one function that changes what is known of the endpoint. A drain mark is never taken back within a life, and a
// life that has gone is over.
func (g *Controller) UpdateEndpoint(now time.Duration, life Endpoint, state State) []Decision {
	g.decisions = nil
	switch {
	case life.ID != g.endpoint.ID:
		g.rejectAll(outcome.Misdirected)
		g.endpoint, g.state, g.drainingSince = life, state, now
		if state == Draining { // it said so before, to a process that has ended: nobody knows when
			g.drainingSince = now - drainGrace - 1
		}
		g.running = map[uint64]time.Duration{}
	case state < g.state:
	default:
		if state == Draining && g.state != Draining {
			g.drainingSince = now
		}
		g.endpoint, g.state = life, state
	}
	if g.state == Terminated {
		g.rejectAll(outcome.Misdirected)
	}
	g.admitQueued(now)
	return g.decisions
}

func (g *Controller) rejectAll(k outcome.Kind) {
	for _, w := range g.queue {
		g.decisions = append(g.decisions, Decision{w.Token, k})
	}
	g.queue = nil
}

// closedReason is why nothing more goes on; 0 while it does.
func (g *Controller) closedReason(now time.Duration) outcome.Kind {
	switch {
	case g.state == Unknown || g.state == Terminated:
		return outcome.Misdirected
	case g.state == Draining && now-g.drainingSince > drainGrace:
		return outcome.Draining
	}
	return 0
}

// Submit takes a request in: it goes on, waits, or is turned away.
func (g *Controller) Submit(now time.Duration, a Request) []Decision {
	g.decisions = nil
	switch k := g.closedReason(now); {
	case k != 0:
		g.decisions = append(g.decisions, Decision{a.Token, k})
	case a.EndpointID != "" && a.EndpointID != g.endpoint.ID, a.Service != "" && a.Service != g.endpoint.Service:
		g.decisions = append(g.decisions, Decision{a.Token, outcome.Misdirected})
	case now+responseMargin >= a.Deadline:
		g.decisions = append(g.decisions, Decision{a.Token, outcome.Expired})
	default:
		g.insert(queuedRequest{a, now})
		g.admitQueued(now)
		g.shed(now)
	}
	return g.decisions
}

// insert puts a request in its place: what runs already waits for inner ones, so they go first; then by priority, then by
// arrival.
func (g *Controller) insert(w queuedRequest) {
	i, _ := slices.BinarySearchFunc(g.queue, w, func(x, y queuedRequest) int {
		if before(&y, &x) {
			return 1
		}
		return -1
	})
	g.queue = slices.Insert(g.queue, i, w)
}

func before(x, y *queuedRequest) bool {
	if x.Nested != y.Nested {
		return x.Nested
	}
	return x.Priority < y.Priority
}

// admitQueued lets on whoever is next while there are slots.
func (g *Controller) admitQueued(now time.Duration) {
	for len(g.queue) > 0 && len(g.running) < g.endpoint.Slots {
		if k := g.closedReason(now); k != 0 {
			g.rejectAll(k)
			return
		}
		w := g.queue[0]
		g.queue = slices.Delete(g.queue, 0, 1)
		if now+responseMargin >= w.Deadline {
			g.decisions = append(g.decisions, Decision{w.Token, outcome.Expired})
			continue
		}
		g.running[w.Token] = now
		g.decisions = append(g.decisions, Decision{w.Token, 0})
	}
}

// shed turns away those that are not expected to go on in time.
func (g *Controller) shed(now time.Duration) {
	if g.endpoint.Slots == 0 {
		return
	}
	each := float64(g.serviceTime) / float64(g.endpoint.Slots)
	for i := 0; i < len(g.queue); {
		w := &g.queue[i]
		expected := time.Duration(each * float64(i+1))
		left := w.usefulUntil() - w.queuedAt - g.serviceTime
		may := max(time.Duration(maxWaitFraction*float64(left)), minWait)
		if expected > may || i >= maxQueue {
			g.decisions = append(g.decisions, Decision{w.Token, outcome.AtCapacity})
			g.queue = slices.Delete(g.queue, i, i+1)
			continue
		}
		i++
	}
}

// Done tells that a request which had gone on has ended, and took its slot with it; who is next goes on.
func (g *Controller) Done(now time.Duration, token uint64) []Decision {
	g.decisions = nil
	if at, ok := g.running[token]; ok {
		delete(g.running, token)
		g.serviceTime += time.Duration(serviceTimeWeight * float64(now-at-g.serviceTime))
	}
	g.admitQueued(now)
	return g.decisions
}

// Cancel takes a request out that has not gone on; false if it has, or is not there.
func (g *Controller) Cancel(now time.Duration, token uint64) bool {
	for i := range g.queue {
		if g.queue[i].Token == token {
			g.queue = slices.Delete(g.queue, i, i+1)
			return true
		}
	}
	return false
}

// Expire lets time pass: those whose time is up are turned away at once, and so are all when the drain mark has come of age.
func (g *Controller) Expire(now time.Duration) []Decision {
	g.decisions = nil
	if k := g.closedReason(now); k != 0 {
		g.rejectAll(k)
		return g.decisions
	}
	for i := 0; i < len(g.queue); {
		if w := &g.queue[i]; now+responseMargin+g.serviceTime/2 >= w.Deadline {
			g.decisions = append(g.decisions, Decision{w.Token, outcome.Expired})
			g.queue = slices.Delete(g.queue, i, i+1)
			continue
		}
		i++
	}
	return g.decisions
}
