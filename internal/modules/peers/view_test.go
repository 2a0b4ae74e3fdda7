package peers

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// anyRecord draws a record. It has few different processes, so that many records are about the same process.
func anyRecord(t *rapid.T) Record {
	r := record(rapid.Uint64Range(2, 5).Draw(t, "process"), rapid.SampledFrom([]State{Joining, Serving, Suspect, Leaving}).Draw(t, "state"))
	r.Incarnation = rapid.Uint64Range(0, 3).Draw(t, "incarnation")
	r.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
	r.Name = rapid.SampledFrom([]string{"n02", "n03"}).Draw(t, "name")
	return r
}

// The view is the same in whatever order and however often records arrive, and the incarnation of a process never decreases.
func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(anyRecord), 0, 20).Draw(t, "records")
		ordered := newTestView(options)
		shuffled := newTestView(options)
		last := map[uint64]uint64{}
		for _, r := range records {
			ordered.merge(r)
			for _, m := range ordered.Records() {
				if m.Incarnation < last[m.Process] {
					t.Fatalf("the incarnation of process %d decreased to %d from %d", m.Process, m.Incarnation, last[m.Process])
				}
				last[m.Process] = m.Incarnation
			}
		}
		again := append(slices.Clone(records), records...)
		for _, r := range rapid.Permutation(again).Draw(t, "order") {
			shuffled.merge(r)
		}
		if !slices.Equal(ordered.Records(), shuffled.Records()) || ordered.Digest(0) != shuffled.Digest(0) {
			t.Fatalf("records merged in order and shuffled with duplicates: got %v (digest %x) and %v (digest %x), want equal ones",
				ordered.Records(), ordered.Digest(0), shuffled.Records(), shuffled.Digest(0))
		}
	})
}

// A process refutes the claim that it is suspect or gone, once for each incarnation, and other members accept its refutation.
func TestRefutation(t *testing.T) {
	view := newTestView(options)
	if !view.merge(record(1, Suspect)) || view.Self().Incarnation != 2 || view.Self().State != Serving {
		t.Errorf("after a suspicion: got own record %+v, want it announced as serving with incarnation 2", view.Self())
	}
	if !view.merge(record(1, Gone)) || view.Self().Incarnation != 2 {
		t.Errorf("after an old false record: got own record %+v, want it announced again with incarnation 2", view.Self())
	}
	if view.merge(record(1, Serving)) {
		t.Errorf("an old record that claims no later state is refuted, own record: %+v", view.Self())
	}
	highest := record(1, Gone)
	highest.Incarnation = math.MaxUint64
	if view.merge(highest) || view.Self().Incarnation != 2 || view.Rejected() != 1 {
		t.Errorf("a record with the highest incarnation is not rejected, or changed the own record: %+v (%d rejected)",
			view.Self(), view.Rejected())
	}
	other := settledView(2, options)
	highest.Process = 2
	if other.merge(highest) || other.Rejected() != 1 {
		t.Errorf("a record with the highest incarnation of another process is not rejected (%d rejected)", other.Rejected())
	}
	other.merge(record(2, Gone))
	if other.merge(record(2, Serving)) {
		t.Error("an old record of a gone member is accepted")
	}
	refutation := record(2, Serving)
	if refutation.Incarnation = 2; !other.merge(refutation) || len(other.Present(other.now)) != 2 {
		t.Errorf("a refutation is not accepted: got present members %v, want 2", other.Present(other.now))
	}
}

// False records that a member is gone do not change the group while the member is reachable and refutes them. If it does not refute one,
// the member leaves the group.
func TestFalseRecordsChangeNothing(t *testing.T) {
	view := settledView(10, options)
	for i := range uint64(20) {
		for p := uint64(2); p <= 10; p++ {
			r := record(p, Gone)
			r.Incarnation = 1 + i
			view.merge(r)
		}
		view.advance(options.SuspicionTimeout / 4)
		if view.confidence() != Settled || len(view.Present(view.now)) != 10 {
			t.Fatalf("step %d: got %v with %d present members, want settled with 10", i, view.confidence(), len(view.Present(view.now)))
		}
		for p := uint64(2); p <= 10; p++ {
			view.rejoin(p, 2+i)
		}
	}
	view.merge(Record{Process: 3, Name: "n03", Incarnation: 21, State: Gone})
	if view.advance(options.SuspicionTimeout + options.SettleAfter + time.Second); len(view.names()) != 9 {
		t.Errorf("after a claim that was not refuted: got group %v, want 9 names", view.names())
	}
}

// A member that is reachable and claimed to be gone is disputed until it refutes the claim. Each new claim with a higher incarnation gives
// it SuspicionTimeout to do so.
func TestDisputed(t *testing.T) {
	view := settledView(3, options)
	claim := func(s State, incarnation uint64) {
		r := record(3, s)
		r.Incarnation = incarnation
		view.merge(r)
	}
	for i := range uint64(10) {
		claim(Gone, 1+i)
		if d := view.Disputed(); len(d) != 1 || d[0].Process != 3 || d[0].Incarnation != 1+i {
			t.Fatalf("disputed records after claim %d: got %v, want that of process 3 with incarnation %d", i, d, 1+i)
		}
		view.advance(options.SuspicionTimeout / 2) // the next claim arrives before the refutation of this one
		if view.confidence() != Settled {
			t.Fatalf("confidence after claim %d: got %v, want settled", i, view.confidence())
		}
	}
	claim(Serving, 20)
	if d := view.Disputed(); len(d) != 0 || view.confidence() != Settled {
		t.Errorf("after the refutation: got disputed records %v and %v, want none and settled", d, view.confidence())
	}
	view.MarkUnreachable(view.now, 3)
	if d := view.Disputed(); len(d) != 0 {
		t.Errorf("disputed records while the member is unreachable: got %v, want none", d)
	}
}

// A suspect that does not refute the suspicion is gone after SuspicionTimeout, and removed after ForgetAfter.
func TestSuspectsAreGoneAndForgottenInTime(t *testing.T) {
	view := settledView(3, options)
	if _, ok := view.MarkSuspect(view.now, 3); !ok || len(view.Present(view.now)) != 3 {
		t.Fatalf("with a new suspect: got present members %v (new record: %v), want 3", view.Present(view.now), ok)
	}
	if view.confidence() != Settled {
		t.Errorf("confidence with a new suspect: got %v, want settled", view.confidence())
	}
	view.advance(options.SuspicionTimeout)
	view.MarkUnreachable(view.now, 3)
	if len(view.Present(view.now)) != 2 || view.confidence() != Changing || len(view.names()) != 3 {
		t.Errorf("after the suspicion timeout: got present members %v, %v and group %v; want 2 members, changing and 3 names",
			view.Present(view.now), view.confidence(), view.names())
	}
	if view.merge(record(3, Serving)) {
		t.Error("an old record of the former suspect is accepted")
	}
	if view.advance(options.SettleAfter); len(view.names()) != 2 || view.confidence() != Settled {
		t.Errorf("after the suspect is gone: got group %v and %v, want 2 names and settled", view.names(), view.confidence())
	}
	if view.advance(options.ForgetAfter); len(view.Records()) != 2 || len(view.group.histories) != 2 {
		t.Errorf("after ForgetAfter: got records %v and %d names, want 2 of each", view.Records(), len(view.group.histories))
	}
	// A record that is replayed after the tombstone was removed adds no present member, because the process is not reachable.
	view.merge(record(3, Serving))
	if view.advance(options.SettleAfter); len(view.names()) != 2 || view.confidence() != Settled {
		t.Errorf("after a replayed record: got group %v and %v, want 2 names and settled", view.names(), view.confidence())
	}
	if view.advance(options.ForgetAfter); len(view.Records()) != 2 {
		t.Errorf("ForgetAfter after a replayed record: got records %v, want 2", view.Records())
	}
}

// All records are exchanged if the views differ, at most once in MinExchangeInterval, and not while the own view is unstable.
func TestShouldExchange(t *testing.T) {
	view := settledView(4, options)
	same := settledView(4, options)
	if view.advance(options.MinExchangeInterval); view.ShouldExchange(view.now, same.Digest(same.now)) {
		t.Error("an exchange is requested though the views are equal")
	}
	same.MarkUnreachable(same.now, 3)
	other := same.Digest(same.now)
	if !view.ShouldExchange(view.now, other) || view.ShouldExchange(view.now, other) {
		t.Error("for two differing views, not exactly one exchange is requested within MinExchangeInterval")
	}
	view.advance(options.MinExchangeInterval)
	view.join(9)
	if view.ShouldExchange(view.now, other) {
		t.Error("an exchange is requested while the own view is unstable")
	}
	if view.advance(options.SettleAfter); !view.ShouldExchange(view.now, other) {
		t.Error("no second exchange is requested though the views still differ after MinExchangeInterval")
	}
}

// However many members appear and disappear, there are at most MaxMembers records, and no present member is evicted for a new one.
func TestMembersAreBounded(t *testing.T) {
	view := settledView(10, options)
	for p := uint64(100); p < 10_100; p++ {
		view.now += time.Millisecond
		view.join(p)
		view.MarkUnreachable(view.now, p)
	}
	if len(view.Records()) > options.MaxMembers || len(view.Present(view.now)) != 10 {
		t.Errorf("after 10000 members came and went: got %d records and %d present members, want at most %d and 10", len(view.Records()),
			len(view.Present(view.now)), options.MaxMembers)
	}
	view.advance(2 * options.ForgetAfter)
	if len(view.group.histories) != 10 || len(view.Records()) != 10 {
		t.Errorf("after twice ForgetAfter: got %d names and %d records, want 10 of each", len(view.group.histories), len(view.Records()))
	}
	for p := uint64(20_000); p < 20_100; p++ {
		view.join(p)
	}
	if len(view.Records()) > options.MaxMembers || view.Rejected() == 0 {
		t.Errorf("after too many members joined: got %d records and %d rejected ones, want at most %d and some rejected", len(view.Records()),
			view.Rejected(), options.MaxMembers)
	}
	if i := slices.IndexFunc(view.Present(view.now), func(r Record) bool { return r.Process == 7 }); i < 0 {
		t.Error("the present member 7 was evicted")
	}
	if view.merge(Record{}) || view.merge(record(3, 9)) {
		t.Error("a malformed record is accepted")
	}
	if n := len(view.TakeChanges()); n == 0 || n > maxChanges {
		t.Errorf("got %d stored changes, want 1 to %d", n, maxChanges)
	}
}
