package consul

import (
	"fmt"
	"runtime"

	"quincegap/internal/modules/endpointsource"
)

const (
	// maxFaults bounds the number of skipped instances that are reported per answer.
	maxFaults = 10
	// yieldEvery is the number of instances after which diff lets other goroutines run.
	yieldEvery = 256
)

// addEndpoint adds an instance to the endpoints of an answer. Of two instances with the same UID, the one that was registered later is
// retained. If the instance can't be used, it appends the reason to faults unless there are maxFaults already. It returns faults.
func (s *Settings) addEndpoint(endpoints map[string]endpointsource.Endpoint, i *instance, qualified bool, faults []string) []string {
	e, fault := s.endpoint(i, qualified)
	if fault != "" {
		if len(faults) < maxFaults {
			faults = append(faults, fmt.Sprintf("instance %.60q passed over: %s", i.Service.ID, fault))
		}
		return faults
	}
	if other, exists := endpoints[e.UID]; !exists || other.RegistrationIndex < e.RegistrationIndex {
		endpoints[e.UID] = e
	}
	return faults
}

// diff returns the differences between the endpoints of two consecutive answers.
func diff(before, after map[string]endpointsource.Endpoint) (a endpointsource.ConsulAnswer) {
	a.KnownBefore = len(before)
	n := 0
	for uid, e := range after {
		if n++; n%yieldEvery == 0 {
			runtime.Gosched()
		}
		if previous, ok := before[uid]; !ok || previous != e {
			a.Changed = append(a.Changed, e)
		}
	}
	for uid := range before {
		if _, ok := after[uid]; !ok {
			a.Missing = append(a.Missing, uid)
		}
	}
	return a
}

// nextIndex returns the index of the next blocking query (Consul's API, Blocking Queries, "Implementation Details"). If the index has
// gone backwards or is missing, it returns 0: such a query does not block.
func nextIndex(last, got uint64) uint64 {
	if got < last {
		return 0
	}
	return got
}
