package consul

import (
	"fmt"
	"runtime"

	"quincegap/internal/modules/endpointsource"
)

const (
	// maxFaults bounds what is said of the instances that were passed over in one answer.
	maxFaults = 10
	// yieldEvery is after how many instances others run, as when they were read.
	yieldEvery = 256
)

// addEndpoint maps an instance into an answer. Of two with one UID the one that was registered later stays. What was passed over is
// added to the faults.
func (s *Settings) addEndpoint(endpoints map[string]endpointsource.Endpoint, i *instance, qualified bool, faults []string) []string {
	e, fault := s.endpoint(i, qualified)
	if fault != "" {
		if len(faults) < maxFaults {
			faults = append(faults, fmt.Sprintf("instance %.60q passed over: %s", i.Service.ID, fault))
		}
		return faults
	}
	if other, twice := endpoints[e.UID]; !twice || other.RegistrationIndex < e.RegistrationIndex {
		endpoints[e.UID] = e
	}
	return faults
}

// diff is what one answer changes of the one before.
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

// nextIndex is the index of the next blocking query (Consul's API, Blocking Queries, "Implementation Details"): after one that goes
// backwards, or none, there is nothing to block on, and the answer to 0 comes at once.
func nextIndex(last, got uint64) uint64 {
	if got < last {
		return 0
	}
	return got
}
