package peers

import "time"

// maxChanges bounds the changes between two calls of TakeChanges; the oldest are dropped.
const maxChanges = 256

// The causes of changes, as log lines have them.
const (
	causeOwn         = "its own word"
	causeHeard       = "heard of"
	causeUnreachable = "not reached"
	causeNoAnswer    = "no answer"
	causeNotRefuted  = "denied no suspicion"
)

// Change is one transition of a member's state, for log lines.
type Change struct {
	At       time.Duration // on the clock of the View
	Name     string
	Process  uint64
	From, To State  // From is 0 for a new member
	Witness  string // the name of the member that claimed it
	Cause    string
}

// recordChange records the transition of a member to its present state.
func (v *View) recordChange(now time.Duration, m *member, from State, witness, cause string) {
	if len(v.changes) >= maxChanges {
		v.changes = v.changes[1:]
	}
	v.changes = append(v.changes, Change{
		At: now, Name: m.Name, Process: m.Process, From: from, To: m.State, Witness: witness, Cause: cause,
	})
}

// TakeChanges returns the transitions since the last call, in their order.
func (v *View) TakeChanges() []Change {
	changes := v.changes
	v.changes = nil
	return changes
}
