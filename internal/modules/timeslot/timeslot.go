// Package timeslot decides which of several members takes its turn at a task that one of them should do, not all: a trial request to an
// ejected endpoint, a warm-up, a fetch of a list. The members do not exchange messages about it. The package does no I/O and reads no
// clock.
//
// Each member's own clock divides time into slots. The rendezvous hash of the task, the slot and the member (Thaler, Ravishankar 1998)
// orders the members anew in each slot, and the first of them, turnsPerSlot in number, have a turn. This has the following consequences:
//
//   - Members that agree on the set of members, and whose clocks agree, have exactly turnsPerSlot turns in each slot.
//   - With clocks up to S apart, the turns at one moment belong to at most 1+ceil(S/slot) slots, so there are at most
//     turnsPerSlot*(1+ceil(S/slot)) turns.
//   - A member that knows too many or too few members has a wrong turn only in slots in which the difference matters: if n members each
//     know a share p of n, they have about turnsPerSlot/p turns in a slot, whatever n is.
//   - A member that has died, or that cannot do the task, wastes its turn, and the next slot has another order: with a share d of
//     such members, and one turn per slot, m slots pass without a turn of another member with probability d^m.
//
// The package is unsuitable where the known members differ much from the actual ones: if a member assumes far too many members, there may
// be no turn for a long time.
package timeslot

import (
	"time"

	"quincegap/internal/structures/rendezvous"
)

// Schedule is the schedule of turns as one member computes it. It is immutable and safe for concurrent use.
type Schedule struct {
	ranking      rendezvous.Ranking
	slotDuration time.Duration
	turnsPerSlot int // number of turns in each slot
}

// New returns the schedule of the member self. members are numbers that all members agree on, such as hashes of names, in any order;
// self is added if it is not among them. slot is the duration of a slot. New panics unless slot is above 0 and turnsPerSlot is at least 1,
// because callers pass constants for both.
func New(self uint64, members []uint64, slot time.Duration, turnsPerSlot int) *Schedule {
	if slot <= 0 || turnsPerSlot < 1 {
		panic("timeslot: slot must be above 0 and turnsPerSlot at least 1")
	}
	return &Schedule{ranking: rendezvous.New(self, members), slotDuration: slot, turnsPerSlot: turnsPerSlot}
}

// NewNumbered is like New, for members that know only their own ordinal, from 0, and the number of instances.
func NewNumbered(ordinal, instances int, slot time.Duration, turnsPerSlot int) *Schedule {
	all := make([]uint64, max(instances, 0))
	for i := range all {
		all[i] = uint64(i)
	}
	return New(uint64(ordinal), all, slot, turnsPerSlot)
}

// slotAt returns the number of the slot that contains a time. Times before the epoch have negative slot numbers.
func (s *Schedule) slotAt(at time.Duration) int64 {
	slot := int64(at / s.slotDuration)
	if at%s.slotDuration < 0 {
		slot--
	}
	return slot
}

// IsMyTurn reports whether this member has a turn at a task at the given time, a duration since an epoch that all members share.
func (s *Schedule) IsMyTurn(task uint64, at time.Duration) bool { return s.hasTurn(task, s.slotAt(at)) }

func (s *Schedule) hasTurn(task uint64, slot int64) bool {
	return s.ranking.InFirst(rendezvous.Mix(task^rendezvous.Mix(uint64(slot))), s.turnsPerSlot)
}

// expectedTurnsSearched is the average number of turns of this member in the slots that NextTurn searches. The probability that they
// contain no turn is about e^-expectedTurnsSearched.
const expectedTurnsSearched = 8

// NextTurn returns the time at which this member's next turn at a task begins, or at itself if that is within a turn. If the searched
// slots contain no turn, which has a probability of about e^-8, it returns the end of these slots and false, and the caller has to ask
// again at that time.
func (s *Schedule) NextTurn(task uint64, at time.Duration) (begins time.Duration, ok bool) {
	first := s.slotAt(at)
	last := first + int64(expectedTurnsSearched*max(1, s.ranking.Len()/s.turnsPerSlot))
	for slot := first; slot <= last; slot++ {
		if s.hasTurn(task, slot) {
			return max(at, time.Duration(slot)*s.slotDuration), true
		}
	}
	return time.Duration(last+1) * s.slotDuration, false
}

// Offset spreads an action that all members take for the same cause over a window: it returns this member's delay, which is at least 0
// and less than window. The delays of n members that agree on the members are window/n apart. Their order differs between causes, so that
// no member is always the last.
func (s *Schedule) Offset(cause uint64, window time.Duration) time.Duration {
	rank := s.ranking.Rank(rendezvous.Mix(cause))
	return time.Duration(float64(window) * float64(rank) / float64(s.ranking.Len()))
}
