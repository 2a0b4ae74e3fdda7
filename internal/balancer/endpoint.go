package balancer

import (
	"slices"
	"time"
)

// availability says which requests an endpoint may get. The order of the values matters: up to warmingUp it may get any request.
type availability uint8

const (
	available availability = iota
	warmingUp              // in slow start: drawn less often
	ejected                // gets only trial requests
	draining               // draining or removed: gets no new requests
)

// endpoint is the state that this instance keeps of one endpoint.
type endpoint struct {
	id           EndpointID
	zone, cell   int
	kind         int     // its machine kind
	listedWeight float64 // its size relative to other endpoints
	listed       bool
	startedAt    time.Duration // start of its process, as listed
	listVersion  uint64        // of the latest list that names it

	availability availability
	index        indexEntry    // its position in the index
	subsetWeight float64       // the part of its weight that is in this instance's subset; 0 if it is outside of it
	scanWeight   float64       // draw weight times capacity share; valid during one draw
	latency      movingAverage // latency of its answers, in mean latencies
	serviceTime  movingAverage // service time that it reports, in seconds

	calls          []*request      // this instance's attempts in flight, oldest first
	busyIndex      int             // its position in the busySet, from 1; 0 if it is not in it
	lostCalls      int             // how many of calls will probably not be answered
	penalties      []time.Duration // for each recent failed attempt, until when it counts as in flight
	lastResponseAt time.Duration
	rejectsUntil   time.Duration // it gets no requests until then, as it rejected one
	saturated      bool          // it became far slower than its kind, and has not recovered since
	errorRate      float64       // smoothed share of answers that are errors
	lossRate       float64       // smoothed share of attempts that it lost

	connectionBroke bool // its process may have restarted; after a trial it begins a complete slow start
	trialAt         time.Duration
	trialBackoff    time.Duration

	slowStartFrom     time.Duration
	slowStartTokens   float64 // requests that it may get at slowStartTokensAt, in slow start
	slowStartTokensAt time.Duration
}

// matches reports whether an entry of a list has the zone, cell, machine kind and weight that are known of an endpoint.
func (e *endpoint) matches(entry ListEntry) bool {
	return e.zone == entry.Zone && e.cell == entry.Cell && e.kind == max(entry.MachineKind, 0) &&
		e.listedWeight == max(entry.Weight, 0)
}

// outstanding returns the number of own attempts in flight, including those that failed recently: an endpoint that fails fast
// must not attract requests by its few attempts in flight, and work that timed out may still run there.
func (e *endpoint) outstanding(now time.Duration) int {
	e.penalties = slices.DeleteFunc(e.penalties, func(until time.Duration) bool { return until <= now })
	return len(e.calls) + len(e.penalties)
}

// penalize counts a failed attempt as in flight for the given number of base latencies.
func (e *endpoint) penalize(now time.Duration, c *class, baseLatencies float64) {
	e.penalties = append(e.penalties, now+seconds(baseLatencies*c.latency.base))
}

// busySet is the set of endpoints with attempts in flight, in no particular order.
type busySet []*endpoint

// update adds an endpoint to the set if it has attempts in flight, and removes it otherwise.
func (s *busySet) update(ep *endpoint) {
	switch busy := len(ep.calls) > 0; {
	case busy && ep.busyIndex == 0:
		*s = append(*s, ep)
		ep.busyIndex = len(*s)
	case !busy && ep.busyIndex > 0:
		last := (*s)[len(*s)-1]
		(*s)[ep.busyIndex-1], last.busyIndex = last, ep.busyIndex
		*s = (*s)[:len(*s)-1]
		ep.busyIndex = 0
		ep.lostCalls = 0
	}
}
