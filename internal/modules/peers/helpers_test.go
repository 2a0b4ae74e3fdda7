package peers

import (
	"fmt"
	"testing"
	"time"
)

// options are the settings of the views in these tests.
var options = Options{
	SuspicionTimeout:    2 * time.Second,
	ForgetAfter:         time.Minute,
	SettleAfter:         3 * time.Second,
	DampingWindow:       20 * time.Second,
	LossWindow:          time.Minute,
	ResumeWindow:        30 * time.Second,
	MinExchangeInterval: 5 * time.Second,
	MaxMembers:          64,
}

// record returns a record of the first incarnation of a process. The name is derived from the process: that of process 3 is n03.
func record(process uint64, state State) Record {
	return Record{Process: process, Name: fmt.Sprintf("n%02d", process), Zone: "a", Version: "1", Incarnation: 1, State: state}
}

// testView is the view of process 1, with a simulated clock.
type testView struct {
	*View
	now time.Duration
}

// newTestView returns the view of a process that knows no other process.
func newTestView(o Options) *testView { return &testView{View: New(record(1, Serving), o, 0)} }

// settledView returns a settled view of the members 1 to n.
func settledView(n int, o Options) *testView {
	view := newTestView(o)
	for process := uint64(2); process <= uint64(n); process++ {
		view.join(process)
	}
	view.advance(o.SettleAfter)
	return view
}

// merge merges a record with "w" as the witness.
func (v *testView) merge(r Record) bool { return v.Merge(v.now, r, "w") }

// join adds a process that serves and is reachable.
func (v *testView) join(process uint64) {
	v.merge(record(process, Serving))
	v.MarkReachable(v.now, process)
}

// rejoin merges a record with which a process refutes its state by a higher incarnation, and makes the process reachable.
func (v *testView) rejoin(process, incarnation uint64) {
	r := record(process, Serving)
	r.Incarnation = incarnation
	v.merge(r)
	v.MarkReachable(v.now, process)
}

// advance advances the clock, and ticks every half second.
func (v *testView) advance(d time.Duration) {
	for end := v.now + d; v.now < end; {
		v.now += 500 * time.Millisecond
		v.Tick(v.now)
	}
}

// confidence returns the present confidence.
func (v *testView) confidence() Confidence { return v.Confidence(v.now) }

// staysFor advances the clock by at least d, and checks the confidence of the view every Options.SettleAfter.
func (v *testView) staysFor(tb testing.TB, d time.Duration, want Confidence) {
	tb.Helper()
	for end := v.now + d; v.now < end; {
		v.advance(options.SettleAfter)
		if got := v.confidence(); got != want {
			tb.Fatalf("confidence at %v: got %v, want %v", v.now, got, want)
		}
	}
}

// names returns the names of the group.
func (v *testView) names() []string {
	s, _ := v.Share(v.now)
	return s.Names
}
