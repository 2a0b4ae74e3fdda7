package consensus

import "slices"

// State is how far a round is.
type State uint8

// States of a round.
const (
	Reading      State = iota // which value a majority accepted; no ballot is used
	Inconclusive              // no majority holds one vote: a round with a ballot is needed
	Preparing                 // waits for promises
	Accepting                 // waits until a majority has accepted
	Done                      // Value is committed, and Verdict holds
	Preempted                 // no majority can be had: another round with a higher ballot is needed
	Stale                     // a newer list of voters is decided (NewerMembership): another round under it is needed
)

// Round is one proposer's attempt to learn the newest value, or to change it. Requests go to all voters; the replies come in
// by Step, in any order, late, or never.
//
// # Why a read may do without a ballot
//
// If a majority reports one ballot b as its newest vote, its value was committed, as they all accepted it under b. And no
// newer one was committed before the read began: a majority would have accepted that under a higher ballot, and one of
// them is among those asked. So a read writes nothing unless the votes differ; then it commits the newest value again under
// a ballot of its own. The same holds for promises: with one ballot at a majority the value needs no further acceptance, and
// a change that is taken already, or lost, is answered after one exchange. A learned vote doesn't count in this, as who has it
// may have promised a higher ballot before.
type Round struct {
	State           State
	Verdict         Verdict    // once Done
	Value           Value      // once Done: the newest committed
	Highest         Ballot     // of all that were seen
	NewerMembership Membership // once Stale, or Done by a change of the voters

	membership Membership
	joint      []string // the voters of a value of the next epoch, whose majority is needed as well
	ballot     Ballot
	change     *Change
	known      Vote
	verdict    Verdict
	value      Value // to be accepted
	replies    map[string]*Reply
}

// NewReadRound starts a round that only reads. known is a vote whose value the reader has.
func NewReadRound(e Membership, known Vote) (*Round, *Request) {
	r := &Round{State: Reading, membership: e, known: known, replies: map[string]*Reply{}}
	return r, &Request{Kind: ReadVote, Known: known.Ballot, Epoch: e.Epoch, Membership: e}
}

// NewRound starts a round under a ballot that was never used. Without a change it commits the newest value again.
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

// hasMajority tells whether those of a list for which has holds are a majority of it.
func hasMajority(list []string, has func(node string) bool) bool {
	n := 0
	for _, v := range list {
		if has(v) {
			n++
		}
	}
	return n >= majority(len(list))
}

// hasQuorum tells whether replies hold majorities of all lists that are needed.
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

// GiveUp ends the wait for further replies: a read that has a majority's is Inconclusive, and any other round Preempted.
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
	if r.Over() || reply.Ballot != r.ballot || r.replies[node] != nil || !slices.Contains(r.Nodes(), node) {
		return nil
	}
	if reply.Promised.Compare(r.Highest) > 0 {
		r.Highest = reply.Promised
	}
	switch {
	case reply.Kind == wanted[r.State]:
		r.replies[node] = reply
	case reply.Kind == StaleEpoch:
		r.stale(reply.Membership)
		return nil
	case reply.Kind == Rejected && r.State != Reading:
		r.replies[node] = reply
		if r.refused() {
			r.State = Preempted
		}
		return nil
	default:
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
	switch r.State {
	case Reading:
		r.read(valid)
		return nil
	case Preparing:
		return r.prepared(valid)
	}
	r.accepted()
	return nil
}

// wanted is the reply that takes a round further, by its state.
var wanted = map[State]ReplyKind{Reading: Reported, Preparing: Promise, Accepting: Accepted}

// read decides on a read of which a majority has answered.
func (r *Round) read(valid map[string]*Reply) {
	newest, committed := r.newest(valid)
	switch epoch := newest.Value.Membership.Epoch; {
	case epoch < r.membership.Epoch:
		r.State = Preempted // can't be: a majority of this list has accepted a value of its epoch
	case epoch > r.membership.Epoch:
		r.State = Inconclusive // the newer list may be decided, or not
	case committed:
		r.done(newest)
	case len(r.replies) == len(r.membership.Voters) || !r.canAgree(valid):
		r.State = Inconclusive
	}
}

// prepared decides on what is proposed, of which a majority of the list has promised. If the newest vote has a newer list, that
// list has to promise as well: those who have answered answer the same again.
func (r *Round) prepared(valid map[string]*Reply) *Request {
	newest, committed := r.newest(valid)
	next := &newest.Value.Membership
	switch {
	case next.Epoch < r.membership.Epoch:
		r.State = Preempted // can't be, as in read
		return nil
	case next.Epoch == r.membership.Epoch:
		r.joint = nil
	case !slices.Equal(r.joint, next.Voters):
		r.joint = next.Voters
		if !r.hasQuorum(valid) {
			return &Request{Kind: Prepare, Ballot: r.ballot, Known: r.known.Ballot, Epoch: r.membership.Epoch,
				Membership: r.membership}
		}
	}
	return r.propose(newest, committed)
}

// propose goes on once there are all promises.
func (r *Round) propose(newest Vote, committed bool) *Request {
	r.value = newest.Value
	if r.joint != nil {
		r.change, committed = nil, false // the value stays as it is until its list is decided
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

// accepted ends a round whose value has its majorities.
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

// canAgree tells whether the replies that are still missing could make a majority for the newest value.
func (r *Round) canAgree(valid map[string]*Reply) bool {
	newest, _ := r.newest(valid)
	n := len(r.membership.Voters)
	return r.holders(valid, newest.Ballot)+n-len(r.replies) >= majority(n)
}
