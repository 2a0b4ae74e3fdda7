package consensus

import "quincegap/internal/mesh/transport/codec"

// ReplicaState is the part of a replica's record that changes with every promise.
type ReplicaState struct {
	VoterSet                          // the newest voter set that is known to be decided
	Ready            bool             // the replica knows its promises, and may answer as a voter
	DiskIncarnation  uint64           // the replica's own disk incarnation, which grows each time the disk is lost
	DiskIncarnations DiskIncarnations // the disk incarnations of other replicas
	Promised         Ballot           // the highest ballot that was promised in reply to a Prepare
	System           SystemID
}

// Fields implements codec.Message. A record without an epoch is from a release whose voters could not change, and contains
// the voter set of the first start.
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

// Record is the complete state of a replica on disk. Its two parts are written separately, so the disk may hold a vote
// without the state that belongs to it. The vote's ballot then counts as promised.
type Record struct {
	State ReplicaState
	Vote  Vote
}

// InitialRecord returns the record of the process named self at the first start of the whole system with the given voters.
// The process is ready if it is one of them.
func InitialRecord(self string, voters []string) Record {
	first := VoterSet{Voters: voters}
	return Record{State: ReplicaState{
		VoterSet:        first,
		Ready:           first.Contains(self),
		DiskIncarnation: 1,
		System:          NewSystemID(voters),
	}}
}

// DecidedVoters returns the newest voter set that the record shows to be decided. A vote whose value has epoch n+1 shows that
// epoch n is decided.
func (r *Record) DecidedVoters() VoterSet {
	if voted := &r.Vote.Value.VoterSet; voted.Epoch > r.State.Epoch+1 {
		return voted.previousSet()
	}
	return r.State.VoterSet
}

// LearnVoters returns the record after it has learned that a voter set is decided, and what has to be synced. It returns r
// unchanged if r already knows that epoch or a newer one to be decided, or if the set has no voters.
func (r Record) LearnVoters(decided VoterSet) (Record, Unsynced) {
	known := r.DecidedVoters()
	if decided.Epoch <= known.Epoch || len(decided.Voters) == 0 {
		return r, Unsynced{}
	}
	r.State.VoterSet = decided
	return r, Unsynced{State: true}
}

// promised returns the highest ballot that the replica has promised, either in reply to a Prepare or by accepting a value
// under it. A learned vote was accepted by other voters and implies no promise.
func (r *Record) promised() Ballot {
	if r.Vote.Ballot.Compare(r.State.Promised) > 0 && !r.Vote.Learned {
		return r.Vote.Ballot
	}
	return r.State.Promised
}

// Unsynced names the parts of a record that have to be synced to disk before the reply is sent.
type Unsynced struct{ State, Vote bool }

// Any reports whether any part has to be synced.
func (u Unsynced) Any() bool { return u.State || u.Vote }
