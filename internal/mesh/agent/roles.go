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
	leaseCheckInterval  = 50 * time.Millisecond  // interval between checks of the leases
	memberCheckInterval = 300 * time.Millisecond // minimum interval between checks of the members
	voterReadTimeout    = time.Second            // timeout of a read of the newest voter set
)

// Register is the consensus register, whose voters also grant leases. control/controlplane.Server implements it.
type Register interface {
	// VoterSet returns the newest voter set that this process knows to be committed. Voters are identified by their control addresses.
	VoterSet() consensus.VoterSet
	// Accepted returns the epoch of the voter set in the newest vote of this process, as last written to disk. complete is true from the
	// time at which this process's record was first complete on disk. It remains true while the disk fails, and while a record that was
	// lost later is being recovered.
	Accepted() (epoch uint64, complete bool)
	// Ready reports whether this process can vote: its record is complete on disk, and the disk works.
	Ready() bool
	// ReadLatest reads the register from a majority of the voters, and fails if it can't reach one before ctx ends. If the read finds a newer
	// voter set, VoterSet returns that set from then on.
	ReadLatest(ctx context.Context) (consensus.Value, error)
}

// SingletonRoles manages the singleton roles of a core process. A singleton role is held by at most one core process at a time, under a
// lease that the voters grant. The only such role is the allocator. Each core process contends for it; voters also vote on leases. The
// methods are safe for concurrent use.
type SingletonRoles struct {
	agent             *Agent
	register          Register
	initialStart      bool          // true at the first start of the whole system: there was no earlier allocator
	voterReadRequests chan struct{} // holds a value if the newest voter set is to be read

	// mu guards the fields below. environment.mu and eventRecorder.mu may be acquired while mu is held.
	mu               sync.Mutex
	voter            *lease.Voter
	allocatorLease   *lease.Candidate
	allocator        *ratelimit.Allocator // nil while this process doesn't hold the lease
	sidecarsLastSeen ratelimit.LastSeen   // times at which each sidecar was last a member
	membersCheckedAt time.Duration
	voterReadPending bool // true while a read of the newest voter set is requested or running
}

// NewSingletonRoles returns the singleton roles of a core process, and registers their methods. initialStart is true at the first start of
// the whole system. NewSingletonRoles must be called at most once per Agent. From then on, the process votes on leases; it contends for the
// roles while Run is running.
func (a *Agent) NewSingletonRoles(register Register, initialStart bool) *SingletonRoles {
	self := a.hub.Self()
	s := &SingletonRoles{
		agent:             a,
		register:          register,
		initialStart:      initialStart,
		voterReadRequests: make(chan struct{}, 1),
		voter:             lease.NewVoter(a.now(), initialStart),
		allocatorLease:    lease.NewCandidate(self.Address, self.Incarnation, roleAllocator, a.randomFraction),
	}
	transport.Handle(a.hub, methodLease, s.handleLeaseRequest)
	transport.Handle(a.hub, methodTokens, s.handleAllocation)
	return s
}

// Run contends for the roles, and renews the leases of those that this process holds, until ctx ends. It doesn't release
// them (see Release).
func (s *SingletonRoles) Run(ctx context.Context) {
	var voterReader sync.WaitGroup
	voterReader.Go(func() { s.serveVoterReads(ctx) })
	defer voterReader.Wait()
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

// checkLeases sends due requests to acquire or renew leases, and ends a role whose lease has expired.
func (s *SingletonRoles) checkLeases() {
	voters := s.register.VoterSet()
	now := s.agent.now()
	s.checkMembers(now)
	if request := s.tickLeases(now, voters); request != nil {
		s.requestLeases(now, voters, request)
	}
}

// tickLeases returns the request to send to all voters now, or nil if none is due. It ends a role whose lease has expired.
func (s *SingletonRoles) tickLeases(now time.Duration, voters consensus.VoterSet) *lease.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := s.allocatorLease.Tick(now, len(voters.Voters), voters.Epoch)
	if _, ok := s.allocatorLease.Holds(now); !ok {
		s.stopAllocatorLocked()
	}
	return request
}

// checkMembers passes the current members to the event recorder, the lease and the allocator, at most once per memberCheckInterval.
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

// requestLeases sends a request to all voters. If this process is a voter itself, it handles the request directly. sent is the time of the
// request.
func (s *SingletonRoles) requestLeases(sent time.Duration, voters consensus.VoterSet, request *lease.Request) {
	for _, voter := range voters.Voters {
		if voter == s.agent.settings.ControlAddress {
			s.handleLeaseReply(sent, voters.Epoch, voter, s.vote(request))
			continue
		}
		s.agent.send(s.agent.peerAddress(voter), methodLease, request, func(body []byte) {
			var reply lease.Reply
			if len(body) > 0 && codec.Unmarshal(body, &reply) == nil {
				s.handleLeaseReply(sent, voters.Epoch, voter, &reply)
			}
		})
	}
}

// handleLeaseReply handles a voter's reply to a request for leases. sent is the time at which the request was sent, and epoch that of the
// voter set to which it was sent. If the voter knows a newer voter set, that set is read.
func (s *SingletonRoles) handleLeaseReply(sent time.Duration, epoch uint64, voter string, reply *lease.Reply) {
	if reply.VoterSetEpoch > epoch {
		s.requestVoterRead()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.agent.now()
	if s.allocatorLease.HandleReply(now, sent, voter, reply) {
		s.startAllocatorLocked(now)
	}
}

// handleLeaseRequest handles another core process's request for leases.
func (s *SingletonRoles) handleLeaseRequest(_ context.Context, _ *transport.Hello, request *lease.Request) *lease.Reply {
	return s.vote(request)
}

// vote handles a request for leases as a voter and returns the reply. The epochs are read before the grant is made, as package lease
// requires. If the request releases the allocator's lease, vote also informs this process's own candidate.
func (s *SingletonRoles) vote(request *lease.Request) *lease.Reply {
	accepted, complete := s.register.Accepted()
	status := lease.VoterStatus{Ready: complete, VoterSetEpoch: max(accepted, s.register.VoterSet().Epoch)}
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

// requestVoterRead makes serveVoterReads read the newest voter set, unless a read is already requested or running.
func (s *SingletonRoles) requestVoterRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.voterReadPending {
		return
	}
	s.voterReadPending = true
	s.voterReadRequests <- struct{}{} // never blocks: voterReadPending was false, so the channel is empty
}

// serveVoterReads reads the newest voter set whenever requestVoterRead requests it, until ctx ends. A lease holder that continued to use an
// old voter set would lose its lease, as the voters reject its requests.
func (s *SingletonRoles) serveVoterReads(ctx context.Context) {
	for {
		select {
		case <-s.voterReadRequests:
			s.readVoters(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// readVoters reads the register once, after which VoterSet returns the newest voter set. A failure is logged only: the next reply with a
// newer epoch requests another read.
func (s *SingletonRoles) readVoters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, voterReadTimeout)
	defer cancel()
	if _, err := s.register.ReadLatest(ctx); err != nil {
		s.agent.log.WithError(err).Debug("agent: reading the newest voter set failed")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.voterReadPending = false
}

// Release permanently releases all leases, so that the next holder need not wait until they expire. It notifies the voters and the other
// core processes, and waits for their replies until ctx ends. It is intended for a process that is shutting down; this process does not
// contend for the roles again. If the process has no lease to release, Release only ends its candidacy.
func (s *SingletonRoles) Release(ctx context.Context) {
	request := s.resign()
	if request == nil {
		return
	}
	s.vote(request)
	peers := s.otherCores()
	answered := make(chan struct{}, len(peers))
	for _, peer := range peers {
		s.agent.hub.Send(s.agent.peerAddress(peer), methodLease, codec.Marshal(request), 0, func(codec.Buffers, error) {
			answered <- struct{}{} // an error counts as a reply, as no reply will follow
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

// resign permanently ends the roles of this process and its candidacy, and returns the request that releases the leases, or nil if there
// is none to release.
func (s *SingletonRoles) resign() *lease.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := s.allocatorLease.Resign()
	s.stopAllocatorLocked()
	return request
}

// otherCores returns the control addresses of the voters and of the core processes among the members, without duplicates and without this
// process.
func (s *SingletonRoles) otherCores() []string {
	cores := append(slices.Clone(s.register.VoterSet().Voters), s.agent.CoreAddresses()...)
	slices.Sort(cores)
	return slices.DeleteFunc(slices.Compact(cores), func(core string) bool { return core == s.agent.settings.ControlAddress })
}

// updateSidecarsLocked updates sidecarsLastSeen from the members, and passes the recently seen sidecars to the allocator, if this process
// is the allocator.
func (s *SingletonRoles) updateSidecarsLocked(now time.Duration, members []membership.Member) {
	recent := s.sidecarsLastSeen.Update(now, sidecarAddresses(members))
	if s.allocator != nil {
		s.allocator.SetSidecars(recent)
	}
}
