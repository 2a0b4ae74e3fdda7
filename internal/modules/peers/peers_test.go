package peers

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var options = Options{
	SuspicionTimeout: 2 * time.Second, ForgetAfter: time.Minute, SettleAfter: 3 * time.Second, DampingWindow: 20 * time.Second,
	LossWindow: time.Minute, ResumeWindow: 30 * time.Second, MinExchangeInterval: 5 * time.Second, MaxMembers: 64,
}

func record(process uint64, s State) Record {
	return Record{Process: process, Name: fmt.Sprintf("n%02d", process), Zone: "a", Version: "1", Incarnation: 1, State: s}
}

// testView is the view of process 1 under test.
type testView struct {
	*View
	now time.Duration
}

func newTestView(o Options) *testView { return &testView{View: New(record(1, Serving), o, 0)} }

func (b *testView) merge(r Record) bool { return b.Merge(b.now, r, "w") }

// join has a process serve that is reached.
func (b *testView) join(p uint64) {
	b.merge(record(p, Serving))
	b.MarkReachable(b.now, p)
}

// advance lets time go by in ticks.
func (b *testView) advance(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 500 * time.Millisecond
		b.Tick(b.now)
	}
}

func (b *testView) confidence() Confidence { return b.Confidence(b.now) }

// names are those of the group.
func (b *testView) names() []string {
	s, _ := b.Share(b.now)
	return s.Names
}

// settledView is a settled view of n members.
func settledView(n int, o Options) *testView {
	b := newTestView(o)
	for p := uint64(2); p <= uint64(n); p++ {
		b.join(p)
	}
	b.advance(o.SettleAfter)
	return b
}

// rejoin has a process deny what was said of it.
func (b *testView) rejoin(p uint64, incarnation uint64) {
	r := record(p, Serving)
	r.Incarnation = incarnation
	b.merge(r)
	b.MarkReachable(b.now, p)
}

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
		a, b := newTestView(options), newTestView(options)
		last := map[uint64]uint64{}
		for _, r := range records {
			a.merge(r)
			for _, m := range a.Records() {
				if m.Incarnation < last[m.Process] {
					t.Fatalf("incarnation of %d went back to %d", m.Process, m.Incarnation)
				}
				last[m.Process] = m.Incarnation
			}
		}
		again := append(slices.Clone(records), records...)
		for _, i := range rapid.Permutation(again).Draw(t, "order") {
			b.merge(i)
		}
		if !slices.Equal(a.Records(), b.Records()) || a.Digest(0) != b.Digest(0) {
			t.Fatalf("%v and %v", a.Records(), b.Records())
		}
	})
}

func TestDenial(t *testing.T) {
	b := newTestView(options)
	if !b.merge(record(1, Suspect)) || b.Self().Incarnation != 2 || b.Self().State != Serving {
		t.Errorf("a suspicion was not denied: %+v", b.Self())
	}
	if !b.merge(record(1, Gone)) || b.Self().Incarnation != 2 {
		t.Errorf("an old word is answered by the denial that stands: %+v", b.Self())
	}
	if b.merge(record(1, Serving)) {
		t.Errorf("an old word that is no harm was answered: %+v", b.Self())
	}
	lie := record(1, Gone)
	lie.Incarnation = math.MaxUint64
	if b.merge(lie) || b.Self().Incarnation != 2 || b.Rejected() != 1 {
		t.Errorf("the last incarnation was taken: %+v", b.Self())
	}
	other := settledView(2, options)
	lie.Process = 2
	if other.merge(lie) || other.Rejected() != 1 {
		t.Error("the last incarnation of another was taken")
	}
	other.merge(record(2, Gone))
	if other.merge(record(2, Serving)) {
		t.Error("an old word brought one back that is gone")
	}
	denial := record(2, Serving)
	if denial.Incarnation = 2; !other.merge(denial) || len(other.Present(other.now)) != 2 {
		t.Error("a denial was not believed")
	}
}

// Others' words that one is gone move nothing while it is reached and denies them; they do once it never does.
func TestLiarMovesNothing(t *testing.T) {
	b := settledView(10, options)
	for i := range uint64(20) {
		for p := uint64(2); p <= 10; p++ {
			r := record(p, Gone)
			r.Incarnation = 1 + i
			b.merge(r)
		}
		b.advance(options.SuspicionTimeout / 4)
		if b.confidence() != Settled || len(b.Present(b.now)) != 10 {
			t.Fatalf("round %d: %v, %d present", i, b.confidence(), len(b.Present(b.now)))
		}
		for p := uint64(2); p <= 10; p++ {
			b.rejoin(p, 2+i)
		}
	}
	b.merge(Record{Process: 3, Name: "n03", Incarnation: 21, State: Gone})
	if b.advance(options.SuspicionTimeout + options.SettleAfter + time.Second); len(b.names()) != 9 {
		t.Errorf("one that denies nothing: %v", b.names())
	}
}

// Whoever is said to be gone and is reached has from its last denial on the time to deny, and is disputed until it does.
func TestDisputed(t *testing.T) {
	b := settledView(3, options)
	said := func(s State, incarnation uint64) {
		r := record(3, s)
		r.Incarnation = incarnation
		b.merge(r)
	}
	for i := range uint64(10) {
		said(Gone, 1+i)
		if d := b.Disputed(); len(d) != 1 || d[0].Process != 3 || d[0].Incarnation != 1+i {
			t.Fatalf("%v", d)
		}
		b.advance(options.SuspicionTimeout / 2) // the denial of each is overtaken by the next word
		if b.confidence() != Settled {
			t.Fatalf("after %d denials: %v", i, b.confidence())
		}
	}
	said(Serving, 20)
	if d := b.Disputed(); len(d) != 0 || b.confidence() != Settled {
		t.Errorf("denied: %v, %v", d, b.confidence())
	}
	b.MarkUnreachable(b.now, 3)
	if d := b.Disputed(); len(d) != 0 {
		t.Errorf("one that is not reached: %v", d)
	}
}

func TestSuspectsAreGoneUnlessTheyDenyAndForgottenInTime(t *testing.T) {
	b := settledView(3, options)
	if _, ok := b.MarkSuspect(b.now, 3); !ok || len(b.Present(b.now)) != 3 {
		t.Fatal("a suspect counts as there until its time is up")
	}
	if b.confidence() != Settled {
		t.Error("a suspicion alone unsettles nothing")
	}
	b.advance(options.SuspicionTimeout)
	b.MarkUnreachable(b.now, 3)
	if len(b.Present(b.now)) != 2 || b.confidence() != Changing || len(b.names()) != 3 {
		t.Errorf("%v, %v, %v", b.Present(b.now), b.confidence(), b.names())
	}
	if b.merge(record(3, Serving)) {
		t.Error("an old record brought it back")
	}
	if b.advance(options.SettleAfter); len(b.names()) != 2 || b.confidence() != Settled {
		t.Errorf("%v, %v", b.names(), b.confidence())
	}
	if b.advance(options.ForgetAfter); len(b.Records()) != 2 || len(b.histories) != 2 {
		t.Errorf("%v, %d names", b.Records(), len(b.histories))
	}
	// What is played again when all is forgotten makes no member, for it is not reached, and nobody is told that it went.
	b.merge(record(3, Serving))
	if b.advance(options.SettleAfter); len(b.names()) != 2 || b.confidence() != Settled {
		t.Errorf("an old record made a member: %v", b.names())
	}
	if b.advance(options.ForgetAfter); len(b.Records()) != 2 {
		t.Errorf("%v", b.Records())
	}
}

// After a cut into halves neither side is settled, however long it lasts; of unequal parts the larger alone is. Once
// healed, all are. What all share is divided by no fewer than may be there.
func TestNoTwoSidesAreSettled(t *testing.T) {
	for _, c := range []struct{ here, there int }{{2, 2}, {5, 5}, {3, 4}, {1, 6}, {6, 1}} {
		b := settledView(c.here+c.there, options)
		for p := c.here + 1; p <= c.here+c.there; p++ {
			b.MarkUnreachable(b.now, uint64(p))
		}
		want, sharing := Partitioned, c.here+c.there
		if c.here > c.there {
			want, sharing = Settled, c.here
		}
		for range 100 {
			if b.advance(options.SettleAfter); b.confidence() != want {
				t.Fatalf("%d of %d: %v, want %v", c.here, c.here+c.there, b.confidence(), want)
			}
		}
		if s, ok := b.Share(b.now); !ok || s.Instances != c.here || s.MaxInstances != sharing {
			t.Errorf("%d of %d: %+v", c.here, c.here+c.there, s)
		}
		for p := c.here + 1; p <= c.here+c.there; p++ {
			b.rejoin(uint64(p), 2)
		}
		b.advance(options.SettleAfter)
		if s, _ := b.Share(b.now); s.Confidence != Settled || s.Instances != c.here+c.there || s.MaxInstances != s.Instances {
			t.Errorf("healed: %+v", s)
		}
	}
}

// The other side of a cut is found to be lost one by one, with rests between: that settles neither side. What is lost over a
// longer time is.
func TestLostOneByOne(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		want  Confidence
	}{{options.SettleAfter + time.Second, Partitioned}, {options.LossWindow, Settled}} {
		b := settledView(10, options)
		for p := uint64(6); p <= 10; p++ {
			b.MarkUnreachable(b.now, p)
			b.advance(c.pause)
		}
		b.advance(2 * options.LossWindow)
		if b.confidence() != c.want || len(b.names()) != 5 {
			t.Errorf("five of ten went, one each %v: %v, %v", c.pause, b.confidence(), b.names())
		}
	}
}

// Those that say that they end are missed by nobody: a fleet that is made smaller on purpose stays settled.
func TestLeavingIsNoCut(t *testing.T) {
	b := settledView(10, options)
	for p := uint64(3); p <= 10; p++ {
		b.merge(record(p, Leaving))
		b.advance(time.Second)
		b.MarkUnreachable(b.now, p)
	}
	b.advance(options.SettleAfter)
	if s, _ := b.Share(b.now); s.Confidence != Settled || s.Instances != 2 || s.MaxInstances != 2 {
		t.Errorf("%+v", s)
	}
}

// A fleet of which a file names the size starts settled only where more than half are there; one that knows nobody says
// nothing at all.
func TestStart(t *testing.T) {
	o := options
	o.ExpectedMembers = 6
	b := newTestView(o)
	if b.advance(time.Minute); b.confidence() != Changing {
		t.Errorf("alone: %v", b.confidence())
	}
	if _, ok := b.Share(b.now); ok {
		t.Error("alone, it has a share")
	}
	b.join(2)
	b.join(3)
	b.advance(o.SettleAfter)
	if s, ok := b.Share(b.now); !ok || s.Confidence != Partitioned || s.Instances != 3 || s.MaxInstances != 6 {
		t.Errorf("3 of 6: %+v", s)
	}
	b.join(4)
	b.advance(o.SettleAfter)
	if s, ok := b.Share(b.now); !ok || s.Confidence != Settled || s.Instances != 4 || s.MaxInstances != 4 {
		t.Errorf("4 of 6: %+v", s)
	}
	// Restarted in a part, a member knows by the group of its earlier life that it is one; for a time.
	again := newTestView(o)
	again.Resume(0, []string{"n01", "n02", "n03", "n04", "n05", "n06", "n07", "n08", "n09"})
	for p := uint64(2); p <= 4; p++ {
		again.join(p)
	}
	again.advance(o.SettleAfter)
	if s, ok := again.Share(again.now); !ok || s.Confidence != Partitioned || s.MaxInstances != 9 || again.SettledGroup() != nil {
		t.Errorf("resumed, 4 of 9: %+v, %v", s, again.SettledGroup())
	}
	again.advance(o.ResumeWindow + o.SettleAfter)
	if s, _ := again.Share(again.now); s.Confidence != Settled || s.MaxInstances != 4 || len(again.SettledGroup()) != 4 {
		t.Errorf("long after: %+v", s)
	}
}

// A name that comes and goes moves what is built on the view at most twice in DampingWindow, and does not keep others from it.
func TestFlappingMovesNothingTwice(t *testing.T) {
	b := settledView(6, options)
	moves, last := 0, b.names()
	incarnation := uint64(1)
	for range 100 {
		b.MarkUnreachable(b.now, 4)
		b.advance(options.SettleAfter + time.Second)
		if n := b.names(); !slices.Equal(n, last) {
			moves, last = moves+1, n
		}
		incarnation++
		b.rejoin(4, incarnation)
		b.advance(options.SettleAfter + time.Second)
		if n := b.names(); !slices.Equal(n, last) {
			moves, last = moves+1, n
		}
	}
	if s, _ := b.Share(b.now); s.MaxInstances != 6 || s.Instances != 5 {
		t.Errorf("one that may hold itself for a member is not counted: %+v", s)
	}
	if moves > 3 || slices.Contains(last, "n04") {
		t.Errorf("%d moves, %v", moves, last)
	}
	b.MarkUnreachable(b.now, 6)
	b.advance(options.SettleAfter)
	if n := b.names(); slices.Contains(n, "n06") || b.confidence() != Settled {
		t.Errorf("another's death amid it: %v, %v", n, b.confidence())
	}
	if b.advance(options.DampingWindow + options.SettleAfter); !slices.Contains(b.names(), "n04") {
		t.Errorf("still for long: %v", b.names())
	}
}

// Changes that never end do not keep a view from rest.
func TestEndlessChangeComesToRest(t *testing.T) {
	b := settledView(4, options)
	b.MarkUnreachable(b.now, 3)
	for p := uint64(10); p < 40; p++ {
		b.join(p)
		b.advance(time.Second)
	}
	if slices.Contains(b.names(), "n03") {
		t.Errorf("one that died %v ago: %v", 30*time.Second, b.names())
	}
}

// A process that stood still does not hold what it knew for settled.
func TestPauseUnsettles(t *testing.T) {
	b := settledView(5, options)
	b.now += options.SettleAfter + time.Second
	if b.Tick(b.now); b.confidence() != Changing {
		t.Errorf("after a pause: %v", b.confidence())
	}
	if b.advance(options.SettleAfter); b.confidence() != Settled || len(b.names()) != 5 {
		t.Errorf("later: %v, %v", b.confidence(), b.names())
	}
}

// A view is never more confident than the group that goes with it: between a change and the next rest it is changing.
func TestConfidenceGoesWithTheGroup(t *testing.T) {
	b := settledView(4, options)
	for p := uint64(2); p <= 4; p++ {
		b.MarkUnreachable(b.now, p)
		b.advance(options.SettleAfter)
	}
	if s, _ := b.Share(b.now); s.Confidence != Partitioned || len(s.Names) != 1 {
		t.Fatalf("alone: %+v", s)
	}
	// They come back over longer than a view stays open.
	for p := uint64(2); p <= 4; p++ {
		b.rejoin(p, 2)
		if s, _ := b.Share(b.now); s.Confidence != Changing {
			t.Errorf("%d is back, and not in the group: %+v", p, s)
		}
		b.advance(options.SettleAfter / 2)
	}
	b.advance(maxSettleIntervals * options.SettleAfter)
	b.MarkUnreachable(b.now, 4)
	if s, _ := b.Share(b.now); s.Confidence != Changing {
		t.Errorf("one went: %+v", s)
	}
}

// Views that differ are exchanged, once in MinExchangeInterval, and not while news are on their way.
func TestDiffers(t *testing.T) {
	b, same := settledView(4, options), settledView(4, options)
	if b.advance(options.MinExchangeInterval); b.ShouldExchange(b.now, same.Digest(same.now)) {
		t.Error("two views that are the same differ")
	}
	same.MarkUnreachable(same.now, 3)
	other := same.Digest(same.now)
	if !b.ShouldExchange(b.now, other) || b.ShouldExchange(b.now, other) {
		t.Error("a difference is acted on once")
	}
	b.advance(options.MinExchangeInterval)
	b.join(9)
	if b.ShouldExchange(b.now, other) {
		t.Error("a view that is open differs")
	}
	if b.advance(options.SettleAfter); !b.ShouldExchange(b.now, other) {
		t.Error("a difference that stays is acted on again")
	}
}

// Two processes under one name are seen, and the later one gets no place, whatever their clocks say.
func TestNameTwice(t *testing.T) {
	first, second := record(1, Serving), record(2, Joining)
	second.Name, first.BornMillis, second.BornMillis = first.Name, 200, 100 // a clock that was set back
	a, b := New(first, options, 0), New(second, options, 0)
	b.Merge(0, first, "")
	b.MarkReachable(0, 1)
	b.SetState(0, Serving)
	a.Merge(0, b.Self(), "")
	a.MarkReachable(0, 2)
	a.Tick(options.SettleAfter)
	b.Tick(options.SettleAfter)
	if s, ok := a.Share(options.SettleAfter); !ok || !s.OwnsName || s.Instances != 1 || !slices.Equal(a.DuplicateNames(0), []string{"n01"}) {
		t.Errorf("the first: %+v, %v", s, a.DuplicateNames(0))
	}
	if s, ok := b.Share(options.SettleAfter); !ok || s.OwnsName || s.Ordinal != 1 || s.Instances != 2 || !slices.Equal(b.DuplicateNames(0), []string{"n01"}) {
		t.Errorf("the second: %+v, %v", s, b.DuplicateNames(0))
	}
	a.SetState(options.SettleAfter, Leaving)
	b.Merge(options.SettleAfter, a.Self(), "")
	if s, ok := b.Share(options.SettleAfter); !ok || !s.OwnsName || s.Instances != 1 {
		t.Errorf("the second after the first has left: %+v", s)
	}
}

// However many come and go, no more is kept than the bound, and who is there is not forgotten for strangers.
func TestMembersAreBounded(t *testing.T) {
	b := settledView(10, options)
	for p := uint64(100); p < 10_100; p++ {
		b.now += time.Millisecond
		b.join(p)
		b.MarkUnreachable(b.now, p)
	}
	if len(b.Records()) > options.MaxMembers || len(b.Present(b.now)) != 10 {
		t.Errorf("%d records, %d present", len(b.Records()), len(b.Present(b.now)))
	}
	b.advance(2 * options.ForgetAfter)
	if len(b.histories) != 10 || len(b.Records()) != 10 {
		t.Errorf("%d names, %d records are kept", len(b.histories), len(b.Records()))
	}
	for p := uint64(20_000); p < 20_100; p++ {
		b.join(p)
	}
	if len(b.Records()) > options.MaxMembers || b.Rejected() == 0 {
		t.Errorf("%d records, %d refused", len(b.Records()), b.Rejected())
	}
	if i := slices.IndexFunc(b.Present(b.now), func(r Record) bool { return r.Process == 7 }); i < 0 {
		t.Error("one that is there was forgotten")
	}
	if b.merge(Record{}) || b.merge(record(3, 9)) {
		t.Error("a spoilt record was taken")
	}
	if n := len(b.TakeChanges()); n == 0 || n > maxChanges {
		t.Errorf("%d changes are kept", n)
	}
}

// Addresses are tried in turn, few at once, more seldom while in vain, and soon again when something goes missing.
func TestRejoin(t *testing.T) {
	r := NewJoinSchedule(time.Second, time.Minute, 4, []string{"f1", "f2"}, nil, 1)
	for i := range 20 {
		r.Learn(fmt.Sprint("l", i))
	}
	r.Learn("l18")
	if got := r.Learned(); !slices.Equal(got, []string{"l16", "l17", "l19", "l18"}) {
		t.Errorf("learnt: %v", got)
	}
	tried, tries := map[string]int{}, 0
	reach := func(a string) bool { return a == "l17" }
	var now time.Duration
	for ; now < 10*time.Minute; now += 100 * time.Millisecond {
		if !r.Due(now, true) {
			continue
		}
		try := r.NextAddresses(reach)
		if len(try) > maxAddressesPerAttempt {
			t.Fatalf("%v at once", try)
		}
		for _, a := range try {
			tried[a]++
		}
		tries += min(len(try), 1)
	}
	if len(tried) != 5 || tried["l17"] > 0 || tries < 12 || tries > 40 {
		t.Errorf("%d tries in 10 minutes: %v", tries, tried)
	}
	r.SetDiscovered([]string{"s1", "s2"})
	r.ResetBackoff()
	for end := now + 2*time.Minute; now < end; now += 100 * time.Millisecond {
		if !r.Due(now, true) {
			continue
		}
		for _, a := range r.NextAddresses(reach) {
			tried[a]++
		}
	}
	if tried["s1"] == 0 || tried["s2"] == 0 {
		t.Errorf("what was found is not tried: %v", tried)
	}
	for ; now < 20*time.Minute; now += 100 * time.Millisecond {
		r.Due(now, false)
	}
	lost := now
	for ; !r.Due(now, true); now += 100 * time.Millisecond {
	}
	if now-lost > 3*time.Second {
		t.Errorf("something went missing, and the next try came %v later", now-lost)
	}
}
