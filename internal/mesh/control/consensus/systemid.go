package consensus

import "hash/fnv"

// SystemID tells the processes of one system from those of another, whose voter sets and values must not mix: a folder
// may have been copied from elsewhere, or an address may now belong to another system. It is derived from the voters of
// the system's first start. Zero means not known: records of earlier versions have none.
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
