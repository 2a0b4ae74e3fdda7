package consensus

import (
	"maps"
	"slices"
)

// Recovery is how a voter that lost its disk, a replica that lost its disk, gets its record back. It doesn't know what it promised or
// accepted, so it answers nobody until it has read from r = n-m+1 of the other voters (m is a majority of n), none of them
// replica without its disk, and has written down the highest promise and the newest vote of these.
//
// It starts a new Life, which every voter that it reads from writes down before it answers, and tells in all its answers
// from then on. A proposer that hears of a newer life of X passes over answers of X's former lives (Round.valid).
//
// # Why the count is enough
//
// Say X was in the majority Q that promised, or accepted, ballot b. The m-1 others of Q are among the n-1 other voters, and
// so are the r that X reads from: as (m-1)+r = n > n-1, one voter A is in both.
//
//	n=3: m=2, r=2; of 2 others, Q has 1 and X reads from 2
//	n=4: m=3, r=2; of 3 others, Q has 2 and X reads from 2
//	n=5: m=3, r=3; of 4 others, Q has 2 and X reads from 3
//
// Either A answered the proposer first: then X reads a promise, or a vote, of b or above from A, and takes it on. Or X read
// from A first: then A's answer to the proposer tells of X's new life, and X's former answer doesn't count; Q was no
// majority. The first case alone would not do: a count without lives lets a proposer add a promise from before the loss to
// one from after the recovery, and miss what was accepted in between.
//
// A may lose its own disk between. Then it reads lives as well as promises from r others, and two sets of r among n-1
// meet, as 2r > n-1 (n=3: 4>2, n=4: 4>3, n=5: 6>4); the set of X counts with X itself in place of A. So A knows of X's life
// again before it answers. For the same reason a life that completed is known to every later recovery of X, whose life is
// above it.
//
// # While the voters change
//
// See Membership for rounds under an epoch, L(k) and D(k). X reads from r of L(k), where k is the newest epoch that it or one
// of those replies knows as decided, and, if the newest vote it was told is of epoch k+1, from r of that list as well.
//
//   - Rounds under k need majorities of L(k) in both phases, and so X's answer to them is covered as above, whether X itself is
//     in L(k) or only in a list that was proposed.
//   - Had X answered a round under k+1, D(k+1) had been accepted before by a majority of L(k): one of those that X read from
//     told of it, and the newest vote has the list L(k+1), of which X then read from r, too. The same goes for k+2.
//   - A round under j < k with ballot b: from then on X refuses all rounds under j. If b < d(k), rounds under k and later have
//     higher ballots, and that X forgot b makes no difference. If b > d(k), then with j = k-1 it proposes only with promises of
//     a majority of L(k) (it was told of D(k)), and is covered; with a lower j it proposes nothing.
//   - Lives told before D(k+1) matter only to rounds under k or below, which who recovers later, under k+1, refuses.
//
// # Blank voters
//
// A process that is killed at the system's first start, before its first record is written, comes back with an empty disk, and
// can't be told from one that lost it. With as many of these as leave fewer than r others, no recovery would end. So a blank
// replica without its disk, whose disk had nothing at all, may also start anew if all others in L(0) answer, under epoch 0, and each has accepted
// nothing or is a blank replica without its disk too; it takes on the highest promise. It rests on the bound below which nothing is kept anyway:
// that fewer than a majority of disks are lost at once. Then of any majority Q with an answer of X's former life one, A, still
// has its record. If A answered before X asked, X reads A's promise, and a vote ends the attempt; if after, A tells of X's
// life. Blank ones tell each other's lives too, as each has read the other's before it answers a proposer. When no one at all knows L(0), since all were killed so early, nothing is done: a
// blank process can't tell a first start from its being one of several new machines that the seeds name, and must not make a
// second register.
//
// What X takes on from A was not accepted by X: the ballot of the vote may be below what X promises. It is Learned, which
// a proposer must respect as the newest vote, and which doesn't count towards a majority for its ballot.
type Recovery struct {
	self        string
	membership  Membership // the newest known to be decided
	blank       bool
	incarnation uint64
	replies     map[string]*Reply
	pending     []string // a list that may be decided
}

// NewRecovery starts an attempt under a life above all that were told so far. Requests go to Nodes. Blank tells that there
// was nothing on the disk.
func NewRecovery(self string, e Membership, life uint64, blank bool) (*Recovery, *Request) {
	return &Recovery{self: self, membership: e, blank: blank, incarnation: life, replies: map[string]*Reply{}},
		&Request{Kind: Recover, Node: self, Incarnation: life}
}

// Nodes are those that have to be asked, as far as is known; the others asked so far answer only once.
func (y *Recovery) Nodes() (nodes []string) {
	for _, v := range append(slices.Clone(y.membership.Voters), y.pending...) {
		if v != y.self && !slices.Contains(nodes, v) {
			nodes = append(nodes, v)
		}
	}
	return nodes
}

// Step takes a voter's reply, and tells the record once there are enough; it is then to be written through. NextLife is the
// life for another attempt, if this one fails.
func (y *Recovery) Step(node string, reply *Reply) (Record, bool) {
	if node == y.self || y.replies[node] != nil || reply.Kind == NotReady && !reply.Blank {
		return Record{}, false
	}
	y.replies[node] = reply
	r := Record{State: ReplicaState{Ready: true, Incarnation: y.incarnation, Incarnations: Incarnations{}}}
	for v, reply := range y.replies {
		lives := maps.Clone(reply.Incarnations)
		if lives == nil {
			lives = Incarnations{}
		}
		lives[v] = max(lives[v], reply.Incarnation)
		for node, life := range lives {
			if node != y.self {
				r.State.Incarnations[node] = max(r.State.Incarnations[node], life)
			}
		}
		if reply.Kind != Reported {
			continue
		}
		if reply.Promised.Compare(r.State.Promised) > 0 {
			r.State.Promised = reply.Promised
		}
		if reply.Vote.Ballot.Compare(r.Vote.Ballot) > 0 {
			r.Vote = reply.Vote
		}
		if e := reply.Membership; e.Epoch > y.membership.Epoch {
			y.membership = e
		}
		if e := reply.Vote.Value.Membership; e.Epoch > y.membership.Epoch+1 {
			y.membership = e.previous()
		}
	}
	enough := y.enough(y.membership.Voters)
	if y.pending = nil; r.Vote.Value.Membership.Epoch > y.membership.Epoch {
		y.pending = r.Vote.Value.Membership.Voters
		enough = enough && y.enough(y.pending)
	}
	r.State.Membership = y.membership
	r.Vote.Learned = r.Vote.Ballot != Ballot{}
	return r, enough || y.neverUsed()
}

// enough tells whether r voters of a list have answered.
func (y *Recovery) enough(list []string) bool {
	n := 0
	for _, v := range list {
		if reply := y.replies[v]; v != y.self && reply != nil && reply.Kind == Reported {
			n++
		}
	}
	return n >= len(list)-majority(len(list))+1
}

// nobodyEver tells whether nobody has accepted anything yet.
func (y *Recovery) neverUsed() bool {
	if !y.blank || y.membership.Epoch > 0 || !y.membership.Has(y.self) {
		return false
	}
	for _, v := range y.membership.Voters {
		reply := y.replies[v]
		if v != y.self && (reply == nil || reply.Kind == Rejected || reply.Vote.Ballot != Ballot{}) {
			return false
		}
	}
	return true
}

// NextLife is a life above this one and all that were told.
func (y *Recovery) NextIncarnation() uint64 {
	life := y.incarnation
	for _, reply := range y.replies {
		life = max(life, reply.Incarnations[y.self])
	}
	return life + 1
}
