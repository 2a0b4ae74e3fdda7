package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// fakeRegister stands in for the register of one core process: what it knows as decided, and what all have accepted.
type fakeRegister struct {
	mu       sync.Mutex
	known    consensus.VoterSet
	accepted uint64
	newest   *consensus.VoterSet // that a read finds
}

func (f *fakeRegister) VoterSet() consensus.VoterSet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

func (f *fakeRegister) Accepted() (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted, true
}

func (f *fakeRegister) ReadLatest(context.Context) (consensus.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newest != nil {
		f.known = *f.newest
	}
	return consensus.Value{VoterSet: f.known}, nil
}

// testCore is a few core processes on loopback, without disks.
type testCore struct {
	*qt.C
	registers []*fakeRegister
	roles     []*SingletonRoles
}

func newTestCore(t *testing.T, n int) *testCore {
	d := &testCore{C: qt.New(t)}
	var voters []string
	for i := range n {
		voters = append(voters, fmt.Sprintf("127.9.0.%d:7402", i+1))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range n {
		ip := fmt.Sprintf("127.9.0.%d", i+1)
		own := &settings.Settings{Name: ip, IP: ip, Zone: "z", Region: "r", InternalPorts: [2]int{7401, 7401}, Seeds: voters, ControlAddress: voters[i]}
		hub := transport.NewHub(transport.Hello{Incarnation: uint64(i + 1), Address: own.InternalAddress(), Zone: own.Zone}, time.Now().Add(-time.Hour), 1<<20, log)
		a := New(Config{Settings: own, Hub: hub, Role: membership.RoleCore, Log: log, Seed: uint64(i)})
		r := &fakeRegister{known: consensus.VoterSet{Voters: voters[:3]}}
		duties := a.NewSingletonRoles(r, true)
		listener, err := net.Listen("tcp4", own.InternalAddress())
		d.Assert(err, qt.IsNil)
		go func() { _ = hub.Listen(listener) }() // ends with the listener
		ctx, stop := context.WithCancel(t.Context())
		go a.Run(ctx)
		go duties.Run(ctx)
		t.Cleanup(func() { stop(); hub.Close(); listener.Close() })
		d.registers, d.roles = append(d.registers, r), append(d.roles, duties)
	}
	return d
}

// holder waits until one of them is the allocator, and gives its place and fencing number.
func (t *testCore) holder() (i int, number uint64) {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		for i, x := range t.roles {
			x.mu.Lock()
			number, ok := x.allocatorLease.Holds(x.agent.config.Hub.Now())
			x.mu.Unlock()
			if ok {
				return i, number
			}
		}
	}
	t.Fatal("nobody holds the lease after 20 s")
	return 0, 0
}

// A holder that releases its lease is followed by another one, under a higher number, and asks no more.
func TestSingletonRoleIsReleased(t *testing.T) {
	d := newTestCore(t, 4)
	first, number := d.holder()
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	d.roles[first].Release(ctx)
	next, higher := d.holder()
	t.Logf("the next holder came %v after the release", time.Since(began).Round(time.Millisecond))
	d.Assert(next != first, qt.IsTrue)
	d.Assert(higher > number, qt.IsTrue)
	d.roles[first].Release(ctx) // once more changes nothing
}

// Voters that accepted a newer list refuse the holder's request, and by that it learns of the list and renews under it.
func TestHolderLearnsOfNewVoters(t *testing.T) {
	d := newTestCore(t, 4)
	first, number := d.holder()
	list := d.registers[0].VoterSet()
	next := consensus.VoterSet{Epoch: 1, Previous: list.Voters, Voters: append(list.Voters[1:3:3], d.roles[3].agent.config.Settings.ControlAddress)}
	for _, r := range d.registers {
		r.mu.Lock()
		r.accepted, r.newest = 1, &next
		r.mu.Unlock()
	}
	for began := time.Now(); d.registers[first].VoterSet().Epoch == 0; time.Sleep(5 * time.Millisecond) {
		d.Assert(time.Since(began) < 20*time.Second, qt.IsTrue)
	}
	again, higher := d.holder()
	t.Logf("process %d under %d, then %d under %d", first, number, again, higher)
	d.Assert(higher >= number, qt.IsTrue)
}

// A holder whose fencing number is below one that a sidecar knows, as all voters have forgotten it, grants nothing until it has
// raised its own, and goes on as the holder.
func TestAllocatorRaisesItsNumber(t *testing.T) {
	d := newTestCore(t, 3)
	for _, x := range d.roles {
		x.agent.ApplyCommitted(1, []byte(`{"configVersion":"r1","routeTable":[],"tenantTable":[{"name":"t","accessKeys":["k"],"ratePerS":5,"burstSize":5}]}`))
	}
	first, number := d.holder()
	request := func(newest uint64) *ratelimit.AllocationReply {
		return d.roles[first].grantTokens(t.Context(), nil, &ratelimit.AllocationRequest{
			Sidecar: "127.9.0.9:7401", Incarnation: 9, HighestFencingToken: newest,
			Requests: []ratelimit.TokenRequest{{Tenant: "t", Tokens: 1}},
		})
	}
	d.Assert(request(number).Granted, qt.IsTrue)
	d.Assert(request(number+10).Granted, qt.IsFalse)
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if grants := request(number + 10); grants.Granted {
			d.Assert(grants.FencingToken > number+10, qt.IsTrue)
			t.Logf("granted again after %v", time.Since(began).Round(time.Millisecond))
			return
		}
		d.Assert(time.Since(began) < 20*time.Second, qt.IsTrue)
	}
}
