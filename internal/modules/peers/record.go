package peers

import "cmp"

// State is the state of a member, as claimed by it or by another member. Of two records with the same incarnation the one with the later
// state wins. The numbers are encoded in the messages of internal/network/gossip.
type State uint8

// The states in ascending order: a later one wins.
const (
	// Joining is a process that has started and does not serve yet.
	Joining State = iota + 1
	// Serving is a process that serves, as far as is known.
	Serving
	// Suspect is a process that a member could not reach. It has Options.SuspicionTimeout to refute the suspicion.
	Suspect
	// Leaving is a process that has announced its shutdown.
	Leaving
	// Gone is a process that has ended, or that has not refuted a suspicion in time.
	Gone
)

// String returns the state as it appears in reports and log lines.
func (s State) String() string {
	if s < Joining || s > Gone {
		return "unknown"
	}
	return [...]string{"joining", "serving", "suspect", "leaving", "gone"}[s-Joining]
}

// Present reports whether a member in this state counts as present: it serves, or can still refute a suspicion.
func (s State) Present() bool { return s == Serving || s == Suspect }

// Record is a claim about the state of one process.
type Record struct {
	Process uint64 // random ID, drawn when the process starts; not 0
	Name    string // name of the sidecar, the same after a restart
	// BornMillis is the wall clock at the start of the process in Unix milliseconds. If the process met another one with its name while
	// it started, BornMillis is at least 1 more than that of the other. Of two processes with one name, the one with the lower BornMillis
	// owns the name.
	BornMillis  int64
	Zone        string
	Version     string // version of the program, for people
	Incarnation uint64 // number that only the process itself raises, to refute a false record
	State       State
}

// supersedes reports whether a record wins over another one of the same process. A correct process never announces two different records
// with the same incarnation and state. The other fields are compared as well, so that all members select the same record even if a
// process does.
func (r *Record) supersedes(other *Record) bool {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.State, other.State),
		cmp.Compare(r.Name, other.Name),
		cmp.Compare(r.BornMillis, other.BornMillis),
		cmp.Compare(r.Zone, other.Zone),
		cmp.Compare(r.Version, other.Version),
	) > 0
}

// bornBefore reports whether this process owns the name if another process has the same name.
func (r *Record) bornBefore(other *Record) bool {
	return cmp.Or(cmp.Compare(r.BornMillis, other.BornMillis), cmp.Compare(r.Process, other.Process)) < 0
}
