package peers

import (
	"slices"
	"time"
)

// secondSuffix is the end of the name of a member that does not own its name. No name of a settings file contains its first byte.
const secondSuffix = "\x00second"

// Share is a member's share of the load and of the limits of its group.
type Share struct {
	Confidence Confidence
	Instances  int // members that share the load
	Ordinal    int // this one's number among them, from 0
	// MaxInstances is how many members there may be at most: limits for the whole group are divided by it. It includes damped names,
	// and in a partition the members that may go on at the other side.
	MaxInstances int
	Names        []string // of the instances, in the order of their ordinals
	// OwnsName is set if this member owns its name. Otherwise it is counted in addition to the group, with an ordinal of its own.
	OwnsName bool
}

// Equal reports whether two shares are equal in all but their confidence.
func (s *Share) Equal(other *Share) bool {
	return s.Instances == other.Instances && s.Ordinal == other.Ordinal && s.MaxInstances == other.MaxInstances &&
		s.OwnsName == other.OwnsName && slices.Equal(s.Names, other.Names)
}

// Share returns this member's share of the group, as of when the view was last stable; its Confidence is that of now. It returns false
// until the view is stable for the first time: the settings of the file are used until then.
func (v *View) Share(now time.Duration) (share Share, ok bool) {
	if v.group.names == nil {
		return share, false
	}
	own := v.members[v.self]
	share.Confidence = v.Confidence(now)
	share.Names = slices.Clone(v.group.names)
	share.Ordinal, share.OwnsName = slices.BinarySearch(share.Names, own.Name)
	share.OwnsName = share.OwnsName && !v.elderPresent(now, own)
	if !share.OwnsName {
		// Another process owns the name, or it is not in the group yet, or it is damped.
		share.Ordinal = len(share.Names)
		share.Names = append(share.Names, own.Name+secondSuffix)
	}
	share.Instances = len(share.Names)
	share.MaxInstances = share.Instances + v.group.damped // damped members may count themselves
	if v.group.partitioned {
		_, size := v.Reachable()
		share.MaxInstances = max(share.Instances, size, v.options.ExpectedMembers)
	}
	return share, true
}

// elderPresent reports whether another process with a member's name is present and owns the name.
func (v *View) elderPresent(now time.Duration, own *member) bool {
	for _, m := range v.members {
		if m != own && m.Name == own.Name && v.present(now, m) && m.bornBefore(&own.Record) {
			return true
		}
	}
	return false
}
