package consensus

import (
	"maps"
	"slices"
)

// Handle answers a request and returns the next record. r is a copy, which the methods for the kinds of requests change;
// the caller's record stays as it is. If Handle returns parts that are unsynced, the next record must be on disk before
// the reply leaves and before the replica answers anything else. If that write fails, it is not known what the disk
// holds, and the record has to be read again. Commit is not handled here, as it changes no record by itself.
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

// rejectVoterSet returns the rejection of a request whose voter set is older than, or conflicts with, the one that is
// known here to be decided. A recovering replica is answered under any epoch, as it learns the newest one from the reply.
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

// handlePrepare promises the request's ballot unless a higher one was promised. A round that asks twice gets the same
// promise again: no other round has its ballot.
func (r *Record) handlePrepare(request *Request) (Reply, Unsynced) {
	if request.Ballot.Compare(r.promised()) < 0 {
		return r.reply(Rejected, request), Unsynced{}
	}
	unsynced := Unsynced{State: r.State.Promised != request.Ballot}
	r.State.Promised = request.Ballot
	return r.replyWithVote(Promise, request), unsynced
}

// handleAccept accepts the request's value unless a higher ballot was promised.
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

// handleRecover records the disk incarnation that a replica begins, and reports what the replica needs. The incarnation
// has to be on disk before the reply leaves, as the recovery relies on this voter to report it to proposers.
func (r *Record) handleRecover(request *Request) (Reply, Unsynced) {
	if request.DiskIncarnation <= r.State.DiskIncarnations[request.Node] {
		return r.replyToRecover(r.reply(Rejected, request)), Unsynced{}
	}
	r.noteDiskIncarnation(request.Node, request.DiskIncarnation)
	return r.replyToRecover(r.replyWithVote(Reported, request)), Unsynced{State: true}
}

// noteDiskIncarnation records a replica's disk incarnation in a copy of the map, which r shares with the previous record.
// The incarnations of voters in the decided voter set, and in the ones before and after it, are never dropped.
func (r *Record) noteDiskIncarnation(node string, number uint64) {
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

// reply returns a reply with the fields that every reply of a ready acceptor has.
func (r *Record) reply(kind ReplyKind, request *Request) Reply {
	return Reply{
		Kind:             kind,
		Ballot:           request.Ballot,
		DiskIncarnation:  r.State.DiskIncarnation,
		DiskIncarnations: r.State.DiskIncarnations,
		Promised:         r.promised(),
	}
}

// replyWithVote returns a reply that reports the vote, without its value if the sender already has it.
func (r *Record) replyWithVote(kind ReplyKind, request *Request) Reply {
	reply := r.reply(kind, request)
	reply.Vote = r.Vote
	if request.KnownBallot == r.Vote.Ballot {
		reply.Vote.Value = Value{}
	}
	return reply
}

// replyToRecover adds the fields that only a recovery reads.
func (r *Record) replyToRecover(reply Reply) Reply {
	reply.VoterSet = r.DecidedVoters()
	reply.System = r.State.System
	return reply
}
