package consensus

import (
	"cmp"
	"slices"
	"time"
)

// How many voters there are, and when one is replaced.
const (
	minVoters = 3
	maxVoters = 9

	// joinDelay is how long a process has to be responsive before it is made a voter.
	joinDelay = 500 * time.Millisecond

	// ReplaceDelay is how long a voter is unresponsive before it is reported as such, and another takes its place.
	ReplaceDelay = 2 * time.Second
)

// PeerStatus is the status of a core process, as the planning process sees it.
type PeerStatus struct {
	Node                string
	Responsive          bool          // it has answered within ReplaceDelay
	StateDuration       time.Duration // how long it has been responsive, or unresponsive
	Ready               bool          // it may be made a voter
	RemovedFromSeeds    bool          // the operator's seeds named it once, and don't now
	UnresponsiveReports int           // voters that report it as unresponsive for ReplaceDelay
}

// mustBeReplaced reports whether a voter is to be replaced: a majority of the voters reports it as unresponsive. Reports
// of one process, or of a minority, are not enough, as their own links may be at fault.
func (p *PeerStatus) mustBeReplaced(voters int) bool {
	return !p.Responsive && p.StateDuration >= ReplaceDelay && p.UnresponsiveReports >= majority(voters)
}

// PlanVoterChange returns the next change of the voters; the zero change is none. The target is one voter more than twice
// the number of losses to tolerate (TargetVoters). While there are fewer processes than that, the target is an odd number,
// as an even one tolerates no more losses. A voter that must be replaced is exchanged for a standby in one step. Without a
// standby it stays a voter, and may come back.
func PlanVoterChange(voters VoterSet, core []PeerStatus, tolerated int) VoterChange {
	available := standbys(voters, core)
	lost := voterToReplace(voters, core)
	target := TargetVoters(tolerated)
	current := len(voters.Voters)
	switch {
	case lost != "" && current > target:
		return VoterChange{Remove: lost}
	case len(available) == 0:
		return VoterChange{}
	case lost != "":
		return VoterChange{Add: available[0].Node, Remove: lost}
	case current < target && canGrow(current, len(available), target):
		return VoterChange{Add: available[0].Node}
	}
	return VoterChange{}
}

// voterToReplace returns the first voter, by name, that must be replaced; "" for none.
func voterToReplace(voters VoterSet, core []PeerStatus) string {
	lost := ""
	for i := range core {
		peer := &core[i]
		if !voters.Contains(peer.Node) || !peer.mustBeReplaced(len(voters.Voters)) {
			continue
		}
		if lost == "" || peer.Node < lost {
			lost = peer.Node
		}
	}
	return lost
}

// canGrow reports whether there are enough standbys for the target, or at least for a higher odd number of voters.
func canGrow(current, available, target int) bool {
	reachable := current + available
	highestOdd := reachable - 1 + reachable%2
	return reachable >= target || highestOdd > current
}

// TargetVoters returns the number of voters that tolerates the given number of losses, between minVoters and maxVoters.
func TargetVoters(tolerated int) int { return min(max(2*tolerated+1, minVoters), maxVoters) }

// PlanHandover returns the change that gives the place of a leaving voter to a standby; the zero change is none.
func PlanHandover(voters VoterSet, core []PeerStatus, leaving string) VoterChange {
	others := slices.DeleteFunc(slices.Clone(core), func(p PeerStatus) bool { return p.Node == leaving })
	available := standbys(voters, others)
	if !voters.Contains(leaving) || len(available) == 0 {
		return VoterChange{}
	}
	return VoterChange{Add: available[0].Node, Remove: leaving}
}

// standbys returns the processes that may be made voters, best first: those that the operator's seeds still name, then
// those that have been responsive longest, to the second, then by name.
func standbys(voters VoterSet, core []PeerStatus) (available []PeerStatus) {
	for _, peer := range core {
		excluded := voters.Contains(peer.Node) || slices.Contains(voters.Retired, peer.Node)
		if peer.Responsive && peer.Ready && peer.StateDuration >= joinDelay && !excluded {
			available = append(available, peer)
		}
	}
	slices.SortFunc(available, func(a, b PeerStatus) int {
		return cmp.Or(
			cmp.Compare(seedRank(a), seedRank(b)),
			cmp.Compare(b.StateDuration/time.Second, a.StateDuration/time.Second),
			cmp.Compare(a.Node, b.Node),
		)
	})
	return available
}

// seedRank returns the sort key that puts processes which the operator removed from the seeds last.
func seedRank(peer PeerStatus) int {
	if peer.RemovedFromSeeds {
		return 1
	}
	return 0
}
