package events

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// numberedReader reads a feed three events at a time. The details of the events are consecutive numbers.
type numberedReader struct {
	*qt.C
	cursor    Cursor
	last      int  // last number that was read
	gapBefore bool // whether a gap was read after the last number
}

// read reads one batch. It checks that numbers are skipped only after a gap, and that no number is read twice.
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
			r.Assert(r.gapBefore, qt.IsTrue, qt.Commentf("event %d follows event %d without a gap between them", number, r.last))
		}
		r.Assert(number > r.last, qt.IsTrue, qt.Commentf("event %d is read after event %d", number, r.last))
		r.last = number
		r.gapBefore = false
	}
}

// A reader may be slower than the feed, and the process may restart between any two events. The reader gets each event once and in order,
// or a gap before the event that follows the missing ones.
func TestMissedEventsAreReportedAsGaps(t *testing.T) {
	for restart := range 12 {
		for pace := 1; pace < 8; pace++ {
			t.Run("restart "+strconv.Itoa(restart)+" pace "+strconv.Itoa(pace), func(t *testing.T) {
				readAtPace(t, restart, pace)
			})
		}
	}
}

// readAtPace reads a feed once after every pace events. A new incarnation replaces the feed after 1+restart events.
func readAtPace(t *testing.T, restart, pace int) {
	t.Helper()
	feed := NewFeed(1, 4)
	reader := &numberedReader{C: qt.New(t)}
	reader.read(feed)
	feed.Add(Event{Kind: RoleAcquired, Detail: "1"})
	reader.read(feed)
	for i := 2; i <= 12; i++ {
		if i-2 == restart {
			feed = NewFeed(2, 4)
		}
		feed.Add(Event{Kind: RoleAcquired, Detail: strconv.Itoa(i)})
		if i%pace == 0 {
			reader.read(feed)
		}
	}
	for range 4 {
		reader.read(feed)
	}
	reader.Assert(reader.last, qt.Equals, 12)
}

func TestCursorsAndFilters(t *testing.T) {
	c := qt.New(t)
	feed := NewFeed(7, 8)
	feed.Add(Event{Kind: EndpointServing, Service: "a", Zone: "x"})
	second := feed.Add(Event{Kind: EndpointServing, Service: "b", Zone: "x"})
	cursor, err := ParseCursor(second.Cursor)
	c.Assert(err, qt.IsNil)
	c.Assert(cursor, qt.Equals, Cursor{7, 2})
	found, next := feed.After(Cursor{}, 9, Filter{Service: "b"})
	c.Assert(found, qt.HasLen, 1)
	c.Assert(next, qt.Equals, cursor)
	found, _ = feed.After(Cursor{8, 1}, 9, Filter{Service: "b"})
	c.Assert(found[0].Kind, qt.Equals, Gap)
	_, err = ParseCursor("x")
	c.Assert(err, qt.ErrorMatches, `cursor "x": .*`)
	var cursorError *CursorError
	c.Assert(err, qt.ErrorAs, &cursorError)
}
