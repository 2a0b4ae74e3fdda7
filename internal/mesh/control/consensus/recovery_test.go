package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A recovering replica needs replies from n-m+1 other voters of a voter set that contains it (n voters, of which m are a
// majority), and from a majority of a voter set that does not contain it. If the newest vote proposes another voter set, it
// needs enough replies from that set as well.
func TestRecoveryReadsFromEnough(t *testing.T) {
	reported := func(v Vote) *Reply { return &Reply{Kind: Reported, DiskIncarnation: 1, Vote: v} }
	for _, test := range []struct {
		voters   int
		isMember bool
		enough   int
	}{
		{3, true, 2},
		{4, true, 2},
		{5, true, 3},
		{7, true, 4},
		{1, false, 1},
		{3, false, 2},
		{4, false, 3},
		{5, false, 3},
		{7, false, 4},
	} {
		self := "x"
		if test.isMember {
			self = "v0"
		}
		recovery, _ := NewRecovery(self, firstVoterSet(test.voters), 9, false)
		answered := 0
		for i, node := range recovery.Recipients() {
			answered++
			if _, ok := recovery.Step(node, reported(Vote{})); ok {
				break
			}
			qt.Assert(t, i < test.voters, qt.IsTrue)
		}
		qt.Assert(t, answered, qt.Equals, test.enough, qt.Commentf("replies needed in case %+v", test))
	}
	proposed := *NewVoterChange(firstVoterSet(3), VoterChange{Add: "x", Remove: "v0"}).nextVoters
	recovery, _ := NewRecovery("x", firstVoterSet(3), 9, false)
	_, ok := recovery.Step("v0", reported(Vote{Ballot: Ballot{1, "p"}, Value: Value{VoterSet: proposed}}))
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = recovery.Step("v1", reported(Vote{}))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("x recovered without v2: of the proposed voters v1, v2 and x, both v1 and v2 have to reply"))
	record, ok := recovery.Step("v2", reported(Vote{}))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, record.Vote.Learned, qt.IsTrue)
}
