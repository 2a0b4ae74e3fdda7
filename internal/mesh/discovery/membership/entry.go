package membership

import (
	"cmp"
	"time"
)

// entry is what this view knows of a live member.
type entry struct {
	Member
	seen      time.Duration // when its heartbeat was new, by the ages that others sent
	asked     time.Duration // when it was last shuffled with
	state     state
	since     time.Duration // of the state
	timesSent int           // how often it was sent to others since it was news

	doubt   uint64 // highest heartbeat up to which another member took it for lost
	doubted bool   // it is to be asked for a newer one
	awaited bool   // by that other member
	order   uint64 // of arrival
	mix     uint64 // hash of its life
}

// state of an entry; only shift changes it.
type state uint8

const (
	fresh     state = iota
	suspected       // its heartbeat has not advanced for long
	missed          // a connection to it broke
)

func (e *entry) shift(now time.Duration, to state) {
	if e.state != to {
		e.state, e.since = to, now
	}
}

// ended is a life that was dropped. It is taken back if a heartbeat above the remembered one is known. A life that another one
// replaced at its address comes back only by a message of its own, or with a heartbeat that is new long after.
type ended struct {
	heartbeat uint64
	address   string
	replaced  bool
	at        time.Duration
	timesSent int
}

func byLife(e *entry, life uint64) int { return cmp.Compare(e.Life, life) }

// before orders members by the hash of their lives, alike in all views: the first ones of a zone are those that other zones keep,
// and that can be homes. Roles have no part in it, so that the order is the same where some members of a role are not known.
func before(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.mix, b.mix), cmp.Compare(a.Life, b.Life))
}
