package membership

import (
	"cmp"
	"time"
)

// entry is what this view knows of a live member.
type entry struct {
	Member
	lastSeen      time.Duration // when its heartbeat was new, by the ages that others sent
	lastContacted time.Duration // when it was last shuffled with
	state         state
	stateSince    time.Duration // of the state
	transmits     int           // how often it was sent to others since it was news

	disputedHeartbeat uint64 // highest heartbeat up to which another member took it for lost
	probeDue          bool   // it is to be asked for a newer one
	answerAwaited     bool   // by that other member
	arrivalOrder      uint64 // of arrival
	hash              uint64 // hash of its life
}

// state of an entry; only shift changes it.
type state uint8

const (
	alive       state = iota
	suspected         // its heartbeat has not advanced for long
	unreachable       // a connection to it broke
)

func (e *entry) transition(now time.Duration, to state) {
	if e.state != to {
		e.state, e.stateSince = to, now
	}
}

// tombstoneEntry is a life that was dropped. It is taken back if a heartbeat above the remembered one is known. A life that another one
// replaced at its address comes back only by a message of its own, or with a heartbeat that is new long after.
type tombstoneEntry struct {
	heartbeat  uint64
	address    string
	replaced   bool
	recordedAt time.Duration
	transmits  int
}

func compareIncarnation(e *entry, life uint64) int { return cmp.Compare(e.Incarnation, life) }

// compareHash orders members by the hash of their lives, alike in all views: the first ones of a zone are those that other zones keep,
// and that can be homes. Roles have no part in it, so that the order is the same where some members of a role are not known.
func compareHash(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Incarnation, b.Incarnation))
}
