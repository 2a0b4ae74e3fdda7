package consensus

import "quincegap/internal/mesh/transport/codec"

// ReplicaState is the part of a replica's record that changes with every promise.
type ReplicaState struct {
	VoterSet                          // the newest that is known to be decided
	Ready            bool             // the replica knows what it promised, if it is or becomes a voter
	DiskIncarnation  uint64           // grows each time the disk is lost
	DiskIncarnations DiskIncarnations // those of other replicas
	Promised         Ballot           // the highest ballot that was promised by a Prepare
	System           SystemID
}

// Fields implements codec.Message. A record without an epoch was written before voters could change, and has the first
// voter set.
func (r *ReplicaState) Fields(visitor *codec.Visitor) {
	visitor.Strings(1, &r.Voters)
	visitor.Bool(2, &r.Ready)
	visitor.Uint64(3, &r.DiskIncarnation)
	r.DiskIncarnations.fields(visitor) // field 4
	visitor.Message(5, &r.Promised)
	visitor.Uint64(6, &r.Epoch)
	visitor.Strings(7, &r.Previous)
	visitor.Strings(8, &r.Retired)
	visitor.Fixed64(9, (*uint64)(&r.System))
}

// Record is all that a replica keeps on disk. Its two parts are written separately. If a vote is on disk without the state
// that belongs to it, the vote's ballot counts as promised.
type Record struct {
	State ReplicaState
	Vote  Vote
}

// InitialRecord returns the record of a process at the first start of the whole system, whose voters are given. The process
// is ready if it is one of them.
func InitialRecord(self string, voters []string) Record {
	first := VoterSet{Voters: voters}
	return Record{State: ReplicaState{
		VoterSet:        first,
		Ready:           first.Contains(self),
		DiskIncarnation: 1,
		System:          NewSystemID(voters),
	}}
}

// DecidedVoters returns the newest voter set that the record shows to be decided. A vote of epoch n+1 shows that n is decided.
func (r *Record) DecidedVoters() VoterSet {
	if voted := &r.Vote.Value.VoterSet; voted.Epoch > r.State.Epoch+1 {
		return voted.previousSet()
	}
	return r.State.VoterSet
}

// LearnVoters returns the record that knows a voter set to be decided. r itself does not change.
func (r Record) LearnVoters(decided VoterSet) (Record, Unsynced) {
	known := r.DecidedVoters()
	if decided.Epoch <= known.Epoch || len(decided.Voters) == 0 {
		return r, Unsynced{}
	}
	r.State.VoterSet = decided
	return r, Unsynced{State: true}
}

// promised returns the highest ballot that the replica has promised, by a Prepare or by accepting a value under it. A
// learned vote was accepted by others and promises nothing.
func (r *Record) promised() Ballot {
	if r.Vote.Ballot.Compare(r.State.Promised) > 0 && !r.Vote.Learned {
		return r.Vote.Ballot
	}
	return r.State.Promised
}

// Unsynced names the parts of a record that have to be synced to disk before the reply leaves.
type Unsynced struct{ State, Vote bool }

// Any reports whether there is something to write.
func (u Unsynced) Any() bool { return u.State || u.Vote }
