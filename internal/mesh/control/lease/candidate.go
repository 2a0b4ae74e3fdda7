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

// Candidate is a process that would do one duty.
type Candidate struct {
	self        string
	incarnation uint64
	role        string
	jitter      func() float64
	rank        int

	state          State
	nextRequest    time.Duration // when it may ask or renew
	fencingToken   uint64        // fencing number of the lease it holds
	requestedToken uint64        // fencing number of the newest request
	highestToken   uint64        // highest fencing number it knows of
	heldUntil      time.Duration // it holds the lease, and not a moment longer
	otherHolder    string        // another process that has the lease
	releasePending bool          // what was granted is to be released: there was no majority
	voterSetEpoch  uint64        // epoch of the newest list of voters
	quietUntil     time.Duration // it asks nobody before, as the list is new

	requestedAt time.Duration // time of the newest request
	voterCount  int
	grantedBy   map[string]bool
	rejections  int
}

// NewCandidate makes a candidate that holds nothing. jitter gives numbers from 0 to 1.
func NewCandidate(self string, incarnation uint64, duty string, jitter func() float64) *Candidate {
	return &Candidate{self: self, incarnation: incarnation, role: duty, jitter: jitter}
}

// setState is the only method that changes a candidate's state.
func (c *Candidate) setState(to State, next time.Duration) {
	c.state, c.nextRequest = to, next
}

// Holds reports whether this process has the lease now, and under which fencing number.
func (c *Candidate) Holds(now time.Duration) (epoch uint64, ok bool) {
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

// Holder is the process that has the lease, as far as is known; empty for none. It may be out of date, and serves as a hint.
func (c *Candidate) Holder(now time.Duration) string {
	if _, ok := c.Holds(now); ok {
		return c.self
	}
	return c.otherHolder
}

// SetRank sets this process's place among the candidates, from 0, so that they don't all ask at once and split the votes.
func (c *Candidate) SetRank(n int) { c.rank = n }

// ObserveToken tells of a fencing number that was used. A holder whose own is lower renews under a higher one at once.
func (c *Candidate) ObserveToken(now time.Duration, epoch uint64) {
	c.highestToken = max(c.highestToken, epoch)
	if c.state == Holding && c.highestToken > c.fencingToken {
		c.nextRequest = min(c.nextRequest, now)
	}
}

// HolderReleased tells that another process has given the lease up: candidates ask at once, in the order of their ranks.
func (c *Candidate) HolderReleased(now time.Duration, holder string) {
	if c.state != Idle && c.state != Requesting || c.otherHolder != "" && c.otherHolder != holder {
		return
	}
	c.otherHolder = ""
	c.nextRequest = max(min(c.nextRequest, now+time.Duration(c.rank)*releaseStagger), c.quietUntil)
}

// Resign gives the lease up for good. The request, if there is one, is to be sent to all voters.
func (c *Candidate) Resign() *Request {
	had := c.state == Holding || c.state == Requesting
	c.setState(Resigned, 0)
	if !had {
		return nil
	}
	return c.releaseRequest()
}

func (c *Candidate) releaseRequest() *Request {
	return &Request{
		Holder: c.self, Incarnation: c.incarnation, VoterSetEpoch: c.voterSetEpoch,
		Roles: []RoleRequest{{Role: c.role, FencingToken: c.requestedToken, Release: true}},
	}
}

// Tick gives the request that is to be sent to all voters now; nil for none. list is the epoch of their list.
func (c *Candidate) Tick(now time.Duration, voters int, list uint64) *Request {
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
	if list > c.voterSetEpoch {
		c.adoptVoterSet(now, list)
	}
	if now < c.nextRequest || voters == 0 || list < c.voterSetEpoch {
		return nil
	}
	return c.newRequest(now, voters)
}

// adoptVoterSet takes note of a new list of voters.
func (c *Candidate) adoptVoterSet(now time.Duration, list uint64) {
	c.voterSetEpoch, c.quietUntil = list, now+voterChangeDelay
	if c.state == Holding {
		c.nextRequest = now // renewed by the new voters before the old ones' grants end
		return
	}
	c.setState(Idle, c.quietUntil)
}

func (c *Candidate) newRequest(now time.Duration, voters int) *Request {
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
	c.requestedAt, c.voterCount, c.grantedBy, c.rejections = now, voters, map[string]bool{}, 0
	return &Request{
		Holder: c.self, Incarnation: c.incarnation, VoterSetEpoch: c.voterSetEpoch,
		Roles: []RoleRequest{{Role: c.role, FencingToken: c.requestedToken}},
	}
}

func (c *Candidate) jitteredDelay() time.Duration {
	return retryDelay*time.Duration(1+c.rank) + time.Duration(c.jitter()*float64(retryDelay))
}

// Handle takes a voter's reply to the request that was made at a time. It reports whether this process obtained the lease just now.
func (c *Candidate) HandleReply(now, asked time.Duration, voter string, r *Reply) (came bool) {
	for _, g := range r.Grants {
		if g.Role != c.role || c.state == Resigned {
			continue
		}
		c.highestToken = max(c.highestToken, g.FencingToken)
		switch {
		case asked != c.requestedAt:
		case g.Granted:
			came = c.countGrant(now, voter, g.FencingToken) || came
		default:
			c.countRejection(now, &g)
		}
	}
	return came
}

// countGrant counts a voter's grant.
func (c *Candidate) countGrant(now time.Duration, voter string, epoch uint64) (came bool) {
	if c.state == Idle || epoch != c.requestedToken {
		return false
	}
	c.grantedBy[voter] = true
	until := c.requestedAt + holderDuration
	if len(c.grantedBy) < c.majority() || now >= until {
		return false
	}
	came = c.state != Holding
	c.fencingToken, c.heldUntil, c.otherHolder = c.requestedToken, until, ""
	c.setState(Holding, c.requestedAt+renewInterval) // whatever a voter that refused had it wait for
	return came
}

// countRejection counts a voter's refusal.
func (c *Candidate) countRejection(now time.Duration, g *Grant) {
	if c.state == Holding {
		return
	}
	if g.Holder != "" {
		c.otherHolder = g.Holder
		c.nextRequest = max(c.nextRequest, now+min(g.Remaining, Duration)/2+c.jitteredDelay())
	}
	c.rejections++
	if c.state == Requesting && c.rejections > c.voterCount-c.majority() && len(c.grantedBy) > 0 {
		c.releasePending = true
		c.setState(Idle, max(c.nextRequest, now+c.jitteredDelay()))
	}
}

func (c *Candidate) majority() int { return c.voterCount/2 + 1 }
