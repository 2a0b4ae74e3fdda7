package lease

import "time"

// Voter grants leases.
type Voter struct {
	from   time.Duration // it grants nothing before
	grants map[string]*heldLease
}

// heldLease is the newest grant of one duty; the zero value was never granted.
type heldLease struct {
	holder      string
	incarnation uint64
	epoch       uint64 // fencing number
	until       time.Duration
}

func (g *heldLease) isOf(q *Request) bool {
	return g.incarnation == q.Incarnation && g.holder == q.Holder
}

// NewVoter makes a voter that starts now. first tells that the whole system starts for the first time: nothing was granted
// before.
func NewVoter(now time.Duration, first bool) *Voter {
	v := &Voter{from: now + Lease, grants: map[string]*heldLease{}}
	if first {
		v.from = now
	}
	return v
}

// Standing is what a voter knows about the list of voters when it answers.
type Standing struct {
	Ready bool   // its record is whole; if not, it may have forgotten a list that it accepted
	Epoch uint64 // of the newest list that it accepted or knows as decided
}

// Take answers a request. It is the only method that changes what has been granted.
func (v *Voter) Take(now time.Duration, standing Standing, q *Request) *Reply {
	reply := &Reply{MembershipEpoch: standing.Epoch}
	mayGrant := now >= v.from && standing.Ready && q.MembershipEpoch >= standing.Epoch
	for _, d := range q.Duties {
		g := v.grants[d.Name]
		if g == nil {
			if len(v.grants) >= dutiesMax {
				continue
			}
			g = &heldLease{}
			v.grants[d.Name] = g
		}
		reply.Duties = append(reply.Duties, g.take(now, mayGrant, q, &d))
	}
	return reply
}

// take answers for one duty.
func (g *heldLease) take(now time.Duration, mayGrant bool, q *Request, d *Duty) Grant {
	mine := g.isOf(q)
	free := mine && d.Epoch >= g.epoch || now >= g.until && d.Epoch > g.epoch
	switch {
	case d.Release:
		if mine && d.Epoch >= g.epoch { // a late release of an earlier number leaves this one alone
			g.until = now
		}
	case mayGrant && free:
		*g = heldLease{holder: q.Holder, incarnation: q.Incarnation, epoch: d.Epoch, until: now + Lease}
		return Grant{Name: d.Name, Given: true, Epoch: d.Epoch}
	}
	refusal := Grant{Name: d.Name, Epoch: g.epoch}
	if now < g.until && !mine {
		refusal.Holder, refusal.Left = g.holder, g.until-now
	}
	return refusal
}
