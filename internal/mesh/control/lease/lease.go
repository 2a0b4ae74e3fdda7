// Package lease has duties done by one process at a time: who does a duty holds a lease that a majority of the voters
// granted, and stops before it ends. It does no I/O; time is an argument, on each process's own steady clock.
//
// Why two never hold one duty: a voter counts a lease from when it grants it, the holder from when it asked, which is earlier,
// and stops a driftShare before its end; so while clocks run alike to within that share, the holder has stopped before any of
// the voters that granted it grants it to another. Two majorities share a voter. What voters granted is not kept on a disk: one
// that has started again grants nothing until the longest lease it may have granted has ended.
package lease

import (
	"time"

	"gingerlead/internal/mesh/transport/codec"
)

// Lease is how long a grant lasts.
const (
	Lease      = 1000 * time.Millisecond
	driftShare = 0.05 // by which two steady clocks may differ, and what a step of the holder takes
	renewEach  = Lease / 4
	retryLeast = 150 * time.Millisecond
)

// Ask is a process's wish to do duties, or to go on doing them; all of one process's duties are asked for together.
type Request struct {
	Holder          string // its address
	Incarnation     uint64
	Duties          []Duty
	MembershipEpoch uint64 // the epoch of the voters' list
}

// Duty is one of them, with the fencing number under which it is to be done.
type Duty struct {
	Name    string
	Epoch   uint64
	Release bool // it is given up
}

// Answer is a voter's.
type Reply struct {
	Duties []Grant
}

// Grant says who holds a duty, as far as a voter knows.
type Grant struct {
	Name   string
	Given  bool   // to the asker
	Epoch  uint64 // the highest that the voter has granted
	Holder string // who has it, if not the asker
	Left   time.Duration
}

// Fields names them.
func (a *Request) Fields(v *codec.Visitor) {
	v.Text(1, &a.Holder)
	v.Fixed(2, &a.Incarnation)
	codec.Messages(v, 3, &a.Duties)
	v.Uint(4, &a.MembershipEpoch)
}

// Fields names them.
func (d *Duty) Fields(v *codec.Visitor) {
	v.Text(1, &d.Name)
	v.Uint(2, &d.Epoch)
	v.Bool(3, &d.Release)
}

// Fields names them.
func (a *Reply) Fields(v *codec.Visitor) { codec.Messages(v, 1, &a.Duties) }

// Fields names them.
func (g *Grant) Fields(v *codec.Visitor) {
	v.Text(1, &g.Name)
	v.Bool(2, &g.Given)
	v.Uint(3, &g.Epoch)
	v.Text(4, &g.Holder)
	v.Time(5, &g.Left)
}

const dutiesMost = 4096

// Voter grants leases.
type Voter struct {
	from            time.Duration // it grants nothing before
	leases          map[string]*heldLease
	membershipEpoch uint64 // the newest epoch of a list that it accepted
}

type heldLease struct {
	holder string
	life   uint64
	epoch  uint64
	until  time.Duration
}

// NewVoter makes a voter that starts now. first tells that the whole system starts for the first time: nothing was granted
// before.
func NewVoter(now time.Duration, first bool) *Voter {
	v := &Voter{from: now + Lease, leases: map[string]*heldLease{}}
	if first {
		v.from = now
	}
	return v
}

// Accepted tells the epoch of the newest list that this voter accepted.
func (v *Voter) Accepted(epoch uint64) { v.membershipEpoch = max(v.membershipEpoch, epoch) }

// Take is the one function that changes what a voter has granted.
func (v *Voter) Take(now time.Duration, a *Request) *Reply {
	var out Reply
	for _, d := range a.Duties {
		g := v.leases[d.Name]
		if g == nil {
			if len(v.leases) >= dutiesMost {
				continue
			}
			g = &heldLease{}
			v.leases[d.Name] = g
		}
		mine := g.life == a.Incarnation && g.holder == a.Holder
		switch {
		case d.Release:
			if mine {
				g.until = now
			}
		case now < v.from, a.MembershipEpoch+1 < v.membershipEpoch:
		case mine && d.Epoch >= g.epoch, now >= g.until && d.Epoch > g.epoch:
			*g = heldLease{holder: a.Holder, life: a.Incarnation, epoch: d.Epoch, until: now + Lease}
			out.Duties = append(out.Duties, Grant{Name: d.Name, Given: true, Epoch: d.Epoch})
			continue
		}
		r := Grant{Name: d.Name, Epoch: g.epoch}
		if now < g.until && !mine {
			r.Holder, r.Left = g.holder, g.until-now
		}
		out.Duties = append(out.Duties, r)
	}
	return &out
}

// State is where a candidate stands with its duty.
type State uint8

// The states.
const (
	Idle    State = iota // waits until it may ask
	Asking               // has asked, and holds nothing
	Holding              // does the duty
)

// Candidate is a process that would do one duty.
type Candidate struct {
	self            string
	incarnation     uint64
	name            string
	state           State
	epoch           uint64 // that it asks under, or holds
	seen            uint64 // highest that any voter told of
	asked           time.Duration
	next            time.Duration
	until           time.Duration // it holds, and not a moment longer
	votes           map[string]bool
	voters          int
	holder          string // another that has it
	jitter          func() float64
	need            int
	no              int  // voters that have granted the duty to others, of those asked
	release         bool // what was granted is to be given up: there is no majority in it
	membershipEpoch uint64
	rank            int // its place among those that would do the duty: the later, the longer it waits
}

// NewCandidate makes one that holds nothing. jitter gives numbers from 0 to 1.
func NewCandidate(self string, life uint64, duty string, jitter func() float64) *Candidate {
	return &Candidate{self: self, incarnation: life, name: duty, jitter: jitter}
}

// shift is the one function by which a candidate's state changes.
func (c *Candidate) shift(to State, next time.Duration) {
	c.state, c.next = to, next
}

// Holds tells whether the duty is this process's now, and under which number.
func (c *Candidate) Holds(now time.Duration) (epoch uint64, ok bool) {
	if c.state == Holding && now < c.until {
		return c.epoch, true
	}
	return 0, false
}

// Holder is who has the duty, as far as is known; empty for nobody.
func (c *Candidate) Holder(now time.Duration) string {
	if _, ok := c.Holds(now); ok {
		return c.self
	}
	return c.holder
}

// Rank is this process's place among those that would do the duty, from 0: so that they don't all ask at once, and each get
// some of the votes.
func (c *Candidate) Rank(n int) { c.rank = n }

// Tick gives what is to be asked of all voters now; nil for nothing. list is the epoch of their list.
func (c *Candidate) Tick(now time.Duration, voters int, list uint64) *Request {
	if c.release {
		c.release = false
		return &Request{Holder: c.self, Incarnation: c.incarnation, Duties: []Duty{{Name: c.name, Epoch: c.epoch, Release: true}}}
	}
	if c.state == Holding && now >= c.until {
		c.shift(Idle, now+retryLeast)
	}
	if list != c.membershipEpoch {
		c.membershipEpoch = list
		if c.state != Holding {
			c.shift(Idle, now+Lease+time.Duration(driftShare*float64(Lease)))
		}
	}
	if now < c.next || voters == 0 {
		return nil
	}
	if c.state != Holding {
		c.epoch = c.seen + 1
		c.shift(Asking, 0)
	}
	c.votes, c.asked, c.need, c.no = map[string]bool{}, now, voters/2+1, 0
	c.voters = voters
	c.next = now + renewEach
	if c.state == Asking {
		c.next = now + c.pause()
	}
	return &Request{Holder: c.self, Incarnation: c.incarnation, Duties: []Duty{{Name: c.name, Epoch: c.epoch}}, MembershipEpoch: list}
}

func (c *Candidate) pause() time.Duration {
	return retryLeast*time.Duration(1+c.rank) + time.Duration(c.jitter()*float64(retryLeast))
}

// Take takes a voter's answer to what was asked at a time. It says whether the duty came to this process just now.
func (c *Candidate) Take(now, asked time.Duration, voter string, a *Reply) (came bool) {
	for _, g := range a.Duties {
		if g.Name != c.name {
			continue
		}
		c.seen = max(c.seen, g.Epoch)
		if asked != c.asked {
			continue
		}
		if !g.Given {
			if g.Holder != "" && c.state != Holding {
				c.holder = g.Holder
				c.next = max(c.next, now+min(g.Left, Lease)/2+c.pause())
			}
			if c.no++; c.state == Asking && c.no > c.voters-c.need && len(c.votes) > 0 {
				c.release = true
				c.shift(Idle, max(c.next, now+c.pause()))
			}
			continue
		}
		c.votes[voter] = true
		until := asked + time.Duration((1-driftShare)*float64(Lease))
		if len(c.votes) >= c.need && now < until && c.state != Idle {
			came = c.state != Holding
			c.until, c.holder = until, ""
			c.state = Holding
		}
	}
	return came
}
