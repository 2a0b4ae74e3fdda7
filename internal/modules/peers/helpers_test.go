package peers

import (
	"fmt"
	"testing"
	"time"
)

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

// record returns a record of the first incarnation of a process.
func record(process uint64, s State) Record {
	return Record{Process: process, Name: fmt.Sprintf("n%02d", process), Zone: "a", Version: "1", Incarnation: 1, State: s}
}

// testView is the view of process 1, with its clock.
type testView struct {
	*View
	now time.Duration
}

// newTestView returns the view of a process that knows no other.
func newTestView(o Options) *testView { return &testView{View: New(record(1, Serving), o, 0)} }

// settledView returns a settled view of n members.
func settledView(n int, o Options) *testView {
	view := newTestView(o)
	for process := uint64(2); process <= uint64(n); process++ {
		view.join(process)
	}
	view.advance(o.SettleAfter)
	return view
}

// merge merges a record from a witness.
func (t *testView) merge(r Record) bool { return t.Merge(t.now, r, "w") }

// join adds a process that serves and is reachable.
func (t *testView) join(process uint64) {
	t.merge(record(process, Serving))
	t.MarkReachable(t.now, process)
}

// rejoin merges a refutation of a process, and makes it reachable.
func (t *testView) rejoin(process, incarnation uint64) {
	r := record(process, Serving)
	r.Incarnation = incarnation
	t.merge(r)
	t.MarkReachable(t.now, process)
}

// advance advances the clock in ticks of half a second.
func (t *testView) advance(d time.Duration) {
	for end := t.now + d; t.now < end; {
		t.now += 500 * time.Millisecond
		t.Tick(t.now)
	}
}

// confidence returns the present confidence.
func (t *testView) confidence() Confidence { return t.Confidence(t.now) }

// staysFor checks that the view has a confidence at the end of each Options.SettleAfter within d.
func (t *testView) staysFor(tb testing.TB, d time.Duration, want Confidence) {
	tb.Helper()
	for end := t.now + d; t.now < end; {
		t.advance(options.SettleAfter)
		if got := t.confidence(); got != want {
			tb.Fatalf("%v, want %v", got, want)
		}
	}
}

// names returns the names of the group.
func (t *testView) names() []string {
	s, _ := t.Share(t.now)
	return s.Names
}
