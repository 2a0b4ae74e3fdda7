package promptbook

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
	Verdict Verdict // once Done
	Word    Word    // once Done: the newest committed
	Highest Ballot  // of all that were seen

	voters  []string
	ballot  Ballot
	change  *Change
	known   Vote
	verdict Verdict
	word    Word // that is to be accepted
	replies map[string]*Reply
	nacks   int
}

// NewReading starts a round that only asks. Known is a vote whose word the asker has.
func NewReading(voters []string, known Vote) (*Round, *Request) {
	r := &Round{State: Asking, voters: voters, known: known, replies: map[string]*Reply{}}
	return r, &Request{Kind: Ask, Known: known.Ballot}
}

// NewRound starts a round under a ballot that was never used. Without a change it commits the newest word again.
func NewRound(voters []string, ballot Ballot, change *Change, known Vote) (*Round, *Request) {
	r := &Round{State: Preparing, voters: voters, ballot: ballot, change: change, known: known,
		replies: map[string]*Reply{}}
	return r, &Request{Kind: Prepare, Ballot: ballot, Known: known.Ballot}
}

func majority(n int) int { return n/2 + 1 }

// Over tells whether the round has ended.
func (r *Round) Over() bool { return r.State == Done || r.State == Outbid || r.State == Divided }

// GiveUp ends the wait for further replies: a reading that has a majority's is Divided, and any other round Outbid.
func (r *Round) GiveUp() {
	switch {
	case r.Over():
	case r.State == Asking && len(r.valid()) >= majority(len(r.voters)):
		r.State = Divided
	default:
		r.State = Outbid
	}
}

// Vote is the vote that was committed, once Done, as far as its ballot is known.
func (r *Round) Vote() Vote { return r.known }

// Step takes a voter's reply. What it returns, if anything, is to be sent to all voters.
func (r *Round) Step(node string, reply *Reply) *Request {
	want := map[State]Outcome{Asking: Told, Preparing: Promise, Accepting: Accepted}
	if r.Over() || reply.Ballot != r.ballot || r.replies[node] != nil || !r.votes(node) {
		return nil
	}
	if reply.Promised.Compare(r.Highest) > 0 {
		r.Highest = reply.Promised
	}
	switch reply.Outcome {
	case want[r.State]:
	case Nack:
		if r.State == Asking {
			return nil
		}
	default:
		return nil
	}
	r.replies[node] = reply
	if reply.Outcome == Nack {
		if r.nacks++; r.nacks > len(r.voters)-majority(len(r.voters)) {
			r.State = Outbid
		}
		return nil
	}
	valid := r.valid()
	if len(valid) < majority(len(r.voters)) {
		return nil
	}
	if r.State == Accepting {
		r.done(Vote{Ballot: r.ballot, Word: r.word})
		return nil
	}
	newest, committed := r.newest(valid)
	switch {
	case r.State == Asking && committed:
		r.done(newest)
		return nil
	case r.State == Asking:
		if len(r.replies) == len(r.voters) || !r.canAgree(valid) {
			r.State = Divided
		}
		return nil
	}
	r.word = newest.Word
	if r.change != nil {
		verdict, next := r.change.judge(&newest.Word)
		r.verdict, r.word = verdict, *next
		committed = committed && next == &newest.Word
	}
	if committed {
		r.done(newest)
		return nil
	}
	r.State, r.replies, r.nacks = Accepting, map[string]*Reply{}, 0
	return &Request{Kind: Accept, Ballot: r.ballot, Word: r.word}
}

func (r *Round) done(v Vote) { r.State, r.Verdict, r.Word, r.known = Done, r.verdict, v.Word, v }

func (r *Round) votes(node string) bool {
	for _, v := range r.voters {
		if v == node {
			return true
		}
	}
	return false
}

// valid are the replies that count: no other voter knows that the replier lost its disk since.
func (r *Round) valid() []*Reply {
	var valid []*Reply
	for node, reply := range r.replies {
		ok := reply.Outcome != Nack
		for _, other := range r.replies {
			ok = ok && other.Lives[node] <= reply.Life
		}
		if ok {
			valid = append(valid, reply)
		}
	}
	return valid
}

// newest is the vote of the highest ballot, and whether a majority holds it.
func (r *Round) newest(valid []*Reply) (Vote, bool) {
	newest := valid[0].Vote
	for _, reply := range valid {
		if reply.Vote.Ballot.Compare(newest.Ballot) > 0 {
			newest = reply.Vote
		}
	}
	if newest.Ballot == r.known.Ballot {
		newest.Word = r.known.Word
	}
	newest.Hearsay = false
	return newest, r.holders(valid, newest.Ballot) >= majority(len(r.voters))
}

func (r *Round) holders(valid []*Reply, b Ballot) int {
	n := 0
	for _, reply := range valid {
		if reply.Vote.Ballot == b && !reply.Vote.Hearsay {
			n++
		}
	}
	return n
}

// canAgree tells whether the replies that are still missing could make a majority for the newest word.
func (r *Round) canAgree(valid []*Reply) bool {
	newest, _ := r.newest(valid)
	return r.holders(valid, newest.Ballot)+len(r.voters)-len(r.replies) >= majority(len(r.voters))
}
