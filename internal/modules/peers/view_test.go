package peers

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// anyRecord draws a record of one of few processes, so that many are of the same.
func anyRecord(t *rapid.T) Record {
	r := record(rapid.Uint64Range(2, 5).Draw(t, "process"), rapid.SampledFrom([]State{Joining, Serving, Suspect, Leaving}).Draw(t, "state"))
	r.Incarnation = rapid.Uint64Range(0, 3).Draw(t, "incarnation")
	r.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
	r.Name = rapid.SampledFrom([]string{"n02", "n03"}).Draw(t, "name")
	return r
}

// Whatever order records come in, and however often, the view is the same, and no incarnation goes back.
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
					t.Fatalf("incarnation of %d went back to %d", m.Process, m.Incarnation)
				}
				last[m.Process] = m.Incarnation
			}
		}
		again := append(slices.Clone(records), records...)
		for _, r := range rapid.Permutation(again).Draw(t, "order") {
			shuffled.merge(r)
		}
		if !slices.Equal(ordered.Records(), shuffled.Records()) || ordered.Digest(0) != shuffled.Digest(0) {
			t.Fatalf("%v and %v", ordered.Records(), shuffled.Records())
		}
	})
}

// A process refutes that it is suspected or gone, once for each incarnation, and others take its refutation.
func TestRefutation(t *testing.T) {
	view := newTestView(options)
	if !view.merge(record(1, Suspect)) || view.Self().Incarnation != 2 || view.Self().State != Serving {
		t.Errorf("a suspicion was not refuted: %+v", view.Self())
	}
	if !view.merge(record(1, Gone)) || view.Self().Incarnation != 2 {
		t.Errorf("an old record is answered by the refutation that stands: %+v", view.Self())
	}
	if view.merge(record(1, Serving)) {
		t.Errorf("an old record that does no harm was answered: %+v", view.Self())
	}
	highest := record(1, Gone)
	highest.Incarnation = math.MaxUint64
	if view.merge(highest) || view.Self().Incarnation != 2 || view.Rejected() != 1 {
		t.Errorf("the highest incarnation was taken: %+v", view.Self())
	}
	other := settledView(2, options)
	highest.Process = 2
	if other.merge(highest) || other.Rejected() != 1 {
		t.Error("the highest incarnation of another was taken")
	}
	other.merge(record(2, Gone))
	if other.merge(record(2, Serving)) {
		t.Error("an old record brought one back that is gone")
	}
	refutation := record(2, Serving)
	if refutation.Incarnation = 2; !other.merge(refutation) || len(other.Present(other.now)) != 2 {
		t.Error("a refutation was not taken")
	}
}

// False records that a member is gone do not change the group while it is reachable and refutes them, but they do if it does not.
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
			t.Fatalf("step %d: %v, %d present", i, view.confidence(), len(view.Present(view.now)))
		}
		for p := uint64(2); p <= 10; p++ {
			view.rejoin(p, 2+i)
		}
	}
	view.merge(Record{Process: 3, Name: "n03", Incarnation: 21, State: Gone})
	if view.advance(options.SuspicionTimeout + options.SettleAfter + time.Second); len(view.names()) != 9 {
		t.Errorf("one that refutes nothing: %v", view.names())
	}
}

// A member that is claimed to be gone and is reachable is disputed until it refutes the claim. Its time to do so counts from its last
// refutation.
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
			t.Fatalf("%v", d)
		}
		view.advance(options.SuspicionTimeout / 2) // the refutation of each is overtaken by the next record
		if view.confidence() != Settled {
			t.Fatalf("after %d refutations: %v", i, view.confidence())
		}
	}
	claim(Serving, 20)
	if d := view.Disputed(); len(d) != 0 || view.confidence() != Settled {
		t.Errorf("refuted: %v, %v", d, view.confidence())
	}
	view.MarkUnreachable(view.now, 3)
	if d := view.Disputed(); len(d) != 0 {
		t.Errorf("disputed while it is not reached: %v", d)
	}
}

// A suspect that does not refute it is gone in time, and forgotten later.
func TestSuspectsAreGoneAndForgottenInTime(t *testing.T) {
	view := settledView(3, options)
	if _, ok := view.MarkSuspect(view.now, 3); !ok || len(view.Present(view.now)) != 3 {
		t.Fatal("a suspect counts as present until its time is up")
	}
	if view.confidence() != Settled {
		t.Error("a suspicion alone unsettles nothing")
	}
	view.advance(options.SuspicionTimeout)
	view.MarkUnreachable(view.now, 3)
	if len(view.Present(view.now)) != 2 || view.confidence() != Changing || len(view.names()) != 3 {
		t.Errorf("%v, %v, %v", view.Present(view.now), view.confidence(), view.names())
	}
	if view.merge(record(3, Serving)) {
		t.Error("an old record brought it back")
	}
	if view.advance(options.SettleAfter); len(view.names()) != 2 || view.confidence() != Settled {
		t.Errorf("%v, %v", view.names(), view.confidence())
	}
	if view.advance(options.ForgetAfter); len(view.Records()) != 2 || len(view.group.histories) != 2 {
		t.Errorf("%v, %d names", view.Records(), len(view.group.histories))
	}
	// A record that is replayed when all is forgotten makes no member, for it is not reached.
	view.merge(record(3, Serving))
	if view.advance(options.SettleAfter); len(view.names()) != 2 || view.confidence() != Settled {
		t.Errorf("an old record made a member: %v", view.names())
	}
	if view.advance(options.ForgetAfter); len(view.Records()) != 2 {
		t.Errorf("%v", view.Records())
	}
}

// Views that differ are exchanged, once in MinExchangeInterval, and not while updates are in flight.
func TestDiffers(t *testing.T) {
	view := settledView(4, options)
	same := settledView(4, options)
	if view.advance(options.MinExchangeInterval); view.ShouldExchange(view.now, same.Digest(same.now)) {
		t.Error("two views that are the same differ")
	}
	same.MarkUnreachable(same.now, 3)
	other := same.Digest(same.now)
	if !view.ShouldExchange(view.now, other) || view.ShouldExchange(view.now, other) {
		t.Error("a difference is acted on once")
	}
	view.advance(options.MinExchangeInterval)
	view.join(9)
	if view.ShouldExchange(view.now, other) {
		t.Error("an unstable view differs")
	}
	if view.advance(options.SettleAfter); !view.ShouldExchange(view.now, other) {
		t.Error("a difference that stays is acted on again")
	}
}

// However many members appear and go, no more are kept than MaxMembers, and a present member is not forgotten in favour of new ones.
func TestMembersAreBounded(t *testing.T) {
	view := settledView(10, options)
	for p := uint64(100); p < 10_100; p++ {
		view.now += time.Millisecond
		view.join(p)
		view.MarkUnreachable(view.now, p)
	}
	if len(view.Records()) > options.MaxMembers || len(view.Present(view.now)) != 10 {
		t.Errorf("%d records, %d present", len(view.Records()), len(view.Present(view.now)))
	}
	view.advance(2 * options.ForgetAfter)
	if len(view.group.histories) != 10 || len(view.Records()) != 10 {
		t.Errorf("%d names, %d records are kept", len(view.group.histories), len(view.Records()))
	}
	for p := uint64(20_000); p < 20_100; p++ {
		view.join(p)
	}
	if len(view.Records()) > options.MaxMembers || view.Rejected() == 0 {
		t.Errorf("%d records, %d rejected", len(view.Records()), view.Rejected())
	}
	if i := slices.IndexFunc(view.Present(view.now), func(r Record) bool { return r.Process == 7 }); i < 0 {
		t.Error("a present member was forgotten")
	}
	if view.merge(Record{}) || view.merge(record(3, 9)) {
		t.Error("a malformed record was taken")
	}
	if n := len(view.TakeChanges()); n == 0 || n > maxChanges {
		t.Errorf("%d changes are kept", n)
	}
}
