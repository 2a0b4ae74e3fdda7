package consensus

import "slices"

// State is how far a round is.
type State uint8

// States of a round.
const (
	Reading      State = iota // for what a majority accepted, without a ballot
	Inconclusive              // asking wasn't enough: there is no majority for one word. A round with a ballot is needed
	Preparing                 // waiting for promises
	Accepting                 // waiting until a majority accepted
	Done                      // Word is committed, and Verdict holds
	Preempted                 // a majority can't be had any more. Another round with a higher ballot is needed
	Stale                     // a newer list of voters is decided: Newer. Another round under it is needed
)

// Round is one proposer's attempt to learn the newest word, or to change it. Requests go to all voters; the replies come in
// by Step, in any order, late, or never.
//
// # Why asking may be enough
//
// If a majority tells of one ballot b as their newest vote, its word was committed, as they all accepted it under b. And no
// newer one was committed before the asking began: a majority would have accepted that under a higher ballot, and one of
// them is among those asked. So a read writes nothing unless the votes differ; then it commits the newest word again under
// a ballot of its own. The same holds for promises: with one ballot at a majority the word needs no further acceptance, and
// a change that is taken already, or lost, is answered after one exchange. A learned vote doesn't count in this, as who has it
// may have promised a higher ballot before.
type Round struct {
	State           State
	Verdict         Verdict    // once Done
	Value           Value      // once Done: the newest committed
	Highest         Ballot     // of all that were seen
	NewerMembership Membership // once Stale, or Done by a change of the voters

	membership Membership
	joint      []string // the list of a word of the next epoch, whose majority is needed as well
	ballot     Ballot
	change     *Change
	known      Vote
	verdict    Verdict
	value      Value // that is to be accepted
	replies    map[string]*Reply
}

// NewReading starts a round that only asks. Known is a vote whose word the asker has.
func NewReadRound(e Membership, known Vote) (*Round, *Request) {
	r := &Round{State: Reading, membership: e, known: known, replies: map[string]*Reply{}}
	return r, &Request{Kind: ReadVote, Known: known.Ballot, Epoch: e.Epoch, Membership: e}
}

// NewRound starts a round under a ballot that was never used. Without a change it commits the newest word again.
func NewRound(e Membership, ballot Ballot, change *Change, known Vote) (*Round, *Request) {
	r := &Round{State: Preparing, membership: e, ballot: ballot, change: change, known: known,
		replies: map[string]*Reply{}}
	return r, &Request{Kind: Prepare, Ballot: ballot, Known: known.Ballot, Epoch: e.Epoch, Membership: e}
}

// Membership is the list under which the round is played.
func (r *Round) Membership() Membership { return r.membership }

// Nodes are those to whom the round's requests go.
func (r *Round) Nodes() []string {
	nodes := slices.Clone(r.membership.Voters)
	for _, v := range r.joint {
		if !slices.Contains(nodes, v) {
			nodes = append(nodes, v)
		}
	}
	return nodes
}

func majority(n int) int { return n/2 + 1 }

// most tells whether so many of a list are enough for a majority.
func hasMajority(list []string, has func(node string) bool) bool {
	n := 0
	for _, v := range list {
		if has(v) {
			n++
		}
	}
	return n >= majority(len(list))
}

// agreed tells whether replies hold majorities of all lists that are needed.
func (r *Round) hasQuorum(replies map[string]*Reply) bool {
	has := func(node string) bool { return replies[node] != nil }
	return hasMajority(r.membership.Voters, has) && (r.joint == nil || hasMajority(r.joint, has))
}

// refused tells whether majorities of all lists can't be had any more.
func (r *Round) refused() bool {
	open := func(node string) bool { return r.replies[node] == nil || r.replies[node].Kind != Rejected }
	return !hasMajority(r.membership.Voters, open) || r.joint != nil && !hasMajority(r.joint, open)
}

// Over tells whether the round has ended.
func (r *Round) Over() bool {
	return r.State == Done || r.State == Preempted || r.State == Inconclusive || r.State == Stale
}

// GiveUp ends the wait for further replies: a reading that has a majority's is Divided, and any other round Outbid.
func (r *Round) GiveUp() {
	switch {
	case r.Over():
	case r.State == Reading && r.hasQuorum(r.valid()):
		r.State = Inconclusive
	default:
		r.State = Preempted
	}
}

// Vote is the newest vote that is known to be committed, once the round is over.
func (r *Round) Vote() Vote { return r.known }

// Step takes a voter's reply. What it returns, if anything, is to be sent to all Nodes.
func (r *Round) Step(node string, reply *Reply) *Request {
	want := map[State]ReplyKind{Reading: Reported, Preparing: Promise, Accepting: Accepted}
	if r.Over() || reply.Ballot != r.ballot || r.replies[node] != nil || !slices.Contains(r.Nodes(), node) {
		return nil
	}
	if reply.Promised.Compare(r.Highest) > 0 {
		r.Highest = reply.Promised
	}
	switch reply.Kind {
	case want[r.State]:
	case StaleEpoch:
		r.stale(reply.Membership)
		return nil
	case Rejected:
		if r.State == Reading {
			return nil
		}
	default:
		return nil
	}
	r.replies[node] = reply
	if reply.Kind == Rejected {
		if r.refused() {
			r.State = Preempted
		}
		return nil
	}
	if e := &reply.Vote.Value.Membership; e.Epoch > r.membership.Epoch+1 {
		r.stale(e.previous())
		return nil
	}
	valid := r.valid()
	if !r.hasQuorum(valid) {
		return nil
	}
	if r.State == Accepting {
		r.accepted()
		return nil
	}
	newest, committed := r.newest(valid)
	epoch := newest.Value.Membership.Epoch
	switch {
	case epoch < r.membership.Epoch:
		r.State = Preempted // it can't be
		return nil
	case r.State == Reading && epoch > r.membership.Epoch:
		r.State = Inconclusive
		return nil
	case r.State == Reading && committed:
		r.done(newest)
		return nil
	case r.State == Reading:
		if len(r.replies) == len(r.membership.Voters) || !r.canAgree(valid) {
			r.State = Inconclusive
		}
		return nil
	case epoch > r.membership.Epoch && !slices.Equal(r.joint, newest.Value.Membership.Voters):
		// Its list has to promise, too. Who has answered answers again, and nothing else by it.
		r.joint = newest.Value.Membership.Voters
		if !r.hasQuorum(valid) {
			return &Request{Kind: Prepare, Ballot: r.ballot, Known: r.known.Ballot, Epoch: r.membership.Epoch,
				Membership: r.membership}
		}
	case epoch == r.membership.Epoch:
		r.joint = nil
	}
	return r.propose(newest, committed)
}

// propose goes on once there are all promises.
func (r *Round) propose(newest Vote, committed bool) *Request {
	r.value = newest.Value
	if r.joint != nil {
		r.change, committed = nil, false // the word stays as it is, until its list is in force
	}
	if r.change != nil {
		verdict, next := r.change.judge(&newest.Value)
		r.verdict, r.value = verdict, *next
		committed = committed && next == &newest.Value
		if next.Membership.Epoch > r.membership.Epoch {
			r.joint = next.Membership.Voters
		}
	}
	if committed {
		r.done(newest)
		return nil
	}
	r.State, r.replies = Accepting, map[string]*Reply{}
	return &Request{Kind: Accept, Ballot: r.ballot, Value: r.value, Epoch: r.membership.Epoch, Membership: r.membership}
}

// accepted ends a round whose word has its majorities.
func (r *Round) accepted() {
	vote := Vote{Ballot: r.ballot, Value: r.value}
	if r.joint == nil {
		r.done(vote)
		return
	}
	if r.NewerMembership = r.value.Membership; r.change != nil {
		r.done(vote)
		return
	}
	r.State, r.known = Stale, vote
}

func (r *Round) stale(e Membership) {
	if e.Epoch > r.membership.Epoch {
		r.State, r.NewerMembership = Stale, e
	}
}

func (r *Round) done(v Vote) { r.State, r.Verdict, r.Value, r.known = Done, r.verdict, v.Value, v }

// valid are the replies that count: no other voter knows that the replier lost its disk since.
func (r *Round) valid() map[string]*Reply {
	valid := map[string]*Reply{}
	for node, reply := range r.replies {
		ok := reply.Kind != Rejected
		for _, other := range r.replies {
			ok = ok && other.Incarnations[node] <= reply.Incarnation
		}
		if ok {
			valid[node] = reply
		}
	}
	return valid
}

// newest is the vote of the highest ballot, and whether a majority holds it.
func (r *Round) newest(valid map[string]*Reply) (Vote, bool) {
	var newest Vote
	for _, reply := range valid {
		if reply.Vote.Ballot.Compare(newest.Ballot) > 0 {
			newest = reply.Vote
		}
	}
	if newest.Ballot == r.known.Ballot {
		newest.Value = r.known.Value
	}
	newest.Learned = false
	return newest, r.holders(valid, newest.Ballot) >= majority(len(r.membership.Voters))
}

func (r *Round) holders(valid map[string]*Reply, b Ballot) int {
	n := 0
	for _, v := range r.membership.Voters {
		if reply := valid[v]; reply != nil && reply.Vote.Ballot == b && !reply.Vote.Learned {
			n++
		}
	}
	return n
}

// canAgree tells whether the replies that are still missing could make a majority for the newest word.
func (r *Round) canAgree(valid map[string]*Reply) bool {
	newest, _ := r.newest(valid)
	n := len(r.membership.Voters)
	return r.holders(valid, newest.Ballot)+n-len(r.replies) >= majority(n)
}
