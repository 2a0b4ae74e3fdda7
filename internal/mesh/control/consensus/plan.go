package consensus

import (
	"cmp"
	"slices"
	"time"
)

// How many voters there are, and when one is replaced.
const (
	votersLeast = 3
	votersMost  = 9
	joinDelay   = 500 * time.Millisecond // a process has answered for so long before it is added

	// ReplaceDelay is how long a voter is silent before it is reported as such, and another takes its place.
	ReplaceDelay = 2 * time.Second
)

// Presence is what is known of a process of the core.
type Presence struct {
	Node     string
	Alive    bool          // it has answered within ReplaceDelay
	For      time.Duration // how long it has been alive, or silent
	Ready    bool          // it may be made a voter
	Dropped  bool          // the operator's seeds named it once, and don't now
	SilentAt int           // voters that report it as silent for ReplaceDelay
}

// gone tells whether a voter is to be replaced: a majority of the voters reports it as silent. One process's word, or a
// minority's, is not enough, as its own links may be at fault.
func (p *Presence) gone(voters int) bool {
	return !p.Alive && p.For >= ReplaceDelay && p.SilentAt >= majority(voters)
}

// PlanMembership decides on the next change of the voters; the zero change is none. The aim is one voter more than twice the
// losses that are to be borne, as soon as there are as many processes; their number is odd, as an even one bears no more. A
// voter that is gone is exchanged for a process that is ready, in one step; without one it stays, and may come back.
func PlanMembership(e Membership, core []Presence, tolerated int) MembershipChange {
	spare := spares(e, core)
	gone := ""
	for i := range core {
		if p := &core[i]; e.Has(p.Node) && p.gone(len(e.Voters)) && (gone == "" || p.Node < gone) {
			gone = p.Node
		}
	}
	want := VotersWanted(tolerated)
	switch most := len(e.Voters) + len(spare); {
	case gone != "" && len(e.Voters) > want:
		return MembershipChange{Remove: gone}
	case gone != "" && len(spare) > 0:
		return MembershipChange{Add: spare[0].Node, Remove: gone}
	case len(e.Voters) < want && len(spare) > 0 && (most >= want || most-1+most%2 > len(e.Voters)):
		return MembershipChange{Add: spare[0].Node}
	}
	return MembershipChange{}
}

// VotersWanted is how many voters bear so many losses.
func VotersWanted(tolerated int) int { return min(max(2*tolerated+1, votersLeast), votersMost) }

// PlanHandover decides who takes a voter's place before it ends; the zero change is none.
func PlanHandover(e Membership, core []Presence, leaving string) MembershipChange {
	core = slices.DeleteFunc(slices.Clone(core), func(p Presence) bool { return p.Node == leaving })
	spare := spares(e, core)
	if !e.Has(leaving) || len(spare) == 0 {
		return MembershipChange{}
	}
	return MembershipChange{Add: spare[0].Node, Remove: leaving}
}

// spares are the processes that may be made voters, the best first: those that the operator's seeds have not dropped, then
// those that have been there longest.
func spares(e Membership, core []Presence) (spare []Presence) {
	for _, p := range core {
		if p.Alive && p.Ready && p.For >= joinDelay && !e.Has(p.Node) && !slices.Contains(e.Retired, p.Node) {
			spare = append(spare, p)
		}
	}
	dropped := func(p Presence) int {
		if p.Dropped {
			return 1
		}
		return 0
	}
	slices.SortFunc(spare, func(a, b Presence) int {
		return cmp.Or(dropped(a)-dropped(b), cmp.Compare(b.For/time.Second, a.For/time.Second), cmp.Compare(a.Node, b.Node))
	})
	return spare
}
