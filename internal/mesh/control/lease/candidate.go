package lease

import "time"

// State is the state of a candidate.
type State uint8

// The states of a candidate.
const (
	Idle       State = iota // the candidate waits until it may request the lease
	Requesting              // the candidate has requested the lease, and does not hold it yet
	Holding                 // the candidate holds the lease, unless it has expired
	Resigned                // the candidate never requests the lease again
)

// Candidate obtains, holds and renews the lease of one role for one process. It is not safe for concurrent use.
type Candidate struct {
	self        string
	incarnation uint64
	role        string
	jitter      func() float64
	rank        int

	state           State
	nextRequest     time.Duration // the earliest time of the next request or renewal
	fencingToken    uint64        // the fencing token of the lease that this process holds
	requestedToken  uint64        // the fencing token of the newest request
	highestToken    uint64        // the highest fencing token that this process has seen
	heldUntil       time.Duration // the time at which the lease ends for this process
	otherHolder     string        // another process that holds the lease; empty if none is known
	releasePending  bool          // the next Tick returns a release, as some voters granted an attempt that failed
	voterSetEpoch   uint64        // the epoch of the newest voter set
	noRequestBefore time.Duration // after a change of the voters: the time before which only a holder sends requests
	attempt         attempt       // the newest attempt
}

// NewCandidate returns a candidate for a role. self and incarnation identify the process. jitter returns random numbers from
// 0 to 1, which spread the requests of the candidates over time.
func NewCandidate(self string, incarnation uint64, role string, jitter func() float64) *Candidate {
	return &Candidate{self: self, incarnation: incarnation, role: role, jitter: jitter}
}

// setState is the only method that changes a candidate's state.
func (c *Candidate) setState(state State, nextRequest time.Duration) {
	c.state = state
	c.nextRequest = nextRequest
}

// Holds reports whether this process holds the lease at the time now, and returns the lease's fencing token if it does.
func (c *Candidate) Holds(now time.Duration) (fencingToken uint64, ok bool) {
	if c.state == Holding && now < c.heldUntil {
		return c.fencingToken, true
	}
	return 0, false
}

// Remaining returns the time until the lease that this process holds expires unless renewed; 0 if it does not hold the lease.
func (c *Candidate) Remaining(now time.Duration) time.Duration {
	if _, ok := c.Holds(now); !ok {
		return 0
	}
	return c.heldUntil - now
}

// Holder returns the process that holds the lease, or "" if none is known. It is a hint, and may be out of date.
func (c *Candidate) Holder(now time.Duration) string {
	if _, ok := c.Holds(now); ok {
		return c.self
	}
	return c.otherHolder
}

// SetRank sets this process's rank among the candidates, which starts at 0. Candidates of higher ranks wait longer before they
// request the lease, so that they do not all request it at once and split the votes.
func (c *Candidate) SetRank(rank int) { c.rank = rank }

// ObserveToken tells the candidate that a fencing token was used. If this process holds the lease under a lower token, the
// next Tick renews the lease under a token above the observed one.
func (c *Candidate) ObserveToken(now time.Duration, fencingToken uint64) {
	c.highestToken = max(c.highestToken, fencingToken)
	if c.state == Holding && c.highestToken > c.fencingToken {
		c.nextRequest = min(c.nextRequest, now)
	}
}

// HolderReleased tells the candidate that another process has released the lease. The candidates then request it soon, in the
// order of their ranks, releaseStagger apart.
func (c *Candidate) HolderReleased(now time.Duration, holder string) {
	isWaiting := c.state == Idle || c.state == Requesting
	if !isWaiting || c.otherHolder != "" && c.otherHolder != holder {
		return
	}
	c.otherHolder = ""
	earliest := now + time.Duration(c.rank)*releaseStagger
	c.nextRequest = max(min(c.nextRequest, earliest), c.noRequestBefore)
}

// Resign permanently ends the candidacy. It returns the request that releases the lease, which the caller sends to all voters,
// or nil if there is nothing to release.
func (c *Candidate) Resign() *Request {
	mayHaveGrants := c.state == Holding || c.state == Requesting
	c.setState(Resigned, 0)
	if !mayHaveGrants {
		return nil
	}
	return c.releaseRequest()
}

// Tick returns the request to send to all voters now, or nil if none is due. It must be called often, many times within
// renewInterval. voterCount and voterSetEpoch describe the newest voter set that the caller knows.
func (c *Candidate) Tick(now time.Duration, voterCount int, voterSetEpoch uint64) *Request {
	if c.state == Resigned {
		return nil
	}
	if c.releasePending {
		c.releasePending = false
		return c.releaseRequest()
	}
	if c.state == Holding && now >= c.heldUntil {
		c.setState(Idle, max(now+retryDelay, c.noRequestBefore))
	}
	if voterSetEpoch > c.voterSetEpoch {
		c.adoptVoterSet(now, voterSetEpoch)
	}
	if now < c.nextRequest || voterCount == 0 || voterSetEpoch < c.voterSetEpoch {
		return nil
	}
	return c.newRequest(now, voterCount)
}

// adoptVoterSet records the epoch of a new voter set. A holder then renews at once under the new set; other candidates send no
// request for voterChangeDelay.
func (c *Candidate) adoptVoterSet(now time.Duration, epoch uint64) {
	c.voterSetEpoch = epoch
	c.noRequestBefore = now + voterChangeDelay
	if c.state == Holding {
		c.nextRequest = now // the new voters have to grant the lease before the old voters' grants end
		return
	}
	c.setState(Idle, c.noRequestBefore)
}

// newRequest starts a new attempt, and returns the request for the lease or for its renewal.
func (c *Candidate) newRequest(now time.Duration, voterCount int) *Request {
	switch {
	case c.state != Holding:
		c.requestedToken = max(c.highestToken, c.voterSetEpoch*tokensPerVoterSet) + 1
		c.setState(Requesting, now+c.jitteredDelay())
	case c.highestToken > c.fencingToken:
		c.requestedToken = c.highestToken + 1
		c.nextRequest = now + renewInterval
	default:
		c.nextRequest = now + renewInterval
	}
	c.highestToken = max(c.highestToken, c.requestedToken)
	c.attempt = attempt{requestedAt: now, voterCount: voterCount, grantedBy: map[string]bool{}}
	return c.request(RoleRequest{Role: c.role, FencingToken: c.requestedToken})
}

func (c *Candidate) releaseRequest() *Request {
	return c.request(RoleRequest{Role: c.role, FencingToken: c.requestedToken, Release: true})
}

func (c *Candidate) request(role RoleRequest) *Request {
	return &Request{Holder: c.self, Incarnation: c.incarnation, VoterSetEpoch: c.voterSetEpoch, Roles: []RoleRequest{role}}
}

// jitteredDelay returns the delay before the next attempt, which grows with the rank and is partly random.
func (c *Candidate) jitteredDelay() time.Duration {
	return retryDelay*time.Duration(1+c.rank) + time.Duration(c.jitter()*float64(retryDelay))
}

// HandleReply processes a voter's reply to the request that Tick returned at requestedAt, and reports whether this process has
// obtained the lease because of it. Of a reply to an earlier request it only uses the fencing tokens.
func (c *Candidate) HandleReply(now, requestedAt time.Duration, voter string, reply *Reply) (obtained bool) {
	for i := range reply.Grants {
		grant := &reply.Grants[i]
		if grant.Role != c.role || c.state == Resigned {
			continue
		}
		c.highestToken = max(c.highestToken, grant.FencingToken)
		switch {
		case requestedAt != c.attempt.requestedAt:
		case grant.Granted:
			obtained = c.countGrant(now, voter, grant.FencingToken) || obtained
		default:
			c.countRejection(now, grant)
		}
	}
	return obtained
}

// countGrant counts a voter's grant, and reports whether the candidate has obtained the lease because of it. A renewal does
// not count as obtaining the lease.
func (c *Candidate) countGrant(now time.Duration, voter string, fencingToken uint64) (obtained bool) {
	if c.state == Idle || fencingToken != c.requestedToken {
		return false
	}
	c.attempt.grantedBy[voter] = true
	until := c.attempt.requestedAt + holderDuration
	if !c.attempt.isGranted() || now >= until {
		return false
	}
	obtained = c.state != Holding
	c.fencingToken = c.requestedToken
	c.heldUntil = until
	c.otherHolder = ""
	// An earlier rejection may have postponed the next request, but the lease has to be renewed in time.
	c.setState(Holding, c.attempt.requestedAt+renewInterval)
	return obtained
}

// countRejection counts a voter's rejection, and postpones the next request if another process holds the lease. If a majority can
// no longer grant the request, but some voters did, the candidate becomes Idle, and the next Tick releases these grants.
func (c *Candidate) countRejection(now time.Duration, rejection *RoleReply) {
	if c.state == Holding {
		return
	}
	if rejection.Holder != "" {
		c.otherHolder = rejection.Holder
		c.nextRequest = max(c.nextRequest, now+min(rejection.Remaining, Duration)/2+c.jitteredDelay())
	}
	c.attempt.rejections++
	if c.state == Requesting && c.attempt.majorityImpossible() && len(c.attempt.grantedBy) > 0 {
		c.releasePending = true
		c.setState(Idle, max(c.nextRequest, now+c.jitteredDelay()))
	}
}
