package balancer

import (
	"testing"
	"time"
)

// Machines of two speeds in a list without weights: the slow ones got as many calls as the fast ones, and were saturated.
func TestReportedServiceTimesSetTheWeights(t *testing.T) {
	f := start(t, settings(), 0)
	l := EndpointList{Kind: ListFull, Version: 2}
	for id := EndpointID(1); id <= 10; id++ {
		l.Entries = append(l.Entries, ListEntry{Endpoint: id, MachineKind: int(id % 2), Weight: 1})
	}
	f.b.HandleEndpoints(f.now, l)
	got := [2]int{}
	for i := range 600 {
		f.ask(read)
		s := f.last()
		if i > 100 {
			got[s.to%2]++
		}
		f.b.HandleOutcome(f.now, Outcome{
			ID: s.id, Endpoint: s.to, Final: true, Status: StatusOK, Elapsed: 100 * ms,
			Load: &Load{InFlight: -1, Queue: -1, Utilization: -1, ServiceTime: []time.Duration{10, 30}[s.to%2] * ms},
		})
		f.pass(20 * ms)
	}
	if ratio := float64(got[0]) / float64(got[1]); ratio < 2 || ratio > 4 {
		t.Errorf("fast machines got %d calls and slow ones %d, want three times as many", got[0], got[1])
	}
}
