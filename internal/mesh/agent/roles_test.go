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

// fakeRegister is the consensus register of one core process, without a consensus protocol: the test sets the state that the process knows.
type fakeRegister struct {
	mu       sync.Mutex
	known    consensus.VoterSet  // newest voter set that the process knows to be committed
	accepted uint64              // epoch of the voter set in the process's newest vote
	newest   *consensus.VoterSet // voter set found by ReadLatest; nil if that is known
}

// VoterSet implements Register.
func (r *fakeRegister) VoterSet() consensus.VoterSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// Accepted implements Register.
func (r *fakeRegister) Accepted() (epoch uint64, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted, true
}

// Ready implements Register.
func (r *fakeRegister) Ready() bool { return true }

// ReadLatest implements Register.
func (r *fakeRegister) ReadLatest(context.Context) (consensus.Value, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest != nil {
		r.known = *r.newest
	}
	return consensus.Value{VoterSet: r.known}, nil
}

// testCore holds core processes that communicate over loopback and have no disks. The first three are the voters.
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

// waitForHolder waits until one of the processes holds the allocator's lease, and returns its index and fencing token.
func (c *testCore) waitForHolder() (process int, token uint64) {
	c.Helper()
	eventually(c, "a process holds the allocator's lease", func() bool {
		for i, roles := range c.roles {
			roles.mu.Lock()
			heldToken, ok := roles.allocatorLease.Holds(roles.agent.now())
			roles.mu.Unlock()
			if ok {
				process, token = i, heldToken
				return true
			}
		}
		return false
	})
	return process, token
}

// After a holder has released its lease, another process acquires it with a higher fencing token. The former holder doesn't request the
// lease again.
func TestSingletonRoleIsReleased(t *testing.T) {
	core := newTestCore(t, 4)
	first, token := core.waitForHolder()
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), maxWaitInTests)
	defer cancel()
	core.roles[first].Release(ctx)
	next, nextToken := core.waitForHolder()
	t.Logf("next holder acquired the lease %v after the release", time.Since(began).Round(time.Millisecond))
	core.Assert(next != first, qt.IsTrue)
	core.Assert(nextToken > token, qt.IsTrue)
	core.roles[first].Release(ctx) // a second call has no effect
}

// Voters that have accepted a newer voter set reject the holder's request. The holder then reads the newer set, and renews its lease with
// the voters in it.
func TestHolderLearnsOfNewVoters(t *testing.T) {
	core := newTestCore(t, 4)
	first, token := core.waitForHolder()
	known := core.registers[0].VoterSet()
	next := consensus.VoterSet{
		Epoch:    1,
		Previous: known.Voters,
		Voters:   append(known.Voters[1:3:3], core.roles[3].agent.settings.ControlAddress),
	}
	for _, register := range core.registers {
		register.mu.Lock()
		register.accepted = 1
		register.newest = &next
		register.mu.Unlock()
	}
	eventually(t, "the holder knows the new voter set", func() bool { return core.registers[first].VoterSet().Epoch > 0 })
	second, secondToken := core.waitForHolder()
	t.Logf("lease held by process %d with fencing token %d, then by process %d with fencing token %d", first, token, second, secondToken)
	core.Assert(secondToken >= token, qt.IsTrue)
}

// A sidecar may have seen a higher fencing token than the holder's, if all voters have lost their state since. The holder then grants
// nothing until it has renewed its lease with a higher token. It remains the holder.
func TestAllocatorRaisesItsNumber(t *testing.T) {
	core := newTestCore(t, 3)
	for _, roles := range core.roles {
		roles.agent.ApplyCommitted(1, []byte(`{"configVersion":"r1","routeTable":[],`+
			`"tenantTable":[{"name":"t","accessKeys":["k"],"ratePerS":5,"burstSize":5}]}`))
	}
	first, token := core.waitForHolder()
	request := func(highestToken uint64) *ratelimit.AllocationReply {
		return core.roles[first].handleAllocation(t.Context(), nil, &ratelimit.AllocationRequest{
			Sidecar:             "127.9.0.9:7401",
			Incarnation:         9,
			HighestFencingToken: highestToken,
			Requests:            []ratelimit.TokenRequest{{Tenant: "t", Tokens: 1}},
		})
	}
	core.Assert(request(token).Granted, qt.IsTrue)
	core.Assert(request(token+10).Granted, qt.IsFalse)
	began := time.Now()
	var reply *ratelimit.AllocationReply
	eventually(t, "tokens are granted again", func() bool {
		reply = request(token + 10)
		return reply.Granted
	})
	core.Assert(reply.FencingToken > token+10, qt.IsTrue)
	t.Logf("tokens granted again after %v", time.Since(began).Round(time.Millisecond))
}
