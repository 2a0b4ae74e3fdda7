package peers

import (
	"slices"
	"testing"
	"time"
)

// After a partition into halves neither side is settled, however long it lasts; of unequal parts the larger alone is. Once
// healed, all are. What all share is divided by no fewer than may be there.
func TestNoTwoSidesAreSettled(t *testing.T) {
	for _, c := range []struct {
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
		t.Run(c.name, func(t *testing.T) {
			view := settledView(c.here+c.there, options)
			for process := c.here + 1; process <= c.here+c.there; process++ {
				view.MarkUnreachable(view.now, uint64(process))
			}
			view.staysFor(t, 100*options.SettleAfter, c.want)
			if s, ok := view.Share(view.now); !ok || s.Instances != c.here || s.MaxInstances != c.wantMaxMembers {
				t.Errorf("%+v, want %d instances of at most %d", s, c.here, c.wantMaxMembers)
			}
			for process := c.here + 1; process <= c.here+c.there; process++ {
				view.rejoin(uint64(process), 2)
			}
			view.advance(options.SettleAfter)
			if s, _ := view.Share(view.now); s.Confidence != Settled || s.Instances != c.here+c.there || s.MaxInstances != s.Instances {
				t.Errorf("healed: %+v", s)
			}
		})
	}
}

// The other side of a partition is found to be lost one by one, with a stable view in between: that settles neither side. What is lost over a
// longer time is.
func TestLostOneByOne(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		want  Confidence
	}{
		{name: "with a stable view in between", pause: options.SettleAfter + time.Second, want: Partitioned},
		{name: "over longer than the loss window", pause: options.LossWindow, want: Settled},
	} {
		t.Run(c.name, func(t *testing.T) {
			view := settledView(10, options)
			for process := uint64(6); process <= 10; process++ {
				view.MarkUnreachable(view.now, process)
				view.advance(c.pause)
			}
			view.advance(2 * options.LossWindow)
			if view.confidence() != c.want || len(view.names()) != 5 {
				t.Errorf("five of ten went: %v, %v, want %v", view.confidence(), view.names(), c.want)
			}
		})
	}
}

// Members that announce their end are no sign of a partition: a fleet that is scaled in stays settled.
func TestLeavingIsNoCut(t *testing.T) {
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

// A fleet of which a file names the size starts settled only where more than half are there; one that knows nobody says
// nothing at all.
func TestStart(t *testing.T) {
	o := options
	o.ExpectedMembers = 6
	view := newTestView(o)
	if view.advance(time.Minute); view.confidence() != Changing {
		t.Errorf("alone: %v", view.confidence())
	}
	if _, ok := view.Share(view.now); ok {
		t.Error("alone, it has a share")
	}
	view.join(2)
	view.join(3)
	view.advance(o.SettleAfter)
	if s, ok := view.Share(view.now); !ok || s.Confidence != Partitioned || s.Instances != 3 || s.MaxInstances != 6 {
		t.Errorf("3 of 6: %+v", s)
	}
	view.join(4)
	view.advance(o.SettleAfter)
	if s, ok := view.Share(view.now); !ok || s.Confidence != Settled || s.Instances != 4 || s.MaxInstances != 4 {
		t.Errorf("4 of 6: %+v", s)
	}
	// Restarted within a partition, a member knows by the group of its earlier run that it is in one; for a time.
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

// A name that flaps changes the group at most twice in DampingWindow, and does not keep others from changing it.
func TestFlappingMovesNothingTwice(t *testing.T) {
	view := settledView(6, options)
	moves, last := 0, view.names()
	incarnation := uint64(1)
	for range 100 {
		view.MarkUnreachable(view.now, 4)
		view.advance(options.SettleAfter + time.Second)
		if n := view.names(); !slices.Equal(n, last) {
			moves, last = moves+1, n
		}
		incarnation++
		view.rejoin(4, incarnation)
		view.advance(options.SettleAfter + time.Second)
		if n := view.names(); !slices.Equal(n, last) {
			moves, last = moves+1, n
		}
	}
	if s, _ := view.Share(view.now); s.MaxInstances != 6 || s.Instances != 5 {
		t.Errorf("a damped name is not counted: %+v", s)
	}
	if moves > 3 || slices.Contains(last, "n04") {
		t.Errorf("%d moves, %v", moves, last)
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

// Changes that never end do not keep a view from becoming stable.
func TestEndlessChangeComesToRest(t *testing.T) {
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

// A process that stood still does not hold what it knew for settled.
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

// A view is never more confident than the group that goes with it: between a change and the next stable moment it is changing.
func TestConfidenceGoesWithTheGroup(t *testing.T) {
	view := settledView(4, options)
	for p := uint64(2); p <= 4; p++ {
		view.MarkUnreachable(view.now, p)
		view.advance(options.SettleAfter)
	}
	if s, _ := view.Share(view.now); s.Confidence != Partitioned || len(s.Names) != 1 {
		t.Fatalf("alone: %+v", s)
	}
	// They come back over longer than a view stays unstable.
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
