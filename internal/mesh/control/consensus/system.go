package consensus

import "hash/fnv"

// System tells the processes of one system from those of another, whose lists of voters and values must not mix: a folder that was
// copied from elsewhere, or an address that now belongs to another system. It is derived from the voters of the system's first
// start. Zero is not known: records of earlier versions have none.
type System uint64

// NewSystem is that of a system whose first voters are these.
func NewSystem(voters []string) System {
	h := fnv.New64a()
	for _, v := range voters {
		h.Write([]byte(v))
		h.Write([]byte{0})
	}
	return System(h.Sum64() | 1)
}

// Admits tells whether a process of another's system may be of this one.
func (s System) Admits(other System) bool { return s == 0 || other == 0 || s == other }
