package agent

import (
	"context"
	"fmt"
	"time"

	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/transport"
)

// roleAllocator is the name, on the wire and in State, of the role that grants tokens of tenants' limits.
const roleAllocator = "allocator"

// initialStartGrace is the time after the system's first start within which no earlier allocator can have granted anything.
const initialStartGrace = 6 * time.Second

// startAllocatorLocked begins the role.
func (s *SingletonRoles) startAllocatorLocked(now time.Duration) {
	token, _ := s.allocatorLease.Holds(now)
	s.agent.events.recordRoleAcquired(s.agent.address(), fmt.Sprintf("%s, under number %d", roleAllocator, token))
	first := s.initialStart && now < initialStartGrace
	s.allocator = ratelimit.NewAllocator(now, first, s.agent.configuration.tenantLimit)
	s.updateSidecarsLocked(now, s.agent.Members())
}

// stopAllocatorLocked ends the role, if this process has it.
func (s *SingletonRoles) stopAllocatorLocked() {
	if s.allocator == nil {
		return
	}
	s.allocator = nil
	s.agent.events.recordRoleLost(s.agent.address(), roleAllocator)
}

// handleAllocation answers a sidecar's request for tokens. A process that is not the allocator, or whose fencing token is below one that the
// sidecar knows of, grants nothing and names the allocator, if it knows it.
func (s *SingletonRoles) handleAllocation(_ context.Context, _ *transport.Hello, request *ratelimit.AllocationRequest) *ratelimit.AllocationReply {
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
