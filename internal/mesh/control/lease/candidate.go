package lease

import "time"

// State is a candidate's progress towards its lease.
type State uint8

// The states of a candidate.
const (
	Idle     State = iota // waits until it may ask
	Asking                // has asked, and holds nothing
	Holding               // has the lease
	Resigned              // has given up for good
)

// Candidate is a process that would do one duty.
type Candidate struct {
	self        string
	incarnation uint64
	name        string
	jitter      func() float64
	rank        int

	state    State
	next     time.Duration // when it may ask or renew
	epoch    uint64        // fencing number of the lease it holds
	asking   uint64        // fencing number of the newest request
	seen     uint64        // highest fencing number it knows of
	until    time.Duration // it holds the lease, and not a moment longer
	holder   string        // another process that has the lease
	gaveUp   bool          // what was granted is to be released: there was no majority
	list     uint64        // epoch of the newest list of voters
	notUntil time.Duration // it asks nobody before, as the list is new

	asked   time.Duration // time of the newest request
	voters  int
	granted map[string]bool
	refused int
}

// NewCandidate makes a candidate that holds nothing. jitter gives numbers from 0 to 1.
func NewCandidate(self string, incarnation uint64, duty string, jitter func() float64) *Candidate {
	return &Candidate{self: self, incarnation: incarnation, name: duty, jitter: jitter}
}

// shift is the only method that changes a candidate's state.
func (c *Candidate) shift(to State, next time.Duration) {
	c.state, c.next = to, next
}

// Holds reports whether this process has the lease now, and under which fencing number.
func (c *Candidate) Holds(now time.Duration) (epoch uint64, ok bool) {
	if c.state == Holding && now < c.until {
		return c.epoch, true
	}
	return 0, false
}

// Left is how long this process still has the lease if it can't be renewed.
func (c *Candidate) Left(now time.Duration) time.Duration {
	if _, ok := c.Holds(now); !ok {
		return 0
	}
	return c.until - now
}

// Holder is the process that has the lease, as far as is known; empty for none. It may be out of date, and serves as a hint.
func (c *Candidate) Holder(now time.Duration) string {
	if _, ok := c.Holds(now); ok {
		return c.self
	}
	return c.holder
}

// Rank sets this process's place among the candidates, from 0, so that they don't all ask at once and split the votes.
func (c *Candidate) Rank(n int) { c.rank = n }

// Observe tells of a fencing number that was used. A holder whose own is lower renews under a higher one at once.
func (c *Candidate) Observe(now time.Duration, epoch uint64) {
	c.seen = max(c.seen, epoch)
	if c.state == Holding && c.seen > c.epoch {
		c.next = min(c.next, now)
	}
}

// Released tells that another process has given the lease up: candidates ask at once, in the order of their ranks.
func (c *Candidate) Released(now time.Duration, holder string) {
	if c.state != Idle && c.state != Asking || c.holder != "" && c.holder != holder {
		return
	}
	c.holder = ""
	c.next = max(min(c.next, now+time.Duration(c.rank)*releaseGap), c.notUntil)
}

// Resign gives the lease up for good. The request, if there is one, is to be sent to all voters.
func (c *Candidate) Resign() *Request {
	had := c.state == Holding || c.state == Asking
	c.shift(Resigned, 0)
	if !had {
		return nil
	}
	return c.releaseRequest()
}

func (c *Candidate) releaseRequest() *Request {
	return &Request{Holder: c.self, Incarnation: c.incarnation, MembershipEpoch: c.list,
		Duties: []Duty{{Name: c.name, Epoch: c.asking, Release: true}}}
}

// Tick gives the request that is to be sent to all voters now; nil for none. list is the epoch of their list.
func (c *Candidate) Tick(now time.Duration, voters int, list uint64) *Request {
	if c.state == Resigned {
		return nil
	}
	if c.gaveUp {
		c.gaveUp = false
		return c.releaseRequest()
	}
	if c.state == Holding && now >= c.until {
		c.shift(Idle, max(now+retryPause, c.notUntil))
	}
	if list > c.list {
		c.follow(now, list)
	}
	if now < c.next || voters == 0 || list < c.list {
		return nil
	}
	return c.ask(now, voters)
}

// follow takes note of a new list of voters.
func (c *Candidate) follow(now time.Duration, list uint64) {
	c.list, c.notUntil = list, now+listDelay
	if c.state == Holding {
		c.next = now // renewed by the new voters before the old ones' grants end
		return
	}
	c.shift(Idle, c.notUntil)
}

func (c *Candidate) ask(now time.Duration, voters int) *Request {
	switch {
	case c.state != Holding:
		c.asking = max(c.seen, c.list*numbersPerList) + 1
		c.shift(Asking, now+c.pause())
	case c.seen > c.epoch:
		c.asking = c.seen + 1
		c.next = now + renewInterval
	default:
		c.next = now + renewInterval
	}
	c.seen = max(c.seen, c.asking)
	c.asked, c.voters, c.granted, c.refused = now, voters, map[string]bool{}, 0
	return &Request{Holder: c.self, Incarnation: c.incarnation, MembershipEpoch: c.list,
		Duties: []Duty{{Name: c.name, Epoch: c.asking}}}
}

func (c *Candidate) pause() time.Duration {
	return retryPause*time.Duration(1+c.rank) + time.Duration(c.jitter()*float64(retryPause))
}

// Take takes a voter's reply to the request that was made at a time. It reports whether this process obtained the lease just now.
func (c *Candidate) Take(now, asked time.Duration, voter string, r *Reply) (came bool) {
	for _, g := range r.Duties {
		if g.Name != c.name || c.state == Resigned {
			continue
		}
		c.seen = max(c.seen, g.Epoch)
		switch {
		case asked != c.asked:
		case g.Given:
			came = c.grant(now, voter, g.Epoch) || came
		default:
			c.refuse(now, &g)
		}
	}
	return came
}

// grant counts a voter's grant.
func (c *Candidate) grant(now time.Duration, voter string, epoch uint64) (came bool) {
	if c.state == Idle || epoch != c.asking {
		return false
	}
	c.granted[voter] = true
	until := c.asked + holdTime
	if len(c.granted) < c.majority() || now >= until {
		return false
	}
	came = c.state != Holding
	c.epoch, c.until, c.holder = c.asking, until, ""
	c.shift(Holding, c.asked+renewInterval) // whatever a voter that refused had it wait for
	return came
}

// refuse counts a voter's refusal.
func (c *Candidate) refuse(now time.Duration, g *Grant) {
	if c.state == Holding {
		return
	}
	if g.Holder != "" {
		c.holder = g.Holder
		c.next = max(c.next, now+min(g.Left, Lease)/2+c.pause())
	}
	c.refused++
	if c.state == Asking && c.refused > c.voters-c.majority() && len(c.granted) > 0 {
		c.gaveUp = true
		c.shift(Idle, max(c.next, now+c.pause()))
	}
}

func (c *Candidate) majority() int { return c.voters/2 + 1 }
