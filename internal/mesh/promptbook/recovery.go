package promptbook

import "maps"

// Recovery is how a voter that lost its disk, an amnesiac, gets its record back. It doesn't know what it promised or
// accepted, so it answers nobody until it has read from r = n-m+1 of the other voters (m is a majority of n), none of them
// amnesiac, and has written down the highest promise and the newest vote of these.
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
// What X takes on from A was not accepted by X: the ballot of the vote may be below what X promises. It is Hearsay, which
// a proposer must respect as the newest vote, and which doesn't count towards a majority for its ballot.
type Recovery struct {
	self    string
	voters  []string
	life    uint64
	replies map[string]*Reply
}

// NewRecovery starts an attempt under a life above all that were told so far. Requests go to all voters but itself.
func NewRecovery(self string, voters []string, life uint64) (*Recovery, *Request) {
	return &Recovery{self: self, voters: voters, life: life, replies: map[string]*Reply{}},
		&Request{Kind: Recover, Node: self, Life: life}
}

// Step takes a voter's reply, and tells the record once there are enough; it is then to be written through. NextLife is the
// life for another attempt, if this one fails.
func (y *Recovery) Step(node string, reply *Reply) (Record, bool) {
	if node == y.self || y.replies[node] != nil || reply.Outcome == Unfit {
		return Record{}, false
	}
	y.replies[node] = reply
	r := Record{Standing: Standing{Voters: y.voters, Fit: true, Life: y.life, Lives: Lives{}}}
	n := 0
	for _, v := range y.voters {
		reply := y.replies[v]
		if reply == nil || reply.Outcome != Told {
			continue
		}
		n++
		if reply.Promised.Compare(r.Standing.Promised) > 0 {
			r.Standing.Promised = reply.Promised
		}
		if reply.Vote.Ballot.Compare(r.Vote.Ballot) > 0 {
			r.Vote = reply.Vote
		}
		lives := maps.Clone(reply.Lives)
		if lives == nil {
			lives = Lives{}
		}
		lives[v] = max(lives[v], reply.Life)
		for node, life := range lives {
			if node != y.self {
				r.Standing.Lives[node] = max(r.Standing.Lives[node], life)
			}
		}
	}
	r.Vote.Hearsay = r.Vote.Ballot != Ballot{}
	return r, n >= len(y.voters)-majority(len(y.voters))+1
}

// NextLife is a life above this one and all that were told.
func (y *Recovery) NextLife() uint64 {
	life := y.life
	for _, reply := range y.replies {
		life = max(life, reply.Lives[y.self])
	}
	return life + 1
}
