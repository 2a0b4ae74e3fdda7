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
func (y *Recovery) Recipients() (nodes []string) {
	for _, v := range append(slices.Clone(y.voterSet.Voters), y.pendingVoters...) {
		if v != y.self && !slices.Contains(nodes, v) {
			nodes = append(nodes, v)
		}
	}
	return nodes
}

// Step takes a voter's reply, and tells the record once there are enough; it is then to be written through. NextDiskIncarnation is
// for another attempt, if this one fails.
func (y *Recovery) Step(node string, reply *Reply) (Record, bool) {
	if node == y.self || y.replies[node] != nil || reply.Kind == NotReady && !reply.BlankDisk || reply.Kind == ForeignSystem {
		return Record{}, false
	}
	y.replies[node] = reply
	r := Record{State: ReplicaState{Ready: true, DiskIncarnation: y.diskIncarnation, DiskIncarnations: DiskIncarnations{}}}
	for v, reply := range y.replies {
		lives := maps.Clone(reply.DiskIncarnations)
		if lives == nil {
			lives = DiskIncarnations{}
		}
		lives[v] = max(lives[v], reply.DiskIncarnation)
		for node, life := range lives {
			if node != y.self {
				r.State.DiskIncarnations[node] = max(r.State.DiskIncarnations[node], life)
			}
		}
		if reply.Kind != Reported {
			continue
		}
		if reply.System != 0 {
			r.State.System = reply.System
		}
		if reply.Promised.Compare(r.State.Promised) > 0 {
			r.State.Promised = reply.Promised
		}
		if reply.Vote.Ballot.Compare(r.Vote.Ballot) > 0 {
			r.Vote = reply.Vote
		}
		if e := reply.VoterSet; e.Epoch > y.voterSet.Epoch {
			y.voterSet = e
		}
		if e := reply.Vote.Value.VoterSet; e.Epoch > y.voterSet.Epoch+1 {
			y.voterSet = e.previousSet()
		}
	}
	enough := y.hasEnough(y.voterSet.Voters)
	if y.pendingVoters = nil; r.Vote.Value.VoterSet.Epoch > y.voterSet.Epoch {
		y.pendingVoters = r.Vote.Value.VoterSet.Voters
		enough = enough && y.hasEnough(y.pendingVoters)
	}
	r.State.VoterSet = y.voterSet
	r.Vote.Learned = r.Vote.Ballot != Ballot{}
	return r, enough || y.registerUnused()
}

// hasEnough tells whether so many voters of a list have answered that every majority of it with this replica's answer has one of
// them.
func (y *Recovery) hasEnough(list []string) bool {
	n := 0
	for _, v := range list {
		if reply := y.replies[v]; v != y.self && reply != nil && reply.Kind == Reported {
			n++
		}
	}
	if !slices.Contains(list, y.self) {
		return n >= majority(len(list))
	}
	return n >= len(list)-majority(len(list))+1
}

// registerUnused tells whether nobody has accepted anything yet.
func (y *Recovery) registerUnused() bool {
	if !y.blankDisk || y.voterSet.Epoch > 0 || !y.voterSet.Contains(y.self) {
		return false
	}
	for _, v := range y.voterSet.Voters {
		reply := y.replies[v]
		if v != y.self && (reply == nil || reply.Kind == Rejected || reply.Vote.Ballot != Ballot{}) {
			return false
		}
	}
	return true
}

// NextDiskIncarnation is one above this one and all that were told.
func (y *Recovery) NextDiskIncarnation() uint64 {
	life := y.diskIncarnation
	for _, reply := range y.replies {
		life = max(life, reply.DiskIncarnations[y.self])
	}
	return life + 1
}
