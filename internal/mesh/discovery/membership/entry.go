package membership

import (
	"cmp"
	"time"

	"quincegap/internal/structures/rendezvous"
)

// longAgo is earlier than every time that a view compares it with. It is used as the time of an event that hasn't happened.
const longAgo = -time.Hour

// entry is a view's entry for one member.
type entry struct {
	Member
	hash           uint64        // hash of the incarnation, see compareHash
	insertionOrder uint64        // value of table.arrivals when the entry was inserted
	lastSeen       time.Duration // time at which the heartbeat was new, computed from the ages in messages
	lastContacted  time.Duration // time of the last shuffle to the member, or longAgo to make it the next peer
	state          state
	stateSince     time.Duration
	transmits      int // number of times that the record was sent since it last became an update
	dispute        dispute
}

// dispute records that another process reports a member as unreachable or ended while this view considers it alive or suspected.
type dispute struct {
	heartbeat     uint64 // highest heartbeat of the member in such reports
	probeDue      bool   // the next Tick must ask the member to raise its heartbeat
	answerAwaited bool   // the other process needs a newer heartbeat, which is sent as an update once it arrives
}

// state is the state of a member in one view. Only transition changes it.
type state uint8

const (
	alive       state = iota
	suspected         // the member's heartbeat hasn't advanced for SuspicionTimeout
	unreachable       // a connection to the member broke
)

// newEntry returns an entry for a member, in state alive.
func newEntry(m Member) *entry {
	return &entry{Member: m, hash: rendezvous.Mix(m.Incarnation)}
}

// transition changes the state. If the entry already has that state, stateSince is unchanged.
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

// compareHash orders members by the hashes of their incarnations. The order is the same in all views. The first members of a zone are the
// ones that views of other zones hold, and that can be registry owners. The order doesn't depend on roles, so that views agree on it even
// if some of them don't know all members of a role.
func compareHash(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Incarnation, b.Incarnation))
}

// filterEntries returns the entries for which keep returns true, in the given order.
func filterEntries(all []*entry, keep func(*entry) bool) []*entry {
	var kept []*entry
	for _, e := range all {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	return kept
}
