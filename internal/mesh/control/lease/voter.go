package lease

import "time"

// Voter grants leases.
type Voter struct {
	grantsFrom time.Duration // it grants nothing before
	grants     map[string]*heldLease
}

// heldLease is the newest grant of one duty; the zero value was never granted.
type heldLease struct {
	holder       string
	incarnation  uint64
	fencingToken uint64 // fencing number
	expiresAt    time.Duration
}

func (h *heldLease) isHeldBy(q *Request) bool {
	return h.incarnation == q.Incarnation && h.holder == q.Holder
}

// NewVoter makes a voter that starts now. first tells that the whole system starts for the first time: nothing was granted
// before.
func NewVoter(now time.Duration, first bool) *Voter {
	v := &Voter{grantsFrom: now + Duration, grants: map[string]*heldLease{}}
	if first {
		v.grantsFrom = now
	}
	return v
}

// VoterStatus is what a voter knows about the list of voters when it answers.
type VoterStatus struct {
	Ready         bool   // its record is whole; if not, it may have forgotten a list that it accepted
	VoterSetEpoch uint64 // of the newest list that it accepted or knows as decided
}

// Handle answers a request. It is the only method that changes what has been granted.
func (v *Voter) Handle(now time.Duration, standing VoterStatus, q *Request) *Reply {
	reply := &Reply{VoterSetEpoch: standing.VoterSetEpoch}
	mayGrant := now >= v.grantsFrom && standing.Ready && q.VoterSetEpoch >= standing.VoterSetEpoch
	for _, d := range q.Roles {
		g := v.grants[d.Role]
		if g == nil {
			if len(v.grants) >= maxRoles {
				continue
			}
			g = &heldLease{}
			v.grants[d.Role] = g
		}
		reply.Grants = append(reply.Grants, g.answer(now, mayGrant, q, &d))
	}
	return reply
}

// answer answers for one duty.
func (h *heldLease) answer(now time.Duration, mayGrant bool, q *Request, d *RoleRequest) Grant {
	mine := h.isHeldBy(q)
	free := mine && d.FencingToken >= h.fencingToken || now >= h.expiresAt && d.FencingToken > h.fencingToken
	switch {
	case d.Release:
		if mine && d.FencingToken >= h.fencingToken { // a late release of an earlier number leaves this one alone
			h.expiresAt = now
		}
	case mayGrant && free:
		*h = heldLease{holder: q.Holder, incarnation: q.Incarnation, fencingToken: d.FencingToken, expiresAt: now + Duration}
		return Grant{Role: d.Role, Granted: true, FencingToken: d.FencingToken}
	}
	refusal := Grant{Role: d.Role, FencingToken: h.fencingToken}
	if now < h.expiresAt && !mine {
		refusal.Holder, refusal.Remaining = h.holder, h.expiresAt-now
	}
	return refusal
}
