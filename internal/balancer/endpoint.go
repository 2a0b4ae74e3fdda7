package balancer

import (
	"slices"
	"time"
)

// availability is what an endpoint is open to. The order counts: up to warmingUp it gets requests like any other.
type availability uint8

const (
	available availability = iota
	warmingUp              // in slow start: drawn less often
	ejected                // gets trial requests alone
	draining               // draining or removed: gets nothing new
)

// endpoint is what this instance knows of one endpoint.
type endpoint struct {
	id           EndpointID
	zone, cell   int
	kind         int     // of its machine
	listedWeight float64 // its size, compared with others'
	listed       bool
	startedAt    time.Duration // its process, as listed
	listVersion  uint64        // of the list that named it last

	availability availability
	index        indexEntry    // where the index has it
	subsetWeight float64       // the part of its weight that is in this instance's subset; 0 outside of it
	scanWeight   float64       // its draw weight times its share of capacity, in the draw that is made
	latency      movingAverage // of its answers, over the mean of their class
	serviceTime  movingAverage // that it reports, in seconds

	calls          []*request      // own attempts in flight, oldest first
	busyIndex      int             // its place among those that have some, from 1; 0 if it has none
	lostCalls      int             // own attempts in flight that it will hardly answer
	penalties      []time.Duration // until when each of its failed attempts counts as in flight
	lastResponseAt time.Duration
	rejectsUntil   time.Duration // it rejected a request: passed over until then
	saturated      bool          // far slower than its kind, and not yet recovered
	errorRate      float64       // smoothed share of answers that are errors
	lossRate       float64       // smoothed share of attempts that it lost

	connectionBroke bool // it may have restarted, and begin with a slow start
	trialAt         time.Duration
	trialBackoff    time.Duration

	slowStartFrom     time.Duration
	slowStartTokens   float64 // requests it may get now, in slow start
	slowStartTokensAt time.Duration
}

// matches reports whether a list has the same of an endpoint as before, but for its state.
func (e *endpoint) matches(entry ListEntry) bool {
	return e.zone == entry.Zone && e.cell == entry.Cell && e.kind == max(entry.MachineKind, 0) &&
		e.listedWeight == max(entry.Weight, 0)
}

// outstanding is the number of own attempts in flight, with those that failed a short while ago: few in flight must not draw
// requests to an endpoint that fails fast, and work that timed out may still run there.
func (e *endpoint) outstanding(now time.Duration) int {
	e.penalties = slices.DeleteFunc(e.penalties, func(until time.Duration) bool { return until <= now })
	return len(e.calls) + len(e.penalties)
}

// penalize counts a failed attempt as in flight for a number of base latencies more.
func (e *endpoint) penalize(now time.Duration, c *class, baseLatencies float64) {
	e.penalties = append(e.penalties, now+seconds(baseLatencies*c.latency.base))
}

// busySet is the endpoints with attempts in flight, in no order.
type busySet []*endpoint

// update puts an endpoint in or takes it out, as its attempts in flight are.
func (s *busySet) update(ep *endpoint) {
	switch busy := len(ep.calls) > 0; {
	case busy && ep.busyIndex == 0:
		*s = append(*s, ep)
		ep.busyIndex = len(*s)
	case !busy && ep.busyIndex > 0:
		last := (*s)[len(*s)-1]
		(*s)[ep.busyIndex-1], last.busyIndex = last, ep.busyIndex
		*s = (*s)[:len(*s)-1]
		ep.busyIndex, ep.lostCalls = 0, 0
	}
}
