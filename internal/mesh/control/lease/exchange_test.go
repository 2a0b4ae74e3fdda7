package lease

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// exchangeRun is one random schedule: three candidates, lists of three voters that are exchanged one by one, messages that are
// late, lost or doubled, candidates that are cut off, steady clocks that differ by up to 5%, voters that restart, and lists that
// are learnt late.
type exchangeRun struct {
	rng        *rand.Rand
	now        time.Duration // real time
	lists      [][]int       // by epoch
	voters     []*exchangeVoter
	candidates []*exchangeCandidate
	messages   []exchangeMessage
	came       int
	carried    int // held on from one list into the next
	newest     uint64
}

type exchangeVoter struct {
	*Voter
	rate     float64 // of its clock
	accepted uint64  // epoch, on disk
	ready    time.Duration
}

type exchangeCandidate struct {
	*Candidate
	rate  float64
	cut   time.Duration // it is cut off before
	known uint64
	under uint64 // epoch of the list under which it asked last while it held
}

type exchangeMessage struct {
	at        time.Duration
	candidate int
	voter     int
	asked     time.Duration // by the candidate's clock
	request   *Request
	reply     *Reply
}

func local(now time.Duration, rate float64) time.Duration { return time.Duration(float64(now) * rate) }

func newExchangeRun(seed uint64) *exchangeRun {
	x := &exchangeRun{rng: rand.New(rand.NewPCG(seed, 44)), lists: [][]int{{0, 1, 2}}}
	rate := func() float64 { return 1 + 0.049*x.rng.Float64() }
	for range 5 {
		x.voters = append(x.voters, &exchangeVoter{Voter: NewVoter(0, true), rate: rate()})
	}
	for i := range 3 {
		c := NewCandidate(fmt.Sprint(i), uint64(i)+1, "d", x.rng.Float64)
		c.SetRank(i)
		x.candidates = append(x.candidates, &exchangeCandidate{Candidate: c, rate: rate()})
	}
	return x
}

// exchange puts one process in the place of one voter: majorities of both lists accept it, then it is chosen.
func (e *exchangeRun) exchange() {
	old := e.lists[len(e.lists)-1]
	next := slices.Clone(old)
	for fresh := e.rng.IntN(5); ; fresh = (fresh + 1) % 5 {
		if !slices.Contains(old, fresh) {
			next[e.rng.IntN(3)] = fresh
			break
		}
	}
	epoch := uint64(len(e.lists))
	for _, list := range [][]int{old, next} {
		for _, i := range e.rng.Perm(3)[:2+e.rng.IntN(2)] {
			e.voters[list[i]].accepted = epoch
		}
	}
	e.lists = append(e.lists, next)
}

func (e *exchangeRun) send(m exchangeMessage) {
	for range 1 + e.rng.IntN(10)/9 { // some arrive twice
		if e.rng.IntN(12) == 0 || e.now < e.candidates[m.candidate].cut {
			continue
		}
		m.at = e.now + time.Duration(e.rng.Int64N(int64(10*time.Millisecond)))
		if e.rng.IntN(8) == 0 {
			m.at += time.Duration(e.rng.Int64N(int64(Duration)))
		}
		e.messages = append(e.messages, m)
	}
}

func (e *exchangeRun) deliver() {
	due := e.messages
	e.messages = nil
	for _, m := range due {
		switch v, c := e.voters[m.voter], e.candidates[m.candidate]; {
		case m.at > e.now:
			e.messages = append(e.messages, m)
		case m.reply == nil:
			var standing VoterStatus // nothing, while the disk is not read
			if e.now >= v.ready {
				standing = VoterStatus{Ready: true, VoterSetEpoch: v.accepted}
			}
			m.reply = v.Handle(local(e.now, v.rate), standing, m.request)
			e.send(m)
		case c.HandleReply(local(e.now, c.rate), m.asked, fmt.Sprint(m.voter), m.reply):
			e.came++
		}
	}
}

// step lets 20 ms pass.
func (e *exchangeRun) step() {
	e.now += 20 * time.Millisecond
	if e.rng.IntN(120) == 0 {
		e.exchange()
	}
	if e.rng.IntN(250) == 0 { // a voter restarts: its grants are forgotten, its disk stays, and is read late
		v := e.voters[e.rng.IntN(5)]
		v.Voter = NewVoter(local(e.now, v.rate), false)
		v.ready = e.now + time.Duration(e.rng.Int64N(int64(2*Duration)))
	}
	if e.rng.IntN(100) == 0 {
		e.candidates[e.rng.IntN(3)].cut = e.now + time.Duration(e.rng.Int64N(int64(3*Duration)))
	}
	e.deliver()
	for i, c := range e.candidates {
		if e.rng.IntN(10) == 0 {
			c.known = max(c.known, uint64(e.rng.IntN(len(e.lists))))
		}
		now := local(e.now, c.rate)
		if e.rng.IntN(500) == 0 {
			c.ObserveToken(now, e.newest)
		}
		request := c.Tick(now, 3, c.known)
		if request == nil {
			continue
		}
		if _, ok := c.Holds(now); ok && c.known > c.under {
			e.carried++
		}
		c.under = c.known
		for _, v := range e.lists[c.known] {
			e.send(exchangeMessage{candidate: i, voter: v, asked: now, request: request})
		}
	}
}

func (e *exchangeRun) holders() (holders []string) {
	for _, c := range e.candidates {
		if number, ok := c.Holds(local(e.now, c.rate)); ok {
			holders = append(holders, fmt.Sprintf("%s under %d", c.self, number))
			e.newest = max(e.newest, number)
		}
	}
	return holders
}

// Never do two hold the lease while voters are exchanged, and it keeps being held.
func TestOneHoldsWhileVotersAreExchanged(t *testing.T) {
	runs, came, carried := 500, 0, 0
	if os.Getenv("SOAK") != "" {
		runs = 40000
	}
	for seed := range uint64(runs) {
		x := newExchangeRun(seed)
		for x.now < 40*time.Second {
			x.step()
			if holders := x.holders(); len(holders) > 1 {
				t.Fatalf("seed %d, %v: %v hold the lease, lists %v", seed, x.now, holders, x.lists)
			}
		}
		came += x.came
		carried += x.carried
	}
	t.Logf("%d runs: the lease came to a process %d times, and was held on into a newer list %d times", runs, came, carried)
	qt.Assert(t, came > runs*5, qt.IsTrue)
	qt.Assert(t, carried > 3*runs, qt.IsTrue)
}

// A holder whose duty is asked for under disjoint majorities: the old list's {a, b} renewed it just before the new list was
// chosen by b, c and d; c and d never heard of the holder. A candidate that knows the new list gets the lease only after the
// holder has stopped, and so does the holder itself, if it loses the lease before that.
func TestDisjointMajorities(t *testing.T) {
	c := qt.New(t)
	zero := func() float64 { return 0 }
	voters := map[string]*Voter{}
	for _, name := range []string{"a", "b", "c", "d"} {
		voters[name] = NewVoter(0, true)
	}
	oldList, newList := []string{"a", "b", "c"}, []string{"b", "c", "d"}
	accepted := map[string]VoterStatus{"a": firstList, "b": firstList, "c": firstList, "d": firstList}
	ask := func(x *Candidate, now time.Duration, list uint64, among []string, reach ...string) bool {
		q := x.Tick(now, len(among), list)
		came := false
		for _, name := range reach {
			if q != nil {
				came = x.HandleReply(now, now, name, voters[name].Handle(now, accepted[name], q)) || came
			}
		}
		return came
	}
	holder, other := NewCandidate("h", 1, "d", zero), NewCandidate("o", 2, "d", zero)
	c.Assert(ask(holder, 0, 0, oldList, "a", "b"), qt.IsTrue)
	first, _ := holder.Holds(0)

	chosen := time.Millisecond
	for _, name := range newList {
		accepted[name] = VoterStatus{Ready: true, VoterSetEpoch: 1}
	}
	c.Assert(ask(holder, renewInterval, 0, oldList, "a", "b"), qt.IsFalse) // b refuses the old list
	c.Assert(ask(other, chosen, 1, newList, "c", "d"), qt.IsFalse)         // too early to ask
	_, ok := holder.Holds(holderDuration - 1)
	c.Assert(ok, qt.IsTrue)
	c.Assert(ask(other, holderDuration, 1, newList, "c", "d"), qt.IsFalse)
	c.Assert(ask(other, chosen+voterChangeDelay, 1, newList, "c", "d"), qt.IsTrue)
	second, _ := other.Holds(chosen + voterChangeDelay)
	c.Assert(second > first, qt.IsTrue)
	_, ok = holder.Holds(chosen + voterChangeDelay)
	c.Assert(ok, qt.IsFalse)

	// The holder learns of the new list while it holds the lease, can't renew it, and waits like any other candidate.
	holder = NewCandidate("h", 3, "e", zero)
	c.Assert(ask(holder, 0, 0, oldList), qt.IsFalse)
	holder.HandleReply(0, 0, "a", &Reply{Grants: []Grant{{Role: "e", Granted: true, FencingToken: 1}}})
	c.Assert(holder.HandleReply(0, 0, "b", &Reply{Grants: []Grant{{Role: "e", Granted: true, FencingToken: 1}}}), qt.IsTrue)
	c.Assert(holder.Tick(holderDuration-1, 3, 1), qt.IsNotNil) // renews under the new list
	for now := holderDuration; now < holderDuration-1+voterChangeDelay; now += retryDelay {
		c.Assert(holder.Tick(now, 3, 1), qt.IsNil)
	}
	c.Assert(holder.Tick(holderDuration-1+voterChangeDelay, 3, 1), qt.IsNotNil)
}

// A late release of an earlier number leaves a newer grant alone; a release in time lets the next candidate in at once.
func TestRelease(t *testing.T) {
	c := qt.New(t)
	zero := func() float64 { return 0 }
	v := NewVoter(0, true)
	a, b := NewCandidate("a", 1, "d", zero), NewCandidate("b", 2, "d", zero)
	c.Assert(a.HandleReply(0, 0, "v", v.Handle(0, firstList, a.Tick(0, 1, 0))), qt.IsTrue)
	late := a.releaseRequest()
	a.ObserveToken(0, 7) // numbers were used that the voter forgot
	c.Assert(a.HandleReply(0, 0, "v", v.Handle(0, firstList, a.Tick(0, 1, 0))), qt.IsFalse)
	number, _ := a.Holds(0)
	c.Assert(number > 7, qt.IsTrue)
	v.Handle(0, firstList, late)
	b.ObserveToken(0, number)
	b.HandleReply(0, 0, "v", v.Handle(0, firstList, b.Tick(0, 1, 0)))
	_, ok := b.Holds(0)
	c.Assert(ok, qt.IsFalse)

	now := 10 * time.Millisecond
	release := a.Resign()
	_, ok = a.Holds(now)
	c.Assert(ok, qt.IsFalse)
	v.Handle(now, firstList, release)
	b.HolderReleased(now, "a")
	c.Assert(b.HandleReply(now, now, "v", v.Handle(now, firstList, b.Tick(now, 1, 0))), qt.IsTrue)
	next, _ := b.Holds(now)
	c.Assert(next > number, qt.IsTrue)
	c.Assert(a.Tick(Duration*5, 1, 0), qt.IsNil)
}

// A voter grants nothing under a list older than the one it accepted, or while it can't say which that is, and tells the epoch.
func TestVoterRefusesOldLists(t *testing.T) {
	c := qt.New(t)
	v := NewVoter(0, true)
	q := &Request{Holder: "a", Incarnation: 1, VoterSetEpoch: 4, Roles: []RoleRequest{{Role: "d", FencingToken: 1}}}
	for _, x := range []struct {
		standing VoterStatus
		given    bool
	}{
		{VoterStatus{Ready: true, VoterSetEpoch: 5}, false},
		{VoterStatus{Ready: false, VoterSetEpoch: 4}, false},
		{VoterStatus{Ready: true, VoterSetEpoch: 4}, true},
		{VoterStatus{Ready: true, VoterSetEpoch: 3}, true},
	} {
		r := v.Handle(0, x.standing, q)
		c.Assert(r.Grants[0].Granted, qt.Equals, x.given)
		c.Assert(r.VoterSetEpoch, qt.Equals, x.standing.VoterSetEpoch)
	}
}

// A candidate that one voter refused, and a majority granted the lease, renews it in time.
func TestHolderRenewsAfterARefusal(t *testing.T) {
	c := qt.New(t)
	x := NewCandidate("x", 1, "d", func() float64 { return 1 })
	x.SetRank(4)
	c.Assert(x.Tick(0, 3, 0), qt.IsNotNil)
	x.HandleReply(0, 0, "a", &Reply{Grants: []Grant{{Role: "d", FencingToken: 1, Holder: "y", Remaining: Duration}}})
	given := &Reply{Grants: []Grant{{Role: "d", Granted: true, FencingToken: 1}}}
	x.HandleReply(0, 0, "b", given)
	c.Assert(x.HandleReply(0, 0, "c", given), qt.IsTrue)
	c.Assert(x.Tick(renewInterval, 3, 0), qt.IsNotNil)
}

// A holder whose clock is slow by 4.9% against the voters' has stopped before they grant the lease to another.
func TestDriftingClocks(t *testing.T) {
	const fast = 1.049
	voter := NewVoter(0, true)
	holder := NewCandidate("h", 1, "d", func() float64 { return 0 })
	qt.Assert(t, holder.HandleReply(0, 0, "v", voter.Handle(0, firstList, holder.Tick(0, 1, 0))), qt.IsTrue)
	for now := time.Duration(0); ; now += time.Millisecond {
		other := &Request{Holder: "o", Incarnation: 2, Roles: []RoleRequest{{Role: "d", FencingToken: 2}}}
		if voter.Handle(local(now, fast), firstList, other).Grants[0].Granted {
			_, holds := holder.Holds(now)
			qt.Assert(t, holds, qt.IsFalse, qt.Commentf("%v after the request", now))
			return
		}
	}
}
