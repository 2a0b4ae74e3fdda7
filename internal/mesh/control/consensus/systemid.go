package consensus

import "hash/fnv"

// SystemID identifies a system. Voter sets and values of two systems must not mix, which could happen if a folder was
// copied from elsewhere, or if an address now belongs to another system. The ID is derived from the voters of the system's
// first start. Zero is unknown: records of earlier versions have no ID.
type SystemID uint64

// NewSystemID returns the ID of the system whose first voters are these. It is never zero.
func NewSystemID(voters []string) SystemID {
	h := fnv.New64a()
	for _, voter := range voters {
		h.Write([]byte(voter))
		h.Write([]byte{0})
	}
	return SystemID(h.Sum64() | 1)
}

// Matches reports whether processes with the two IDs may belong to one system; an unknown ID matches any.
func (s SystemID) Matches(other SystemID) bool { return s == 0 || other == 0 || s == other }
