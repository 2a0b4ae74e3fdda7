package consensus

import "slices"

// Recovery makes the record of a replica that has none: a voter that lost its disk, or a process that is to become a
// voter. Such a replica does not know what it promised or accepted in an earlier disk incarnation. It answers nobody until
// it has read from enough voters, and has synced the highest promise and the newest vote that they reported. If the replica
// is one of n voters, n-m+1 of the others are enough, where m is a majority of n; if it is not a voter, a majority is
// enough. If the newest vote has a voter set that may be decided, enough voters of that set have to reply as well.
//
// The replica starts a new disk incarnation. Every voter that it reads from syncs that incarnation before it replies, and
// reports it in all later replies. A proposer that learns of a newer incarnation of a voter does not count that voter's
// earlier replies (Round.countedReplies).
//
// A voter with a blank disk, on which there was nothing at all, may have been killed at the system's first start before
// its first record was written. It may also make its record if all others of the first voter set reply, and each of them
// has accepted nothing or has a blank disk too.
//
// The replica did not itself accept the vote that it takes over, so the vote is Learned: a proposer must respect it as the
// newest vote, but it does not count towards a majority for its ballot. docs/design/consensus-proof.md shows why this is
// enough. A recovery is not safe for concurrent use.
type Recovery struct {
	self            string
	voterSet        VoterSet // the newest known to be decided
	blankDisk       bool
	diskIncarnation uint64
	replies         map[string]*Reply // by voter
	pendingVoters   []string          // voters of the newest vote, if its voter set may be decided
}

// NewRecovery starts an attempt under a disk incarnation above all that were reported so far, and returns the request to
// send to Recipients. voters is the newest voter set that is known to be decided; blankDisk is true if the disk was
// completely empty.
func NewRecovery(self string, voters VoterSet, incarnation uint64, blankDisk bool) (*Recovery, *Request) {
	return &Recovery{self: self, voterSet: voters, blankDisk: blankDisk, diskIncarnation: incarnation, replies: map[string]*Reply{}},
		&Request{Kind: Recover, Node: self, DiskIncarnation: incarnation, VoterSet: voters}
}

// Recipients returns the nodes to which the request goes, without the replica itself. Step may add nodes. A voter answers
// the request of one attempt only once.
func (r *Recovery) Recipients() (nodes []string) {
	for _, voter := range append(slices.Clone(r.voterSet.Voters), r.pendingVoters...) {
		if voter != r.self && !slices.Contains(nodes, voter) {
			nodes = append(nodes, voter)
		}
	}
	return nodes
}

// Step takes a voter's reply and returns the record once there are enough replies. The record has to be on disk before the
// replica answers any request. If the attempt fails, start another one under NextDiskIncarnation.
func (r *Recovery) Step(node string, reply *Reply) (Record, bool) {
	if node == r.self || r.replies[node] != nil || !r.isUsable(reply) {
		return Record{}, false
	}
	r.replies[node] = reply
	record := r.mergeReplies()
	enough := r.hasEnough(r.voterSet.Voters)
	r.pendingVoters = nil
	if voted := record.Vote.Value.VoterSet; voted.Epoch > r.voterSet.Epoch {
		r.pendingVoters = voted.Voters
		enough = enough && r.hasEnough(r.pendingVoters)
	}
	record.State.VoterSet = r.voterSet
	record.Vote.Learned = record.Vote.Ballot != Ballot{}
	return record, enough || r.registerUnused()
}

// isUsable reports whether a reply may be merged: it describes the register, or reports a blank disk.
func (r *Recovery) isUsable(reply *Reply) bool {
	if reply.Kind == NotReady {
		return reply.BlankDisk
	}
	return reply.Kind != ForeignSystem
}

// mergeReplies returns a record with the highest promise, the newest vote and every disk incarnation of all replies. It
// also adopts the newest voter set that they show to be decided.
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

// mergeIncarnations raises the known disk incarnations to those that a reply reports, except for this replica's own.
func (r *Recovery) mergeIncarnations(known DiskIncarnations, voter string, reply *Reply) {
	known[voter] = max(known[voter], reply.DiskIncarnation)
	for node, incarnation := range reply.DiskIncarnations {
		if node != r.self {
			known[node] = max(known[node], incarnation)
		}
	}
}

// adoptVoters adopts a newer voter set that a reply shows to be decided. A vote of epoch n+1 shows that n is decided.
func (r *Recovery) adoptVoters(reply *Reply) {
	if reply.VoterSet.Epoch > r.voterSet.Epoch {
		r.voterSet = reply.VoterSet
	}
	if voted := &reply.Vote.Value.VoterSet; voted.Epoch > r.voterSet.Epoch+1 {
		r.voterSet = voted.previousSet()
	}
}

// hasEnough reports whether enough of the voters have replied: every majority that includes this replica has to contain
// one of them.
func (r *Recovery) hasEnough(voters []string) bool {
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

// registerUnused reports whether the replies show that no voter of the first voter set has accepted anything yet.
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

// NextDiskIncarnation returns an incarnation above this attempt's and above all that were reported of this replica.
func (r *Recovery) NextDiskIncarnation() uint64 {
	highest := r.diskIncarnation
	for _, reply := range r.replies {
		highest = max(highest, reply.DiskIncarnations[r.self])
	}
	return highest + 1
}
