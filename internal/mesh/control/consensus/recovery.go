package consensus

import "slices"

// Recovery creates the record of a replica that has none: a voter that lost its disk, or a process that is about to become
// a voter. Such a replica does not know what it promised or accepted in an earlier disk incarnation. It answers no request
// until enough voters have replied to its own, and it has synced the highest promise and the newest vote that they
// reported. If the replica is one of n voters, the replies of n-m+1 others are enough, where m is the size of a majority of
// n; if it is not a voter, the replies of a majority are enough. If the voter set of the newest vote may be decided, enough
// voters of that set have to reply as well.
//
// The replica starts a new disk incarnation. Every voter that replies syncs that incarnation before it replies, and reports
// it in all later replies. A proposer that learns of a newer incarnation of a voter does not count that voter's earlier
// replies (Round.countedReplies).
//
// A voter with a blank disk, one without any file, may have been killed at the system's first start before its first record
// was written. It may also create its record if all other voters of the first voter set reply, and each of them has either
// accepted nothing or has a blank disk too.
//
// The replica itself did not accept the vote that it adopts, so the vote is marked as Learned: a proposer must respect it as
// the newest vote, but it does not count towards a majority for its ballot. docs/design/consensus-proof.md shows why this is
// enough. A recovery is not safe for concurrent use.
type Recovery struct {
	self            string
	voterSet        VoterSet // the newest voter set that is known to be decided
	blankDisk       bool
	diskIncarnation uint64
	replies         map[string]*Reply // by voter
	pendingVoters   []string          // the voters of the newest vote's value if its voter set is newer, and so may be decided
}

// NewRecovery starts an attempt to recover under the given disk incarnation, and returns the request to send to Recipients.
// The incarnation must be above all that were reported of this replica so far. voters is the newest voter set that is known
// to be decided; blankDisk is true if the disk was completely empty.
func NewRecovery(self string, voters VoterSet, incarnation uint64, blankDisk bool) (*Recovery, *Request) {
	return &Recovery{self: self, voterSet: voters, blankDisk: blankDisk, diskIncarnation: incarnation, replies: map[string]*Reply{}},
		&Request{Kind: Recover, Node: self, DiskIncarnation: incarnation, VoterSet: voters}
}

// Recipients returns the nodes to send the request to, which exclude the replica itself. The list may have grown after a
// call of Step. A voter accepts the request of an attempt only once, and rejects repetitions.
func (r *Recovery) Recipients() (nodes []string) {
	for _, voter := range append(slices.Clone(r.voterSet.Voters), r.pendingVoters...) {
		if voter != r.self && !slices.Contains(nodes, voter) {
			nodes = append(nodes, voter)
		}
	}
	return nodes
}

// Step processes a voter's reply. Once there are enough replies it returns the record and true. The record must be on disk
// before the replica answers any request. If the attempt fails, start another one under NextDiskIncarnation.
func (r *Recovery) Step(node string, reply *Reply) (Record, bool) {
	if node == r.self || r.replies[node] != nil || !r.isUsable(reply) {
		return Record{}, false
	}
	r.replies[node] = reply
	record := r.mergeReplies()
	enough := r.hasEnoughReplies(r.voterSet.Voters)
	r.pendingVoters = nil
	if voted := record.Vote.Value.VoterSet; voted.Epoch > r.voterSet.Epoch {
		r.pendingVoters = voted.Voters
		enough = enough && r.hasEnoughReplies(r.pendingVoters)
	}
	record.State.VoterSet = r.voterSet
	record.Vote.Learned = record.Vote.Ballot != Ballot{}
	return record, enough || r.registerUnused()
}

// isUsable reports whether the recovery may use a reply. It uses NotReady only from a replica with a blank disk, and no
// ForeignSystem.
func (r *Recovery) isUsable(reply *Reply) bool {
	if reply.Kind == NotReady {
		return reply.BlankDisk
	}
	return reply.Kind != ForeignSystem
}

// mergeReplies returns a record with the highest promise, the newest vote and the highest disk incarnations that the replies
// report. It also adopts the newest voter set that the replies show to be decided.
func (r *Recovery) mergeReplies() Record {
	record := Record{State: ReplicaState{Ready: true, DiskIncarnation: r.diskIncarnation, DiskIncarnations: DiskIncarnations{}}}
	for voter, reply := range r.replies {
		r.mergeIncarnations(record.State.DiskIncarnations, voter, reply)
		if reply.Kind != Reported {
			continue
		}
		if reply.System != 0 {
			record.State.System = reply.System
		}
		if reply.Promised.Compare(record.State.Promised) > 0 {
			record.State.Promised = reply.Promised
		}
		if reply.Vote.Ballot.Compare(record.Vote.Ballot) > 0 {
			record.Vote = reply.Vote
		}
		r.adoptVoters(reply)
	}
	return record
}

// mergeIncarnations raises the known disk incarnations to those that a voter's reply reports, except this replica's own.
func (r *Recovery) mergeIncarnations(known DiskIncarnations, voter string, reply *Reply) {
	known[voter] = max(known[voter], reply.DiskIncarnation)
	for node, incarnation := range reply.DiskIncarnations {
		if node != r.self {
			known[node] = max(known[node], incarnation)
		}
	}
}

// adoptVoters adopts the newest voter set that a reply shows to be decided. A vote whose value has epoch n+1 shows that
// epoch n is decided.
func (r *Recovery) adoptVoters(reply *Reply) {
	if reply.VoterSet.Epoch > r.voterSet.Epoch {
		r.voterSet = reply.VoterSet
	}
	if voted := &reply.Vote.Value.VoterSet; voted.Epoch > r.voterSet.Epoch+1 {
		r.voterSet = voted.previousSet()
	}
}

// hasEnoughReplies reports whether enough of the voters have replied. If this replica is one of the voters, every majority
// that includes it must contain a voter that has replied; if not, a majority must have replied.
func (r *Recovery) hasEnoughReplies(voters []string) bool {
	n := 0
	for _, voter := range voters {
		if reply := r.replies[voter]; voter != r.self && reply != nil && reply.Kind == Reported {
			n++
		}
	}
	if !slices.Contains(voters, r.self) {
		return n >= majority(len(voters))
	}
	return n >= len(voters)-majority(len(voters))+1
}

// registerUnused reports whether this is a first start at which no voter has accepted anything yet: this replica is a voter
// with a blank disk, and all other voters of the first voter set have replied, none with a vote or a rejection.
func (r *Recovery) registerUnused() bool {
	if !r.blankDisk || r.voterSet.Epoch > 0 || !r.voterSet.Contains(r.self) {
		return false
	}
	for _, voter := range r.voterSet.Voters {
		reply := r.replies[voter]
		if voter != r.self && (reply == nil || reply.Kind == Rejected || reply.Vote.Ballot != Ballot{}) {
			return false
		}
	}
	return true
}

// NextDiskIncarnation returns an incarnation above that of this attempt and above all that the replies report of this replica.
func (r *Recovery) NextDiskIncarnation() uint64 {
	highest := r.diskIncarnation
	for _, reply := range r.replies {
		highest = max(highest, reply.DiskIncarnations[r.self])
	}
	return highest + 1
}
