package timeslot

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// numbers returns the numbers of n members.
func numbers(n int) (all []uint64) {
	for i := range n {
		all = append(all, uint64(i)<<20)
	}
	return all
}

// Members that agree have exactly as many turns in a slot as there are actors, and with clocks apart no more than documented.
func TestTurnsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, actors := rapid.IntRange(1, 80).Draw(t, "members"), rapid.IntRange(1, 4).Draw(t, "actors")
		what, at := rapid.Uint64().Draw(t, "what"), time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "at"))
		skew := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "skew"))
		all := numbers(members)
		mine, apart := 0, 0
		for i, m := range all {
			o := New(m, all, time.Second, actors)
			if o.IsMyTurn(what, at) {
				mine++
			}
			if own := skew * time.Duration(i) / time.Duration(members); o.IsMyTurn(what, at+own) {
				apart++
			}
		}
		if want := min(members, actors); mine != want {
			t.Fatalf("%d turns of %d members, should be %d", mine, members, want)
		}
		if most := actors * (1 + int(math.Ceil(float64(skew)/float64(time.Second)))); apart > most {
			t.Fatalf("%d turns with clocks %v apart, %d at most", apart, skew, most)
		}
	})
}

// NextTurn returns the begin of a turn that IsMyTurn confirms, with none before it.
func TestNextIsTheFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "members")
		o := NewNumbered(rapid.IntRange(0, n-1).Draw(t, "ordinal"), n, time.Second, 1)
		what, at := rapid.Uint64().Draw(t, "what"), time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "at"))
		next, ok := o.NextTurn(what, at)
		if next < at || ok && !o.IsMyTurn(what, next) {
			t.Fatalf("%v after %v is no turn", next, at)
		}
		for x := at; x < next; x += time.Second / 4 {
			if o.IsMyTurn(what, x) {
				t.Fatalf("a turn at %v, before %v", x, next)
			}
		}
	})
}

// countTurns returns how many turns the members that are alive have in a slot, on average, and the longest series of slots without a
// turn of theirs. known returns the members that the i-th member knows.
func countTurns(all []uint64, known func(i int) []uint64, alive int) (mean float64, longest int) {
	const slots = 4000
	schedules := make([]*Schedule, alive)
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

// Members that each know half of the members, or twice as many as there are, have about twice or half as many turns, however many they
// are; and if half of them have died, another member's turn comes soon.
func TestWrongNumbersAndDeadMembers(t *testing.T) {
	for _, n := range []int{4, 20, 100} {
		all := numbers(2 * n)
		halfOf := func(i int) []uint64 {
			first := i / (n / 2) * (n / 2)
			return all[first : first+n/2]
		}
		if mean, _ := countTurns(all, halfOf, n); mean < 1.8 || mean > 2.2 {
			t.Errorf("%d members that know half of them: %.2f turns a slot", n, mean)
		}
		twice := func(int) []uint64 { return all }
		if mean, longest := countTurns(all, twice, n); mean < 0.45 || mean > 0.55 || longest > 20 {
			t.Errorf("%d of %d are alive: %.2f turns a slot, none in %d", n, 2*n, mean, longest)
		}
	}
}

// The offsets of all members for one cause are spread evenly, in another order for another cause.
func TestOffsetsAreEven(t *testing.T) {
	const n = 50
	all := numbers(n)
	offsets := func(what uint64) (of []time.Duration) {
		for _, m := range all {
			of = append(of, New(m, all, time.Second, 1).Offset(what, n*time.Second))
		}
		return of
	}
	a, b := offsets(1), offsets(2)
	if slices.Equal(a, b) {
		t.Error("the order is the same for two causes")
	}
	slices.Sort(a)
	for i, x := range a {
		if x.Round(time.Millisecond) != time.Duration(i)*time.Second {
			t.Errorf("offset %d is %v", i, x)
		}
	}
}
