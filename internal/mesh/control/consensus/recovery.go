package consensus

import "slices"

// Recovery makes the record of a replica that has none: a voter that lost its disk, or a process that is to become a
// voter. Such a replica does not know what it promised or accepted in an earlier disk incarnation, so it answers nobody
// until it has read from enough voters and has written down the highest promise and the newest vote that they reported.
// Of n voters, enough are n-m+1 of the others (m is a majority of n) if the replica is one of them, and a majority if it
// is not. If the newest vote has a voter set that may be decided, enough voters of that set have to reply, too.
//
// The replica starts a new disk incarnation. Every voter that it reads from writes that down before it replies, and
// reports it in all its replies from then on; a proposer that hears of a newer incarnation of a voter does not count that
// voter's earlier replies (Round.countedReplies).
//
// A voter with a blank disk, on which there was nothing at all, may have been killed at the system's first start before
// its first record was written. It also starts anew if all others of the first voter set reply and each has accepted
// nothing or has a blank disk too.
//
// What is taken over was not accepted by this replica: the vote is Learned, which a proposer must respect as the newest
// vote, and which does not count towards a majority for its ballot. docs/design/consensus-proof.md shows why this is
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
// send to Recipients. voters is the newest voter set that is known to be decided; blankDisk says that there was nothing at
// all on the disk.
func NewRecovery(self string, voters VoterSet, incarnation uint64, blankDisk bool) (*Recovery, *Request) {
	return &Recovery{self: self, voterSet: voters, blankDisk: blankDisk, diskIncarnation: incarnation, replies: map[string]*Reply{}},
		&Request{Kind: Recover, Node: self, DiskIncarnation: incarnation, VoterSet: voters}
}

// Recipients are the nodes that have to be asked, as far as is known. Step may add to them; a voter answers the request
// of one attempt once only.
func (r *Recovery) Recipients() (nodes []string) {
	for _, voter := range append(slices.Clone(r.voterSet.Voters), r.pendingVoters...) {
		if voter != r.self && !slices.Contains(nodes, voter) {
			nodes = append(nodes, voter)
		}
	}
	return nodes
}

// Step takes a voter's reply, and returns the record once there are enough. The record has to be on disk before the
// replica answers anything. If the attempt fails, NextDiskIncarnation is for another one.
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

// isUsable reports whether a reply says something about the register.
func (r *Recovery) isUsable(reply *Reply) bool {
	if reply.Kind == NotReady {
		return reply.BlankDisk
	}
	return reply.Kind != ForeignSystem
}

// mergeReplies makes a record of all replies: the highest promise, the newest vote, and every disk incarnation. It also
// notes the newest voter set that they show to be decided.
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

// mergeIncarnations raises known to the disk incarnations that a reply reports, without those of this replica.
func (r *Recovery) mergeIncarnations(known DiskIncarnations, voter string, reply *Reply) {
	known[voter] = max(known[voter], reply.DiskIncarnation)
	for node, incarnation := range reply.DiskIncarnations {
		if node != r.self {
			known[node] = max(known[node], incarnation)
		}
	}
}

// adoptVoters notes a newer voter set that a reply shows to be decided. A vote of epoch n+1 shows that n is decided.
func (r *Recovery) adoptVoters(reply *Reply) {
	if reply.VoterSet.Epoch > r.voterSet.Epoch {
		r.voterSet = reply.VoterSet
	}
	if voted := &reply.Vote.Value.VoterSet; voted.Epoch > r.voterSet.Epoch+1 {
		r.voterSet = voted.previousSet()
	}
}

// hasEnough reports whether so many of the voters have replied that one of them is in every majority of the voters with
// this replica.
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

// registerUnused reports whether it is known that nobody has accepted anything yet.
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

// NextDiskIncarnation is one above this attempt's and all that were reported of this replica.
func (r *Recovery) NextDiskIncarnation() uint64 {
	highest := r.diskIncarnation
	for _, reply := range r.replies {
		highest = max(highest, reply.DiskIncarnations[r.self])
	}
	return highest + 1
}
