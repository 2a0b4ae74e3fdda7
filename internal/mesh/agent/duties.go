package agent

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/lease"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/events"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

const (
	dutyAllocator = "allocator" // grants tokens of tenants' limits

	dutyInterval      = 50 * time.Millisecond  // between two looks at the leases
	memberInterval    = 300 * time.Millisecond // between two looks at the members
	followTimeout     = time.Second            // for a read of the newest list of voters
	initialStartGrace = 6 * time.Second        // after the system's first start no earlier allocator has granted anything
)

// Voters is the register whose voters grant leases too.
type Voters interface {
	// VoterSet is the newest list of voters, by control addresses, that this process knows as decided.
	VoterSet() consensus.VoterSet
	// Accepted is the epoch of this process's newest vote; ready is false while its record isn't known.
	Accepted() (epoch uint64, ready bool)
	// ReadLatest reads the register from a majority, and learns of a newer list of voters by that.
	ReadLatest(ctx context.Context) (consensus.Value, error)
}

// Duties are what core processes do one at a time, under leases that their voters grant.
type Duties struct {
	agent        *Agent
	voters       Voters
	initialStart bool

	mu             sync.Mutex
	voter          *lease.Voter
	allocatorLease *lease.Candidate
	allocator      *ratelimit.Allocator // nil while this process doesn't hold the lease
	sightings      ratelimit.LastSeen
	membersAt      time.Duration // the last look at the members
	following      bool          // the newest list of voters is being read
}

// Duties makes a core process's part in the duties and registers its calls.
func (a *Agent) Duties(voters Voters, initialStart bool) *Duties {
	self := a.o.Hub.Self()
	d := &Duties{agent: a, voters: voters, initialStart: initialStart, voter: lease.NewVoter(a.o.Hub.Now(), initialStart),
		allocatorLease: lease.NewCandidate(self.Address, self.Life, dutyAllocator, a.randomShare)}
	transport.Handle(a.o.Hub, methodLease, func(_ context.Context, _ *transport.Hello, q *lease.Request) *lease.Reply {
		return d.vote(q)
	})
	transport.Handle(a.o.Hub, methodTokens, d.grantTokens)
	return d
}

// randomShare is a random number from 0 to 1.
func (a *Agent) randomShare() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rng.Float64()
}

// vote answers a request for leases. What the record knows is read before the grant is made, as package lease requires.
func (d *Duties) vote(q *lease.Request) *lease.Reply {
	accepted, ready := d.voters.Accepted()
	standing := lease.VoterStatus{Ready: ready, VoterSetEpoch: max(accepted, d.voters.VoterSet().Epoch)}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.agent.o.Hub.Now()
	for _, duty := range q.Roles {
		if duty.Release && duty.Role == dutyAllocator {
			d.allocatorLease.HolderReleased(now, q.Holder)
		}
	}
	return d.voter.Handle(now, standing, q)
}

// Run asks for duties, and does them, until ctx ends.
func (d *Duties) Run(ctx context.Context) {
	tick := time.NewTicker(dutyInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.step()
		case <-ctx.Done():
			return
		}
	}
}

func (d *Duties) step() {
	voters := d.voters.VoterSet()
	now := d.agent.o.Hub.Now()
	d.lookAtMembers(now)
	d.mu.Lock()
	request := d.allocatorLease.Tick(now, len(voters.Voters), voters.Epoch)
	if _, ok := d.allocatorLease.Holds(now); !ok {
		d.stopAllocator()
	}
	d.mu.Unlock()
	if request != nil {
		d.askVoters(now, voters, request)
	}
}

// lookAtMembers takes note of who is there, now and then.
func (d *Duties) lookAtMembers(now time.Duration) {
	d.mu.Lock()
	due := now >= d.membersAt+memberInterval
	d.mu.Unlock()
	if !due {
		return
	}
	members := d.agent.Members()
	d.agent.events.members(members)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.membersAt = now
	d.allocatorLease.SetRank(d.agent.coreRank(members))
	recent := d.sightings.Update(now, accessAddresses(members))
	if d.allocator != nil {
		d.allocator.SetSidecars(recent)
	}
}

// coreRank is this process's place among the core processes that it knows of.
func (a *Agent) coreRank(members []membership.Member) (n int) {
	self := a.o.Hub.Self().Address
	for _, m := range members {
		if m.Role == membership.Core && m.Address < self {
			n++
		}
	}
	return n
}

func accessAddresses(members []membership.Member) (addresses []string) {
	for _, m := range members {
		if m.Role == membership.Access {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// askVoters sends a request for leases to all voters.
func (d *Duties) askVoters(asked time.Duration, voters consensus.VoterSet, q *lease.Request) {
	for _, v := range voters.Voters {
		if v == d.agent.o.Settings.Control {
			d.takeReply(asked, voters.Epoch, v, d.vote(q))
			continue
		}
		d.agent.send(d.agent.peer(v), methodLease, q, func(body []byte) {
			var reply lease.Reply
			if len(body) > 0 && codec.Read(body, &reply) == nil {
				d.takeReply(asked, voters.Epoch, v, &reply)
			}
		})
	}
}

// takeReply takes a voter's reply to a request that was made at a time, under a list of voters.
func (d *Duties) takeReply(asked time.Duration, epoch uint64, voter string, reply *lease.Reply) {
	if reply.VoterSetEpoch > epoch {
		d.follow()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.agent.o.Hub.Now()
	if d.allocatorLease.HandleReply(now, asked, voter, reply) {
		d.startAllocator(now)
	}
}

// follow learns of a newer list of voters at once: a holder that goes on under the old one would lose its lease.
func (d *Duties) follow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.following {
		return
	}
	d.following = true
	go func() { // ends by its timeout
		ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
		defer cancel()
		if _, err := d.voters.ReadLatest(ctx); err != nil {
			d.agent.o.Log.WithError(err).Debug("agent: the newest list of voters can't be read")
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.following = false
	}()
}

// startAllocator begins the duty. The lock is held.
func (d *Duties) startAllocator(now time.Duration) {
	number, _ := d.allocatorLease.Holds(now)
	d.agent.events.add(events.Event{Kind: events.DutyCame, Node: d.agent.o.Hub.Self().Address,
		Detail: fmt.Sprintf("%s, under number %d", dutyAllocator, number)})
	d.allocator = ratelimit.NewAllocator(now, d.initialStart && now < initialStartGrace, d.agent.limit)
	d.allocator.SetSidecars(d.sightings.Update(now, accessAddresses(d.agent.Members())))
}

// stopAllocator ends the duty, if this process has it. The lock is held.
func (d *Duties) stopAllocator() {
	if d.allocator == nil {
		return
	}
	d.allocator = nil
	d.agent.events.add(events.Event{Kind: events.DutyWent, Node: d.agent.o.Hub.Self().Address, Detail: dutyAllocator})
}

// Release gives up all leases for good, tells the voters and the other core processes, and waits for their answers until ctx
// ends, so that the next holder can start at once. It is for a process that is about to end.
func (d *Duties) Release(ctx context.Context) {
	d.mu.Lock()
	request := d.allocatorLease.Resign()
	d.stopAllocator()
	d.mu.Unlock()
	if request == nil {
		return
	}
	d.vote(request)
	nodes := append(slices.Clone(d.voters.VoterSet().Voters), d.agent.Cores()...)
	slices.Sort(nodes)
	nodes = slices.DeleteFunc(slices.Compact(nodes), func(node string) bool { return node == d.agent.o.Settings.Control })
	answered := make(chan struct{}, len(nodes))
	for _, node := range nodes {
		d.agent.o.Hub.Send(d.agent.peer(node), methodLease, codec.Write(nil, request), 0, func([]byte, error) {
			answered <- struct{}{} // one that is away counts too
		})
	}
	for range nodes {
		select {
		case <-answered:
		case <-ctx.Done():
			return
		}
	}
}

// limit is a tenant's limit by the newest configuration.
func (a *Agent) limit(tenant string) (ratelimit.Limit, bool) {
	l, ok := (*a.limits.Load())[tenant]
	return l, ok
}

// grantTokens answers a sidecar's requests for tokens, if this process is the allocator.
func (d *Duties) grantTokens(_ context.Context, _ *transport.Hello, q *ratelimit.AllocationRequest) *ratelimit.AllocationReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.agent.o.Hub.Now()
	d.allocatorLease.ObserveToken(now, q.HighestFencingToken)
	number, ok := d.allocatorLease.Holds(now)
	if !ok || d.allocator == nil || d.agent.limits.Load() == nil || number < q.HighestFencingToken {
		return &ratelimit.AllocationReply{Allocator: d.allocatorLease.Holder(now)}
	}
	grants := &ratelimit.AllocationReply{Granted: true, FencingToken: number, Allocator: d.agent.o.Hub.Self().Address,
		Grants: d.allocator.Allocate(now, q)}
	for i := range grants.Grants {
		if grants.Grants[i].RetryAfter > 0 {
			d.agent.events.hit(now, grants.Grants[i].Tenant)
		}
	}
	return grants
}
