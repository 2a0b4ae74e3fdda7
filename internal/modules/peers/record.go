package peers

import "cmp"

// State is what a member says of itself, or others say of it. Of two records of one incarnation the one with the later state wins.
// The numbers are on the wire of internal/network/gossip.
type State uint8

// The states, in the order in which they win.
const (
	// Joining is a process that is known and does not serve yet.
	Joining State = iota + 1
	// Serving is a process that serves, as far as anybody says.
	Serving
	// Suspect is one that somebody could not reach. It has Options.SuspicionTimeout to refute that.
	Suspect
	// Leaving is one that announced its own end.
	Leaving
	// Gone is one that ended, or that refuted no suspicion.
	Gone
)

// String is the state as reports and log lines have it.
func (s State) String() string {
	if s < Joining || s > Gone {
		return "unknown"
	}
	return [...]string{"joining", "serving", "suspect", "leaving", "gone"}[s-Joining]
}

// Present tells whether a member of this state counts as present: it serves, or may yet refute that it does not.
func (s State) Present() bool { return s == Serving || s == Suspect }

// Record is what is said of one process.
type Record struct {
	Process uint64 // random, drawn at its start; not 0
	Name    string // of the sidecar, the same after a restart
	// BornMillis is the wall clock at its start in Unix milliseconds, or 1 more than that of the process of its name that it met
	// when it started. Of two processes with one name the earlier owns it.
	BornMillis  int64
	Zone        string
	Version     string // of the program, for people
	Incarnation uint64 // raised by the process itself alone
	State       State
}

// supersedes tells whether a record wins over another one of the same process. A process never says two things in one incarnation
// and state; the other fields are compared as well so that all members come to hold the same record even if one does.
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

// bornBefore tells whether a process owns a name that another one has as well.
func (r *Record) bornBefore(other *Record) bool {
	return cmp.Or(cmp.Compare(r.BornMillis, other.BornMillis), cmp.Compare(r.Process, other.Process)) < 0
}
