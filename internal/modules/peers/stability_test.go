package peers

import (
	"slices"
	"testing"
	"time"
)

// After a partition into halves neither side is settled, however long it lasts; of unequal sides only the larger one is. Both are once
// the partition has healed. MaxInstances is never lower than the number of members that may go on.
func TestNoTwoSidesAreSettled(t *testing.T) {
	for _, test := range []struct {
		name           string
		here, there    int
		want           Confidence
		wantMaxMembers int
	}{
		{name: "two and two", here: 2, there: 2, want: Partitioned, wantMaxMembers: 4},
		{name: "five and five", here: 5, there: 5, want: Partitioned, wantMaxMembers: 10},
		{name: "smaller side", here: 3, there: 4, want: Partitioned, wantMaxMembers: 7},
		{name: "alone", here: 1, there: 6, want: Partitioned, wantMaxMembers: 7},
		{name: "larger side", here: 6, there: 1, want: Settled, wantMaxMembers: 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := settledView(test.here+test.there, options)
			for process := test.here + 1; process <= test.here+test.there; process++ {
				view.MarkUnreachable(view.now, uint64(process))
			}
			view.staysFor(t, 100*options.SettleAfter, test.want)
			if s, ok := view.Share(view.now); !ok || s.Instances != test.here || s.MaxInstances != test.wantMaxMembers {
				t.Errorf("%+v, want %d instances of at most %d", s, test.here, test.wantMaxMembers)
			}
			for process := test.here + 1; process <= test.here+test.there; process++ {
				view.rejoin(uint64(process), 2)
			}
			view.advance(options.SettleAfter)
			if s, _ := view.Share(view.now); s.Confidence != Settled || s.Instances != test.here+test.there || s.MaxInstances != s.Instances {
				t.Errorf("healed: %+v", s)
			}
		})
	}
}

// If the members at the other side of a partition are detected as lost one by one, with a stable view in between, neither side is
// settled. If they are lost over a longer time, the rest is.
func TestLostOneByOne(t *testing.T) {
	for _, test := range []struct {
		name  string
		pause time.Duration
		want  Confidence
	}{
		{name: "with a stable view in between", pause: options.SettleAfter + time.Second, want: Partitioned},
		{name: "over longer than the loss window", pause: options.LossWindow, want: Settled},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := settledView(10, options)
			for process := uint64(6); process <= 10; process++ {
				view.MarkUnreachable(view.now, process)
				view.advance(test.pause)
			}
			view.advance(2 * options.LossWindow)
			if view.confidence() != test.want || len(view.names()) != 5 {
				t.Errorf("five of ten went: %v, %v, want %v", view.confidence(), view.names(), test.want)
			}
		})
	}
}

// Members that announce their shutdown are no sign of a partition: a fleet that is scaled in stays settled.
func TestLeavingIsNoPartition(t *testing.T) {
	view := settledView(10, options)
	for p := uint64(3); p <= 10; p++ {
		view.merge(record(p, Leaving))
		view.advance(time.Second)
		view.MarkUnreachable(view.now, p)
	}
	view.advance(options.SettleAfter)
	if s, _ := view.Share(view.now); s.Confidence != Settled || s.Instances != 2 || s.MaxInstances != 2 {
		t.Errorf("%+v", s)
	}
}

// With ExpectedMembers the first group is settled only if it has more than half of them. A member that knows no other has no share.
func TestStart(t *testing.T) {
	six := options
	six.ExpectedMembers = 6
	view := newTestView(six)
	if view.advance(time.Minute); view.confidence() != Changing {
		t.Errorf("alone: %v", view.confidence())
	}
	if _, ok := view.Share(view.now); ok {
		t.Error("alone, it has a share")
	}
	view.join(2)
	view.join(3)
	view.advance(six.SettleAfter)
	if s, ok := view.Share(view.now); !ok || s.Confidence != Partitioned || s.Instances != 3 || s.MaxInstances != 6 {
		t.Errorf("3 of 6: %+v", s)
	}
	view.join(4)
	view.advance(six.SettleAfter)
	if s, ok := view.Share(view.now); !ok || s.Confidence != Settled || s.Instances != 4 || s.MaxInstances != 4 {
		t.Errorf("4 of 6: %+v", s)
	}
	// A member that restarts within a partition recognises it by the group of its earlier process, for ResumeWindow.
	again := newTestView(six)
	again.Resume(0, []string{"n01", "n02", "n03", "n04", "n05", "n06", "n07", "n08", "n09"})
	for p := uint64(2); p <= 4; p++ {
		again.join(p)
	}
	again.advance(six.SettleAfter)
	if s, ok := again.Share(again.now); !ok || s.Confidence != Partitioned || s.MaxInstances != 9 || again.SettledGroup() != nil {
		t.Errorf("resumed, 4 of 9: %+v, %v", s, again.SettledGroup())
	}
	again.advance(six.ResumeWindow + six.SettleAfter)
	if s, _ := again.Share(again.now); s.Confidence != Settled || s.MaxInstances != 4 || len(again.SettledGroup()) != 4 {
		t.Errorf("long after: %+v", s)
	}
}

// A name that flaps changes the group at most twice in DampingWindow, and does not keep others from changing it.
func TestFlappingNameIsDamped(t *testing.T) {
	view := settledView(6, options)
	groupChanges, last := 0, view.names()
	incarnation := uint64(1)
	for range 100 {
		view.MarkUnreachable(view.now, 4)
		view.advance(options.SettleAfter + time.Second)
		if n := view.names(); !slices.Equal(n, last) {
			groupChanges, last = groupChanges+1, n
		}
		incarnation++
		view.rejoin(4, incarnation)
		view.advance(options.SettleAfter + time.Second)
		if n := view.names(); !slices.Equal(n, last) {
			groupChanges, last = groupChanges+1, n
		}
	}
	if s, _ := view.Share(view.now); s.MaxInstances != 6 || s.Instances != 5 {
		t.Errorf("a damped name is not counted: %+v", s)
	}
	if groupChanges > 3 || slices.Contains(last, "n04") {
		t.Errorf("%d changes of the group, %v", groupChanges, last)
	}
	view.MarkUnreachable(view.now, 6)
	view.advance(options.SettleAfter)
	if n := view.names(); slices.Contains(n, "n06") || view.confidence() != Settled {
		t.Errorf("another's death meanwhile: %v, %v", n, view.confidence())
	}
	if view.advance(options.DampingWindow + options.SettleAfter); !slices.Contains(view.names(), "n04") {
		t.Errorf("steady for long: %v", view.names())
	}
}

// A view that changes all the time becomes stable nevertheless.
func TestEndlessChangeBecomesStable(t *testing.T) {
	view := settledView(4, options)
	view.MarkUnreachable(view.now, 3)
	for p := uint64(10); p < 40; p++ {
		view.join(p)
		view.advance(time.Second)
	}
	if slices.Contains(view.names(), "n03") {
		t.Errorf("one that died %v ago: %v", 30*time.Second, view.names())
	}
}

// After a pause of the process its view is not settled.
func TestPauseUnsettles(t *testing.T) {
	view := settledView(5, options)
	view.now += options.SettleAfter + time.Second
	if view.Tick(view.now); view.confidence() != Changing {
		t.Errorf("after a pause: %v", view.confidence())
	}
	if view.advance(options.SettleAfter); view.confidence() != Settled || len(view.names()) != 5 {
		t.Errorf("later: %v, %v", view.confidence(), view.names())
	}
}

// The confidence is never higher than that of the group: between a change and the next stable moment it is Changing.
func TestConfidenceGoesWithTheGroup(t *testing.T) {
	view := settledView(4, options)
	for p := uint64(2); p <= 4; p++ {
		view.MarkUnreachable(view.now, p)
		view.advance(options.SettleAfter)
	}
	if s, _ := view.Share(view.now); s.Confidence != Partitioned || len(s.Names) != 1 {
		t.Fatalf("alone: %+v", s)
	}
	// They come back over a longer time than a view stays unstable.
	for p := uint64(2); p <= 4; p++ {
		view.rejoin(p, 2)
		if s, _ := view.Share(view.now); s.Confidence != Changing {
			t.Errorf("%d is back, and not in the group: %+v", p, s)
		}
		view.advance(options.SettleAfter / 2)
	}
	view.advance(maxSettleIntervals * options.SettleAfter)
	view.MarkUnreachable(view.now, 4)
	if s, _ := view.Share(view.now); s.Confidence != Changing {
		t.Errorf("one went: %+v", s)
	}
}
