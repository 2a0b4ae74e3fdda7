package timeslot

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// memberIDs returns the numbers that identify n members.
func memberIDs(n int) (all []uint64) {
	for i := range n {
		all = append(all, uint64(i)<<20)
	}
	return all
}

// Members that agree have exactly turnsPerSlot turns in a slot. With clocks that differ they have no more turns than documented.
func TestTurnsPerSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, turnsPerSlot := rapid.IntRange(1, 80).Draw(t, "members"), rapid.IntRange(1, 4).Draw(t, "actors")
		task, at := rapid.Uint64().Draw(t, "what"), time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "at"))
		skew := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "skew"))
		all := memberIDs(members)
		turns, withSkew := 0, 0
		for i, member := range all {
			schedule := New(member, all, time.Second, turnsPerSlot)
			if schedule.IsMyTurn(task, at) {
				turns++
			}
			if ownSkew := skew * time.Duration(i) / time.Duration(members); schedule.IsMyTurn(task, at+ownSkew) {
				withSkew++
			}
		}
		if want := min(members, turnsPerSlot); turns != want {
			t.Fatalf("%d turns of %d members at one time, want %d", turns, members, want)
		}
		if maxTurns := turnsPerSlot * (1 + int(math.Ceil(float64(skew)/float64(time.Second)))); withSkew > maxTurns {
			t.Fatalf("%d turns with clocks %v apart, want at most %d", withSkew, skew, maxTurns)
		}
	})
}

// NextTurn returns the beginning of a turn according to IsMyTurn, and there is no turn before it.
func TestNextTurnIsTheEarliest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "members")
		schedule := NewNumbered(rapid.IntRange(0, n-1).Draw(t, "ordinal"), n, time.Second, 1)
		task, at := rapid.Uint64().Draw(t, "what"), time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "at"))
		next, ok := schedule.NextTurn(task, at)
		if next < at || ok && !schedule.IsMyTurn(task, next) {
			t.Fatalf("NextTurn from %v returned %v, which is earlier or not within a turn", at, next)
		}
		for earlier := at; earlier < next; earlier += time.Second / 4 {
			if schedule.IsMyTurn(task, earlier) {
				t.Fatalf("there is a turn at %v, before the one at %v that NextTurn returned", earlier, next)
			}
		}
	})
}

// countTurns returns the average number of turns per slot of the living members, which are the first ones of all, and the length of the
// longest series of slots without a turn of any of them. known returns the members that the i-th member knows.
func countTurns(all []uint64, known func(i int) []uint64, living int) (mean float64, longest int) {
	const slots = 4000
	schedules := make([]*Schedule, living)
	for i := range schedules {
		schedules[i] = New(all[i], known(i), time.Second, 1)
	}
	total, gap := 0, 0
	for slot := range slots {
		turns := 0
		for _, s := range schedules {
			if s.IsMyTurn(7, time.Duration(slot)*time.Second) {
				turns++
			}
		}
		total += turns
		gap++
		if turns > 0 {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return float64(total) / slots, longest
}

// Members that each know half of the members have about twice as many turns, and members that know twice as many as there are have about
// half as many turns, whatever their number. If half of the members have died, a turn of a living member comes soon.
func TestWrongMemberCountsAndDeadMembers(t *testing.T) {
	for _, n := range []int{4, 20, 100} {
		all := memberIDs(2 * n)
		halfOf := func(i int) []uint64 {
			first := i / (n / 2) * (n / 2)
			return all[first : first+n/2]
		}
		if mean, _ := countTurns(all, halfOf, n); mean < 1.8 || mean > 2.2 {
			t.Errorf("%d members that each know half of them have %.2f turns per slot, want 1.8 to 2.2", n, mean)
		}
		twice := func(int) []uint64 { return all }
		if mean, longest := countTurns(all, twice, n); mean < 0.45 || mean > 0.55 || longest > 20 {
			t.Errorf("%d of %d members are alive: %.2f turns per slot and %d slots without a turn, want 0.45 to 0.55 and at most 20",
				n, 2*n, mean, longest)
		}
	}
}

// The offsets of all members for one cause are spread evenly, and their order differs between causes.
func TestOffsetsAreEven(t *testing.T) {
	const n = 50
	all := memberIDs(n)
	offsets := func(task uint64) (of []time.Duration) {
		for _, member := range all {
			of = append(of, New(member, all, time.Second, 1).Offset(task, n*time.Second))
		}
		return of
	}
	a, b := offsets(1), offsets(2)
	if slices.Equal(a, b) {
		t.Error("the offsets have the same order for two causes")
	}
	slices.Sort(a)
	for i, offset := range a {
		if offset.Round(time.Millisecond) != time.Duration(i)*time.Second {
			t.Errorf("offset %d is %v, want %v", i, offset, time.Duration(i)*time.Second)
		}
	}
}
