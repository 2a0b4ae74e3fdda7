package consensus

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSteward(t *testing.T) {
	here := func(n int, more ...Presence) (core []Presence) {
		for i := range n {
			core = append(core, Presence{Node: fmt.Sprint("v", i), Alive: true, For: 10 * time.Second})
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
	away := func(node string, long time.Duration) Presence { return Presence{Node: node, For: long} }
	dropped := func(p Presence) Presence { p.Dropped = true; return p }
	for name, x := range map[string]struct {
		voters    int
		core      []Presence
		tolerated int
		move      MembershipChange
	}{
		"three are enough for one":        {3, here(5), 1, MembershipChange{}},
		"two want five":                   {3, here(5), 2, MembershipChange{Add: "v3"}},
		"and the fifth":                   {4, here(5), 2, MembershipChange{Add: "v4"}},
		"and no more":                     {5, here(9), 2, MembershipChange{}},
		"not four of four":                {3, here(4), 2, MembershipChange{}},
		"nine are the most":               {9, here(12), 7, MembershipChange{}},
		"from a single one":               {1, here(3), 0, MembershipChange{Add: "v1"}},
		"a single one stays":              {1, here(1), 0, MembershipChange{}},
		"two stay two":                    {2, here(2), 1, MembershipChange{}},
		"who has just come waits":         {3, here(5, Presence{Node: "v4", Alive: true}), 2, MembershipChange{}},
		"a short outage":                  {3, here(4, away("v0", 50*time.Minute)), 1, MembershipChange{}},
		"a long one, with another":        {3, here(4, away("v0", time.Hour)), 1, MembershipChange{Add: "v3"}},
		"then it's removed":               {4, here(4, away("v0", time.Hour)), 1, MembershipChange{Remove: "v0"}},
		"a long one, without another":     {3, here(3, away("v0", time.Hour)), 1, MembershipChange{}},
		"of five, without another":        {5, here(5, away("v0", time.Hour)), 2, MembershipChange{}},
		"dropped by the operator":         {3, here(4, dropped(away("v0", time.Minute))), 1, MembershipChange{Add: "v3"}},
		"dropped, but here":               {3, here(4, dropped(Presence{Node: "v0", Alive: true, For: time.Hour})), 1, MembershipChange{}},
		"dropped, away for a moment":      {3, here(4, dropped(away("v0", 10*time.Second))), 1, MembershipChange{}},
		"an outage while growing":         {4, here(5, away("v0", time.Minute)), 2, MembershipChange{Add: "v4"}},
		"nothing is known of one":         {3, here(4)[1:], 1, MembershipChange{}},
		"who was here longest comes in":   {3, here(6, Presence{Node: "v5", Alive: true, For: time.Hour}), 2, MembershipChange{Add: "v5"}},
		"away voters count while growing": {3, here(5, away("v0", time.Minute)), 2, MembershipChange{Add: "v3"}},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, PlanMembership(list(x.voters), x.core, x.tolerated), qt.Equals, x.move)
		})
	}
	e := list(3)
	e.Retired = []string{"v3"}
	qt.Assert(t, PlanMembership(e, here(6), 2), qt.Equals, MembershipChange{Add: "v4"})
	qt.Assert(t, PlanMembership(e, here(5), 2), qt.Equals, MembershipChange{})
}
