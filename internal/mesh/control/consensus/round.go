package consensus

import "slices"

// RoundState is a round's progress.
type RoundState uint8

// The states of a round. It is in progress while Reading, Preparing or Accepting, and has ended in any other state.
const (
	Reading      RoundState = iota // waits for votes; no ballot is used
	Inconclusive                   // ended: no majority holds one vote, and a round with a ballot is needed
	Preparing                      // waits for promises
	Accepting                      // waits until majorities have accepted
	Done                           // ended: Value is committed, and Verdict holds
	Preempted                      // ended: no majority can be had; another round with a higher ballot is needed
	Stale                          // ended: NewerVoters are decided; another round under them is needed
)

// expects returns the kind of reply by which a round in this state advances. Step ignores all replies once a round has
// ended, so the default does not matter.
func (s RoundState) expects() ReplyKind {
	switch s {
	case Reading:
		return Reported
	case Preparing:
		return Promise
	case Accepting:
		return Accepted
	default:
		return NotReady
	}
}

// Round is one proposer's attempt to learn the newest value, or to change it. Its requests go to all Recipients; the
// replies come in by Step, in any order, late, or never. A round is not safe for concurrent use.
//
// # Why a read may do without a ballot
//
// If a majority reports the same ballot b as its newest vote, the value of that vote is committed, as all of them accepted
// it under b. No newer value was committed before the read began: a majority would have accepted it under a higher ballot,
// and at least one voter of that majority has replied. So a read writes nothing unless the votes differ; in that case it
// commits the newest value again, under a ballot of its own. The same holds for promises: if a majority reports one ballot,
// the value needs no further acceptance, and a change that was already applied, or that conflicts, gets its verdict after
// one round trip. A learned vote does not count here, as the voter that holds it may have promised a higher ballot before.
type Round struct {
	State         RoundState
	Verdict       Verdict  // once Done
	Value         Value    // once Done: the newest committed
	HighestBallot Ballot   // the highest that the replies report as promised
	NewerVoters   VoterSet // once Stale, or Done by a change of the voters

	voterSet       VoterSet
	jointVoters    []string // voters of the next epoch, of whom a majority is needed as well (a joint step); nil for none
	ballot         Ballot   // zero for a read
	change         *Change  // nil for none
	knownVote      Vote     // a committed vote: the caller's, and once Done, or Stale by this round's own value, the newest
	pendingVerdict Verdict  // holds once proposal is committed
	proposal       Value
	replies        map[string]*Reply // of the current phase, by voter
}

// NewReadRound starts a round that only reads, and returns the request to send. known is the newest committed vote whose
// value the caller has, so that replies need not carry it.
func NewReadRound(voters VoterSet, known Vote) (*Round, *Request) {
	r := &Round{State: Reading, voterSet: voters, knownVote: known, replies: map[string]*Reply{}}
	return r, &Request{Kind: ReadVote, KnownBallot: known.Ballot, Epoch: voters.Epoch, VoterSet: voters}
}

// NewRound starts a round under a ballot that was never used, and returns the request to send. Without a change the round
// commits the newest value again. known is as for NewReadRound.
func NewRound(voters VoterSet, ballot Ballot, change *Change, known Vote) (*Round, *Request) {
	r := &Round{State: Preparing, voterSet: voters, ballot: ballot, change: change, knownVote: known, replies: map[string]*Reply{}}
	return r, r.prepareRequest()
}

func (r *Round) prepareRequest() *Request {
	return &Request{Kind: Prepare, Ballot: r.ballot, KnownBallot: r.knownVote.Ballot, Epoch: r.voterSet.Epoch, VoterSet: r.voterSet}
}

// VoterSet returns the voter set under which the round runs.
func (r *Round) VoterSet() VoterSet { return r.voterSet }

// CommittedVote returns the newest vote that is known to be committed, once the round has ended.
func (r *Round) CommittedVote() Vote { return r.knownVote }

// Recipients returns the nodes to which the round's requests go: its voters, and those of a joint step.
func (r *Round) Recipients() []string {
	nodes := slices.Clone(r.voterSet.Voters)
	for _, voter := range r.jointVoters {
		if !slices.Contains(nodes, voter) {
			nodes = append(nodes, voter)
		}
	}
	return nodes
}

// Finished reports whether the round has ended.
func (r *Round) Finished() bool {
	return r.State == Done || r.State == Preempted || r.State == Inconclusive || r.State == Stale
}

// StopWaiting ends a round in progress without further replies: a read with replies of a majority is Inconclusive, and
// any other round Preempted.
func (r *Round) StopWaiting() {
	switch {
	case r.Finished():
	case r.State == Reading && r.hasQuorum(r.countedReplies()):
		r.State = Inconclusive
	default:
		r.State = Preempted
	}
}

// Step takes a voter's reply and returns the next request to send to all Recipients, nil for none. Replies that do not
// belong to the round's current phase have no effect.
func (r *Round) Step(node string, reply *Reply) *Request {
	if r.Finished() || reply.Ballot != r.ballot || r.replies[node] != nil || !slices.Contains(r.Recipients(), node) {
		return nil
	}
	if reply.Promised.Compare(r.HighestBallot) > 0 {
		r.HighestBallot = reply.Promised
	}
	switch {
	case reply.Kind == r.State.expects():
		r.replies[node] = reply
		return r.advance(reply)
	case reply.Kind == StaleEpoch:
		r.becomeStale(reply.VoterSet)
	case reply.Kind == Rejected && r.State != Reading:
		r.replies[node] = reply
		if r.quorumImpossible() {
			r.State = Preempted
		}
	}
	return nil
}

// advance moves the round to its next state if the newest reply completes a quorum.
func (r *Round) advance(newest *Reply) *Request {
	if voted := &newest.Vote.Value.VoterSet; voted.Epoch > r.voterSet.Epoch+1 {
		r.becomeStale(voted.previousSet())
		return nil
	}
	counted := r.countedReplies()
	if !r.hasQuorum(counted) {
		return nil
	}
	switch r.State {
	case Reading:
		r.concludeRead(counted)
	case Preparing:
		return r.concludePrepare(counted)
	default:
		r.concludeAccept()
	}
	return nil
}

// concludeRead ends a read to which a majority has replied, unless further replies may make it definite.
func (r *Round) concludeRead(counted map[string]*Reply) {
	newest, committed := r.newestVote(counted)
	switch epoch := newest.Value.VoterSet.Epoch; {
	case epoch < r.voterSet.Epoch:
		r.State = Preempted // impossible: a majority of these voters has accepted a value of their epoch
	case epoch > r.voterSet.Epoch:
		r.State = Inconclusive // the newer voter set may be decided, or not
	case committed:
		r.becomeDone(newest)
	case len(r.replies) == len(r.voterSet.Voters) || !r.agreementPossible(counted):
		r.State = Inconclusive
	}
}

// concludePrepare returns the request that follows the promises of a majority. If the newest vote has a newer voter set, a
// majority of that set has to promise as well; voters that have already promised repeat their promise.
func (r *Round) concludePrepare(counted map[string]*Reply) *Request {
	newest, committed := r.newestVote(counted)
	next := &newest.Value.VoterSet
	switch {
	case next.Epoch < r.voterSet.Epoch:
		r.State = Preempted // impossible, as in concludeRead
		return nil
	case next.Epoch == r.voterSet.Epoch:
		r.jointVoters = nil
	case !slices.Equal(r.jointVoters, next.Voters):
		r.jointVoters = next.Voters
		if !r.hasQuorum(counted) {
			return r.prepareRequest()
		}
	}
	return r.propose(newest, committed)
}

// propose evaluates the change on the newest value, once there are enough promises, and returns the request to accept the
// outcome, or nil if the outcome is already committed.
func (r *Round) propose(newest Vote, committed bool) *Request {
	r.proposal = newest.Value
	if r.jointVoters != nil {
		// The value stays as it is until its voter set is decided.
		r.change = nil
		committed = false
	}
	if r.change != nil {
		verdict, next := r.change.evaluate(&newest.Value)
		r.pendingVerdict = verdict
		r.proposal = *next
		committed = committed && next == &newest.Value
		if next.VoterSet.Epoch > r.voterSet.Epoch {
			r.jointVoters = next.VoterSet.Voters
		}
	}
	if committed {
		r.becomeDone(newest)
		return nil
	}
	r.State = Accepting
	r.replies = map[string]*Reply{}
	return &Request{Kind: Accept, Ballot: r.ballot, Value: r.proposal, Epoch: r.voterSet.Epoch, VoterSet: r.voterSet}
}

// concludeAccept ends a round whose proposal has its majorities.
func (r *Round) concludeAccept() {
	vote := Vote{Ballot: r.ballot, Value: r.proposal}
	if r.jointVoters == nil {
		r.becomeDone(vote)
		return
	}
	r.NewerVoters = r.proposal.VoterSet
	if r.change != nil {
		r.becomeDone(vote)
		return
	}
	// The round completed another's change of the voters; its own change has to be made under them.
	r.State = Stale
	r.knownVote = vote
}

// becomeStale ends the round if the voter set, which is decided, is newer than the round's.
func (r *Round) becomeStale(decided VoterSet) {
	if decided.Epoch > r.voterSet.Epoch {
		r.State = Stale
		r.NewerVoters = decided
	}
}

// becomeDone ends the round with a committed vote.
func (r *Round) becomeDone(committed Vote) {
	r.State = Done
	r.Verdict = r.pendingVerdict
	r.Value = committed.Value
	r.knownVote = committed
}
