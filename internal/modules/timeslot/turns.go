// Package timeslot says whose turn it is, among members that tell one another nothing, to do what is needed once and not once a
// member: a trial call at an isolated endpoint, a warm-up, asking for a list. It does no I/O and reads no clock.
//
// Time is cut into slots by each member's own clock. In each slot the members stand in an order of its own, by rendezvous hash of
// what is to be done, the slot and the member (Thaler, Ravishankar 1998), and the first Actors of them have a turn. So:
//
//   - Members that agree on who they are, and whose clocks agree, have just Actors turns a slot between them.
//   - With clocks up to S apart those that have a turn at one moment are of at most 1+ceil(S/Slot) slots, so at most
//     Actors*(1+ceil(S/Slot)).
//   - One that knows of more or fewer members takes another one's turn only in slots that the difference decides: where n members
//     each know a part p of n, they have about Actors/p turns a slot between them, whatever n is.
//   - Who is dead, or has nothing to do it with, wastes its turn, and the next slot is drawn anew: with a share d of such
//     members, and one actor, m slots go by without a turn of anybody else with probability d^m.
//
// It needs no message. It does harm where the members that are known have little to do with those that there are: with a number
// far too high nobody may have a turn for long.
package timeslot

import (
	"time"

	"quincegap/internal/structures/rendezvous"
)

// Schedule is one member's knowledge of who takes turns. All but the member itself is the same at members that agree.
type Schedule struct {
	ranking      rendezvous.Ranking
	slotDuration time.Duration
	actors       int
}

// New makes an Order. Members are numbers that all agree on, such as hashes of names, in any order; self is added where it is not
// among them. slot is above 0 and actors at least 1, else it panics: they are constants of whoever calls.
func New(self uint64, members []uint64, slot time.Duration, actors int) *Schedule {
	if slot <= 0 || actors < 1 {
		panic("turns: no slot or no actors")
	}
	return &Schedule{ranking: rendezvous.New(self, members), slotDuration: slot, actors: actors}
}

// NewNumbered is New for members that know only how many they are, and their number among them, from 0.
func NewNumbered(ordinal, instances int, slot time.Duration, actors int) *Schedule {
	var all []uint64
	for i := range instances {
		all = append(all, uint64(i))
	}
	return New(uint64(ordinal), all, slot, actors)
}

// slotAt is the slot of a time. Times before the epoch have slots too.
func (o *Schedule) slotAt(at time.Duration) int64 {
	s := int64(at / o.slotDuration)
	if at%o.slotDuration < 0 {
		s--
	}
	return s
}

// IsMyTurn tells whether this member has a turn at a time, counted from an epoch that all share.
func (o *Schedule) IsMyTurn(what uint64, at time.Duration) bool { return o.hasTurn(what, o.slotAt(at)) }

func (o *Schedule) hasTurn(what uint64, slot int64) bool {
	return o.ranking.InFirst(rendezvous.Mix(what^rendezvous.Mix(uint64(slot))), o.actors)
}

// NextTurn is when this member's next turn begins, from a time on; that time itself in the midst of one. Where it has none within as
// many slots as give it one with all but one chance in e^8, the end of these is returned, to be asked at again.
func (o *Schedule) NextTurn(what uint64, at time.Duration) (begins time.Duration, ok bool) {
	const surely = 8
	slot := o.slotAt(at)
	last := slot + int64(surely*max(1, o.ranking.Len()/o.actors))
	for s := slot; s <= last; s++ {
		if o.hasTurn(what, s) {
			return max(at, time.Duration(s)*o.slotDuration), true
		}
	}
	return time.Duration(last+1) * o.slotDuration, false
}

// Offset spreads what all members are to do after one cause over a time: it is this member's part of it, from 0 to below window.
// Those of members that agree are window/n apart, in an order of each cause's own, so that nobody is always the last.
func (o *Schedule) Offset(what uint64, window time.Duration) time.Duration {
	return time.Duration(float64(window) * float64(o.ranking.Rank(rendezvous.Mix(what))) / float64(o.ranking.Len()))
}
