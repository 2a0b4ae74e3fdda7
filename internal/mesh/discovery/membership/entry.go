package membership

import (
	"cmp"
	"time"

	"quincegap/internal/structures/rendezvous"
)

// longAgo is earlier than all times that a view compares it with. It stands for the time of what never happened.
const longAgo = -time.Hour

// entry is a view's entry of one member.
type entry struct {
	Member
	hash          uint64        // of the incarnation
	arrivalOrder  uint64        // table.arrivals when the member arrived
	lastSeen      time.Duration // when the heartbeat was new, by the ages that others sent
	lastContacted time.Duration // when the member was last sent a shuffle, or longAgo to make it the next peer
	state         state
	stateSince    time.Duration
	transmits     int // how often the record was sent since it last was an update
	dispute       dispute
}

// dispute records that another process reports a member of this view as unreachable or ended.
type dispute struct {
	heartbeat     uint64 // the highest heartbeat of the member in such reports
	probeDue      bool   // the member is to be asked to raise its heartbeat
	answerAwaited bool   // the other process waits for a newer heartbeat, which is then sent as an update
}

// state is the state of a member in one view; only transition changes it.
type state uint8

const (
	alive       state = iota
	suspected         // its heartbeat hasn't advanced for SuspicionTimeout
	unreachable       // a connection to it broke
)

// newEntry returns an entry of a member that is alive.
func newEntry(m Member) *entry {
	return &entry{Member: m, hash: rendezvous.Mix(m.Incarnation)}
}

// transition changes the state. stateSince stays as it is if the entry is in that state already.
func (e *entry) transition(now time.Duration, to state) {
	if e.state == to {
		return
	}
	e.state = to
	e.stateSince = now
}

// compareIncarnation compares an entry with an incarnation, for searches in table.entries.
func compareIncarnation(e *entry, incarnation uint64) int {
	return cmp.Compare(e.Incarnation, incarnation)
}

// compareHash orders members by the hashes of their incarnations. The order is the same in all views: the first ones of a zone are those
// that views of other zones hold, and that can be registry owners. It doesn't depend on roles, so that views agree on the order even if
// some of them don't know all members of a role.
func compareHash(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Incarnation, b.Incarnation))
}

// filterEntries returns the entries for which keep is true, in their order.
func filterEntries(all []*entry, keep func(*entry) bool) []*entry {
	var kept []*entry
	for _, e := range all {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	return kept
}
