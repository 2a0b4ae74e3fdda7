package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/lease"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

const (
	leaseCheckInterval  = 50 * time.Millisecond  // between two checks of the leases
	memberCheckInterval = 300 * time.Millisecond // between two checks of the members
	learnVotersTimeout  = time.Second            // for a read of the newest voter set
)

// Register is the consensus register (control/controlplane.Server). Its voters also grant leases.
type Register interface {
	// VoterSet returns the newest voter set, of control addresses, that this process knows to be committed.
	VoterSet() consensus.VoterSet
	// Accepted returns the epoch of the voter set in the newest vote of this process, as last written to disk. ready is true from when the
	// process's record was first complete on disk; it stays true while the disk fails, and while a record that was lost later is recovered.
	Accepted() (epoch uint64, ready bool)
	// ReadLatest reads the register from a majority of the voters. If that finds a newer voter set, VoterSet returns it from then on.
	ReadLatest(ctx context.Context) (consensus.Value, error)
}

// SingletonRoles is a core process's part in the singleton roles: those that one core process has at a time, under a lease that the
// voters grant. There is one such role, the allocator. Each core process contends for it, and votes on leases if it is a voter. The
// methods may be called from any goroutine.
type SingletonRoles struct {
	agent        *Agent
	register     Register
	initialStart bool          // the whole system starts for the first time: there was no earlier allocator
	newerVoters  chan struct{} // holds a value if a newer voter set is to be read

	// mu guards the fields below. environment.mu and eventRecorder.mu may be taken under it.
	mu               sync.Mutex
	voter            *lease.Voter
	allocatorLease   *lease.Candidate
	allocator        *ratelimit.Allocator // nil while this process doesn't hold the lease
	lastSeen         ratelimit.LastSeen   // of sidecars
	membersCheckedAt time.Duration
	learningVoters   bool // a read of the newest voter set is pending or running
}

// NewSingletonRoles returns a core process's part in the singleton roles, and registers its methods. initialStart is true if the whole
// system starts for the first time. It is called once for an Agent. The process votes on leases from then on, and contends for the roles
// while Run runs.
func (a *Agent) NewSingletonRoles(register Register, initialStart bool) *SingletonRoles {
	self := a.hub.Self()
	s := &SingletonRoles{
		agent:          a,
		register:       register,
		initialStart:   initialStart,
		newerVoters:    make(chan struct{}, 1),
		voter:          lease.NewVoter(a.now(), initialStart),
		allocatorLease: lease.NewCandidate(self.Address, self.Incarnation, roleAllocator, a.randomFraction),
	}
	transport.Handle(a.hub, methodLease, s.handleRequest)
	transport.Handle(a.hub, methodTokens, s.handleAllocation)
	return s
}

// Run contends for the roles and renews the leases of those that it has, until ctx ends. It doesn't release them (see Release).
func (s *SingletonRoles) Run(ctx context.Context) {
	var learner sync.WaitGroup
	learner.Go(func() { s.learnVoters(ctx) })
	defer learner.Wait()
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

// checkLeases sends requests for leases, or to renew them, if they are due, and ends a role whose lease has expired.
func (s *SingletonRoles) checkLeases() {
	voters := s.register.VoterSet()
	now := s.agent.now()
	s.checkMembers(now)
	if request := s.tickLeases(now, voters); request != nil {
		s.requestLeases(now, voters, request)
	}
}

// tickLeases returns the request that is to be sent to all voters now; nil if there is none. It ends a role whose lease has expired.
func (s *SingletonRoles) tickLeases(now time.Duration, voters consensus.VoterSet) *lease.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := s.allocatorLease.Tick(now, len(voters.Voters), voters.Epoch)
	if _, ok := s.allocatorLease.Holds(now); !ok {
		s.stopAllocatorLocked()
	}
	return request
}

// checkMembers passes the present members to the event recorder, the lease and the allocator, once in a memberCheckInterval.
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
	s.allocatorLease.SetRank(s.agent.members.coreRank(members))
	s.updateSidecarsLocked(now, members)
}

// requestLeases sends a request to all voters, of which this process may be one.
func (s *SingletonRoles) requestLeases(sent time.Duration, voters consensus.VoterSet, request *lease.Request) {
	for _, voter := range voters.Voters {
		if voter == s.agent.settings.ControlAddress {
			s.handleReply(sent, voters.Epoch, voter, s.vote(request))
			continue
		}
		s.agent.send(s.agent.peerAddress(voter), methodLease, request, func(body []byte) {
			var reply lease.Reply
			if len(body) > 0 && codec.Unmarshal(body, &reply) == nil {
				s.handleReply(sent, voters.Epoch, voter, &reply)
			}
		})
	}
}

// handleReply handles a voter's reply to a request that was sent at a time, to the voter set of an epoch.
func (s *SingletonRoles) handleReply(sent time.Duration, epoch uint64, voter string, reply *lease.Reply) {
	if reply.VoterSetEpoch > epoch {
		s.requestVoters()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.agent.now()
	if s.allocatorLease.HandleReply(now, sent, voter, reply) {
		s.startAllocatorLocked(now)
	}
}

// handleRequest answers another core process's request for leases.
func (s *SingletonRoles) handleRequest(_ context.Context, _ *transport.Hello, request *lease.Request) *lease.Reply {
	return s.vote(request)
}

// vote answers a request for leases as a voter. The epochs are read before the grant is made, as package lease requires.
func (s *SingletonRoles) vote(request *lease.Request) *lease.Reply {
	accepted, ready := s.register.Accepted()
	status := lease.VoterStatus{Ready: ready, VoterSetEpoch: max(accepted, s.register.VoterSet().Epoch)}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.agent.now()
	for _, role := range request.Roles {
		if role.Release && role.Role == roleAllocator {
			s.allocatorLease.HolderReleased(now, request.Holder)
		}
	}
	return s.voter.Handle(now, status, request)
}

// requestVoters makes learnVoters read the newest voter set, unless a read is pending or running.
func (s *SingletonRoles) requestVoters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.learningVoters {
		return
	}
	s.learningVoters = true
	s.newerVoters <- struct{}{} // never blocks: learningVoters was false, so the channel is empty
}

// learnVoters reads the newest voter set whenever requestVoters asks for it, until ctx ends. A lease holder that kept to an old voter set
// would lose its lease, as the voters reject its requests.
func (s *SingletonRoles) learnVoters(ctx context.Context) {
	for {
		select {
		case <-s.newerVoters:
			s.readVoters(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// readVoters reads the register once, so that VoterSet returns the newest voter set.
func (s *SingletonRoles) readVoters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, learnVotersTimeout)
	defer cancel()
	if _, err := s.register.ReadLatest(ctx); err != nil {
		s.agent.log.WithError(err).Debug("agent: the newest set of voters can't be read")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learningVoters = false
}

// Release releases all leases, for good, so that the next holder need not wait until they expire. It notifies the voters and the other
// core processes, and waits for their answers until ctx ends. It is for a process that is shutting down. Without a lease it does nothing.
func (s *SingletonRoles) Release(ctx context.Context) {
	request := s.resign()
	if request == nil {
		return
	}
	s.vote(request)
	peers := s.otherCores()
	answered := make(chan struct{}, len(peers))
	for _, peer := range peers {
		s.agent.hub.Send(s.agent.peerAddress(peer), methodLease, codec.MarshalAppend(nil, request), 0, func([]byte, error) {
			answered <- struct{}{} // an error counts, too: there is nothing to wait for
		})
	}
	for range peers {
		select {
		case <-answered:
		case <-ctx.Done():
			return
		}
	}
}

// resign ends the roles of this process, and returns the request that releases their leases; nil if it has none.
func (s *SingletonRoles) resign() *lease.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := s.allocatorLease.Resign()
	s.stopAllocatorLocked()
	return request
}

// otherCores returns the control addresses of the voters and of the core processes among the members, each once, without this process.
func (s *SingletonRoles) otherCores() []string {
	cores := append(slices.Clone(s.register.VoterSet().Voters), s.agent.CoreAddresses()...)
	slices.Sort(cores)
	return slices.DeleteFunc(slices.Compact(cores), func(core string) bool { return core == s.agent.settings.ControlAddress })
}

// updateSidecarsLocked records which members are sidecars, and passes those that were seen lately to the allocator.
func (s *SingletonRoles) updateSidecarsLocked(now time.Duration, members []membership.Member) {
	recent := s.lastSeen.Update(now, sidecarAddresses(members))
	if s.allocator != nil {
		s.allocator.SetSidecars(recent)
	}
}
