package consensus

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPlanMembership(t *testing.T) {
	alive := func(n int, more ...Presence) (core []Presence) {
		for i := range n {
			core = append(core, Presence{Node: fmt.Sprint("v", i), Alive: true, Ready: true, For: 10 * time.Second})
		}
		for _, p := range more {
			for i := range core {
				if core[i].Node == p.Node {
					core[i] = p
				}
			}
		}
		return core
	}
	away := func(node string, long time.Duration) Presence { return Presence{Node: node, For: long, SilentAt: 2} }
	told := func(p Presence, voters int) Presence { p.SilentAt = voters; return p }
	dropped := func(p Presence) Presence { p.Dropped = true; return p }
	unready := Presence{Node: "v3", Alive: true, For: time.Hour}
	for name, x := range map[string]struct {
		voters    int
		core      []Presence
		tolerated int
		change    MembershipChange
	}{
		"three are enough for one":             {3, alive(5), 1, MembershipChange{}},
		"two want five":                        {3, alive(5), 2, MembershipChange{Add: "v3"}},
		"and the fifth":                        {4, alive(5), 2, MembershipChange{Add: "v4"}},
		"and no more":                          {5, alive(9), 2, MembershipChange{}},
		"not four of four":                     {3, alive(4), 2, MembershipChange{}},
		"nine are the most":                    {9, alive(12), 7, MembershipChange{}},
		"from a single one":                    {1, alive(3), 0, MembershipChange{Add: "v1"}},
		"a single one stays":                   {1, alive(1), 0, MembershipChange{}},
		"two stay two":                         {2, alive(2), 1, MembershipChange{}},
		"who has just come waits":              {3, alive(5, Presence{Node: "v4", Alive: true, Ready: true}), 2, MembershipChange{}},
		"who isn't ready waits":                {3, alive(4, away("v0", time.Hour), unready), 1, MembershipChange{}},
		"a short silence":                      {3, alive(4, away("v0", ReplaceDelay-1)), 1, MembershipChange{}},
		"a silence, with another":              {3, alive(4, away("v0", ReplaceDelay)), 1, MembershipChange{Add: "v3", Remove: "v0"}},
		"a silence that only one reports":      {3, alive(4, told(away("v0", time.Hour), 1)), 1, MembershipChange{}},
		"a silence that two of five report":    {5, alive(6, away("v0", time.Hour)), 2, MembershipChange{}},
		"a silence that three of five report":  {5, alive(6, told(away("v0", time.Hour), 3)), 2, MembershipChange{Add: "v5", Remove: "v0"}},
		"a silence, without another":           {3, alive(3, away("v0", time.Hour)), 1, MembershipChange{}},
		"of five, without another":             {5, alive(5, told(away("v0", time.Hour), 3)), 2, MembershipChange{}},
		"one too many, and it is silent":       {4, alive(4, told(away("v0", time.Hour), 3)), 1, MembershipChange{Remove: "v0"}},
		"one too many, and all answer":         {4, alive(5), 1, MembershipChange{}},
		"dropped by the operator, but here":    {3, alive(4, dropped(Presence{Node: "v0", Alive: true, For: time.Hour})), 1, MembershipChange{}},
		"who isn't dropped comes first":        {3, alive(5, away("v0", time.Hour), dropped(Presence{Node: "v3", Alive: true, Ready: true, For: time.Hour})), 1, MembershipChange{Add: "v4", Remove: "v0"}},
		"but a dropped one is better than one": {3, alive(4, away("v0", time.Hour), dropped(Presence{Node: "v3", Alive: true, Ready: true, For: time.Hour})), 1, MembershipChange{Add: "v3", Remove: "v0"}},
		"a silence while growing":              {3, alive(5, away("v0", time.Minute)), 2, MembershipChange{Add: "v3", Remove: "v0"}},
		"nothing is known of one":              {3, alive(4)[1:], 1, MembershipChange{}},
		"who was here longest comes in":        {3, alive(6, Presence{Node: "v5", Alive: true, Ready: true, For: time.Hour}), 2, MembershipChange{Add: "v5"}},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, PlanMembership(list(x.voters), x.core, x.tolerated), qt.Equals, x.change)
		})
	}
	e := list(3)
	e.Retired = []string{"v3"}
	qt.Assert(t, PlanMembership(e, alive(6), 2), qt.Equals, MembershipChange{Add: "v4"})
	qt.Assert(t, PlanMembership(e, alive(5), 2), qt.Equals, MembershipChange{})

	qt.Assert(t, PlanHandover(list(3), alive(4), "v1"), qt.Equals, MembershipChange{Add: "v3", Remove: "v1"})
	qt.Assert(t, PlanHandover(list(3), alive(3), "v1"), qt.Equals, MembershipChange{})
	qt.Assert(t, PlanHandover(list(3), alive(4, unready), "v1"), qt.Equals, MembershipChange{})
	qt.Assert(t, PlanHandover(list(3), alive(4), "v3"), qt.Equals, MembershipChange{})
	qt.Assert(t, PlanHandover(e, alive(4), "v1"), qt.Equals, MembershipChange{})
}

// Whatever peers ask, a replica remembers a bounded number of incarnations, and those of voters.
func TestIncarnationsAreBounded(t *testing.T) {
	r := FirstRecord("v0", list(3).Voters)
	for i := range 3 * incarnationsMax {
		node := fmt.Sprint("x", i)
		if i == 5 {
			node = "v1"
		}
		_, r, _ = r.Handle(&Request{Kind: Recover, Node: node, Incarnation: uint64(10 + i)})
	}
	qt.Assert(t, len(r.State.Incarnations), qt.Equals, incarnationsMax)
	qt.Assert(t, r.State.Incarnations["v1"], qt.Equals, uint64(15))
	qt.Assert(t, r.State.Incarnations[fmt.Sprint("x", 3*incarnationsMax-1)] > 0, qt.IsTrue)
}

// A replica without a record needs answers of n-m+1 others of a list that it is in, and of a majority of one that it isn't in;
// of a list that is only proposed it needs them as well.
func TestRecoveryReadsFromEnough(t *testing.T) {
	told := func(v Vote) *Reply { return &Reply{Kind: Reported, Incarnation: 1, Vote: v} }
	for _, x := range []struct {
		voters int
		inside bool
		enough int
	}{{3, true, 2}, {4, true, 2}, {5, true, 3}, {7, true, 4}, {1, false, 1}, {3, false, 2}, {4, false, 3}, {5, false, 3}, {7, false, 4}} {
		self := "x"
		if x.inside {
			self = "v0"
		}
		y, _ := NewRecovery(self, list(x.voters), 9, false)
		answered := 0
		for i, node := range y.Nodes() {
			answered++
			if _, ok := y.Step(node, told(Vote{})); ok {
				break
			}
			qt.Assert(t, i < x.voters, qt.IsTrue)
		}
		qt.Assert(t, answered, qt.Equals, x.enough, qt.Commentf("%+v", x))
	}
	proposed := *NewMembershipChange(list(3), MembershipChange{Add: "x", Remove: "v0"}).next
	y, _ := NewRecovery("x", list(3), 9, false)
	_, ok := y.Step("v0", told(Vote{Ballot: Ballot{1, "p"}, Value: Value{Membership: proposed}}))
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = y.Step("v1", told(Vote{}))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("of v1, v2, x both others are needed"))
	r, ok := y.Step("v2", told(Vote{}))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, r.Vote.Learned, qt.IsTrue)
}

// A voter writes the newer list of a request down before it answers, and refuses one that contradicts its own.
func TestListsComeWithRequests(t *testing.T) {
	r := FirstRecord("v0", list(3).Voters)
	newer := *NewMembershipChange(list(3), MembershipChange{Add: "v3", Remove: "v2"}).next
	for _, kind := range []RequestKind{ReadVote, Prepare, Accept, Recover} {
		q := &Request{Kind: kind, Ballot: Ballot{5, "p"}, Epoch: 1, Membership: newer, Node: "x", Incarnation: 7}
		reply, next, changed := r.Handle(q)
		qt.Assert(t, reply.Kind != StaleEpoch && reply.Kind != OtherList, qt.IsTrue)
		qt.Assert(t, changed.State, qt.IsTrue)
		qt.Assert(t, next.Decided().Voters, qt.DeepEquals, newer.Voters)
		other := newer
		other.Voters = []string{"v0", "v1", "v9"}
		q.Membership = other
		reply, after, changed := next.Handle(q)
		qt.Assert(t, reply.Kind, qt.Equals, OtherList)
		qt.Assert(t, changed.Any(), qt.IsFalse)
		qt.Assert(t, after.Decided().Voters, qt.DeepEquals, newer.Voters)
	}
}
