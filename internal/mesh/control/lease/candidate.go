package lease

import "time"

// State is a candidate's progress towards its lease.
type State uint8

// The states of a candidate.
const (
	Idle       State = iota // waits until it may request the lease
	Requesting              // has requested the lease and does not hold it
	Holding                 // holds the lease
	Resigned                // never requests the lease again
)

// Candidate is one process's part in obtaining, holding and renewing the lease of one role. It is not safe for concurrent use.
type Candidate struct {
	self        string
	incarnation uint64
	role        string
	jitter      func() float64
	rank        int

	state          State
	nextRequest    time.Duration // when it may request or renew the lease
	fencingToken   uint64        // of the lease that it holds
	requestedToken uint64        // of the newest request
	highestToken   uint64        // the highest that it has seen
	heldUntil      time.Duration // it holds the lease before this time only
	otherHolder    string        // another process that holds the lease; empty if none is known
	releasePending bool          // an attempt was lost, and its grants are to be released
	voterSetEpoch  uint64        // of the newest voter set
	quietUntil     time.Duration // it sends no request before this time unless it holds the lease: the voter set is new
	attempt        attempt       // the newest
}

// NewCandidate returns a candidate for a role. self and incarnation identify the process. jitter returns random numbers from
// 0 to 1, which spread the requests of several candidates over time.
func NewCandidate(self string, incarnation uint64, role string, jitter func() float64) *Candidate {
	return &Candidate{self: self, incarnation: incarnation, role: role, jitter: jitter}
}

// setState is the only method that changes a candidate's state.
func (c *Candidate) setState(state State, nextRequest time.Duration) {
	c.state = state
	c.nextRequest = nextRequest
}

// Holds reports whether this process holds the lease now, and returns its fencing token.
func (c *Candidate) Holds(now time.Duration) (fencingToken uint64, ok bool) {
	if c.state == Holding && now < c.heldUntil {
		return c.fencingToken, true
	}
	return 0, false
}

// Remaining returns how long this process still holds the lease if it is not renewed; 0 if it does not hold it.
func (c *Candidate) Remaining(now time.Duration) time.Duration {
	if _, ok := c.Holds(now); !ok {
		return 0
	}
	return c.heldUntil - now
}

// Holder returns the process that holds the lease, empty if none is known. It is a hint, and may be out of date.
func (c *Candidate) Holder(now time.Duration) string {
	if _, ok := c.Holds(now); ok {
		return c.self
	}
	return c.otherHolder
}

// SetRank sets this process's rank among the candidates, from 0. Candidates of higher ranks wait longer, so that they do not all
// request the lease at once and split the votes.
func (c *Candidate) SetRank(rank int) { c.rank = rank }

// ObserveToken reports to the candidate that a fencing token was used. A holder with a lower token renews at once, under a
// higher one.
func (c *Candidate) ObserveToken(now time.Duration, fencingToken uint64) {
	c.highestToken = max(c.highestToken, fencingToken)
	if c.state == Holding && c.highestToken > c.fencingToken {
		c.nextRequest = min(c.nextRequest, now)
	}
}

// HolderReleased reports to the candidate that another process has released the lease. Candidates then request it soon, in the
// order of their ranks.
func (c *Candidate) HolderReleased(now time.Duration, holder string) {
	waits := c.state == Idle || c.state == Requesting
	if !waits || c.otherHolder != "" && c.otherHolder != holder {
		return
	}
	c.otherHolder = ""
	turn := now + time.Duration(c.rank)*releaseStagger
	c.nextRequest = max(min(c.nextRequest, turn), c.quietUntil)
}

// Resign ends the candidacy for good, and returns the request that releases the lease, to be sent to all voters; nil if there
// is nothing to release.
func (c *Candidate) Resign() *Request {
	mayHaveGrants := c.state == Holding || c.state == Requesting
	c.setState(Resigned, 0)
	if !mayHaveGrants {
		return nil
	}
	return c.releaseRequest()
}

// Tick returns the request to send to all voters now, nil for none. The caller calls it often, many times within
// renewInterval. voterCount and voterSetEpoch are those of the newest voter set that the caller knows.
func (c *Candidate) Tick(now time.Duration, voterCount int, voterSetEpoch uint64) *Request {
	if c.state == Resigned {
		return nil
	}
	if c.releasePending {
		c.releasePending = false
		return c.releaseRequest()
	}
	if c.state == Holding && now >= c.heldUntil {
		c.setState(Idle, max(now+retryDelay, c.quietUntil))
	}
	if voterSetEpoch > c.voterSetEpoch {
		c.adoptVoterSet(now, voterSetEpoch)
	}
	if now < c.nextRequest || voterCount == 0 || voterSetEpoch < c.voterSetEpoch {
		return nil
	}
	return c.newRequest(now, voterCount)
}

// adoptVoterSet starts the quiet time of a new voter set. A holder renews under the new set at once.
func (c *Candidate) adoptVoterSet(now time.Duration, epoch uint64) {
	c.voterSetEpoch = epoch
	c.quietUntil = now + voterChangeDelay
	if c.state == Holding {
		c.nextRequest = now // the new voters have to grant it before the old voters' grants end
		return
	}
	c.setState(Idle, c.quietUntil)
}

// newRequest returns a request for the lease, or for its renewal, and starts a new attempt.
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

// jitteredDelay returns the time until the next attempt. It grows with the rank and has a random part.
func (c *Candidate) jitteredDelay() time.Duration {
	return retryDelay*time.Duration(1+c.rank) + time.Duration(c.jitter()*float64(retryDelay))
}

// HandleReply takes a voter's reply to the request that Tick returned at requestedAt, and reports whether this process has
// obtained the lease by it. Of replies to earlier requests it only uses the fencing tokens.
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

// countGrant counts a voter's grant, and reports whether the candidate has obtained the lease by it.
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
	// An earlier rejection may have put the next request off, but the lease has to be renewed in time.
	c.setState(Holding, c.attempt.requestedAt+renewInterval)
	return obtained
}

// countRejection counts a voter's rejection. Once the attempt is lost, its grants are to be released.
func (c *Candidate) countRejection(now time.Duration, rejection *RoleReply) {
	if c.state == Holding {
		return
	}
	if rejection.Holder != "" {
		c.otherHolder = rejection.Holder
		c.nextRequest = max(c.nextRequest, now+min(rejection.Remaining, Duration)/2+c.jitteredDelay())
	}
	c.attempt.rejections++
	if c.state == Requesting && c.attempt.isLost() && len(c.attempt.grantedBy) > 0 {
		c.releasePending = true
		c.setState(Idle, max(c.nextRequest, now+c.jitteredDelay()))
	}
}
