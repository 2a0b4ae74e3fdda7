package fleet

import (
	"time"

	"quincegap/internal/balancer"
)

// balancerModules is the subsetting scheme of the decision module itself. It runs one module per instance.
type balancerModules struct {
	all []*balancer.Balancer
	now time.Duration // current time on the clock of all instances
}

// newModules returns a scheme with a number of instances and no endpoints.
func newModules(instances int) (*balancerModules, error) {
	m := &balancerModules{now: time.Hour}
	for i := range instances {
		b, err := balancer.New(balancer.Settings{
			Instances: instances, Ordinal: i,
			Classes: []balancer.Class{{Name: "a", Idempotency: balancer.Idempotent, LatencyTarget: time.Second, Deadline: time.Second}},
		}, uint64(i), silentHost{})
		if err != nil {
			return nil, err
		}
		m.all = append(m.all, b)
	}
	return m, nil
}

// update passes the changes of the endpoint list to all instances.
func (m *balancerModules) update(removed, added []uint32) {
	var list balancer.EndpointList
	for _, id := range removed {
		list.Entries = append(list.Entries, balancer.ListEntry{Endpoint: balancer.EndpointID(id), State: balancer.EndpointRemoved})
	}
	for _, id := range added {
		list.Entries = append(list.Entries, balancer.ListEntry{Endpoint: balancer.EndpointID(id), Weight: 1})
	}
	m.now += time.Second
	for _, b := range m.all {
		b.HandleEndpoints(m.now, list)
	}
}

// subset returns the endpoints of an instance, each with its share of the instance's calls.
func (m *balancerModules) subset(i int) map[uint32]float64 {
	shares, sum := map[uint32]float64{}, 0.0
	for id, weight := range m.all[i].Subset() {
		shares[uint32(id)] = weight
		sum += weight
	}
	for id := range shares {
		shares[id] /= sum
	}
	return shares
}

// silentHost is a balancer.Host that does nothing.
type silentHost struct{}

func (silentHost) Send(balancer.RequestID, balancer.EndpointID, time.Duration) {}

func (silentHost) Reject(balancer.RequestID, time.Duration) {}

func (silentHost) Fail(balancer.RequestID) {}

func (silentHost) Cancel(balancer.RequestID, int) {}

func (silentHost) SetTimer(uint64, time.Duration) {}

func (silentHost) HealthCheck(balancer.EndpointID) {}

func (silentHost) SendToPeer(int, []byte) {}

func (silentHost) WatchEndpoints(bool) {}

func (silentHost) FetchEndpoints() {}

func (silentHost) CloseIdleConnections(balancer.EndpointID) {}

func (silentHost) Log(string) {}
