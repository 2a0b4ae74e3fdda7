// Package timeslot decides whose turn it is, among members that exchange no messages, to do what is needed once and not once a
// member: a trial request at an ejected endpoint, a warm-up, asking for a list. It does no I/O and reads no clock.
//
// Time is cut into slots by each member's own clock. In each slot the members stand in an order of its own, by rendezvous hash of
// the task, the slot and the member (Thaler, Ravishankar 1998), and the first actors of them have a turn. So:
//
//   - Members that agree on who they are, and whose clocks agree, have just as many turns a slot between them as there are actors.
//   - With clocks up to S apart those that have a turn at one moment are of at most 1+ceil(S/slot) slots, so at most
//     actors*(1+ceil(S/slot)).
//   - One that knows of more or fewer members takes another one's turn only in slots that the difference decides: where n members
//     each know a part p of n, they have about actors/p turns a slot between them, whatever n is.
//   - Who is dead, or has nothing to do it with, wastes its turn, and the next slot is drawn anew: with a share d of such
//     members, and one actor, m slots go by without a turn of anybody else with probability d^m.
//
// It does harm where the members that are known have little to do with those that there are: with a number far too high nobody
// may have a turn for long.
package timeslot

import (
	"time"

	"quincegap/internal/structures/rendezvous"
)

// Schedule is one member's knowledge of who takes turns. All but the member itself is the same at members that agree. It is safe
// for concurrent use.
type Schedule struct {
	ranking      rendezvous.Ranking
	slotDuration time.Duration
	actors       int
}

// New makes a Schedule. Members are numbers that all agree on, such as hashes of names, in any order; self is added where it is
// not among them. slot is above 0 and actors at least 1, else it panics: they are constants of whoever calls.
func New(self uint64, members []uint64, slot time.Duration, actors int) *Schedule {
	if slot <= 0 || actors < 1 {
		panic("timeslot: no slot or no actors")
	}
	return &Schedule{ranking: rendezvous.New(self, members), slotDuration: slot, actors: actors}
}

// NewNumbered is New for members that know only how many they are, and their number among them, from 0.
func NewNumbered(ordinal, instances int, slot time.Duration, actors int) *Schedule {
	all := make([]uint64, max(instances, 0))
	for i := range all {
		all[i] = uint64(i)
	}
	return New(uint64(ordinal), all, slot, actors)
}

// slotAt is the slot of a time. Times before the epoch have slots too.
func (s *Schedule) slotAt(at time.Duration) int64 {
	slot := int64(at / s.slotDuration)
	if at%s.slotDuration < 0 {
		slot--
	}
	return slot
}

// IsMyTurn reports whether this member has a turn at a task at a time, counted from an epoch that all share.
func (s *Schedule) IsMyTurn(task uint64, at time.Duration) bool { return s.hasTurn(task, s.slotAt(at)) }

func (s *Schedule) hasTurn(task uint64, slot int64) bool {
	return s.ranking.InFirst(rendezvous.Mix(task^rendezvous.Mix(uint64(slot))), s.actors)
}

// searchedTurns is how many turns of this member, on average, there are in the slots that NextTurn searches: there is none in
// them with a probability of about e to the power of minus that.
const searchedTurns = 8

// NextTurn is when this member's next turn at a task begins, from a time on; that time itself in the midst of one. Where it has
// none within as many slots as give it one with all but one chance in e^8, it returns the end of these, to be asked at again, and
// false.
func (s *Schedule) NextTurn(task uint64, at time.Duration) (begins time.Duration, ok bool) {
	first := s.slotAt(at)
	last := first + int64(searchedTurns*max(1, s.ranking.Len()/s.actors))
	for slot := first; slot <= last; slot++ {
		if s.hasTurn(task, slot) {
			return max(at, time.Duration(slot)*s.slotDuration), true
		}
	}
	return time.Duration(last+1) * s.slotDuration, false
}

// Offset spreads what all members are to do after one cause over a time: it is this member's part of it, from 0 to below window.
// Those of members that agree are window/n apart, in an order of each cause's own, so that nobody is always the last.
func (s *Schedule) Offset(cause uint64, window time.Duration) time.Duration {
	rank := s.ranking.Rank(rendezvous.Mix(cause))
	return time.Duration(float64(window) * float64(rank) / float64(s.ranking.Len()))
}
