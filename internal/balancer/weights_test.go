package balancer

import (
	"testing"
	"time"
)

// If the listed weights are equal, machines that report different service times get calls in proportion to their speed. With equal
// shares, the slow ones would be saturated.
func TestReportedServiceTimesSetTheWeights(t *testing.T) {
	fixture := start(t, settings(), 0)
	list := EndpointList{Kind: ListFull, Version: 2}
	for id := EndpointID(1); id <= 10; id++ {
		list.Entries = append(list.Entries, ListEntry{Endpoint: id, MachineKind: int(id % 2), Weight: 1})
	}
	fixture.balancer.HandleEndpoints(fixture.now, list)
	calls := [2]int{} // number of calls by machine kind
	for i := range 600 {
		fixture.request(read)
		call := fixture.last()
		if i > 100 {
			calls[call.to%2]++
		}
		fixture.balancer.HandleOutcome(fixture.now, Outcome{
			ID: call.id, Endpoint: call.to, Final: true, Status: StatusOK, Elapsed: 100 * ms,
			Load: &Load{InFlight: -1, Queue: -1, Utilization: -1, ServiceTime: []time.Duration{10, 30}[call.to%2] * ms},
		})
		fixture.advance(20 * ms)
	}
	if ratio := float64(calls[0]) / float64(calls[1]); ratio < 2 || ratio > 4 {
		t.Errorf("fast machines got %d calls and slow ones %d, want a ratio of 2 to 4", calls[0], calls[1])
	}
}
