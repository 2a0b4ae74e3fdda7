package peers

import (
	"slices"
	"testing"
	"time"
)

// After a partition into halves neither side is settled, however long the partition lasts. Of unequal sides only the larger one is settled.
// After the partition has healed, both sides are settled. During a partition MaxInstances includes the members at the other side that may
// still run.
func TestNoTwoSidesAreSettled(t *testing.T) {
	for _, test := range []struct {
		name           string
		here, there    int // members at this side and at the other side
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
				t.Errorf("share during the partition: got %+v, %v; want %d instances of at most %d", s, ok, test.here, test.wantMaxMembers)
			}
			for process := test.here + 1; process <= test.here+test.there; process++ {
				view.rejoin(uint64(process), 2)
			}
			view.advance(options.SettleAfter)
			if s, _ := view.Share(view.now); s.Confidence != Settled || s.Instances != test.here+test.there || s.MaxInstances != s.Instances {
				t.Errorf("share after the partition has healed: got %+v, want it settled with %d instances", s, test.here+test.there)
			}
		})
	}
}

// If the members at the other side of a partition are detected as lost one by one, with a stable view in between, neither side is settled.
// If the losses are further apart than the loss window, they are no partition, and the remaining members are settled.
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
				t.Errorf("after the loss of five of ten members: got %v with group %v, want %v with 5 names",
					view.confidence(), view.names(), test.want)
			}
		})
	}
}

// Members that announce their shutdown do not indicate a partition: an application that is scaled in stays settled.
func TestLeavingIsNoPartition(t *testing.T) {
	view := settledView(10, options)
	for p := uint64(3); p <= 10; p++ {
		view.merge(record(p, Leaving))
		view.advance(time.Second)
		view.MarkUnreachable(view.now, p)
	}
	view.advance(options.SettleAfter)
	if s, _ := view.Share(view.now); s.Confidence != Settled || s.Instances != 2 || s.MaxInstances != 2 {
		t.Errorf("share after 8 of 10 members have left: got %+v, want it settled with 2 instances", s)
	}
}

// The first group is settled only if it has more than half of ExpectedMembers. A member that knows no other member has no share. After a
// restart, Resume makes the group of the earlier process the reference group.
func TestStart(t *testing.T) {
	six := options
	six.ExpectedMembers = 6
	view := newTestView(six)
	if view.advance(time.Minute); view.confidence() != Changing {
		t.Errorf("confidence without any other member: got %v, want changing", view.confidence())
	}
	if _, ok := view.Share(view.now); ok {
		t.Error("a member that knows no other member has a share")
	}
	view.join(2)
	view.join(3)
	view.advance(six.SettleAfter)
	if s, ok := view.Share(view.now); !ok || s.Confidence != Partitioned || s.Instances != 3 || s.MaxInstances != 6 {
		t.Errorf("share with 3 of 6 members: got %+v, %v; want it partitioned, with 3 instances of at most 6", s, ok)
	}
	view.join(4)
	view.advance(six.SettleAfter)
	if s, ok := view.Share(view.now); !ok || s.Confidence != Settled || s.Instances != 4 || s.MaxInstances != 4 {
		t.Errorf("share with 4 of 6 members: got %+v, %v; want it settled, with 4 instances of at most 4", s, ok)
	}
	// A member that restarts during a partition detects it by the group of its earlier process, for ResumeWindow.
	again := newTestView(six)
	again.Resume(0, []string{"n01", "n02", "n03", "n04", "n05", "n06", "n07", "n08", "n09"})
	for p := uint64(2); p <= 4; p++ {
		again.join(p)
	}
	again.advance(six.SettleAfter)
	if s, ok := again.Share(again.now); !ok || s.Confidence != Partitioned || s.MaxInstances != 9 || again.SettledGroup() != nil {
		t.Errorf("with 4 of 9 resumed members: got share %+v, %v and settled group %v; want it partitioned with at most 9, and no group", s, ok,
			again.SettledGroup())
	}
	again.advance(six.ResumeWindow + six.SettleAfter)
	if s, _ := again.Share(again.now); s.Confidence != Settled || s.MaxInstances != 4 || len(again.SettledGroup()) != 4 {
		t.Errorf("after ResumeWindow: got share %+v and settled group %v, want it settled with at most 4, and 4 names", s, again.SettledGroup())
	}
}

// A name that flaps is damped: it changes the group at most 3 times, is counted in MaxInstances, and does not prevent changes by other
// members. It is in the group again after it was steady for DampingWindow.
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
		t.Errorf("share with one damped name: got %+v, want 5 instances of at most 6", s)
	}
	if groupChanges > 3 || slices.Contains(last, "n04") {
		t.Errorf("got %d changes of the group, and last %v; want at most 3, and a group without n04", groupChanges, last)
	}
	view.MarkUnreachable(view.now, 6)
	view.advance(options.SettleAfter)
	if n := view.names(); slices.Contains(n, "n06") || view.confidence() != Settled {
		t.Errorf("after the loss of n06 while n04 is damped: got group %v, %v; want it settled without n06", n, view.confidence())
	}
	if view.advance(options.DampingWindow + options.SettleAfter); !slices.Contains(view.names(), "n04") {
		t.Errorf("after n04 was steady for the damping window: got group %v, want n04 in it", view.names())
	}
}

// A view that changes continuously becomes stable nevertheless.
func TestEndlessChangeBecomesStable(t *testing.T) {
	view := settledView(4, options)
	view.MarkUnreachable(view.now, 3)
	for p := uint64(10); p < 40; p++ {
		view.join(p)
		view.advance(time.Second)
	}
	if slices.Contains(view.names(), "n03") {
		t.Errorf("%v after the loss of n03: got group %v, want it without n03", 30*time.Second, view.names())
	}
}

// If there was no Tick for longer than SettleAfter, as after a suspension of the process, the view is Changing until it is stable again.
func TestPauseUnsettles(t *testing.T) {
	view := settledView(5, options)
	view.now += options.SettleAfter + time.Second
	if view.Tick(view.now); view.confidence() != Changing {
		t.Errorf("confidence after a pause: got %v, want changing", view.confidence())
	}
	if view.advance(options.SettleAfter); view.confidence() != Settled || len(view.names()) != 5 {
		t.Errorf("SettleAfter after the pause: got %v with group %v, want settled with 5 names", view.confidence(), view.names())
	}
}

// The confidence is never higher than when the group was set: from a change until the view is stable again it is Changing.
func TestConfidenceGoesWithTheGroup(t *testing.T) {
	view := settledView(4, options)
	for p := uint64(2); p <= 4; p++ {
		view.MarkUnreachable(view.now, p)
		view.advance(options.SettleAfter)
	}
	if s, _ := view.Share(view.now); s.Confidence != Partitioned || len(s.Names) != 1 {
		t.Fatalf("share after the loss of all other members: got %+v, want it partitioned with 1 name", s)
	}
	// The members come back over a longer time than the maximum for which a view stays unstable.
	for p := uint64(2); p <= 4; p++ {
		view.rejoin(p, 2)
		if s, _ := view.Share(view.now); s.Confidence != Changing {
			t.Errorf("share when %d is back but not in the group: got %+v, want changing", p, s)
		}
		view.advance(options.SettleAfter / 2)
	}
	view.advance(maxUnstableIntervals * options.SettleAfter)
	view.MarkUnreachable(view.now, 4)
	if s, _ := view.Share(view.now); s.Confidence != Changing {
		t.Errorf("share right after the loss of a member: got %+v, want changing", s)
	}
}
