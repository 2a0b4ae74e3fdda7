package balancer

import (
	"slices"
	"time"
)

// availability is the state of an endpoint that determines which requests it may get. The order of the values matters: in the
// states up to warmingUp, an endpoint may get any request.
type availability uint8

const (
	available availability = iota
	warmingUp              // the endpoint is in slow start, and picked less often
	ejected                // the endpoint gets only trial requests
	draining               // the endpoint is draining or removed, and gets no new requests
)

// endpoint is the state that this instance keeps of one endpoint.
type endpoint struct {
	id           EndpointID
	zone, cell   int
	kind         int     // machine kind
	listedWeight float64 // listed size relative to other endpoints
	listed       bool
	startedAt    time.Duration // listed start of the endpoint's process
	listVersion  uint64        // version of the latest list that names the endpoint

	availability availability
	index        indexEntry    // position in the index and in the pools
	subsetWeight float64       // part of the weight that is in this instance's subset; 0 outside of the subset
	scanWeight   float64       // draw weight times capacity share; valid during one draw
	latency      movingAverage // latency of the endpoint's answers, in mean latencies
	serviceTime  movingAverage // service time that the endpoint reports, in seconds

	calls          []*request      // this instance's attempts in flight, oldest first
	busyIndex      int             // position in the busySet, from 1; 0 if the endpoint is not in the set
	lostCalls      int             // number of attempts in calls that will probably not be answered
	penalties      []time.Duration // times until which recent failed attempts count as in flight
	lastResponseAt time.Duration
	rejectsUntil   time.Duration // time until which the endpoint gets no requests, as it rejected one
	saturated      bool          // the endpoint became far slower than its kind, and has not recovered since
	errorRate      float64       // smoothed share of answers that are errors
	lossRate       float64       // smoothed share of attempts that the endpoint lost

	connectionBroke bool          // the process may have restarted: after a trial, the endpoint begins a complete slow start
	trialAt         time.Duration // time from which the next request is a trial, while the endpoint is ejected
	trialBackoff    time.Duration // mean time until trialAt, from the ejection or the latest failed trial

	slowStartFrom     time.Duration
	slowStartTokens   float64 // number of requests that the endpoint in slow start may get at slowStartTokensAt
	slowStartTokensAt time.Duration
}

// matches reports whether a list entry has the known zone, cell, machine kind and weight of the endpoint.
func (e *endpoint) matches(entry ListEntry) bool {
	return e.zone == entry.Zone && e.cell == entry.Cell && e.kind == max(entry.MachineKind, 0) &&
		e.listedWeight == max(entry.Weight, 0)
}

// outstanding returns the number of this instance's attempts in flight, including those that failed recently. An endpoint that
// fails fast must not attract requests by having few attempts in flight, and work that timed out may still run at the endpoint.
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
