package agent

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
)

// fakeRegister is the consensus register of one core process, without consensus: the test sets what the process knows.
type fakeRegister struct {
	mu       sync.Mutex
	known    consensus.VoterSet  // newest that the process knows to be committed
	accepted uint64              // epoch of the process's vote
	newest   *consensus.VoterSet // that a read finds; nil for the known one
}

// VoterSet implements Register.
func (r *fakeRegister) VoterSet() consensus.VoterSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// Accepted implements Register.
func (r *fakeRegister) Accepted() (epoch uint64, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted, true
}

// ReadLatest implements Register.
func (r *fakeRegister) ReadLatest(context.Context) (consensus.Value, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest != nil {
		r.known = *r.newest
	}
	return consensus.Value{VoterSet: r.known}, nil
}

// testCore holds a few core processes on loopback, without disks. The first three are the voters.
type testCore struct {
	*qt.C
	registers []*fakeRegister
	roles     []*SingletonRoles
}

// newTestCore starts n core processes, which are stopped when the test ends.
func newTestCore(t *testing.T, n int) *testCore {
	t.Helper()
	core := &testCore{C: qt.New(t)}
	ipOf := func(i int) string { return fmt.Sprintf("%s.200.%d", testNetwork, i+1) }
	var addresses []string
	for i := range n {
		addresses = append(addresses, ipOf(i)+":7402")
	}
	for i := range n {
		ip := ipOf(i)
		own := &settings.Settings{
			Name:           ip,
			IP:             ip,
			Zone:           "z",
			Region:         "r",
			InternalPorts:  [2]int{7401, 7401},
			Seeds:          addresses,
			ControlAddress: addresses[i],
		}
		hub := newTestHub(t, uint64(i+1), own.InternalAddress())
		a := New(Config{Settings: own, Hub: hub, Role: membership.RoleCore, Log: discardLog(), Seed: uint64(i)})
		register := &fakeRegister{known: consensus.VoterSet{Voters: addresses[:3]}}
		roles := a.NewSingletonRoles(register, true)
		serveHub(t, hub)
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { a.Run(ctx) })
		running.Go(func() { roles.Run(ctx) })
		t.Cleanup(func() {
			stop()
			running.Wait()
		})
		core.registers = append(core.registers, register)
		core.roles = append(core.roles, roles)
	}
	return core
}

// holder waits until one of the processes holds the allocator's lease, and returns its index and fencing token.
func (c *testCore) holder() (process int, token uint64) {
	c.Helper()
	eventually(c, "a process holds the lease", func() bool {
		for i, roles := range c.roles {
			roles.mu.Lock()
			holding, ok := roles.allocatorLease.Holds(roles.agent.now())
			roles.mu.Unlock()
			if ok {
				process, token = i, holding
				return true
			}
		}
		return false
	})
	return process, token
}

// After a holder has released its lease, another process acquires it, with a higher fencing token. The former holder doesn't request it
// again.
func TestSingletonRoleIsReleased(t *testing.T) {
	c := newTestCore(t, 4)
	first, token := c.holder()
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), maxWaitInTests)
	defer cancel()
	c.roles[first].Release(ctx)
	next, higher := c.holder()
	t.Logf("the next holder came %v after the release", time.Since(began).Round(time.Millisecond))
	c.Assert(next != first, qt.IsTrue)
	c.Assert(higher > token, qt.IsTrue)
	c.roles[first].Release(ctx) // a second call does nothing
}

// Voters that have accepted a newer voter set reject the holder's request. The holder then reads the newer set, and renews its lease with
// those voters.
func TestHolderLearnsOfNewVoters(t *testing.T) {
	c := newTestCore(t, 4)
	first, token := c.holder()
	known := c.registers[0].VoterSet()
	next := consensus.VoterSet{
		Epoch:    1,
		Previous: known.Voters,
		Voters:   append(known.Voters[1:3:3], c.roles[3].agent.settings.ControlAddress),
	}
	for _, r := range c.registers {
		r.mu.Lock()
		r.accepted = 1
		r.newest = &next
		r.mu.Unlock()
	}
	eventually(t, "the holder knows the new voters", func() bool { return c.registers[first].VoterSet().Epoch > 0 })
	second, higher := c.holder()
	t.Logf("process %d under %d, then %d under %d", first, token, second, higher)
	c.Assert(higher >= token, qt.IsTrue)
}

// A sidecar may have seen a higher fencing token than the holder's, if all voters have lost their state since. The holder then grants
// nothing until it has raised its own token, and remains the holder.
func TestAllocatorRaisesItsNumber(t *testing.T) {
	c := newTestCore(t, 3)
	for _, roles := range c.roles {
		roles.agent.ApplyCommitted(1, []byte(`{"configVersion":"r1","routeTable":[],`+
			`"tenantTable":[{"name":"t","accessKeys":["k"],"ratePerS":5,"burstSize":5}]}`))
	}
	first, token := c.holder()
	request := func(known uint64) *ratelimit.AllocationReply {
		return c.roles[first].handleAllocation(t.Context(), nil, &ratelimit.AllocationRequest{
			Sidecar:             "127.9.0.9:7401",
			Incarnation:         9,
			HighestFencingToken: known,
			Requests:            []ratelimit.TokenRequest{{Tenant: "t", Tokens: 1}},
		})
	}
	c.Assert(request(token).Granted, qt.IsTrue)
	c.Assert(request(token+10).Granted, qt.IsFalse)
	began := time.Now()
	var reply *ratelimit.AllocationReply
	eventually(t, "tokens are granted again", func() bool {
		reply = request(token + 10)
		return reply.Granted
	})
	c.Assert(reply.FencingToken > token+10, qt.IsTrue)
	t.Logf("granted again after %v", time.Since(began).Round(time.Millisecond))
}
