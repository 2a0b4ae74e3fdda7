package consensus

import "hash/fnv"

// SystemID tells the processes of one system from those of another, whose lists of voters and values must not mix: a folder that was
// copied from elsewhere, or an address that now belongs to another system. It is derived from the voters of the system's first
// start. Zero is not known: records of earlier versions have none.
type SystemID uint64

// NewSystemID is that of a system whose first voters are these.
func NewSystemID(voters []string) SystemID {
	h := fnv.New64a()
	for _, v := range voters {
		h.Write([]byte(v))
		h.Write([]byte{0})
	}
	return SystemID(h.Sum64() | 1)
}

// Matches tells whether a process of another's system may be of this one.
func (s SystemID) Matches(other SystemID) bool { return s == 0 || other == 0 || s == other }
