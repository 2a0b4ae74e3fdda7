package lease

import "time"

// Voter grants leases, and stores the newest grant of each role in memory. It is not safe for concurrent use.
type Voter struct {
	grantsFrom time.Duration         // the time before which the voter grants nothing
	grants     map[string]*heldLease // the newest grants, by role
}

// NewVoter returns a voter that starts at the time now. It grants nothing for Duration, after which all grants that it made
// before a restart have ended. initialStart is true at the first start of the whole system, when no earlier grants exist; the
// voter then grants leases at once.
func NewVoter(now time.Duration, initialStart bool) *Voter {
	v := &Voter{grantsFrom: now + Duration, grants: map[string]*heldLease{}}
	if initialStart {
		v.grantsFrom = now
	}
	return v
}

// VoterStatus is what the voter's process knows about the voter set when it answers a request.
type VoterStatus struct {
	Ready         bool   // the process has its record; without one, it does not know which voter sets it accepted before
	VoterSetEpoch uint64 // the epoch of the newest voter set that the process accepted or knows to be decided
}

// Handle answers a request at the time now. It is the only method that changes grants.
func (v *Voter) Handle(now time.Duration, status VoterStatus, request *Request) *Reply {
	reply := &Reply{VoterSetEpoch: status.VoterSetEpoch}
	mayGrant := now >= v.grantsFrom && status.Ready && request.VoterSetEpoch >= status.VoterSetEpoch
	for i := range request.Roles {
		role := &request.Roles[i]
		held := v.leaseOf(role.Role)
		if held == nil {
			continue
		}
		reply.Grants = append(reply.Grants, held.answer(now, mayGrant, request, role))
	}
	return reply
}

// leaseOf returns the lease of a role, which it creates if necessary, or nil if the voter already stores maxRoles leases.
func (v *Voter) leaseOf(role string) *heldLease {
	held := v.grants[role]
	if held == nil && len(v.grants) < maxRoles {
		held = &heldLease{}
		v.grants[role] = held
	}
	return held
}

// heldLease is the newest grant of one role. The zero value is a lease that was never granted.
type heldLease struct {
	holder       string
	incarnation  uint64 // the holder's incarnation
	fencingToken uint64
	expiresAt    time.Duration // the time at which the grant ends, by the voter's clock
}

// isHeldBy reports whether the newest grant was made to the process that sent the request, in the same incarnation.
func (h *heldLease) isHeldBy(request *Request) bool {
	return h.incarnation == request.Incarnation && h.holder == request.Holder
}

// answer grants, renews or releases the lease, or rejects the request. If mayGrant is false, it grants and renews nothing.
func (h *heldLease) answer(now time.Duration, mayGrant bool, request *Request, role *RoleRequest) RoleReply {
	isHolder := h.isHeldBy(request)
	isCurrent := isHolder && role.FencingToken >= h.fencingToken
	isFree := now >= h.expiresAt && role.FencingToken > h.fencingToken
	switch {
	case role.Release:
		if isCurrent { // a delayed release under an earlier token must not end this grant
			h.expiresAt = now
		}
	case mayGrant && (isCurrent || isFree):
		*h = heldLease{
			holder:       request.Holder,
			incarnation:  request.Incarnation,
			fencingToken: role.FencingToken,
			expiresAt:    now + Duration,
		}
		return RoleReply{Role: role.Role, Granted: true, FencingToken: role.FencingToken}
	}
	rejection := RoleReply{Role: role.Role, FencingToken: h.fencingToken}
	if now < h.expiresAt && !isHolder {
		rejection.Holder = h.holder
		rejection.Remaining = h.expiresAt - now
	}
	return rejection
}
