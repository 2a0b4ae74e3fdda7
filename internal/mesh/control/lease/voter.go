package lease

import "time"

// Voter grants leases, and remembers the newest grant of each role, in memory. It is not safe for concurrent use.
type Voter struct {
	grantsFrom time.Duration         // it grants nothing before this time
	grants     map[string]*heldLease // by role
}

// NewVoter returns a voter that starts now. It grants nothing for Duration, by which time all grants of its last start have
// ended. initialStart is true if the whole system starts for the first time: nothing was granted before, so it grants at once.
func NewVoter(now time.Duration, initialStart bool) *Voter {
	v := &Voter{grantsFrom: now + Duration, grants: map[string]*heldLease{}}
	if initialStart {
		v.grantsFrom = now
	}
	return v
}

// VoterStatus is what the voter's process knows about the voter set when it answers a request.
type VoterStatus struct {
	Ready         bool   // the process has its record; without it, it may have forgotten a voter set that it accepted
	VoterSetEpoch uint64 // of the newest voter set that it accepted or knows to be decided
}

// Handle answers a request. It is the only method that changes what has been granted.
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

// leaseOf returns the lease of a role, which it makes if necessary; nil if the voter already has maxRoles.
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
	incarnation  uint64 // of the holder
	fencingToken uint64
	expiresAt    time.Duration
}

// isHeldBy reports whether the newest grant was to the process that sends a request, in the same incarnation.
func (h *heldLease) isHeldBy(request *Request) bool {
	return h.incarnation == request.Incarnation && h.holder == request.Holder
}

// answer grants, renews, releases or rejects the lease. mayGrant is false while the voter must not grant anything.
func (h *heldLease) answer(now time.Duration, mayGrant bool, request *Request, role *RoleRequest) RoleReply {
	isHolder := h.isHeldBy(request)
	isCurrent := isHolder && role.FencingToken >= h.fencingToken
	isFree := now >= h.expiresAt && role.FencingToken > h.fencingToken
	switch {
	case role.Release:
		if isCurrent { // a late release of an earlier token leaves this grant alone
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
