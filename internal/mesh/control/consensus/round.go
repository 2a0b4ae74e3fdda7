package consensus

import "slices"

// RoundState is how far a round is.
type RoundState uint8

// States of a round.
const (
	Reading      RoundState = iota // which value a majority accepted; no ballot is used
	Inconclusive                   // no majority holds one vote: a round with a ballot is needed
	Preparing                      // waits for promises
	Accepting                      // waits until a majority has accepted
	Done                           // Value is committed, and Verdict holds
	Preempted                      // no majority can be had: another round with a higher ballot is needed
	Stale                          // a newer list of voters is decided (NewerVoters): another round under it is needed
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
	State         RoundState
	Verdict       Verdict  // once Done
	Value         Value    // once Done: the newest committed
	HighestBallot Ballot   // of all that were seen
	NewerVoters   VoterSet // once Stale, or Done by a change of the voters

	voterSet    VoterSet
	jointVoters []string // the voters of a value of the next epoch, whose majority is needed as well
	ballot      Ballot
	change      *Change
	knownVote   Vote
	verdict     Verdict
	proposal    Value // to be accepted
	replies     map[string]*Reply
}

// NewReadRound starts a round that only reads. known is a vote whose value the reader has.
func NewReadRound(e VoterSet, known Vote) (*Round, *Request) {
	r := &Round{State: Reading, voterSet: e, knownVote: known, replies: map[string]*Reply{}}
	return r, &Request{Kind: ReadVote, KnownBallot: known.Ballot, Epoch: e.Epoch, VoterSet: e}
}

// NewRound starts a round under a ballot that was never used. Without a change it commits the newest value again.
func NewRound(e VoterSet, ballot Ballot, change *Change, known Vote) (*Round, *Request) {
	r := &Round{
		State: Preparing, voterSet: e, ballot: ballot, change: change, knownVote: known,
		replies: map[string]*Reply{},
	}
	return r, &Request{Kind: Prepare, Ballot: ballot, KnownBallot: known.Ballot, Epoch: e.Epoch, VoterSet: e}
}

// VoterSet is the list under which the round is played.
func (r *Round) VoterSet() VoterSet { return r.voterSet }

// Recipients are those to whom the round's requests go.
func (r *Round) Recipients() []string {
	nodes := slices.Clone(r.voterSet.Voters)
	for _, v := range r.jointVoters {
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
	return hasMajority(r.voterSet.Voters, has) && (r.jointVoters == nil || hasMajority(r.jointVoters, has))
}

// quorumImpossible tells whether majorities of all lists can't be had any more.
func (r *Round) quorumImpossible() bool {
	open := func(node string) bool { return r.replies[node] == nil || r.replies[node].Kind != Rejected }
	return !hasMajority(r.voterSet.Voters, open) || r.jointVoters != nil && !hasMajority(r.jointVoters, open)
}

// Finished tells whether the round has ended.
func (r *Round) Finished() bool {
	return r.State == Done || r.State == Preempted || r.State == Inconclusive || r.State == Stale
}

// StopWaiting ends the wait for further replies: a read that has a majority's is Inconclusive, and any other round Preempted.
func (r *Round) StopWaiting() {
	switch {
	case r.Finished():
	case r.State == Reading && r.hasQuorum(r.countedReplies()):
		r.State = Inconclusive
	default:
		r.State = Preempted
	}
}

// CommittedVote is the newest vote that is known to be committed, once the round is over.
func (r *Round) CommittedVote() Vote { return r.knownVote }

// Step takes a voter's reply. What it returns, if anything, is to be sent to all Nodes.
func (r *Round) Step(node string, reply *Reply) *Request {
	if r.Finished() || reply.Ballot != r.ballot || r.replies[node] != nil || !slices.Contains(r.Recipients(), node) {
		return nil
	}
	if reply.Promised.Compare(r.HighestBallot) > 0 {
		r.HighestBallot = reply.Promised
	}
	switch {
	case reply.Kind == expectedReply[r.State]:
		r.replies[node] = reply
	case reply.Kind == StaleEpoch:
		r.becomeStale(reply.VoterSet)
		return nil
	case reply.Kind == Rejected && r.State != Reading:
		r.replies[node] = reply
		if r.quorumImpossible() {
			r.State = Preempted
		}
		return nil
	default:
		return nil
	}
	if e := &reply.Vote.Value.VoterSet; e.Epoch > r.voterSet.Epoch+1 {
		r.becomeStale(e.previousSet())
		return nil
	}
	valid := r.countedReplies()
	if !r.hasQuorum(valid) {
		return nil
	}
	switch r.State {
	case Reading:
		r.concludeRead(valid)
		return nil
	case Preparing:
		return r.concludePrepare(valid)
	}
	r.concludeAccept()
	return nil
}

// expectedReply is the reply that takes a round further, by its state.
var expectedReply = map[RoundState]ReplyKind{Reading: Reported, Preparing: Promise, Accepting: Accepted}

// concludeRead decides on a read of which a majority has answered.
func (r *Round) concludeRead(valid map[string]*Reply) {
	newest, committed := r.newestVote(valid)
	switch epoch := newest.Value.VoterSet.Epoch; {
	case epoch < r.voterSet.Epoch:
		r.State = Preempted // can't be: a majority of this list has accepted a value of its epoch
	case epoch > r.voterSet.Epoch:
		r.State = Inconclusive // the newer list may be decided, or not
	case committed:
		r.becomeDone(newest)
	case len(r.replies) == len(r.voterSet.Voters) || !r.agreementPossible(valid):
		r.State = Inconclusive
	}
}

// concludePrepare decides on what is proposed, of which a majority of the list has promised. If the newest vote has a newer list, that
// list has to promise as well: those who have answered answer the same again.
func (r *Round) concludePrepare(valid map[string]*Reply) *Request {
	newest, committed := r.newestVote(valid)
	next := &newest.Value.VoterSet
	switch {
	case next.Epoch < r.voterSet.Epoch:
		r.State = Preempted // can't be, as in read
		return nil
	case next.Epoch == r.voterSet.Epoch:
		r.jointVoters = nil
	case !slices.Equal(r.jointVoters, next.Voters):
		r.jointVoters = next.Voters
		if !r.hasQuorum(valid) {
			return &Request{
				Kind: Prepare, Ballot: r.ballot, KnownBallot: r.knownVote.Ballot, Epoch: r.voterSet.Epoch,
				VoterSet: r.voterSet,
			}
		}
	}
	return r.propose(newest, committed)
}

// propose goes on once there are all promises.
func (r *Round) propose(newest Vote, committed bool) *Request {
	r.proposal = newest.Value
	if r.jointVoters != nil {
		r.change, committed = nil, false // the value stays as it is until its list is decided
	}
	if r.change != nil {
		verdict, next := r.change.evaluate(&newest.Value)
		r.verdict, r.proposal = verdict, *next
		committed = committed && next == &newest.Value
		if next.VoterSet.Epoch > r.voterSet.Epoch {
			r.jointVoters = next.VoterSet.Voters
		}
	}
	if committed {
		r.becomeDone(newest)
		return nil
	}
	r.State, r.replies = Accepting, map[string]*Reply{}
	return &Request{Kind: Accept, Ballot: r.ballot, Value: r.proposal, Epoch: r.voterSet.Epoch, VoterSet: r.voterSet}
}

// concludeAccept ends a round whose value has its majorities.
func (r *Round) concludeAccept() {
	vote := Vote{Ballot: r.ballot, Value: r.proposal}
	if r.jointVoters == nil {
		r.becomeDone(vote)
		return
	}
	if r.NewerVoters = r.proposal.VoterSet; r.change != nil {
		r.becomeDone(vote)
		return
	}
	r.State, r.knownVote = Stale, vote
}

func (r *Round) becomeStale(e VoterSet) {
	if e.Epoch > r.voterSet.Epoch {
		r.State, r.NewerVoters = Stale, e
	}
}

func (r *Round) becomeDone(v Vote) {
	r.State, r.Verdict, r.Value, r.knownVote = Done, r.verdict, v.Value, v
}

// countedReplies are the replies that count: no other voter knows that the replier lost its disk since.
func (r *Round) countedReplies() map[string]*Reply {
	valid := map[string]*Reply{}
	for node, reply := range r.replies {
		ok := reply.Kind != Rejected
		for _, other := range r.replies {
			ok = ok && other.DiskIncarnations[node] <= reply.DiskIncarnation
		}
		if ok {
			valid[node] = reply
		}
	}
	return valid
}

// newestVote is the vote of the highest ballot, and whether a majority holds it.
func (r *Round) newestVote(valid map[string]*Reply) (Vote, bool) {
	var newest Vote
	for _, reply := range valid {
		if reply.Vote.Ballot.Compare(newest.Ballot) > 0 {
			newest = reply.Vote
		}
	}
	if newest.Ballot == r.knownVote.Ballot {
		newest.Value = r.knownVote.Value
	}
	newest.Learned = false
	return newest, r.countVotes(valid, newest.Ballot) >= majority(len(r.voterSet.Voters))
}

func (r *Round) countVotes(valid map[string]*Reply, b Ballot) int {
	n := 0
	for _, v := range r.voterSet.Voters {
		if reply := valid[v]; reply != nil && reply.Vote.Ballot == b && !reply.Vote.Learned {
			n++
		}
	}
	return n
}

// agreementPossible tells whether the replies that are still missing could make a majority for the newest value.
func (r *Round) agreementPossible(valid map[string]*Reply) bool {
	newest, _ := r.newestVote(valid)
	n := len(r.voterSet.Voters)
	return r.countVotes(valid, newest.Ballot)+n-len(r.replies) >= majority(n)
}
