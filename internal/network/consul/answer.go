package consul

import (
	"fmt"
	"runtime"

	"quincegap/internal/modules/endpointsource"
)

const (
	// maxFaults bounds the reported instances of one answer that were skipped.
	maxFaults = 10
	// yieldEvery is the number of instances after which other goroutines get to run, as between two instances that are decoded.
	yieldEvery = 256
)

// addEndpoint adds an instance to the endpoints of an answer. Of two instances with one UID the one that was registered later stays. It
// returns the faults, to which it appends why an instance was skipped.
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

// diff returns what an answer changes compared with the one before.
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

// nextIndex returns the index of the next blocking query (Consul's API, Blocking Queries, "Implementation Details"). After an index that
// goes backwards, or none, it is 0: such a query does not block.
func nextIndex(last, got uint64) uint64 {
	if got < last {
		return 0
	}
	return got
}
