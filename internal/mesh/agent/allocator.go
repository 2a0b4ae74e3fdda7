package agent

import (
	"context"
	"fmt"
	"time"

	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/transport"
)

// roleAllocator is the name, on the wire and in State, of the singleton role that grants tokens of the tenants' rate limits.
const roleAllocator = "allocator"

// initialStartGrace applies at the first start of the whole system only: a process that becomes the allocator within this time of its
// own start may assume that no earlier allocator has granted tokens.
const initialStartGrace = 6 * time.Second

// startAllocatorLocked makes this process the allocator, after it has acquired the allocator's lease.
func (s *SingletonRoles) startAllocatorLocked(now time.Duration) {
	token, _ := s.allocatorLease.Holds(now)
	s.agent.events.recordRoleAcquired(s.agent.address(), fmt.Sprintf("%s, under number %d", roleAllocator, token))
	noEarlierAllocator := s.initialStart && now < initialStartGrace
	s.allocator = ratelimit.NewAllocator(now, noEarlierAllocator, s.agent.configuration.tenantLimit)
	s.updateSidecarsLocked(now, s.agent.Members())
}

// stopAllocatorLocked makes this process stop being the allocator. It has no effect if the process is not the allocator.
func (s *SingletonRoles) stopAllocatorLocked() {
	if s.allocator == nil {
		return
	}
	s.allocator = nil
	s.agent.events.recordRoleLost(s.agent.address(), roleAllocator)
}

// handleAllocation handles a sidecar's request for tokens. A process that is not the allocator, or whose fencing token is lower than the
// highest one that the sidecar has seen, grants nothing. Its reply names the allocator if that is known.
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
