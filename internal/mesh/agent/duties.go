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
	roleAllocator = "allocator" // grants tokens of tenants' limits

	leaseCheckInterval  = 50 * time.Millisecond  // between two looks at the leases
	memberCheckInterval = 300 * time.Millisecond // between two looks at the members
	learnVotersTimeout  = time.Second            // for a read of the newest list of voters
	initialStartGrace   = 6 * time.Second        // after the system's first start no earlier allocator has granted anything
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

// Roles are what core processes do one at a time, under leases that their voters grant.
type SingletonRoles struct {
	agent        *Agent
	voters       Voters
	initialStart bool

	mu               sync.Mutex
	voter            *lease.Voter
	allocatorLease   *lease.Candidate
	allocator        *ratelimit.Allocator // nil while this process doesn't hold the lease
	lastSeen         ratelimit.LastSeen
	membersCheckedAt time.Duration // the last look at the members
	learningVoters   bool          // the newest list of voters is being read
}

// Roles makes a core process's part in the duties and registers its calls.
func (a *Agent) NewSingletonRoles(voters Voters, initialStart bool) *SingletonRoles {
	self := a.config.Hub.Self()
	d := &SingletonRoles{
		agent: a, voters: voters, initialStart: initialStart, voter: lease.NewVoter(a.config.Hub.Now(), initialStart),
		allocatorLease: lease.NewCandidate(self.Address, self.Incarnation, roleAllocator, a.randomFraction),
	}
	transport.Handle(a.config.Hub, methodLease, func(_ context.Context, _ *transport.Hello, q *lease.Request) *lease.Reply {
		return d.handleLeaseRequest(q)
	})
	transport.Handle(a.config.Hub, methodTokens, d.grantTokens)
	return d
}

// randomFraction is a random number from 0 to 1.
func (a *Agent) randomFraction() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rng.Float64()
}

// handleLeaseRequest answers a request for leases. What the record knows is read before the grant is made, as package lease requires.
func (s *SingletonRoles) handleLeaseRequest(q *lease.Request) *lease.Reply {
	accepted, ready := s.voters.Accepted()
	standing := lease.VoterStatus{Ready: ready, VoterSetEpoch: max(accepted, s.voters.VoterSet().Epoch)}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.agent.config.Hub.Now()
	for _, duty := range q.Roles {
		if duty.Release && duty.Role == roleAllocator {
			s.allocatorLease.HolderReleased(now, q.Holder)
		}
	}
	return s.voter.Handle(now, standing, q)
}

// Run asks for duties, and does them, until ctx ends.
func (s *SingletonRoles) Run(ctx context.Context) {
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.checkLeases()
		case <-ctx.Done():
			return
		}
	}
}

func (s *SingletonRoles) checkLeases() {
	voters := s.voters.VoterSet()
	now := s.agent.config.Hub.Now()
	s.checkMembers(now)
	s.mu.Lock()
	request := s.allocatorLease.Tick(now, len(voters.Voters), voters.Epoch)
	if _, ok := s.allocatorLease.Holds(now); !ok {
		s.stopAllocator()
	}
	s.mu.Unlock()
	if request != nil {
		s.requestLeases(now, voters, request)
	}
}

// checkMembers takes note of who is there, now and then.
func (s *SingletonRoles) checkMembers(now time.Duration) {
	s.mu.Lock()
	due := now >= s.membersCheckedAt+memberCheckInterval
	s.mu.Unlock()
	if !due {
		return
	}
	members := s.agent.Members()
	s.agent.events.recordMembers(members)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.membersCheckedAt = now
	s.allocatorLease.SetRank(s.agent.coreRank(members))
	recent := s.lastSeen.Update(now, accessAddresses(members))
	if s.allocator != nil {
		s.allocator.SetSidecars(recent)
	}
}

// coreRank is this process's place among the core processes that it knows of.
func (a *Agent) coreRank(members []membership.Member) (n int) {
	self := a.config.Hub.Self().Address
	for _, m := range members {
		if m.Role == membership.RoleCore && m.Address < self {
			n++
		}
	}
	return n
}

func accessAddresses(members []membership.Member) (addresses []string) {
	for _, m := range members {
		if m.Role == membership.RoleAccess {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// requestLeases sends a request for leases to all voters.
func (s *SingletonRoles) requestLeases(asked time.Duration, voters consensus.VoterSet, q *lease.Request) {
	for _, v := range voters.Voters {
		if v == s.agent.config.Settings.ControlAddress {
			s.handleLeaseReply(asked, voters.Epoch, v, s.handleLeaseRequest(q))
			continue
		}
		s.agent.send(s.agent.peerAddress(v), methodLease, q, func(body []byte) {
			var reply lease.Reply
			if len(body) > 0 && codec.Unmarshal(body, &reply) == nil {
				s.handleLeaseReply(asked, voters.Epoch, v, &reply)
			}
		})
	}
}

// handleLeaseReply takes a voter's reply to a request that was made at a time, under a list of voters.
func (s *SingletonRoles) handleLeaseReply(asked time.Duration, epoch uint64, voter string, reply *lease.Reply) {
	if reply.VoterSetEpoch > epoch {
		s.learnVoters()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.agent.config.Hub.Now()
	if s.allocatorLease.HandleReply(now, asked, voter, reply) {
		s.startAllocator(now)
	}
}

// learnVoters learns of a newer list of voters at once: a holder that goes on under the old one would lose its lease.
func (s *SingletonRoles) learnVoters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.learningVoters {
		return
	}
	s.learningVoters = true
	go func() { // ends by its timeout
		ctx, cancel := context.WithTimeout(context.Background(), learnVotersTimeout)
		defer cancel()
		if _, err := s.voters.ReadLatest(ctx); err != nil {
			s.agent.config.Log.WithError(err).Debug("agent: the newest list of voters can't be read")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.learningVoters = false
	}()
}

// startAllocator begins the duty. The lock is held.
func (s *SingletonRoles) startAllocator(now time.Duration) {
	number, _ := s.allocatorLease.Holds(now)
	s.agent.events.add(events.Event{
		Kind: events.RoleAcquired, Node: s.agent.config.Hub.Self().Address,
		Detail: fmt.Sprintf("%s, under number %d", roleAllocator, number),
	})
	s.allocator = ratelimit.NewAllocator(now, s.initialStart && now < initialStartGrace, s.agent.tenantLimit)
	s.allocator.SetSidecars(s.lastSeen.Update(now, accessAddresses(s.agent.Members())))
}

// stopAllocator ends the duty, if this process has it. The lock is held.
func (s *SingletonRoles) stopAllocator() {
	if s.allocator == nil {
		return
	}
	s.allocator = nil
	s.agent.events.add(events.Event{Kind: events.RoleLost, Node: s.agent.config.Hub.Self().Address, Detail: roleAllocator})
}

// Release gives up all leases for good, tells the voters and the other core processes, and waits for their answers until ctx
// ends, so that the next holder can start at once. It is for a process that is about to end.
func (s *SingletonRoles) Release(ctx context.Context) {
	s.mu.Lock()
	request := s.allocatorLease.Resign()
	s.stopAllocator()
	s.mu.Unlock()
	if request == nil {
		return
	}
	s.handleLeaseRequest(request)
	nodes := append(slices.Clone(s.voters.VoterSet().Voters), s.agent.CoreAddresses()...)
	slices.Sort(nodes)
	nodes = slices.DeleteFunc(slices.Compact(nodes), func(node string) bool { return node == s.agent.config.Settings.ControlAddress })
	answered := make(chan struct{}, len(nodes))
	for _, node := range nodes {
		s.agent.config.Hub.Send(s.agent.peerAddress(node), methodLease, codec.MarshalAppend(nil, request), 0, func([]byte, error) {
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

// tenantLimit is a tenant's limit by the newest configuration.
func (a *Agent) tenantLimit(tenant string) (ratelimit.Limit, bool) {
	l, ok := (*a.tenantLimits.Load())[tenant]
	return l, ok
}

// grantTokens answers a sidecar's requests for tokens, if this process is the allocator.
func (s *SingletonRoles) grantTokens(_ context.Context, _ *transport.Hello, q *ratelimit.AllocationRequest) *ratelimit.AllocationReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.agent.config.Hub.Now()
	s.allocatorLease.ObserveToken(now, q.HighestFencingToken)
	number, ok := s.allocatorLease.Holds(now)
	if !ok || s.allocator == nil || s.agent.tenantLimits.Load() == nil || number < q.HighestFencingToken {
		return &ratelimit.AllocationReply{Allocator: s.allocatorLease.Holder(now)}
	}
	grants := &ratelimit.AllocationReply{
		Granted: true, FencingToken: number, Allocator: s.agent.config.Hub.Self().Address,
		Grants: s.allocator.Allocate(now, q),
	}
	for i := range grants.Grants {
		if grants.Grants[i].RetryAfter > 0 {
			s.agent.events.recordQuotaHit(now, grants.Grants[i].Tenant)
		}
	}
	return grants
}
