package fleet

import (
	"time"

	"quincegap/internal/balancer"
)

// balancerModules is the subsetting of the decision module itself.
type balancerModules struct {
	all []*balancer.Balancer
	now time.Duration // on the clock of all instances
}

// newModules returns a number of instances, without endpoints.
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

// update gives all instances a list with the changes.
func (m *balancerModules) update(gone, come []uint32) {
	var list balancer.EndpointList
	for _, id := range gone {
		list.Entries = append(list.Entries, balancer.ListEntry{Endpoint: balancer.EndpointID(id), State: balancer.EndpointRemoved})
	}
	for _, id := range come {
		list.Entries = append(list.Entries, balancer.ListEntry{Endpoint: balancer.EndpointID(id), Weight: 1})
	}
	m.now += time.Second
	for _, b := range m.all {
		b.HandleEndpoints(m.now, list)
	}
}

// subset returns an instance's endpoints with their shares of its calls.
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

// silentHost is a host that does nothing.
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
