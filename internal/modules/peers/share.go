package peers

import (
	"slices"
	"time"
)

// secondSuffix is appended in Share.Names to the name of this member if it does not own the name. A name in a settings file never contains
// the first byte of the suffix, so the result is unique.
const secondSuffix = "\x00second"

// Share is this member's share of the load and of the limits of its group.
type Share struct {
	Confidence Confidence // present confidence of the view
	Instances  int        // number of members that share the load
	Ordinal    int        // index of this member in Names
	// MaxInstances is the number of members that there may be at most. Limits for the whole group are divided by it. It includes damped
	// names and, during a partition, the members that may still run at the other side.
	MaxInstances int
	Names        []string // names of the members that share the load, in the order of their ordinals
	// OwnsName is set if this member owns its name. Otherwise this member counts in addition to the group, with the last ordinal.
	OwnsName bool
}

// Equal reports whether two shares are equal in everything except their confidence.
func (s *Share) Equal(other *Share) bool {
	return s.Instances == other.Instances && s.Ordinal == other.Ordinal && s.MaxInstances == other.MaxInstances &&
		s.OwnsName == other.OwnsName && slices.Equal(s.Names, other.Names)
}

// Share returns this member's share of the group as of when the view was last stable, with the present Confidence. It returns false until
// the view is stable for the first time. Until then the caller uses the settings of the file.
func (v *View) Share(now time.Duration) (share Share, ok bool) {
	if v.group.names == nil {
		return share, false
	}
	own := v.members[v.self]
	share.Confidence = v.Confidence(now)
	share.Names = slices.Clone(v.group.names)
	share.Ordinal, share.OwnsName = slices.BinarySearch(share.Names, own.Name)
	share.OwnsName = share.OwnsName && !v.nameOwnedByOther(now, own)
	if !share.OwnsName {
		// Another process owns the name, or it is not in the group yet, or it is damped.
		share.Ordinal = len(share.Names)
		share.Names = append(share.Names, own.Name+secondSuffix)
	}
	share.Instances = len(share.Names)
	share.MaxInstances = share.Instances + v.group.damped // a damped member may be in the group of its own view
	if v.group.partitioned {
		_, size := v.Reachable()
		share.MaxInstances = max(share.Instances, size, v.options.ExpectedMembers)
	}
	return share, true
}

// nameOwnedByOther reports whether another process with the name of a member is present and owns the name.
func (v *View) nameOwnedByOther(now time.Duration, own *member) bool {
	for _, m := range v.members {
		if m != own && m.Name == own.Name && v.present(now, m) && m.bornBefore(&own.Record) {
			return true
		}
	}
	return false
}
