package consensus

import (
	"maps"
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// ReplicaState is the part of a replica's record that changes with every promise.
type ReplicaState struct {
	Membership                // the newest that is known to be decided
	Ready        bool         // knows what it promised, if it is or becomes a voter
	Incarnation  uint64       // grows each time the disk is lost
	Incarnations Incarnations // the others'
	Promised     Ballot
	System       System
}

// Fields implements codec.Message. A record without an epoch is from before voters could change, and has the first membership.
func (s *ReplicaState) Fields(v *codec.Visitor) {
	v.Texts(1, &s.Voters)
	v.Bool(2, &s.Ready)
	v.Uint(3, &s.Incarnation)
	s.Incarnations.fields(v)
	v.Message(5, &s.Promised)
	v.Uint(6, &s.Epoch)
	v.Texts(7, &s.Previous)
	v.Texts(8, &s.Retired)
	v.Fixed(9, (*uint64)(&s.System))
}

// Record is all that a replica remembers. Both parts are written on their own: if the vote is there without the state that
// came with it, its ballot counts as promised.
type Record struct {
	State ReplicaState
	Vote  Vote
}

// FirstRecord is that of a process at the first start of the whole system.
func FirstRecord(self string, voters []string) Record {
	r := Record{State: ReplicaState{Membership: Membership{Voters: voters}, Incarnation: 1, System: NewSystem(voters)}}
	r.State.Ready = r.State.Has(self)
	return r
}

// Decided is the newest membership that the record shows to be decided.
func (r *Record) Decided() Membership {
	if e := &r.Vote.Value.Membership; e.Epoch > r.State.Epoch+1 {
		return e.previous()
	}
	return r.State.Membership
}

// Learn notes that a membership is decided.
func (r Record) Learn(e Membership) (Record, Changed) {
	if d := r.Decided(); e.Epoch <= d.Epoch || len(e.Voters) == 0 {
		return r, Changed{}
	}
	r.State.Membership = e
	return r, Changed{State: true}
}

// Changed tells which parts of a record have to be synced before the answer leaves.
type Changed struct{ State, Vote bool }

// Any tells whether there is something to write.
func (c Changed) Any() bool { return c.State || c.Vote }

// Handle answers a request. If parts of the record changed, the new record must be on disk before the answer leaves and
// before the replica answers anything else; if the write fails the record has to be read again. r itself stays as it is.
func (r Record) Handle(q *Request) (Reply, Record, Changed) {
	if q.Kind == Describe {
		return Reply{Kind: Reported, Membership: r.Decided(), Ready: r.State.Ready}, r, Changed{}
	}
	if !r.State.Ready {
		return Reply{Kind: NotReady, Ballot: q.Ballot}, r, Changed{}
	}
	if !r.State.System.Admits(q.System) {
		return Reply{Kind: OtherSystem, Ballot: q.Ballot, System: r.State.System}, r, Changed{}
	}
	r, changed := r.Learn(q.Membership)
	decided := r.Decided()
	if decided.contradicts(&q.Membership) {
		return Reply{Kind: OtherList, Ballot: q.Ballot, Membership: decided}, r, changed
	}
	if q.Epoch < decided.Epoch && q.Kind != Recover {
		return Reply{Kind: StaleEpoch, Ballot: q.Ballot, Membership: decided}, r, changed
	}
	kind := Reported
	switch q.Kind {
	case ReadVote:
	case Prepare:
		if q.Ballot.Compare(r.promised()) < 0 {
			kind = Rejected
			break
		}
		kind = Promise // the same again, if a round asks twice: its ballot is no one else's
		changed.State = changed.State || r.State.Promised != q.Ballot
		r.State.Promised = q.Ballot
	case Accept:
		if q.Ballot.Compare(r.promised()) < 0 {
			kind = Rejected
			break
		}
		kind = Accepted
		if q.Ballot != r.Vote.Ballot || r.Vote.Learned {
			r.Vote = Vote{Ballot: q.Ballot, Value: q.Value}
			changed.Vote = true
		}
	case Recover:
		if q.Incarnation <= r.State.Incarnations[q.Node] {
			kind = Rejected
			break
		}
		r.State.Incarnations = maps.Clone(r.State.Incarnations)
		if r.State.Incarnations == nil {
			r.State.Incarnations = Incarnations{}
		}
		r.State.Incarnations[q.Node] = q.Incarnation
		r.State.Incarnations.bound(func(node string) bool {
			return node == q.Node || decided.Has(node) || slices.Contains(decided.Previous, node) || r.Vote.Value.Membership.Has(node)
		})
		changed.State = true
	default:
		return Reply{Kind: NotReady, Ballot: q.Ballot}, r, changed
	}
	reply := Reply{Kind: kind, Ballot: q.Ballot, Incarnation: r.State.Incarnation, Incarnations: r.State.Incarnations,
		Promised: r.promised()}
	if kind == Reported || kind == Promise {
		reply.Vote = r.Vote
		if q.Known == r.Vote.Ballot {
			reply.Vote.Value = Value{}
		}
	}
	if q.Kind == Recover {
		reply.Membership, reply.System = decided, r.State.System
	}
	return reply, r, changed
}

func (r *Record) promised() Ballot {
	if r.Vote.Ballot.Compare(r.State.Promised) > 0 && !r.Vote.Learned {
		return r.Vote.Ballot
	}
	return r.State.Promised
}
