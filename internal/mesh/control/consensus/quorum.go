package consensus

// majority returns the smallest size at which any two sets of n voters share a voter.
func majority(n int) int { return n/2 + 1 }

// hasMajority reports whether the voters for which has holds are a majority of all.
func hasMajority(voters []string, has func(node string) bool) bool {
	n := 0
	for _, voter := range voters {
		if has(voter) {
			n++
		}
	}
	return n >= majority(len(voters))
}

// hasQuorum reports whether replies come from majorities of all voter sets that the round needs.
func (r *Round) hasQuorum(replies map[string]*Reply) bool {
	has := func(node string) bool { return replies[node] != nil }
	return hasMajority(r.voterSet.Voters, has) && (r.jointVoters == nil || hasMajority(r.jointVoters, has))
}

// quorumImpossible reports whether too many voters have rejected the ballot for a quorum to be reached any more.
func (r *Round) quorumImpossible() bool {
	open := func(node string) bool { return r.replies[node] == nil || r.replies[node].Kind != Rejected }
	return !hasMajority(r.voterSet.Voters, open) || r.jointVoters != nil && !hasMajority(r.jointVoters, open)
}

// countedReplies returns the replies that count towards a quorum. A rejection does not count, and neither does the reply
// of a voter of which another reply reports a newer disk incarnation: that voter has lost its disk since.
func (r *Round) countedReplies() map[string]*Reply {
	counted := map[string]*Reply{}
	for node, reply := range r.replies {
		ok := reply.Kind != Rejected
		for _, other := range r.replies {
			ok = ok && other.DiskIncarnations[node] <= reply.DiskIncarnation
		}
		if ok {
			counted[node] = reply
		}
	}
	return counted
}

// newestVote returns the vote with the highest ballot, and whether a majority of the voter set has accepted it.
func (r *Round) newestVote(counted map[string]*Reply) (newest Vote, committed bool) {
	for _, reply := range counted {
		if reply.Vote.Ballot.Compare(newest.Ballot) > 0 {
			newest = reply.Vote
		}
	}
	if newest.Ballot == r.knownVote.Ballot {
		newest.Value = r.knownVote.Value // left out of the replies
	}
	newest.Learned = false
	return newest, r.countVotes(counted, newest.Ballot) >= majority(len(r.voterSet.Voters))
}

// countVotes returns how many voters have accepted under a ballot, by their replies. Learned votes do not count.
func (r *Round) countVotes(counted map[string]*Reply, ballot Ballot) int {
	n := 0
	for _, voter := range r.voterSet.Voters {
		if reply := counted[voter]; reply != nil && reply.Vote.Ballot == ballot && !reply.Vote.Learned {
			n++
		}
	}
	return n
}

// agreementPossible reports whether the missing replies could still complete a majority for the newest vote.
func (r *Round) agreementPossible(counted map[string]*Reply) bool {
	newest, _ := r.newestVote(counted)
	voters := len(r.voterSet.Voters)
	missing := voters - len(r.replies)
	return r.countVotes(counted, newest.Ballot)+missing >= majority(voters)
}
