package events

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Readers of every pace, with a keeper that starts again at any event: each event is read once and in order, or a gap is told
// before what comes after it.
func TestMissedEventsAreReportedAsGaps(t *testing.T) {
	c := qt.New(t)
	for restart := range 12 {
		for pace := 1; pace < 8; pace++ {
			f, cursor := NewFeed(1, 4), Cursor{}
			last, told := 0, false
			read := func() {
				var out []Event
				out, cursor = f.After(cursor, 3, Filter{})
				for _, e := range out {
					if e.Kind == Gap {
						told = true
						continue
					}
					var n int
					fmt.Sscan(e.Detail, &n)
					if n != last+1 {
						c.Assert(told, qt.IsTrue, qt.Commentf("%d after %d, restart %d, pace %d", n, last, restart, pace))
					}
					c.Assert(n > last, qt.IsTrue)
					last, told = n, false
				}
			}
			read()
			f.Add(Event{Kind: RoleAcquired, Detail: "1"})
			read()
			for i := 2; i <= 12; i++ {
				if i-2 == restart {
					f = NewFeed(2, 4)
				}
				f.Add(Event{Kind: RoleAcquired, Detail: fmt.Sprint(i)})
				if i%pace == 0 {
					read()
				}
			}
			for range 4 {
				read()
			}
			c.Assert(last, qt.Equals, 12)
		}
	}
}

func TestCursorsAndFilters(t *testing.T) {
	c := qt.New(t)
	f := NewFeed(7, 8)
	f.Add(Event{Kind: EndpointServing, Service: "a", Zone: "x"})
	e := f.Add(Event{Kind: EndpointServing, Service: "b", Zone: "x"})
	at, err := ParseCursor(e.Cursor)
	c.Assert(err, qt.IsNil)
	c.Assert(at, qt.Equals, Cursor{7, 2})
	out, next := f.After(Cursor{}, 9, Filter{Service: "b"})
	c.Assert(out, qt.HasLen, 1)
	c.Assert(next, qt.Equals, at)
	out, _ = f.After(Cursor{8, 1}, 9, Filter{Service: "b"})
	c.Assert(out[0].Kind, qt.Equals, Gap)
	_, err = ParseCursor("x")
	c.Assert(err, qt.ErrorMatches, `cursor "x": .*`)
}
