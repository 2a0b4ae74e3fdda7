package agent

import (
	"context"
	"fmt"
	"time"

	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/transport"
)

// roleAllocator is the name, on the wire and in State, of the singleton role that grants tokens of tenants' rate limits.
const roleAllocator = "allocator"

// initialStartGrace is how long after the start of this process, at the first start of the whole system, a new allocator may assume that
// no earlier one has granted tokens.
const initialStartGrace = 6 * time.Second

// startAllocatorLocked makes this process the allocator. Its lease has just been granted.
func (s *SingletonRoles) startAllocatorLocked(now time.Duration) {
	token, _ := s.allocatorLease.Holds(now)
	s.agent.events.recordRoleAcquired(s.agent.address(), fmt.Sprintf("%s, under number %d", roleAllocator, token))
	first := s.initialStart && now < initialStartGrace
	s.allocator = ratelimit.NewAllocator(now, first, s.agent.configuration.tenantLimit)
	s.updateSidecarsLocked(now, s.agent.Members())
}

// stopAllocatorLocked ends the role of this process, if it is the allocator.
func (s *SingletonRoles) stopAllocatorLocked() {
	if s.allocator == nil {
		return
	}
	s.allocator = nil
	s.agent.events.recordRoleLost(s.agent.address(), roleAllocator)
}

// handleAllocation answers a sidecar's request for tokens. A process that is not the allocator, or whose fencing token is below the
// highest one that the sidecar has seen, grants nothing and names the allocator, if it is known.
func (s *SingletonRoles) handleAllocation(
	_ context.Context, _ *transport.Hello, request *ratelimit.AllocationRequest,
) *ratelimit.AllocationReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.agent.now()
	s.allocatorLease.ObserveToken(now, request.HighestFencingToken)
	token, holds := s.allocatorLease.Holds(now)
	fenced := token < request.HighestFencingToken
	if !holds || fenced || s.allocator == nil || !s.agent.configuration.hasTenantLimits() {
		return &ratelimit.AllocationReply{Allocator: s.allocatorLease.Holder(now)}
	}
	reply := &ratelimit.AllocationReply{
		Granted:      true,
		FencingToken: token,
		Allocator:    s.agent.address(),
		Grants:       s.allocator.Allocate(now, request),
	}
	for i := range reply.Grants {
		if grant := &reply.Grants[i]; grant.RetryAfter > 0 {
			s.agent.events.recordQuotaExhausted(now, grant.Tenant)
		}
	}
	return reply
}
