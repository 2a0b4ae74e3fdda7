package consensus

import (
	"cmp"
	"slices"
	"time"
)

// Limits on the number of voters, and the delays before a voter is added or replaced.
const (
	minVoters = 3
	maxVoters = 9

	// joinDelay is how long a process has to be responsive before it may be made a voter.
	joinDelay = 500 * time.Millisecond

	// ReplaceDelay is how long a voter has to be unresponsive before it is reported as unresponsive and may be replaced.
	ReplaceDelay = 2 * time.Second
)

// PeerStatus is the status of a core process, as observed by the process that plans a voter change.
type PeerStatus struct {
	Node                string
	Responsive          bool          // the process has answered within ReplaceDelay
	StateDuration       time.Duration // how long the process has been responsive, or unresponsive
	Ready               bool          // the process may be made a voter
	RemovedFromSeeds    bool          // the operator's seeds used to name the process, and no longer do
	UnresponsiveReports int           // number of voters that report the process as unresponsive for ReplaceDelay
}

// mustBeReplaced reports whether the voter p, one of the given number of voters, must be replaced: it has been unresponsive
// for ReplaceDelay, and a majority of the voters reports the same. Reports of one process, or of a minority, are not
// enough, as their own network links may have failed.
func (p *PeerStatus) mustBeReplaced(voters int) bool {
	return !p.Responsive && p.StateDuration >= ReplaceDelay && p.UnresponsiveReports >= majority(voters)
}

// PlanVoterChange returns the next change of the voters, or the zero VoterChange if none is due. core is the status of the
// core processes, and tolerated the number of lost voters to tolerate. The target number of voters is 2*tolerated+1, within
// limits (TargetVoters). While there are fewer processes than that, the target is an odd number, as an even number of voters
// tolerates no more losses than one voter less. A voter that must be replaced is exchanged for a standby in one step.
// Without a standby it remains a voter, and may become responsive again.
func PlanVoterChange(voters VoterSet, core []PeerStatus, tolerated int) VoterChange {
	available := standbys(voters, core)
	toReplace := voterToReplace(voters, core)
	target := TargetVoters(tolerated)
	current := len(voters.Voters)
	switch {
	case toReplace != "" && current > target:
		return VoterChange{Remove: toReplace}
	case len(available) == 0:
		return VoterChange{}
	case toReplace != "":
		return VoterChange{Add: available[0].Node, Remove: toReplace}
	case current < target && canGrow(current, len(available), target):
		return VoterChange{Add: available[0].Node}
	}
	return VoterChange{}
}

// voterToReplace returns the first voter, by name, that must be replaced, or "" if there is none.
func voterToReplace(voters VoterSet, core []PeerStatus) string {
	toReplace := ""
	for i := range core {
		peer := &core[i]
		if !voters.Contains(peer.Node) || !peer.mustBeReplaced(len(voters.Voters)) {
			continue
		}
		if toReplace == "" || peer.Node < toReplace {
			toReplace = peer.Node
		}
	}
	return toReplace
}

// canGrow reports whether the current voters and the available standbys are enough to reach the target, or at least a
// higher odd number of voters than the current one.
func canGrow(current, available, target int) bool {
	reachable := current + available
	highestOdd := reachable - 1 + reachable%2
	return reachable >= target || highestOdd > current
}

// TargetVoters returns the number of voters needed to tolerate the loss of the given number, limited to the range from
// minVoters to maxVoters.
func TargetVoters(tolerated int) int { return min(max(2*tolerated+1, minVoters), maxVoters) }

// PlanHandover returns the change that replaces a leaving voter by a standby. It returns the zero VoterChange if the leaving
// process is not a voter, or if there is no standby.
func PlanHandover(voters VoterSet, core []PeerStatus, leaving string) VoterChange {
	others := slices.DeleteFunc(slices.Clone(core), func(p PeerStatus) bool { return p.Node == leaving })
	available := standbys(voters, others)
	if !voters.Contains(leaving) || len(available) == 0 {
		return VoterChange{}
	}
	return VoterChange{Add: available[0].Node, Remove: leaving}
}

// standbys returns the processes that may be made voters, the preferred ones first. Processes that the operator removed from
// the seeds come last. Within each group the order is by the time for which a process has been responsive, in whole seconds
// and longest first, and then by name.
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

// seedRank returns a sort key: 1 for a process that the operator removed from the seeds, 0 for any other.
func seedRank(peer PeerStatus) int {
	if peer.RemovedFromSeeds {
		return 1
	}
	return 0
}
