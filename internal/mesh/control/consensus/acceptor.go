package consensus

import (
	"maps"
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// ReplicaState is the part of a replica's record that changes with every promise.
type ReplicaState struct {
	VoterSet                          // the newest that is known to be decided
	Ready            bool             // knows what it promised, if it is or becomes a voter
	DiskIncarnation  uint64           // grows each time the disk is lost
	DiskIncarnations DiskIncarnations // the others'
	Promised         Ballot
	System           SystemID
}

// Fields implements codec.Message. A record without an epoch is from before voters could change, and has the first membership.
func (r *ReplicaState) Fields(v *codec.Visitor) {
	v.Strings(1, &r.Voters)
	v.Bool(2, &r.Ready)
	v.Uint64(3, &r.DiskIncarnation)
	r.DiskIncarnations.fields(v)
	v.Message(5, &r.Promised)
	v.Uint64(6, &r.Epoch)
	v.Strings(7, &r.Previous)
	v.Strings(8, &r.Retired)
	v.Fixed64(9, (*uint64)(&r.System))
}

// Record is all that a replica remembers. Both parts are written on their own: if the vote is there without the state that
// came with it, its ballot counts as promised.
type Record struct {
	State ReplicaState
	Vote  Vote
}

// InitialRecord is that of a process at the first start of the whole system.
func InitialRecord(self string, voters []string) Record {
	r := Record{State: ReplicaState{VoterSet: VoterSet{Voters: voters}, DiskIncarnation: 1, System: NewSystemID(voters)}}
	r.State.Ready = r.State.Contains(self)
	return r
}

// DecidedVoters is the newest membership that the record shows to be decided.
func (r *Record) DecidedVoters() VoterSet {
	if e := &r.Vote.Value.VoterSet; e.Epoch > r.State.Epoch+1 {
		return e.previousSet()
	}
	return r.State.VoterSet
}

// LearnVoters notes that a membership is decided.
func (r Record) LearnVoters(e VoterSet) (Record, Unsynced) {
	if d := r.DecidedVoters(); e.Epoch <= d.Epoch || len(e.Voters) == 0 {
		return r, Unsynced{}
	}
	r.State.VoterSet = e
	return r, Unsynced{State: true}
}

// Unsynced tells which parts of a record have to be synced before the answer leaves.
type Unsynced struct{ State, Vote bool }

// Any tells whether there is something to write.
func (u Unsynced) Any() bool { return u.State || u.Vote }

// Handle answers a request. If parts of the record changed, the new record must be on disk before the answer leaves and
// before the replica answers anything else; if the write fails the record has to be read again. r itself stays as it is.
func (r Record) Handle(q *Request) (Reply, Record, Unsynced) {
	if q.Kind == Describe {
		return Reply{Kind: Reported, VoterSet: r.DecidedVoters(), Ready: r.State.Ready}, r, Unsynced{}
	}
	if !r.State.Ready {
		return Reply{Kind: NotReady, Ballot: q.Ballot}, r, Unsynced{}
	}
	if !r.State.System.Matches(q.System) {
		return Reply{Kind: ForeignSystem, Ballot: q.Ballot, System: r.State.System}, r, Unsynced{}
	}
	r, changed := r.LearnVoters(q.VoterSet)
	decided := r.DecidedVoters()
	if decided.conflictsWith(&q.VoterSet) {
		return Reply{Kind: ConflictingVoters, Ballot: q.Ballot, VoterSet: decided}, r, changed
	}
	if q.Epoch < decided.Epoch && q.Kind != Recover {
		return Reply{Kind: StaleEpoch, Ballot: q.Ballot, VoterSet: decided}, r, changed
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
		if q.DiskIncarnation <= r.State.DiskIncarnations[q.Node] {
			kind = Rejected
			break
		}
		r.State.DiskIncarnations = maps.Clone(r.State.DiskIncarnations)
		if r.State.DiskIncarnations == nil {
			r.State.DiskIncarnations = DiskIncarnations{}
		}
		r.State.DiskIncarnations[q.Node] = q.DiskIncarnation
		r.State.DiskIncarnations.prune(func(node string) bool {
			return node == q.Node || decided.Contains(node) || slices.Contains(decided.Previous, node) || r.Vote.Value.VoterSet.Contains(node)
		})
		changed.State = true
	default:
		return Reply{Kind: NotReady, Ballot: q.Ballot}, r, changed
	}
	reply := Reply{
		Kind: kind, Ballot: q.Ballot, DiskIncarnation: r.State.DiskIncarnation, DiskIncarnations: r.State.DiskIncarnations,
		Promised: r.promised(),
	}
	if kind == Reported || kind == Promise {
		reply.Vote = r.Vote
		if q.KnownBallot == r.Vote.Ballot {
			reply.Vote.Value = Value{}
		}
	}
	if q.Kind == Recover {
		reply.VoterSet, reply.System = decided, r.State.System
	}
	return reply, r, changed
}

func (r *Record) promised() Ballot {
	if r.Vote.Ballot.Compare(r.State.Promised) > 0 && !r.Vote.Learned {
		return r.Vote.Ballot
	}
	return r.State.Promised
}
