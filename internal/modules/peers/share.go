package peers

import (
	"slices"
	"time"
)

// secondSuffix ends the name of a member that does not own its name. No name of a settings file holds its first byte.
const secondSuffix = "\x00second"

// Share is a member's part of what all members do together.
type Share struct {
	Confidence Confidence
	Instances  int // members that share the load
	Ordinal    int // this one's number among them, from 0
	// MaxInstances is how many members there may be: a limit that all together must keep is divided by it. Damped names count,
	// and in a partition those that may go on at the other side.
	MaxInstances int
	Names        []string // of the instances, in the order of their ordinals
	// OwnsName tells that this member is the one of its name. Otherwise it is counted in addition to those that are present, with
	// an ordinal that nobody else has.
	OwnsName bool
}

// Equal tells whether two shares mean the same for what is built on them. Their confidence does not matter.
func (s *Share) Equal(other *Share) bool {
	return s.Instances == other.Instances && s.Ordinal == other.Ordinal && s.MaxInstances == other.MaxInstances &&
		s.OwnsName == other.OwnsName && slices.Equal(s.Names, other.Names)
}

// Share is this member's share as of when the view was last stable. It returns false before the first time: what a file says
// holds then. Its Confidence is that of now, and says what else may be built on it.
func (v *View) Share(now time.Duration) (s Share, ok bool) {
	if v.group.names == nil {
		return s, false
	}
	own := v.members[v.self]
	s.Confidence = v.Confidence(now)
	s.Names = slices.Clone(v.group.names)
	s.Ordinal, s.OwnsName = slices.BinarySearch(s.Names, own.Name)
	s.OwnsName = s.OwnsName && !v.elderPresent(now, own)
	if !s.OwnsName {
		// The name is another process's, is not counted yet, or is damped.
		s.Ordinal = len(s.Names)
		s.Names = append(s.Names, own.Name+secondSuffix)
	}
	s.Instances = len(s.Names)
	s.MaxInstances = s.Instances + v.group.damped // these may count themselves all the while
	if v.group.partitioned {
		_, size := v.Reachable()
		s.MaxInstances = max(s.Instances, size, v.options.ExpectedMembers)
	}
	return s, true
}

// elderPresent tells whether another process of a member's name is present that owns the name.
func (v *View) elderPresent(now time.Duration, own *member) bool {
	for _, m := range v.members {
		if m != own && m.Name == own.Name && v.present(now, m) && m.bornBefore(&own.Record) {
			return true
		}
	}
	return false
}
