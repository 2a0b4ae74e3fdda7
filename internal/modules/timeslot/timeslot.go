// Package timeslot decides which of several members, which exchange no messages, has a turn at a task that one of them should do, not
// all: a trial request at an ejected endpoint, a warm-up, a fetch of a list. It does no I/O and reads no clock.
//
// Time is divided into slots by each member's own clock. In each slot the members have another order, by the rendezvous hash of the
// task, the slot and the member (Thaler, Ravishankar 1998), and the first of them, as many as there are actors, have a turn. So:
//
//   - Members that agree on the set of members, and whose clocks agree, have exactly as many turns in each slot as there are actors.
//   - With clocks up to S apart, the turns at one moment belong to at most 1+ceil(S/slot) slots, so there are at most
//     actors*(1+ceil(S/slot)).
//   - A member that knows more or fewer members has a wrong turn only in slots that the difference decides: if n members each know a
//     share p of n, they have about actors/p turns in a slot, whatever n is.
//   - A member that has died, or that cannot do the task, wastes its turn, and the next slot has another order: with a share d of
//     such members, and one actor, m slots pass without a turn of another member with probability d^m.
//
// It is unsuitable where the known members differ much from the actual ones: with a number of members that is far too high, there may
// be no turn for long.
package timeslot

import (
	"time"

	"quincegap/internal/structures/rendezvous"
)

// Schedule is the schedule of turns as one member knows it. It does not change, and is safe for concurrent use.
type Schedule struct {
	ranking      rendezvous.Ranking
	slotDuration time.Duration
	actors       int // turns in each slot
}

// New returns the schedule of the member self. Members are numbers that all members agree on, such as hashes of names, in any order;
// self is added if it is not among them. It panics unless slot is above 0 and actors at least 1, which are constants of its callers.
func New(self uint64, members []uint64, slot time.Duration, actors int) *Schedule {
	if slot <= 0 || actors < 1 {
		panic("timeslot: no slot or no actors")
	}
	return &Schedule{ranking: rendezvous.New(self, members), slotDuration: slot, actors: actors}
}

// NewNumbered is New for members that know only how many there are, and their own ordinal, from 0.
func NewNumbered(ordinal, instances int, slot time.Duration, actors int) *Schedule {
	all := make([]uint64, max(instances, 0))
	for i := range all {
		all[i] = uint64(i)
	}
	return New(uint64(ordinal), all, slot, actors)
}

// slotAt returns the slot of a time. Times before the epoch have negative slots.
func (s *Schedule) slotAt(at time.Duration) int64 {
	slot := int64(at / s.slotDuration)
	if at%s.slotDuration < 0 {
		slot--
	}
	return slot
}

// IsMyTurn reports whether this member has a turn at a task at a time, counted from an epoch that all members share.
func (s *Schedule) IsMyTurn(task uint64, at time.Duration) bool { return s.hasTurn(task, s.slotAt(at)) }

func (s *Schedule) hasTurn(task uint64, slot int64) bool {
	return s.ranking.InFirst(rendezvous.Mix(task^rendezvous.Mix(uint64(slot))), s.actors)
}

// searchedTurns is how many turns of this member, on average, are in the slots that NextTurn searches. The probability that there is
// none is about e to the power of minus that.
const searchedTurns = 8

// NextTurn returns when this member's next turn at a task begins, not before a time; that time itself if it is within a turn. If there
// is none in the slots that it searches, which has a probability of about e^-8, it returns the end of these slots and false: the
// caller asks again then.
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

// Offset spreads an action that all members take for one cause over a window: it returns this member's delay, from 0 to below window.
// The delays of n members that agree are window/n apart, in another order for each cause, so that no member is always the last.
func (s *Schedule) Offset(cause uint64, window time.Duration) time.Duration {
	rank := s.ranking.Rank(rendezvous.Mix(cause))
	return time.Duration(float64(window) * float64(rank) / float64(s.ranking.Len()))
}
