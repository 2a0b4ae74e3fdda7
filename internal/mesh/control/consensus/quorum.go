package consensus

// majority returns the size of the smallest majority of n voters. Any two majorities share a voter.
func majority(n int) int { return n/2 + 1 }

// hasMajority reports whether has returns true for a majority of the voters.
func hasMajority(voters []string, has func(node string) bool) bool {
	n := 0
	for _, voter := range voters {
		if has(voter) {
			n++
		}
	}
	return n >= majority(len(voters))
}

// hasQuorum reports whether the replies come from a majority of the round's voter set and, in a joint step, also from a
// majority of the next voter set.
func (r *Round) hasQuorum(replies map[string]*Reply) bool {
	has := func(node string) bool { return replies[node] != nil }
	return hasMajority(r.voterSet.Voters, has) && (r.jointVoters == nil || hasMajority(r.jointVoters, has))
}

// quorumImpossible reports whether so many voters have rejected the ballot that a quorum can no longer be reached.
func (r *Round) quorumImpossible() bool {
	mayAgree := func(node string) bool { return r.replies[node] == nil || r.replies[node].Kind != Rejected }
	return !hasMajority(r.voterSet.Voters, mayAgree) || r.jointVoters != nil && !hasMajority(r.jointVoters, mayAgree)
}

// countedReplies returns the replies that count towards a quorum, by voter. A rejection does not count. Neither does a
// voter's reply if another reply reports a newer disk incarnation of that voter: it lost its disk after it replied.
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

// newestVote returns the vote with the highest ballot among the counted replies, and whether they show that a majority of
// the round's voter set has accepted it.
func (r *Round) newestVote(counted map[string]*Reply) (newest Vote, committed bool) {
	for _, reply := range counted {
		if reply.Vote.Ballot.Compare(newest.Ballot) > 0 {
			newest = reply.Vote
		}
	}
	if newest.Ballot == r.knownVote.Ballot {
		newest.Value = r.knownVote.Value // the replies omit this value
	}
	newest.Learned = false
	return newest, r.countVotes(counted, newest.Ballot) >= majority(len(r.voterSet.Voters))
}

// countVotes returns the number of voters whose counted replies show that they accepted a value under the ballot. Learned
// votes do not count.
func (r *Round) countVotes(counted map[string]*Reply, ballot Ballot) int {
	n := 0
	for _, voter := range r.voterSet.Voters {
		if reply := counted[voter]; reply != nil && reply.Vote.Ballot == ballot && !reply.Vote.Learned {
			n++
		}
	}
	return n
}

// agreementPossible reports whether the outstanding replies could still complete a majority for the newest vote.
func (r *Round) agreementPossible(counted map[string]*Reply) bool {
	newest, _ := r.newestVote(counted)
	voters := len(r.voterSet.Voters)
	missing := voters - len(r.replies)
	return r.countVotes(counted, newest.Ballot)+missing >= majority(voters)
}
