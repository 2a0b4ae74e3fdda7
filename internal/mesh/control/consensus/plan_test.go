package consensus

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPlanMembership(t *testing.T) {
	alive := func(n int, more ...PeerStatus) (core []PeerStatus) {
		for i := range n {
			core = append(core, PeerStatus{Node: fmt.Sprint("v", i), Responsive: true, Ready: true, StateDuration: 10 * time.Second})
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
	away := func(node string, long time.Duration) PeerStatus {
		return PeerStatus{Node: node, StateDuration: long, UnresponsiveReports: 2}
	}
	told := func(p PeerStatus, voters int) PeerStatus { p.UnresponsiveReports = voters; return p }
	dropped := func(p PeerStatus) PeerStatus { p.RemovedFromSeeds = true; return p }
	unready := PeerStatus{Node: "v3", Responsive: true, StateDuration: time.Hour}
	for name, x := range map[string]struct {
		voters    int
		core      []PeerStatus
		tolerated int
		change    VoterChange
	}{
		"three are enough for one":             {3, alive(5), 1, VoterChange{}},
		"two want five":                        {3, alive(5), 2, VoterChange{Add: "v3"}},
		"and the fifth":                        {4, alive(5), 2, VoterChange{Add: "v4"}},
		"and no more":                          {5, alive(9), 2, VoterChange{}},
		"not four of four":                     {3, alive(4), 2, VoterChange{}},
		"nine are the most":                    {9, alive(12), 7, VoterChange{}},
		"from a single one":                    {1, alive(3), 0, VoterChange{Add: "v1"}},
		"a single one stays":                   {1, alive(1), 0, VoterChange{}},
		"two stay two":                         {2, alive(2), 1, VoterChange{}},
		"who has just come waits":              {3, alive(5, PeerStatus{Node: "v4", Responsive: true, Ready: true}), 2, VoterChange{}},
		"who isn't ready waits":                {3, alive(4, away("v0", time.Hour), unready), 1, VoterChange{}},
		"a short silence":                      {3, alive(4, away("v0", ReplaceDelay-1)), 1, VoterChange{}},
		"a silence, with another":              {3, alive(4, away("v0", ReplaceDelay)), 1, VoterChange{Add: "v3", Remove: "v0"}},
		"a silence that only one reports":      {3, alive(4, told(away("v0", time.Hour), 1)), 1, VoterChange{}},
		"a silence that two of five report":    {5, alive(6, away("v0", time.Hour)), 2, VoterChange{}},
		"a silence that three of five report":  {5, alive(6, told(away("v0", time.Hour), 3)), 2, VoterChange{Add: "v5", Remove: "v0"}},
		"a silence, without another":           {3, alive(3, away("v0", time.Hour)), 1, VoterChange{}},
		"of five, without another":             {5, alive(5, told(away("v0", time.Hour), 3)), 2, VoterChange{}},
		"one too many, and it is silent":       {4, alive(4, told(away("v0", time.Hour), 3)), 1, VoterChange{Remove: "v0"}},
		"one too many, and all answer":         {4, alive(5), 1, VoterChange{}},
		"dropped by the operator, but here":    {3, alive(4, dropped(PeerStatus{Node: "v0", Responsive: true, StateDuration: time.Hour})), 1, VoterChange{}},
		"who isn't dropped comes first":        {3, alive(5, away("v0", time.Hour), dropped(PeerStatus{Node: "v3", Responsive: true, Ready: true, StateDuration: time.Hour})), 1, VoterChange{Add: "v4", Remove: "v0"}},
		"but a dropped one is better than one": {3, alive(4, away("v0", time.Hour), dropped(PeerStatus{Node: "v3", Responsive: true, Ready: true, StateDuration: time.Hour})), 1, VoterChange{Add: "v3", Remove: "v0"}},
		"a silence while growing":              {3, alive(5, away("v0", time.Minute)), 2, VoterChange{Add: "v3", Remove: "v0"}},
		"nothing is known of one":              {3, alive(4)[1:], 1, VoterChange{}},
		"who was here longest comes in":        {3, alive(6, PeerStatus{Node: "v5", Responsive: true, Ready: true, StateDuration: time.Hour}), 2, VoterChange{Add: "v5"}},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, PlanVoterChange(list(x.voters), x.core, x.tolerated), qt.Equals, x.change)
		})
	}
	e := list(3)
	e.Retired = []string{"v3"}
	qt.Assert(t, PlanVoterChange(e, alive(6), 2), qt.Equals, VoterChange{Add: "v4"})
	qt.Assert(t, PlanVoterChange(e, alive(5), 2), qt.Equals, VoterChange{})

	qt.Assert(t, PlanHandover(list(3), alive(4), "v1"), qt.Equals, VoterChange{Add: "v3", Remove: "v1"})
	qt.Assert(t, PlanHandover(list(3), alive(3), "v1"), qt.Equals, VoterChange{})
	qt.Assert(t, PlanHandover(list(3), alive(4, unready), "v1"), qt.Equals, VoterChange{})
	qt.Assert(t, PlanHandover(list(3), alive(4), "v3"), qt.Equals, VoterChange{})
	qt.Assert(t, PlanHandover(e, alive(4), "v1"), qt.Equals, VoterChange{})
}

// Whatever peers ask, a replica remembers a bounded number of incarnations, and those of voters.
func TestIncarnationsAreBounded(t *testing.T) {
	r := InitialRecord("v0", list(3).Voters)
	for i := range 3 * maxDiskIncarnations {
		node := fmt.Sprint("x", i)
		if i == 5 {
			node = "v1"
		}
		_, r, _ = r.Handle(&Request{Kind: Recover, Node: node, DiskIncarnation: uint64(10 + i)})
	}
	qt.Assert(t, len(r.State.DiskIncarnations), qt.Equals, maxDiskIncarnations)
	qt.Assert(t, r.State.DiskIncarnations["v1"], qt.Equals, uint64(15))
	qt.Assert(t, r.State.DiskIncarnations[fmt.Sprint("x", 3*maxDiskIncarnations-1)] > 0, qt.IsTrue)
}

// A replica without a record needs answers of n-m+1 others of a list that it is in, and of a majority of one that it isn't in;
// of a list that is only proposed it needs them as well.
func TestRecoveryReadsFromEnough(t *testing.T) {
	told := func(v Vote) *Reply { return &Reply{Kind: Reported, DiskIncarnation: 1, Vote: v} }
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
		for i, node := range y.Recipients() {
			answered++
			if _, ok := y.Step(node, told(Vote{})); ok {
				break
			}
			qt.Assert(t, i < x.voters, qt.IsTrue)
		}
		qt.Assert(t, answered, qt.Equals, x.enough, qt.Commentf("%+v", x))
	}
	proposed := *NewVoterChange(list(3), VoterChange{Add: "x", Remove: "v0"}).nextVoters
	y, _ := NewRecovery("x", list(3), 9, false)
	_, ok := y.Step("v0", told(Vote{Ballot: Ballot{1, "p"}, Value: Value{VoterSet: proposed}}))
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = y.Step("v1", told(Vote{}))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("of v1, v2, x both others are needed"))
	r, ok := y.Step("v2", told(Vote{}))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, r.Vote.Learned, qt.IsTrue)
}

// A voter writes the newer list of a request down before it answers, and refuses one that contradicts its own.
func TestListsComeWithRequests(t *testing.T) {
	r := InitialRecord("v0", list(3).Voters)
	newer := *NewVoterChange(list(3), VoterChange{Add: "v3", Remove: "v2"}).nextVoters
	for _, kind := range []RequestKind{ReadVote, Prepare, Accept, Recover} {
		q := &Request{Kind: kind, Ballot: Ballot{5, "p"}, Epoch: 1, VoterSet: newer, Node: "x", DiskIncarnation: 7}
		reply, next, changed := r.Handle(q)
		qt.Assert(t, reply.Kind != StaleEpoch && reply.Kind != ConflictingVoters, qt.IsTrue)
		qt.Assert(t, changed.State, qt.IsTrue)
		qt.Assert(t, next.DecidedVoters().Voters, qt.DeepEquals, newer.Voters)
		other := newer
		other.Voters = []string{"v0", "v1", "v9"}
		q.VoterSet = other
		reply, after, changed := next.Handle(q)
		qt.Assert(t, reply.Kind, qt.Equals, ConflictingVoters)
		qt.Assert(t, changed.Any(), qt.IsFalse)
		qt.Assert(t, after.DecidedVoters().Voters, qt.DeepEquals, newer.Voters)
	}
}
