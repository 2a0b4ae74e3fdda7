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
	workWeight = 0.05                    // of one run in the mean time that runs take
	workFirst  = 60 * time.Millisecond   // taken for it before the first
	waitShare  = 0.5                     // of the time until it is worthless that a request may be expected to wait
	waitLeast  = 20 * time.Millisecond   // and what it always may
	drainGrace = 1500 * time.Millisecond // after the mark: who has not heard of it yet is still let on
	queueMost  = 2048
	lateGrace  = 10 * time.Millisecond // what an answer's way back takes
)

// State is what an endpoint is open to.
type State uint8

// The states of the endpoint beside this sidecar, as far as it is known.
const (
	Unknown State = iota // nothing has been heard of one
	Serving
	Draining // by its own word; what runs may end
	Gone     // deregistered, or found dead
)

// Life is one start of the endpoint.
type Life struct {
	ID      string
	Service string
	Slots   int
}

// Arrival is a request that wants to go on.
type Arrival struct {
	Token    uint64
	Endpoint string // the life that was chosen; empty for any
	Service  string
	Priority int           // 0 is highest
	Inner    bool          // part of a request that runs already
	Aim      time.Duration // an answer later than this is worth little; on this clock
	Deadline time.Duration // on this clock
}

type waiting struct {
	Arrival
	at time.Duration
}

// worthless is when an answer comes too late to be of use: to an inner request when its deadline has passed, as what waits for it
// is lost without it.
func (w *waiting) worthless() time.Duration {
	if w.Inner {
		return w.Deadline
	}
	return w.Aim
}

// Step is what is to be done with a request: Kind 0 to let it on, else what it ended as.
type Step struct {
	Token uint64
	Kind  outcome.Kind
}

// Gate keeps the admission of one endpoint.
type Gate struct {
	life    Life
	state   State
	marked  time.Duration // when it was told to drain
	running map[uint64]time.Duration
	queue   []waiting // in the order of going on
	work    time.Duration
	steps   []Step
}

// New makes a gate that lets nobody on until a life is told.
func New() *Gate { return &Gate{running: map[uint64]time.Duration{}, work: workFirst} }

// State is the endpoint's state.
func (g *Gate) State() State { return g.state }

// Life is the endpoint's life.
func (g *Gate) Life() Life { return g.life }

// Load is how many run, and how many wait.
func (g *Gate) Load() (running, waiting int) { return len(g.running), len(g.queue) }

// Work is the mean time that runs take.
func (g *Gate) Work() time.Duration { return g.work }

// Tell is the one function that changes what is known of the endpoint. A drain mark is never taken back within a life, and a
// life that has gone is over.
func (g *Gate) Tell(now time.Duration, life Life, state State) []Step {
	g.steps = nil
	switch {
	case life.ID != g.life.ID:
		g.refuseAll(outcome.Mistaken)
		g.life, g.state, g.marked = life, state, now
		if state == Draining { // it said so before, to a process that has ended: nobody knows when
			g.marked = now - drainGrace - 1
		}
		g.running = map[uint64]time.Duration{}
	case state < g.state:
	default:
		if state == Draining && g.state != Draining {
			g.marked = now
		}
		g.life, g.state = life, state
	}
	if g.state == Gone {
		g.refuseAll(outcome.Mistaken)
	}
	g.pull(now)
	return g.steps
}

func (g *Gate) refuseAll(k outcome.Kind) {
	for _, w := range g.queue {
		g.steps = append(g.steps, Step{w.Token, k})
	}
	g.queue = nil
}

// closed is why nothing more goes on; 0 while it does.
func (g *Gate) closed(now time.Duration) outcome.Kind {
	switch {
	case g.state == Unknown || g.state == Gone:
		return outcome.Mistaken
	case g.state == Draining && now-g.marked > drainGrace:
		return outcome.Leaving
	}
	return 0
}

// Arrive takes a request in: it goes on, waits, or is turned away.
func (g *Gate) Arrive(now time.Duration, a Arrival) []Step {
	g.steps = nil
	switch k := g.closed(now); {
	case k != 0:
		g.steps = append(g.steps, Step{a.Token, k})
	case a.Endpoint != "" && a.Endpoint != g.life.ID, a.Service != "" && a.Service != g.life.Service:
		g.steps = append(g.steps, Step{a.Token, outcome.Mistaken})
	case now+lateGrace >= a.Deadline:
		g.steps = append(g.steps, Step{a.Token, outcome.Late})
	default:
		g.insert(waiting{a, now})
		g.pull(now)
		g.trim(now)
	}
	return g.steps
}

// insert puts a request in its place: what runs already waits for inner ones, so they go first; then by priority, then by
// arrival.
func (g *Gate) insert(w waiting) {
	i, _ := slices.BinarySearchFunc(g.queue, w, func(x, y waiting) int {
		if before(&y, &x) {
			return 1
		}
		return -1
	})
	g.queue = slices.Insert(g.queue, i, w)
}

func before(x, y *waiting) bool {
	if x.Inner != y.Inner {
		return x.Inner
	}
	return x.Priority < y.Priority
}

// pull lets on whoever is next while there are slots.
func (g *Gate) pull(now time.Duration) {
	for len(g.queue) > 0 && len(g.running) < g.life.Slots {
		if k := g.closed(now); k != 0 {
			g.refuseAll(k)
			return
		}
		w := g.queue[0]
		g.queue = slices.Delete(g.queue, 0, 1)
		if now+lateGrace >= w.Deadline {
			g.steps = append(g.steps, Step{w.Token, outcome.Late})
			continue
		}
		g.running[w.Token] = now
		g.steps = append(g.steps, Step{w.Token, 0})
	}
}

// trim turns away those that are not expected to go on in time.
func (g *Gate) trim(now time.Duration) {
	if g.life.Slots == 0 {
		return
	}
	each := float64(g.work) / float64(g.life.Slots)
	for i := 0; i < len(g.queue); {
		w := &g.queue[i]
		expected := time.Duration(each * float64(i+1))
		left := w.worthless() - w.at - g.work
		may := max(time.Duration(waitShare*float64(left)), waitLeast)
		if expected > may || i >= queueMost {
			g.steps = append(g.steps, Step{w.Token, outcome.Full})
			g.queue = slices.Delete(g.queue, i, i+1)
			continue
		}
		i++
	}
}

// Done tells that a request which had gone on has ended, and took its slot with it; who is next goes on.
func (g *Gate) Done(now time.Duration, token uint64) []Step {
	g.steps = nil
	if at, ok := g.running[token]; ok {
		delete(g.running, token)
		g.work += time.Duration(workWeight * float64(now-at-g.work))
	}
	g.pull(now)
	return g.steps
}

// Withdraw takes a request out that has not gone on; false if it has, or is not there.
func (g *Gate) Withdraw(now time.Duration, token uint64) bool {
	for i := range g.queue {
		if g.queue[i].Token == token {
			g.queue = slices.Delete(g.queue, i, i+1)
			return true
		}
	}
	return false
}

// Look lets time pass: those whose time is up are turned away at once, and so are all when the drain mark has come of age.
func (g *Gate) Look(now time.Duration) []Step {
	g.steps = nil
	if k := g.closed(now); k != 0 {
		g.refuseAll(k)
		return g.steps
	}
	for i := 0; i < len(g.queue); {
		if w := &g.queue[i]; now+lateGrace+g.work/2 >= w.Deadline {
			g.steps = append(g.steps, Step{w.Token, outcome.Late})
			g.queue = slices.Delete(g.queue, i, i+1)
			continue
		}
		i++
	}
	return g.steps
}
