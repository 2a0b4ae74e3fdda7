package promptbook

import "slices"

// State is how far a round is.
type State uint8

// States of a round.
const (
	Asking    State = iota // for what a majority accepted, without a ballot
	Divided                // asking wasn't enough: there is no majority for one word. A round with a ballot is needed
	Preparing              // waiting for promises
	Accepting              // waiting until a majority accepted
	Done                   // Word is committed, and Verdict holds
	Outbid                 // a majority can't be had any more. Another round with a higher ballot is needed
	Stale                  // a newer list of voters is decided: Newer. Another round under it is needed
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
// a change that is taken already, or lost, is answered after one exchange. A hearsay vote doesn't count in this, as who has it
// may have promised a higher ballot before.
type Round struct {
	State   State
	Verdict Verdict    // once Done
	Word    Word       // once Done: the newest committed
	Highest Ballot     // of all that were seen
	Newer   Electorate // once Stale, or Done by a change of the voters

	electorate Electorate
	joint      []string // the list of a word of the next epoch, whose majority is needed as well
	ballot     Ballot
	change     *Change
	known      Vote
	verdict    Verdict
	word       Word // that is to be accepted
	replies    map[string]*Reply
}

// NewReading starts a round that only asks. Known is a vote whose word the asker has.
func NewReading(e Electorate, known Vote) (*Round, *Request) {
	r := &Round{State: Asking, electorate: e, known: known, replies: map[string]*Reply{}}
	return r, &Request{Kind: Ask, Known: known.Ballot, Epoch: e.Epoch}
}

// NewRound starts a round under a ballot that was never used. Without a change it commits the newest word again.
func NewRound(e Electorate, ballot Ballot, change *Change, known Vote) (*Round, *Request) {
	r := &Round{State: Preparing, electorate: e, ballot: ballot, change: change, known: known,
		replies: map[string]*Reply{}}
	return r, &Request{Kind: Prepare, Ballot: ballot, Known: known.Ballot, Epoch: e.Epoch}
}

// Electorate is the list under which the round is played.
func (r *Round) Electorate() Electorate { return r.electorate }

// Nodes are those to whom the round's requests go.
func (r *Round) Nodes() []string {
	nodes := slices.Clone(r.electorate.Voters)
	for _, v := range r.joint {
		if !slices.Contains(nodes, v) {
			nodes = append(nodes, v)
		}
	}
	return nodes
}

func majority(n int) int { return n/2 + 1 }

// most tells whether so many of a list are enough for a majority.
func most(list []string, has func(node string) bool) bool {
	n := 0
	for _, v := range list {
		if has(v) {
			n++
		}
	}
	return n >= majority(len(list))
}

// agreed tells whether replies hold majorities of all lists that are needed.
func (r *Round) agreed(replies map[string]*Reply) bool {
	has := func(node string) bool { return replies[node] != nil }
	return most(r.electorate.Voters, has) && (r.joint == nil || most(r.joint, has))
}

// refused tells whether majorities of all lists can't be had any more.
func (r *Round) refused() bool {
	open := func(node string) bool { return r.replies[node] == nil || r.replies[node].Outcome != Nack }
	return !most(r.electorate.Voters, open) || r.joint != nil && !most(r.joint, open)
}

// Over tells whether the round has ended.
func (r *Round) Over() bool {
	return r.State == Done || r.State == Outbid || r.State == Divided || r.State == Stale
}

// GiveUp ends the wait for further replies: a reading that has a majority's is Divided, and any other round Outbid.
func (r *Round) GiveUp() {
	switch {
	case r.Over():
	case r.State == Asking && r.agreed(r.valid()):
		r.State = Divided
	default:
		r.State = Outbid
	}
}

// Vote is the newest vote that is known to be committed, once the round is over.
func (r *Round) Vote() Vote { return r.known }

// Step takes a voter's reply. What it returns, if anything, is to be sent to all Nodes.
func (r *Round) Step(node string, reply *Reply) *Request {
	want := map[State]Outcome{Asking: Told, Preparing: Promise, Accepting: Accepted}
	if r.Over() || reply.Ballot != r.ballot || r.replies[node] != nil || !slices.Contains(r.Nodes(), node) {
		return nil
	}
	if reply.Promised.Compare(r.Highest) > 0 {
		r.Highest = reply.Promised
	}
	switch reply.Outcome {
	case want[r.State]:
	case Outdated:
		r.stale(reply.Electorate)
		return nil
	case Nack:
		if r.State == Asking {
			return nil
		}
	default:
		return nil
	}
	r.replies[node] = reply
	if reply.Outcome == Nack {
		if r.refused() {
			r.State = Outbid
		}
		return nil
	}
	if e := &reply.Vote.Word.Electorate; e.Epoch > r.electorate.Epoch+1 {
		r.stale(e.before())
		return nil
	}
	valid := r.valid()
	if !r.agreed(valid) {
		return nil
	}
	if r.State == Accepting {
		r.accepted()
		return nil
	}
	newest, committed := r.newest(valid)
	epoch := newest.Word.Electorate.Epoch
	switch {
	case epoch < r.electorate.Epoch:
		r.State = Outbid // it can't be
		return nil
	case r.State == Asking && epoch > r.electorate.Epoch:
		r.State = Divided
		return nil
	case r.State == Asking && committed:
		r.done(newest)
		return nil
	case r.State == Asking:
		if len(r.replies) == len(r.electorate.Voters) || !r.canAgree(valid) {
			r.State = Divided
		}
		return nil
	case epoch > r.electorate.Epoch && !slices.Equal(r.joint, newest.Word.Electorate.Voters):
		// Its list has to promise, too. Who has answered answers again, and nothing else by it.
		r.joint = newest.Word.Electorate.Voters
		if !r.agreed(valid) {
			return &Request{Kind: Prepare, Ballot: r.ballot, Known: r.known.Ballot, Epoch: r.electorate.Epoch}
		}
	case epoch == r.electorate.Epoch:
		r.joint = nil
	}
	return r.propose(newest, committed)
}

// propose goes on once there are all promises.
func (r *Round) propose(newest Vote, committed bool) *Request {
	r.word = newest.Word
	if r.joint != nil {
		r.change, committed = nil, false // the word stays as it is, until its list is in force
	}
	if r.change != nil {
		verdict, next := r.change.judge(&newest.Word)
		r.verdict, r.word = verdict, *next
		committed = committed && next == &newest.Word
		if next.Electorate.Epoch > r.electorate.Epoch {
			r.joint = next.Electorate.Voters
		}
	}
	if committed {
		r.done(newest)
		return nil
	}
	r.State, r.replies = Accepting, map[string]*Reply{}
	return &Request{Kind: Accept, Ballot: r.ballot, Word: r.word, Epoch: r.electorate.Epoch}
}

// accepted ends a round whose word has its majorities.
func (r *Round) accepted() {
	vote := Vote{Ballot: r.ballot, Word: r.word}
	if r.joint == nil {
		r.done(vote)
		return
	}
	if r.Newer = r.word.Electorate; r.change != nil {
		r.done(vote)
		return
	}
	r.State, r.known = Stale, vote
}

func (r *Round) stale(e Electorate) {
	if e.Epoch > r.electorate.Epoch {
		r.State, r.Newer = Stale, e
	}
}

func (r *Round) done(v Vote) { r.State, r.Verdict, r.Word, r.known = Done, r.verdict, v.Word, v }

// valid are the replies that count: no other voter knows that the replier lost its disk since.
func (r *Round) valid() map[string]*Reply {
	valid := map[string]*Reply{}
	for node, reply := range r.replies {
		ok := reply.Outcome != Nack
		for _, other := range r.replies {
			ok = ok && other.Lives[node] <= reply.Life
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
		newest.Word = r.known.Word
	}
	newest.Hearsay = false
	return newest, r.holders(valid, newest.Ballot) >= majority(len(r.electorate.Voters))
}

func (r *Round) holders(valid map[string]*Reply, b Ballot) int {
	n := 0
	for _, v := range r.electorate.Voters {
		if reply := valid[v]; reply != nil && reply.Vote.Ballot == b && !reply.Vote.Hearsay {
			n++
		}
	}
	return n
}

// canAgree tells whether the replies that are still missing could make a majority for the newest word.
func (r *Round) canAgree(valid map[string]*Reply) bool {
	newest, _ := r.newest(valid)
	n := len(r.electorate.Voters)
	return r.holders(valid, newest.Ballot)+n-len(r.replies) >= majority(n)
}
