package consensus

import (
	"maps"
	"slices"
)

// Recovery gives a replica a record when it has none: a voter that lost its disk, or a process that is to become a voter. It
// does not know what it promised or accepted in an earlier incarnation, so it answers nobody until it has read from enough
// voters and has written down the highest promise and the newest vote that they told. Enough is n-m+1 of the others (m is a
// majority of n) if it is in the list itself, and a majority if it is not. If the newest vote that it is told has a list that may
// be decided, enough voters of that list have to answer, too.
//
// It starts a new incarnation, which every voter that it reads from writes down before it answers, and tells in all its answers
// from then on; a proposer that hears of a newer incarnation of a voter passes over that voter's former answers (Round.valid).
//
// A blank voter, whose disk had nothing at all, may have been killed at the system's first start before its first record was
// written. It also starts anew if all others of the first list answer and each has accepted nothing or is blank too.
//
// What is taken over was not accepted by this replica: the vote is Learned, which a proposer must respect as the newest vote,
// and which does not count towards a majority for its ballot. docs/consensus-proof.md shows why this is enough.
type Recovery struct {
	self            string
	voterSet        VoterSet // the newest known to be decided
	blankDisk       bool
	diskIncarnation uint64
	replies         map[string]*Reply
	pendingVoters   []string // a list that may be decided
}

// NewRecovery starts an attempt under an incarnation above all that were told so far. Requests go to Nodes. blank tells that
// there was nothing on the disk.
func NewRecovery(self string, e VoterSet, life uint64, blank bool) (*Recovery, *Request) {
	return &Recovery{self: self, voterSet: e, blankDisk: blank, diskIncarnation: life, replies: map[string]*Reply{}},
		&Request{Kind: Recover, Node: self, DiskIncarnation: life, VoterSet: e}
}

// Recipients are those that have to be asked, as far as is known; the others asked so far answer only once.
func (r *Recovery) Recipients() (nodes []string) {
	for _, v := range append(slices.Clone(r.voterSet.Voters), r.pendingVoters...) {
		if v != r.self && !slices.Contains(nodes, v) {
			nodes = append(nodes, v)
		}
	}
	return nodes
}

// Step takes a voter's reply, and tells the record once there are enough; it is then to be written through. NextDiskIncarnation is
// for another attempt, if this one fails.
func (r *Recovery) Step(node string, reply *Reply) (Record, bool) {
	if node == r.self || r.replies[node] != nil || reply.Kind == NotReady && !reply.BlankDisk || reply.Kind == ForeignSystem {
		return Record{}, false
	}
	r.replies[node] = reply
	record := Record{State: ReplicaState{Ready: true, DiskIncarnation: r.diskIncarnation, DiskIncarnations: DiskIncarnations{}}}
	for v, reply := range r.replies {
		lives := maps.Clone(reply.DiskIncarnations)
		if lives == nil {
			lives = DiskIncarnations{}
		}
		lives[v] = max(lives[v], reply.DiskIncarnation)
		for node, life := range lives {
			if node != r.self {
				record.State.DiskIncarnations[node] = max(record.State.DiskIncarnations[node], life)
			}
		}
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
		if e := reply.VoterSet; e.Epoch > r.voterSet.Epoch {
			r.voterSet = e
		}
		if e := reply.Vote.Value.VoterSet; e.Epoch > r.voterSet.Epoch+1 {
			r.voterSet = e.previousSet()
		}
	}
	enough := r.hasEnough(r.voterSet.Voters)
	if r.pendingVoters = nil; record.Vote.Value.VoterSet.Epoch > r.voterSet.Epoch {
		r.pendingVoters = record.Vote.Value.VoterSet.Voters
		enough = enough && r.hasEnough(r.pendingVoters)
	}
	record.State.VoterSet = r.voterSet
	record.Vote.Learned = record.Vote.Ballot != Ballot{}
	return record, enough || r.registerUnused()
}

// hasEnough tells whether so many voters of a list have answered that every majority of it with this replica's answer has one of
// them.
func (r *Recovery) hasEnough(list []string) bool {
	n := 0
	for _, v := range list {
		if reply := r.replies[v]; v != r.self && reply != nil && reply.Kind == Reported {
			n++
		}
	}
	if !slices.Contains(list, r.self) {
		return n >= majority(len(list))
	}
	return n >= len(list)-majority(len(list))+1
}

// registerUnused tells whether nobody has accepted anything yet.
func (r *Recovery) registerUnused() bool {
	if !r.blankDisk || r.voterSet.Epoch > 0 || !r.voterSet.Contains(r.self) {
		return false
	}
	for _, v := range r.voterSet.Voters {
		reply := r.replies[v]
		if v != r.self && (reply == nil || reply.Kind == Rejected || reply.Vote.Ballot != Ballot{}) {
			return false
		}
	}
	return true
}

// NextDiskIncarnation is one above this one and all that were told.
func (r *Recovery) NextDiskIncarnation() uint64 {
	life := r.diskIncarnation
	for _, reply := range r.replies {
		life = max(life, reply.DiskIncarnations[r.self])
	}
	return life + 1
}
