package consensus

import (
	"cmp"
	"slices"
	"time"
)

// How many voters there are, and when one is given up.
const (
	votersLeast         = 3
	votersMost          = 9
	joinDelay           = time.Second // a process has been there before it is added
	replaceDelay        = time.Hour   // a voter has been away before another takes its place
	droppedReplaceDelay = time.Minute // the same, if the operator's seeds don't name it any more
)

// Presence is what is known of a core process.
type Presence struct {
	Node    string
	Alive   bool
	For     time.Duration // how long it has been here, or away
	Dropped bool          // the operator's seeds named it once, and don't now
}

// Steward decides on the next change of the voters; the zero Move is none. The aim is one voter more than twice the losses
// that are to be borne, as soon as there are as many processes; their number is odd, as an even one bears no more. A voter
// is given up only once there are enough others: a good one is added first.
func PlanMembership(e Membership, core []Presence, tolerated int) MembershipChange {
	seen := map[string]Presence{}
	var spare []Presence
	for _, p := range core {
		seen[p.Node] = p
		if p.Alive && p.For >= joinDelay && !e.Has(p.Node) && !p.Dropped && !slices.Contains(e.Retired, p.Node) {
			spare = append(spare, p)
		}
	}
	slices.SortFunc(spare, func(a, b Presence) int {
		return cmp.Or(cmp.Compare(b.For/joinDelay, a.For/joinDelay), cmp.Compare(a.Node, b.Node))
	})
	gone := slices.DeleteFunc(slices.Clone(e.Voters), func(v string) bool {
		p, ok := seen[v]
		return !ok || p.Alive || p.For < replaceDelay && (!p.Dropped || p.For < droppedReplaceDelay)
	})
	good := len(e.Voters) - len(gone)
	want := min(max(2*tolerated+1, votersLeast), votersMost)
	aim := want
	if most := good + len(spare); aim > most {
		aim = max(most-1+most%2, min(len(e.Voters), most))
	}
	switch {
	case good < aim && len(spare) > 0:
		return MembershipChange{Add: spare[0].Node}
	case good >= want && len(gone) > 0:
		return MembershipChange{Remove: gone[0]}
	}
	return MembershipChange{}
}
