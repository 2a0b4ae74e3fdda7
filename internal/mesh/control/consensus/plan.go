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
	joinDelay = 500 * time.Millisecond // a process has answered for so long before it is added

	// ReplaceDelay is how long a voter is silent before it is reported as such, and another takes its place.
	ReplaceDelay = 2 * time.Second
)

// PeerStatus is what is known of a process of the core.
type PeerStatus struct {
	Node                string
	Responsive          bool          // it has answered within ReplaceDelay
	StateDuration       time.Duration // how long it has been alive, or silent
	Ready               bool          // it may be made a voter
	RemovedFromSeeds    bool          // the operator's seeds named it once, and don't now
	UnresponsiveReports int           // voters that report it as silent for ReplaceDelay
}

// mustBeReplaced tells whether a voter is to be replaced: a majority of the voters reports it as silent. One process's word, or a
// minority's, is not enough, as its own links may be at fault.
func (p *PeerStatus) mustBeReplaced(voters int) bool {
	return !p.Responsive && p.StateDuration >= ReplaceDelay && p.UnresponsiveReports >= majority(voters)
}

// PlanVoterChange decides on the next change of the voters; the zero change is none. The aim is one voter more than twice the
// losses that are to be borne, as soon as there are as many processes; their number is odd, as an even one bears no more. A
// voter that is gone is exchanged for a process that is ready, in one step; without one it stays, and may come back.
func PlanVoterChange(e VoterSet, core []PeerStatus, tolerated int) VoterChange {
	spare := standbys(e, core)
	gone := ""
	for i := range core {
		if p := &core[i]; e.Contains(p.Node) && p.mustBeReplaced(len(e.Voters)) && (gone == "" || p.Node < gone) {
			gone = p.Node
		}
	}
	want := TargetVoters(tolerated)
	switch most := len(e.Voters) + len(spare); {
	case gone != "" && len(e.Voters) > want:
		return VoterChange{Remove: gone}
	case gone != "" && len(spare) > 0:
		return VoterChange{Add: spare[0].Node, Remove: gone}
	case len(e.Voters) < want && len(spare) > 0 && (most >= want || most-1+most%2 > len(e.Voters)):
		return VoterChange{Add: spare[0].Node}
	}
	return VoterChange{}
}

// TargetVoters is how many voters bear so many losses.
func TargetVoters(tolerated int) int { return min(max(2*tolerated+1, minVoters), maxVoters) }

// PlanHandover decides who takes a voter's place before it ends; the zero change is none.
func PlanHandover(e VoterSet, core []PeerStatus, leaving string) VoterChange {
	core = slices.DeleteFunc(slices.Clone(core), func(p PeerStatus) bool { return p.Node == leaving })
	spare := standbys(e, core)
	if !e.Contains(leaving) || len(spare) == 0 {
		return VoterChange{}
	}
	return VoterChange{Add: spare[0].Node, Remove: leaving}
}

// standbys are the processes that may be made voters, the best first: those that the operator's seeds have not dropped, then
// those that have been there longest.
func standbys(e VoterSet, core []PeerStatus) (spare []PeerStatus) {
	for _, p := range core {
		if p.Responsive && p.Ready && p.StateDuration >= joinDelay && !e.Contains(p.Node) && !slices.Contains(e.Retired, p.Node) {
			spare = append(spare, p)
		}
	}
	dropped := func(p PeerStatus) int {
		if p.RemovedFromSeeds {
			return 1
		}
		return 0
	}
	slices.SortFunc(spare, func(a, b PeerStatus) int {
		return cmp.Or(dropped(a)-dropped(b), cmp.Compare(b.StateDuration/time.Second, a.StateDuration/time.Second), cmp.Compare(a.Node, b.Node))
	})
	return spare
}
