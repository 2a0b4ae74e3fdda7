package consensus

import (
	"maps"
	"slices"
)

// Handle answers a request and returns the next record. The receiver is a copy, which the methods for each kind of request
// modify; the caller's record does not change. If the returned Unsynced is not empty, the parts that it names must be on
// disk before the reply is sent and before the replica handles another request. If that write fails, the contents of the
// disk are unknown, and the caller has to reload the record. Handle does not implement Commit, which by itself changes no
// record.
func (r Record) Handle(request *Request) (Reply, Record, Unsynced) {
	switch {
	case request.Kind == Describe:
		return Reply{Kind: Reported, VoterSet: r.DecidedVoters(), Ready: r.State.Ready}, r, Unsynced{}
	case !r.State.Ready:
		return Reply{Kind: NotReady, Ballot: request.Ballot}, r, Unsynced{}
	case !r.State.System.Matches(request.System):
		return Reply{Kind: ForeignSystem, Ballot: request.Ballot, System: r.State.System}, r, Unsynced{}
	}
	r, learned := r.LearnVoters(request.VoterSet)
	if reply, rejected := r.rejectVoterSet(request); rejected {
		return reply, r, learned
	}
	var reply Reply
	var unsynced Unsynced
	switch request.Kind {
	case ReadVote:
		reply = r.replyWithVote(Reported, request)
	case Prepare:
		reply, unsynced = r.handlePrepare(request)
	case Accept:
		reply, unsynced = r.handleAccept(request)
	case Recover:
		reply, unsynced = r.handleRecover(request)
	default:
		reply = Reply{Kind: NotReady, Ballot: request.Ballot}
	}
	unsynced.State = unsynced.State || learned.State
	return reply, r, unsynced
}

// rejectVoterSet returns the reply to a request whose voter set is older than the newest one that the record shows to be
// decided, or conflicts with it; false if the voter set is acceptable. A Recover request is accepted under any epoch, as
// the recovering replica learns the newest voter set from the reply.
func (r *Record) rejectVoterSet(request *Request) (Reply, bool) {
	decided := r.DecidedVoters()
	if decided.conflictsWith(&request.VoterSet) {
		return Reply{Kind: ConflictingVoters, Ballot: request.Ballot, VoterSet: decided}, true
	}
	if request.Epoch < decided.Epoch && request.Kind != Recover {
		return Reply{Kind: StaleEpoch, Ballot: request.Ballot, VoterSet: decided}, true
	}
	return Reply{}, false
}

// handlePrepare promises the request's ballot unless a higher one was promised. A repeated Prepare is answered with the
// same promise, as only one round uses a ballot.
func (r *Record) handlePrepare(request *Request) (Reply, Unsynced) {
	if request.Ballot.Compare(r.promised()) < 0 {
		return r.reply(Rejected, request), Unsynced{}
	}
	unsynced := Unsynced{State: r.State.Promised != request.Ballot}
	r.State.Promised = request.Ballot
	return r.replyWithVote(Promise, request), unsynced
}

// handleAccept accepts the request's value under its ballot unless a higher ballot was promised.
func (r *Record) handleAccept(request *Request) (Reply, Unsynced) {
	if request.Ballot.Compare(r.promised()) < 0 {
		return r.reply(Rejected, request), Unsynced{}
	}
	var unsynced Unsynced
	if request.Ballot != r.Vote.Ballot || r.Vote.Learned {
		r.Vote = Vote{Ballot: request.Ballot, Value: request.Value}
		unsynced.Vote = true
	}
	return r.reply(Accepted, request), unsynced
}

// handleRecover records the new disk incarnation of a recovering replica, and reports the promise, vote and voter set that
// the replica needs. The incarnation must be on disk before the reply is sent, as the recovery relies on this voter to
// report it to proposers.
func (r *Record) handleRecover(request *Request) (Reply, Unsynced) {
	if request.DiskIncarnation <= r.State.DiskIncarnations[request.Node] {
		return r.replyToRecover(r.reply(Rejected, request)), Unsynced{}
	}
	r.recordDiskIncarnation(request.Node, request.DiskIncarnation)
	return r.replyToRecover(r.replyWithVote(Reported, request)), Unsynced{State: true}
}

// recordDiskIncarnation sets a replica's disk incarnation in a copy of the map, as r shares the map with the previous
// record. It may drop other entries, but never those of voters in the decided voter set, in the one before it, or in the
// one of the newest vote.
func (r *Record) recordDiskIncarnation(node string, number uint64) {
	incarnations := maps.Clone(r.State.DiskIncarnations)
	if incarnations == nil {
		incarnations = DiskIncarnations{}
	}
	incarnations[node] = number
	decided := r.DecidedVoters()
	voted := &r.Vote.Value.VoterSet
	incarnations.prune(func(other string) bool {
		return other == node || decided.Contains(other) || slices.Contains(decided.Previous, other) || voted.Contains(other)
	})
	r.State.DiskIncarnations = incarnations
}

// reply returns a reply with the fields that a ready acceptor sets in its replies of all kinds.
func (r *Record) reply(kind ReplyKind, request *Request) Reply {
	return Reply{
		Kind:             kind,
		Ballot:           request.Ballot,
		DiskIncarnation:  r.State.DiskIncarnation,
		DiskIncarnations: r.State.DiskIncarnations,
		Promised:         r.promised(),
	}
}

// replyWithVote returns a reply that reports the vote, without the vote's value if the sender already has it.
func (r *Record) replyWithVote(kind ReplyKind, request *Request) Reply {
	reply := r.reply(kind, request)
	reply.Vote = r.Vote
	if request.KnownBallot == r.Vote.Ballot {
		reply.Vote.Value = Value{}
	}
	return reply
}

// replyToRecover returns the reply with the fields added that only a recovery reads.
func (r *Record) replyToRecover(reply Reply) Reply {
	reply.VoterSet = r.DecidedVoters()
	reply.System = r.State.System
	return reply
}
