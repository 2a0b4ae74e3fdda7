package consensus

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// responsiveCore returns the statuses of n responsive processes v0, v1 and so on. Each of others replaces the status of the
// process that it names.
func responsiveCore(n int, others ...PeerStatus) (core []PeerStatus) {
	for i := range n {
		core = append(core, PeerStatus{Node: fmt.Sprint("v", i), Responsive: true, Ready: true, StateDuration: 10 * time.Second})
	}
	for _, other := range others {
		for i := range core {
			if core[i].Node == other.Node {
				core[i] = other
			}
		}
	}
	return core
}

// unresponsive returns the status of process v0 that has been unresponsive for a duration, as two voters report.
func unresponsive(duration time.Duration) PeerStatus {
	return PeerStatus{Node: "v0", StateDuration: duration, UnresponsiveReports: 2}
}

func reportedBy(status PeerStatus, voters int) PeerStatus {
	status.UnresponsiveReports = voters
	return status
}

func removedFromSeeds(status PeerStatus) PeerStatus {
	status.RemovedFromSeeds = true
	return status
}

// notReady is the status of process v3, which is responsive but may not be made a voter.
var notReady = PeerStatus{Node: "v3", Responsive: true, StateDuration: time.Hour}

// The planned change depends on the number of voters, the status of each core process and the number of losses to tolerate.
func TestPlanVoterChange(t *testing.T) {
	const long = time.Hour
	none := VoterChange{}
	v3ForV0 := VoterChange{Add: "v3", Remove: "v0"}
	v4ForV0 := VoterChange{Add: "v4", Remove: "v0"}
	v5ForV0 := VoterChange{Add: "v5", Remove: "v0"}
	unresponsiveV0 := unresponsive(long)
	responsiveV0 := PeerStatus{Node: "v0", Responsive: true, StateDuration: long}
	justStarted := PeerStatus{Node: "v4", Responsive: true, Ready: true}
	longStandby := PeerStatus{Node: "v3", Responsive: true, Ready: true, StateDuration: long}
	longestStandby := PeerStatus{Node: "v5", Responsive: true, Ready: true, StateDuration: long}
	for name, test := range map[string]struct {
		voters    int
		core      []PeerStatus
		tolerated int
		change    VoterChange
	}{
		"three voters tolerate one loss":                    {3, responsiveCore(5), 1, none},
		"a fourth voter is added to tolerate two losses":    {3, responsiveCore(5), 2, VoterChange{Add: "v3"}},
		"a fifth voter is added to tolerate two losses":     {4, responsiveCore(5), 2, VoterChange{Add: "v4"}},
		"five voters tolerate two losses":                   {5, responsiveCore(9), 2, none},
		"no fourth voter without a process for a fifth":     {3, responsiveCore(4), 2, none},
		"there are at most nine voters":                     {9, responsiveCore(12), 7, none},
		"a single voter with two standbys":                  {1, responsiveCore(3), 0, VoterChange{Add: "v1"}},
		"a single voter without a standby":                  {1, responsiveCore(1), 0, none},
		"two voters without a standby":                      {2, responsiveCore(2), 1, none},
		"a process that has just started is not added":      {3, responsiveCore(5, justStarted), 2, none},
		"a process that is not ready is not added":          {3, responsiveCore(4, unresponsiveV0, notReady), 1, none},
		"unresponsive for a short time":                     {3, responsiveCore(4, unresponsive(ReplaceDelay-1)), 1, none},
		"unresponsive, with a standby":                      {3, responsiveCore(4, unresponsive(ReplaceDelay)), 1, v3ForV0},
		"unresponsive, and only one reports it":             {3, responsiveCore(4, reportedBy(unresponsiveV0, 1)), 1, none},
		"unresponsive, and two of five report it":           {5, responsiveCore(6, unresponsiveV0), 2, none},
		"unresponsive, and three of five report it":         {5, responsiveCore(6, reportedBy(unresponsiveV0, 3)), 2, v5ForV0},
		"unresponsive, without a standby":                   {3, responsiveCore(3, unresponsiveV0), 1, none},
		"unresponsive of five, without a standby":           {5, responsiveCore(5, reportedBy(unresponsiveV0, 3)), 2, none},
		"one voter above the target, which is unresponsive": {4, responsiveCore(4, reportedBy(unresponsiveV0, 3)), 1, VoterChange{Remove: "v0"}},
		"one voter above the target, all responsive":        {4, responsiveCore(5), 1, none},
		"removed from the seeds, but responsive":            {3, responsiveCore(4, removedFromSeeds(responsiveV0)), 1, none},
		"a standby in the seeds is preferred":               {3, responsiveCore(5, unresponsiveV0, removedFromSeeds(longStandby)), 1, v4ForV0},
		"the only standby is removed from the seeds":        {3, responsiveCore(4, unresponsiveV0, removedFromSeeds(longStandby)), 1, v3ForV0},
		"unresponsive while the voters grow":                {3, responsiveCore(5, unresponsive(time.Minute)), 2, v3ForV0},
		"a voter without a status":                          {3, responsiveCore(4)[1:], 1, none},
		"the standby that was responsive longest is added":  {3, responsiveCore(6, longestStandby), 2, VoterChange{Add: "v5"}},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, PlanVoterChange(firstVoterSet(test.voters), test.core, test.tolerated), qt.Equals, test.change)
		})
	}
}

// The planner does not add a retired process as a voter again.
func TestPlanWithoutRetired(t *testing.T) {
	voters := firstVoterSet(3)
	voters.Retired = []string{"v3"}
	qt.Assert(t, PlanVoterChange(voters, responsiveCore(6), 2), qt.Equals, VoterChange{Add: "v4"})
	qt.Assert(t, PlanVoterChange(voters, responsiveCore(5), 2), qt.Equals, VoterChange{})
	qt.Assert(t, PlanHandover(voters, responsiveCore(4), "v1"), qt.Equals, VoterChange{})
}

// PlanHandover replaces only a voter, and only by a standby that is ready.
func TestPlanHandover(t *testing.T) {
	voters := firstVoterSet(3)
	qt.Assert(t, PlanHandover(voters, responsiveCore(4), "v1"), qt.Equals, VoterChange{Add: "v3", Remove: "v1"})
	qt.Assert(t, PlanHandover(voters, responsiveCore(3), "v1"), qt.Equals, VoterChange{})
	qt.Assert(t, PlanHandover(voters, responsiveCore(4, notReady), "v1"), qt.Equals, VoterChange{})
	qt.Assert(t, PlanHandover(voters, responsiveCore(4), "v3"), qt.Equals, VoterChange{})
}
