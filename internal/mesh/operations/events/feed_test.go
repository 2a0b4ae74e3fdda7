package events

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// numberedReader reads a feed whose events have rising numbers as their details, three at a time.
type numberedReader struct {
	*qt.C
	cursor    Cursor
	last      int  // number read
	gapBefore bool // a gap came after it
}

// read reads once. A number may be left out only after a gap, and none comes twice.
func (r *numberedReader) read(f *Feed) {
	r.Helper()
	found, next := f.After(r.cursor, 3, Filter{})
	r.cursor = next
	for _, e := range found {
		if e.Kind == Gap {
			r.gapBefore = true
			continue
		}
		number, err := strconv.Atoi(e.Detail)
		r.Assert(err, qt.IsNil)
		if number != r.last+1 {
			r.Assert(r.gapBefore, qt.IsTrue, qt.Commentf("%d after %d", number, r.last))
		}
		r.Assert(number > r.last, qt.IsTrue)
		r.last = number
		r.gapBefore = false
	}
}

// Readers of every pace, with a keeper that starts again at any event: each event is read once and in order, or a gap is reported
// before what comes after it.
func TestMissedEventsAreReportedAsGaps(t *testing.T) {
	for restart := range 12 {
		for pace := 1; pace < 8; pace++ {
			t.Run("restart "+strconv.Itoa(restart)+" pace "+strconv.Itoa(pace), func(t *testing.T) {
				readAtPace(t, restart, pace)
			})
		}
	}
}

// readAtPace reads each pace events a feed of which a new incarnation takes the place after some events.
func readAtPace(t *testing.T, restart, pace int) {
	t.Helper()
	f := NewFeed(1, 4)
	r := &numberedReader{C: qt.New(t)}
	r.read(f)
	f.Add(Event{Kind: RoleAcquired, Detail: "1"})
	r.read(f)
	for i := 2; i <= 12; i++ {
		if i-2 == restart {
			f = NewFeed(2, 4)
		}
		f.Add(Event{Kind: RoleAcquired, Detail: strconv.Itoa(i)})
		if i%pace == 0 {
			r.read(f)
		}
	}
	for range 4 {
		r.read(f)
	}
	r.Assert(r.last, qt.Equals, 12)
}

func TestCursorsAndFilters(t *testing.T) {
	c := qt.New(t)
	f := NewFeed(7, 8)
	f.Add(Event{Kind: EndpointServing, Service: "a", Zone: "x"})
	e := f.Add(Event{Kind: EndpointServing, Service: "b", Zone: "x"})
	cursor, err := ParseCursor(e.Cursor)
	c.Assert(err, qt.IsNil)
	c.Assert(cursor, qt.Equals, Cursor{7, 2})
	found, next := f.After(Cursor{}, 9, Filter{Service: "b"})
	c.Assert(found, qt.HasLen, 1)
	c.Assert(next, qt.Equals, cursor)
	found, _ = f.After(Cursor{8, 1}, 9, Filter{Service: "b"})
	c.Assert(found[0].Kind, qt.Equals, Gap)
	_, err = ParseCursor("x")
	c.Assert(err, qt.ErrorMatches, `cursor "x": .*`)
	var cursorError *CursorError
	c.Assert(err, qt.ErrorAs, &cursorError)
}
