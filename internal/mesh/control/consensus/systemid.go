package consensus

import "hash/fnv"

// SystemID identifies a system: all processes that share one register. Voter sets and values of two systems must not mix,
// which could happen if a data folder is copied from another system, or if an address now belongs to another system. The ID
// is derived from the voters of the system's first start. Zero means unknown: records of earlier releases have no ID.
type SystemID uint64

// NewSystemID returns the ID of the system whose first start had the given voters, in that order. It is never zero.
func NewSystemID(voters []string) SystemID {
	h := fnv.New64a()
	for _, voter := range voters {
		h.Write([]byte(voter))
		h.Write([]byte{0})
	}
	return SystemID(h.Sum64() | 1)
}

// Matches reports whether processes with the two IDs may belong to the same system. An unknown ID matches any other.
func (s SystemID) Matches(other SystemID) bool { return s == 0 || other == 0 || s == other }
