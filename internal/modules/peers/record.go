package peers

import "cmp"

// State is the state of a member, as it or another member claims. Of two records of one incarnation the one with the later state
// wins. The numbers are on the wire of internal/network/gossip.
type State uint8

// The states, in the order in which they win.
const (
	// Joining is a process that is known and does not serve yet.
	Joining State = iota + 1
	// Serving is a process that serves, as far as is known.
	Serving
	// Suspect is a process that a member could not reach. It has Options.SuspicionTimeout to refute that.
	Suspect
	// Leaving is a process that has announced its shutdown.
	Leaving
	// Gone is a process that has ended, or that has not refuted a suspicion.
	Gone
)

// String returns the state as reports and log lines have it.
func (s State) String() string {
	if s < Joining || s > Gone {
		return "unknown"
	}
	return [...]string{"joining", "serving", "suspect", "leaving", "gone"}[s-Joining]
}

// Present reports whether a member in this state counts as present: it serves, or can still refute a suspicion.
func (s State) Present() bool { return s == Serving || s == Suspect }

// Record is a claim about one process.
type Record struct {
	Process uint64 // random, drawn at its start; not 0
	Name    string // of the sidecar, the same after a restart
	// BornMillis is the wall clock at its start in Unix milliseconds, or 1 more than that of the process with its name that it met
	// when it started. Of two processes with one name the one with the lower BornMillis owns it.
	BornMillis  int64
	Zone        string
	Version     string // of the program, for people
	Incarnation uint64 // raised by the process itself alone
	State       State
}

// supersedes reports whether a record wins over another one of the same process. A process never announces two different records of one
// incarnation and state. The other fields are compared as well, so that all members have the same record even if one does.
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

// bornBefore reports whether a process owns a name that another one has as well.
func (r *Record) bornBefore(other *Record) bool {
	return cmp.Or(cmp.Compare(r.BornMillis, other.BornMillis), cmp.Compare(r.Process, other.Process)) < 0
}
