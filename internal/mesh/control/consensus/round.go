package consensus

import "slices"

// RoundState is the state of a round.
type RoundState uint8

// The states of a round. A round is in progress while Reading, Preparing or Accepting, and has ended in all other states.
const (
	Reading      RoundState = iota // waiting for votes, without a ballot
	Inconclusive                   // ended: the votes do not show a committed value; a round with a ballot is needed
	Preparing                      // waiting for promises
	Accepting                      // waiting for a quorum to accept the proposal
	Done                           // ended: Value is committed, and Verdict is valid
	Preempted                      // ended without a quorum; another round with a higher ballot is needed
	Stale                          // ended: NewerVoters are decided; another round under them is needed
)

// expects returns the kind of reply that advances a round in this state. Step ignores all replies once a round has ended, so
// the result for such a state is never used.
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

// Round is one attempt of a proposer to read the newest value, or to change it. The caller sends the requests to all
// Recipients and passes the replies to Step. Replies may arrive in any order, late, or never. A round is not safe for
// concurrent use.
//
// # Why a read needs no ballot
//
// If a majority reports votes under the same ballot b, the value of that vote is committed, as all of these voters accepted
// it under b. No newer value was committed before the read began: a majority would have accepted it under a higher ballot,
// and at least one voter of that majority has replied. So a read writes nothing unless the votes differ; in that case the
// newest value is committed again in a round with its own ballot. The same holds for promises: if a majority reports votes
// under one ballot, the value need not be accepted again, and a change that was already applied, or that conflicts, gets
// its verdict after one round trip. A learned vote does not count here, as the voter that holds it may have promised a
// higher ballot before it lost its disk.
type Round struct {
	State         RoundState
	Verdict       Verdict  // the verdict on the change; valid once Done
	Value         Value    // the newest committed value; valid once Done
	HighestBallot Ballot   // the highest ballot that the replies report as promised
	NewerVoters   VoterSet // the newer decided voter set; set once Stale, or Done after a change of the voters

	voterSet       VoterSet
	jointVoters    []string          // voters of the next epoch, of which a majority is needed as well (a joint step); nil for none
	ballot         Ballot            // the zero Ballot for a read
	change         *Change           // nil for a round that changes nothing
	knownVote      Vote              // the newest vote known to be committed: the caller's, or the one that this round found or committed
	pendingVerdict Verdict           // the verdict that becomes valid once proposal is committed
	proposal       Value             // the value to be accepted
	replies        map[string]*Reply // the replies of the current phase, by voter
}

// NewReadRound starts a round that reads without a ballot, and returns the request to send. known is the newest committed
// vote whose value the caller has, so that the replies may omit that value.
func NewReadRound(voters VoterSet, known Vote) (*Round, *Request) {
	r := &Round{State: Reading, voterSet: voters, knownVote: known, replies: map[string]*Reply{}}
	return r, &Request{Kind: ReadVote, KnownBallot: known.Ballot, Epoch: voters.Epoch, VoterSet: voters}
}

// NewRound starts a round with a ballot that was never used, and returns the request to send. If change is nil, the round
// commits the newest value again, if necessary. known is as for NewReadRound.
func NewRound(voters VoterSet, ballot Ballot, change *Change, known Vote) (*Round, *Request) {
	r := &Round{State: Preparing, voterSet: voters, ballot: ballot, change: change, knownVote: known, replies: map[string]*Reply{}}
	return r, r.prepareRequest()
}

func (r *Round) prepareRequest() *Request {
	return &Request{Kind: Prepare, Ballot: r.ballot, KnownBallot: r.knownVote.Ballot, Epoch: r.voterSet.Epoch, VoterSet: r.voterSet}
}

// VoterSet returns the voter set under which the round runs.
func (r *Round) VoterSet() VoterSet { return r.voterSet }

// CommittedVote returns the newest vote that is known to be committed when the round has ended: the one that the round found
// or committed, or else the caller's.
func (r *Round) CommittedVote() Vote { return r.knownVote }

// Recipients returns the nodes to send the round's requests to: its voters, and in a joint step those of the next epoch.
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

// StopWaiting ends a round that is still in progress: a read to which a majority has replied becomes Inconclusive, any other
// round Preempted.
func (r *Round) StopWaiting() {
	switch {
	case r.Finished():
	case r.State == Reading && r.hasQuorum(r.countedReplies()):
		r.State = Inconclusive
	default:
		r.State = Preempted
	}
}

// Step processes a voter's reply and returns the next request to send to all Recipients, or nil if there is none. Replies
// that do not belong to the round's current phase have no effect.
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

// advance moves the round to its next state if the newest reply completes a quorum or shows a newer decided voter set. It
// returns the next request to send, or nil if there is none.
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

// concludeRead ends a read to which a majority has replied, unless the outstanding replies could still show that the newest
// vote is committed.
func (r *Round) concludeRead(counted map[string]*Reply) {
	newest, committed := r.newestVote(counted)
	switch epoch := newest.Value.VoterSet.Epoch; {
	case epoch < r.voterSet.Epoch:
		r.State = Preempted // cannot happen: a majority of these voters has accepted a value of their epoch
	case epoch > r.voterSet.Epoch:
		r.State = Inconclusive // the newer voter set may or may not be decided
	case committed:
		r.becomeDone(newest)
	case len(r.replies) == len(r.voterSet.Voters) || !r.agreementPossible(counted):
		r.State = Inconclusive
	}
}

// concludePrepare handles the promises of a quorum and returns the next request, or nil if there is none. If the newest vote
// has a newer voter set, a majority of that set has to promise as well, so Prepare is sent again to all recipients; voters
// that have already promised repeat their promise.
func (r *Round) concludePrepare(counted map[string]*Reply) *Request {
	newest, committed := r.newestVote(counted)
	next := &newest.Value.VoterSet
	switch {
	case next.Epoch < r.voterSet.Epoch:
		r.State = Preempted // cannot happen, as in concludeRead
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

// propose evaluates the change on the newest value, once there is a quorum of promises. It returns the request to accept the
// resulting value, or nil if that value is already committed and the round is Done.
func (r *Round) propose(newest Vote, committed bool) *Request {
	r.proposal = newest.Value
	if r.jointVoters != nil {
		// The round only commits the value again: its voter set must be decided before the value may change.
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

// concludeAccept ends a round whose proposal a quorum has accepted.
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
	// The round completed another proposer's change of the voters. Its own change, if any, needs a round under the new voters.
	r.State = Stale
	r.knownVote = vote
}

// becomeStale ends the round if decided, a voter set that is known to be decided, is newer than the round's.
func (r *Round) becomeStale(decided VoterSet) {
	if decided.Epoch > r.voterSet.Epoch {
		r.State = Stale
		r.NewerVoters = decided
	}
}

// becomeDone ends the round as Done with the value of a committed vote.
func (r *Round) becomeDone(committed Vote) {
	r.State = Done
	r.Verdict = r.pendingVerdict
	r.Value = committed.Value
	r.knownVote = committed
}
