package peers

import "time"

// maxChanges is the maximum number of changes that are stored for TakeChanges; if there are more, the oldest are discarded.
const maxChanges = 256

// The causes of changes, as they appear in log lines.
const (
	causeSetState     = "its own word"
	causeRecordMerged = "heard of"
	causeUnreachable  = "not reached"
	causeNoAnswer     = "no answer"
	causeNotRefuted   = "denied no suspicion"
)

// Change is one transition of a member's state, for log lines.
type Change struct {
	At       time.Duration // time of the transition, in the time of the View
	Name     string
	Process  uint64
	From, To State  // the previous and the new state; the previous one of a new member is 0
	Witness  string // name of the member that claimed the new state
	Cause    string // reason for the transition, for people
}

// recordChange stores the transition of a member from a state to its present one.
func (v *View) recordChange(now time.Duration, m *member, from State, witness, cause string) {
	if len(v.changes) >= maxChanges {
		v.changes = v.changes[1:]
	}
	v.changes = append(v.changes, Change{
		At: now, Name: m.Name, Process: m.Process, From: from, To: m.State, Witness: witness, Cause: cause,
	})
}

// TakeChanges returns the transitions since the last call, in the order in which they happened.
func (v *View) TakeChanges() []Change {
	changes := v.changes
	v.changes = nil
	return changes
}
