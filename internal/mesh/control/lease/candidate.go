package lease

import "time"

// State is a candidate's progress towards its lease.
type State uint8

// The states of a candidate.
const (
	Idle       State = iota // waits until it may ask
	Requesting              // has asked, and holds nothing
	Holding                 // has the lease
	Resigned                // has given up for good
)

// Candidate is a process that would play one role.
type Candidate struct {
	self        string
	incarnation uint64
	role        string
	jitter      func() float64
	rank        int

	state          State
	nextRequest    time.Duration // when it may ask or renew
	fencingToken   uint64        // of the lease it holds
	requestedToken uint64        // of the newest request
	highestToken   uint64        // the highest it knows of
	heldUntil      time.Duration // it holds the lease before, and not a moment longer
	otherHolder    string        // another process that has the lease
	releasePending bool          // what was granted is to be released: there was no majority
	voterSetEpoch  uint64        // of the newest voter set
	quietUntil     time.Duration // it asks nobody before, as the voter set is new
	attempt        attempt
}

// NewCandidate makes a candidate for a role that holds nothing. self and incarnation name the process; jitter returns
// numbers from 0 to 1, by which requests of several candidates are spread.
func NewCandidate(self string, incarnation uint64, role string, jitter func() float64) *Candidate {
	return &Candidate{self: self, incarnation: incarnation, role: role, jitter: jitter}
}

// setState is the only method that changes a candidate's state.
func (c *Candidate) setState(state State, nextRequest time.Duration) {
	c.state = state
	c.nextRequest = nextRequest
}

// Holds reports whether this process has the lease now, and under which fencing token.
func (c *Candidate) Holds(now time.Duration) (fencingToken uint64, ok bool) {
	if c.state == Holding && now < c.heldUntil {
		return c.fencingToken, true
	}
	return 0, false
}

// Remaining is how long this process still has the lease if it can't be renewed.
func (c *Candidate) Remaining(now time.Duration) time.Duration {
	if _, ok := c.Holds(now); !ok {
		return 0
	}
	return c.heldUntil - now
}

// Holder is the process that has the lease, as far as is known; empty for none. It may be out of date, and serves as a
// hint.
func (c *Candidate) Holder(now time.Duration) string {
	if _, ok := c.Holds(now); ok {
		return c.self
	}
	return c.otherHolder
}

// SetRank sets this process's rank among the candidates, from 0, so that they don't all ask at once and split the votes.
func (c *Candidate) SetRank(rank int) { c.rank = rank }

// ObserveToken reports a fencing token that was used. A holder whose own is lower renews under a higher one at once.
func (c *Candidate) ObserveToken(now time.Duration, fencingToken uint64) {
	c.highestToken = max(c.highestToken, fencingToken)
	if c.state == Holding && c.highestToken > c.fencingToken {
		c.nextRequest = min(c.nextRequest, now)
	}
}

// HolderReleased reports that another process has released the lease: candidates ask at once, in the order of their
// ranks.
func (c *Candidate) HolderReleased(now time.Duration, holder string) {
	waits := c.state == Idle || c.state == Requesting
	if !waits || c.otherHolder != "" && c.otherHolder != holder {
		return
	}
	c.otherHolder = ""
	turn := now + time.Duration(c.rank)*releaseStagger
	c.nextRequest = max(min(c.nextRequest, turn), c.quietUntil)
}

// Resign gives the role up for good. The request, if there is one, is to be sent to all voters.
func (c *Candidate) Resign() *Request {
	mayHaveGrants := c.state == Holding || c.state == Requesting
	c.setState(Resigned, 0)
	if !mayHaveGrants {
		return nil
	}
	return c.releaseRequest()
}

// Tick returns the request that is to be sent to all voters now; nil for none. voterCount and voterSetEpoch are those of
// the newest voter set that the caller knows.
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

// adoptVoterSet takes note of a new voter set.
func (c *Candidate) adoptVoterSet(now time.Duration, epoch uint64) {
	c.voterSetEpoch = epoch
	c.quietUntil = now + voterChangeDelay
	if c.state == Holding {
		c.nextRequest = now // renewed by the new voters before the old ones' grants end
		return
	}
	c.setState(Idle, c.quietUntil)
}

// newRequest asks for the lease, or renews it, and forgets the replies to earlier requests.
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

// jitteredDelay is the time until the next attempt: longer for each rank, and spread by chance.
func (c *Candidate) jitteredDelay() time.Duration {
	return retryDelay*time.Duration(1+c.rank) + time.Duration(c.jitter()*float64(retryDelay))
}

// HandleReply takes a voter's reply to the request that Tick returned at requestedAt; replies to earlier requests only
// report fencing tokens. It reports whether this process obtained the lease just now.
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

// countGrant counts a voter's grant, and reports whether it is the one by which the candidate came to hold the lease.
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
	// Whatever a voter that rejected the request had this candidate wait for, the lease has to be renewed in time.
	c.setState(Holding, c.attempt.requestedAt+renewInterval)
	return obtained
}

// countRejection counts a voter's rejection. Once a majority can't be had any more, what was granted is released.
func (c *Candidate) countRejection(now time.Duration, rejection *Grant) {
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
