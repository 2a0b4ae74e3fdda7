package membership

import (
	"cmp"
	"time"

	"quincegap/internal/structures/rendezvous"
)

// longAgo lies before all times that matter. It stands for what never happened.
const longAgo = -time.Hour

// entry is what a view knows of one member.
type entry struct {
	Member
	hash          uint64        // of its incarnation
	arrivalOrder  uint64        // counts the members that ever arrived
	lastSeen      time.Duration // when its heartbeat was new, by the ages that others sent
	lastContacted time.Duration // when it was last sent a shuffle, or longAgo if it is to be sent one next
	state         state
	stateSince    time.Duration
	transmits     int // how often its record was sent since it was an update
	dispute       dispute
}

// dispute is what a view knows of another member's suspicion, or of a tombstone that is older than the heartbeat known here.
type dispute struct {
	heartbeat     uint64 // the highest up to which the other member reports this one as ended or unreachable
	probeDue      bool   // this one is to be asked for a newer heartbeat
	answerAwaited bool   // by the other member, so that a newer heartbeat is an update
}

// state of a member in one view; only transition changes it.
type state uint8

const (
	alive       state = iota
	suspected         // its heartbeat hasn't advanced for SuspicionTimeout
	unreachable       // a connection to it broke
)

func newEntry(m Member) *entry {
	return &entry{Member: m, hash: rendezvous.Mix(m.Incarnation)}
}

// transition changes the state. The time of a state is that of its beginning.
func (e *entry) transition(now time.Duration, to state) {
	if e.state == to {
		return
	}
	e.state = to
	e.stateSince = now
}

func compareIncarnation(e *entry, incarnation uint64) int {
	return cmp.Compare(e.Incarnation, incarnation)
}

// compareHash orders members by the hash of their incarnations, alike in all views: the first ones of a zone are those that other
// zones keep, and that can be registry owners. Roles don't enter into it, so that the order is the same where some members of a role
// aren't known.
func compareHash(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Incarnation, b.Incarnation))
}

// filterEntries returns the entries that keep holds for, in their order.
func filterEntries(all []*entry, keep func(*entry) bool) []*entry {
	var kept []*entry
	for _, e := range all {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	return kept
}
