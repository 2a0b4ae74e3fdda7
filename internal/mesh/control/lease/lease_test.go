package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// firstList is the standing of a voter that knows the first list of voters.
var firstList = VoterStatus{Ready: true}

// Two candidates and three voters, of which one starts again: in every order of delivering or losing each message, at paces
// that let leases run out in between, never do two hold the duty at one time.
func TestOneHolds(t *testing.T) {
	const depth = 7
	var play func(path []int)
	plays := 0
	run := func(path []int) {
		now := time.Duration(0)
		voters := []*Voter{NewVoter(0, true), NewVoter(0, true), NewVoter(0, true)}
		half := func() float64 { return 0.5 }
		cs := []*Candidate{NewCandidate("a", 1, "d", half), NewCandidate("b", 2, "d", half)}
		type mail struct {
			from, voter int
			asked       time.Duration
			ask         *Request
			answer      *Reply
		}
		var post []mail
		for _, step := range path {
			// Steps: deliver the first, the second or the third message; lose the first; time passes; a voter starts again.
			switch {
			case step < 3 && step < len(post):
				m := post[step]
				post = append(append([]mail{}, post[:step]...), post[step+1:]...)
				if m.answer == nil {
					m.answer = voters[m.voter].Handle(now, firstList, m.ask)
					post = append(post, m)
				} else {
					cs[m.from].HandleReply(now, m.asked, string(rune('0'+m.voter)), m.answer)
				}
			case step == 3 && len(post) > 0:
				post = post[1:]
			case step == 4:
				now += Duration/2 - 10*time.Millisecond
				for i, c := range cs {
					if a := c.Tick(now, 3, 0); a != nil {
						for v := range voters {
							post = append(post, mail{from: i, voter: v, asked: now, ask: a})
						}
					}
				}
			case step == 5:
				voters[0] = NewVoter(now, false)
			}
			_, one := cs[0].Holds(now)
			_, two := cs[1].Holds(now)
			if one && two {
				t.Fatalf("both hold after %v", path)
			}
		}
		plays++
	}
	play = func(path []int) {
		if len(path) == depth {
			run(path)
			return
		}
		for s := range 6 {
			if len(path) == 0 && s != 4 {
				continue
			}
			play(append(path, s))
		}
	}
	play(nil)
	// And longer ones by chance, where leases come and go many times.
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		path := []int{4}
		for range 60 {
			path = append(path, []int{0, 0, 0, 1, 2, 2, 3, 4, 4, 5}[rng.IntN(10)])
		}
		run(path)
	}
	t.Logf("%d orders", plays)
}

func TestHolderStopsBeforeAnotherIsGranted(t *testing.T) {
	c := qt.New(t)
	v := NewVoter(0, true)
	a := NewCandidate("a", 1, "d", func() float64 { return 0 })
	ask := a.Tick(0, 1, 0)
	c.Assert(a.HandleReply(time.Millisecond, 0, "v", v.Handle(time.Millisecond, firstList, ask)), qt.IsTrue)
	first, ok := a.Holds(Duration / 2)
	c.Assert(ok, qt.IsTrue)
	_, ok = a.Holds(Duration)
	c.Assert(ok, qt.IsFalse)
	other := &Request{Holder: "b", Incarnation: 2, Roles: []RoleRequest{{Role: "d", FencingToken: first + 1}}}
	c.Assert(v.Handle(Duration, firstList, other).Grants[0].Granted, qt.IsFalse)
	c.Assert(v.Handle(Duration+time.Millisecond, firstList, other).Grants[0].Granted, qt.IsTrue)
	// The first one's number is of the past now.
	c.Assert(v.Handle(3*Duration, firstList, &Request{Holder: "a", Incarnation: 1, Roles: []RoleRequest{{Role: "d", FencingToken: first}}}).Grants[0].Granted, qt.IsFalse)
	// A voter that has started again waits.
	v = NewVoter(4*Duration, false)
	c.Assert(v.Handle(5*Duration-1, firstList, other).Grants[0].Granted, qt.IsFalse)
}

// While the voters' list goes from three to five, one by one, and each candidate and voter learns of it at any time, never do two
// hold the duty, though majorities of the first list and the last share nobody.
func TestOneHoldsWhileVotersChange(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	came, both := 0, 0
	for range 20000 {
		now, decided := time.Duration(0), uint64(0)
		var voters []*Voter
		accepted := make([]uint64, 5)
		for range 5 {
			voters = append(voters, NewVoter(0, true))
		}
		half := func() float64 { return rng.Float64() }
		cs := []*Candidate{NewCandidate("a", 1, "d", half), NewCandidate("b", 2, "d", half)}
		known := make([]uint64, 2)
		for range 80 {
			now += time.Duration(rng.Int64N(int64(Duration / 3)))
			if decided < 2 && rng.IntN(8) == 0 { // a majority of the list so far accepts the next one
				n := int(decided) + 3
				decided++
				for _, v := range rng.Perm(n)[:n/2+1] {
					accepted[v] = decided
				}
				accepted[n] = decided
			}
			i := rng.IntN(2)
			if rng.IntN(6) == 0 {
				known[i] = decided
			}
			n := int(known[i]) + 3
			ask := cs[i].Tick(now, n, known[i])
			if ask == nil {
				continue
			}
			for _, v := range rng.Perm(n)[:n/2+1+rng.IntN(n/2)] {
				standing := VoterStatus{Ready: true, VoterSetEpoch: accepted[v]}
				if cs[i].HandleReply(now, now, string(rune('0'+v)), voters[v].Handle(now, standing, ask)) {
					came++
				}
			}
			_, one := cs[0].Holds(now)
			_, two := cs[1].Holds(now)
			if one && two {
				both++
			}
		}
	}
	t.Logf("the duty came to one %d times", came)
	qt.Assert(t, both, qt.Equals, 0)
	qt.Assert(t, came > 20000, qt.IsTrue)
}
