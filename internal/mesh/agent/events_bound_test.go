package agent

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/operations/events"
)

// A recorder retains a bounded number of endpoints and tenants, however many of them crash or exhaust their quotas.
func TestRecorderIsBounded(t *testing.T) {
	c := qt.New(t)
	recorder := newEventRecorder(1)
	for i := range 3 * maxCrashedEndpoints {
		endpoint := discovery.Endpoint{ID: strconv.Itoa(i), State: discovery.Serving}
		recorder.recordEndpoints([]discovery.Endpoint{endpoint})
		endpoint.State = discovery.Crashed
		recorder.recordEndpoints([]discovery.Endpoint{endpoint})
		recorder.recordQuotaExhausted(time.Duration(i)*time.Second, strconv.Itoa(i))
	}
	c.Assert(recorder.endpointStates, qt.HasLen, maxCrashedEndpoints)
	c.Assert(recorder.crashed, qt.HasLen, maxCrashedEndpoints)
	c.Assert(len(recorder.quotaExhausted) <= int(2*quotaExhaustedInterval/time.Second), qt.IsTrue,
		qt.Commentf("%d tenants retained", len(recorder.quotaExhausted)))
}

// The end of a crashed endpoint that is still retained is recorded, and so is its return.
func TestCrashedEndpointsReturnOrEnd(t *testing.T) {
	c := qt.New(t)
	recorder := newEventRecorder(1)
	for _, state := range []discovery.State{
		discovery.Serving, discovery.Crashed, discovery.Crashed, discovery.Serving, discovery.Crashed, discovery.Deregistered,
	} {
		recorder.recordEndpoints([]discovery.Endpoint{{ID: "x", State: state}})
	}
	found, _, _, _ := recorder.After(events.Cursor{}, maxEvents, events.Filter{})
	var kinds []string
	for _, event := range found {
		kinds = append(kinds, event.Kind)
	}
	c.Assert(kinds, qt.DeepEquals, []string{
		events.EndpointServing, events.EndpointCrashed, events.EndpointServing, events.EndpointCrashed, events.EndpointGone,
	})
}
