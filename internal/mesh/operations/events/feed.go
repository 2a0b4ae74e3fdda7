package events

import "fmt"

// Window is the range of events that a feed keeps: numbers First to Next-1.
type Window struct {
	Incarnation uint64
	First, Next uint64

	// OtherIncarnation is the Detail of the gap for a cursor of another incarnation; Ahead is that for a cursor beyond the window.
	OtherIncarnation, Ahead string
}

// Resume returns the number of the first event for a reader with a cursor. gap is the event that the reader gets before that one if it
// has missed events; else nil.
func (w *Window) Resume(c Cursor) (number uint64, gap *Event) {
	switch {
	case c == Cursor{}:
		return w.First, nil
	case c.Incarnation != w.Incarnation:
		return w.First, w.gap(w.OtherIncarnation)
	case c.Number >= w.Next:
		return w.First, w.gap(w.Ahead)
	case c.Number+1 < w.First:
		return w.First, w.gap(fmt.Sprintf("%d events are no longer kept", w.First-c.Number-1))
	}
	return c.Number + 1, nil
}

// gap returns a gap before the oldest event that is kept.
func (w *Window) gap(detail string) *Event {
	before := Cursor{Incarnation: w.Incarnation, Number: w.First - 1}
	return &Event{Cursor: before.String(), Kind: Gap, Detail: detail}
}

// Feed keeps the newest events of one incarnation of a process in a ring.
type Feed struct {
	incarnation uint64
	next        uint64 // number of the next event; the first is 1
	ring        []Event
}

// NewFeed returns an empty feed that keeps up to capacity events. capacity must be positive.
func NewFeed(incarnation uint64, capacity int) *Feed {
	return &Feed{incarnation: incarnation, next: 1, ring: make([]Event, capacity)}
}

// Add adds an event, and returns it with its cursor.
func (f *Feed) Add(e Event) Event {
	e.Cursor = Cursor{Incarnation: f.incarnation, Number: f.next}.String()
	*f.slot(f.next) = e
	f.next++
	return e
}

// slot returns the slot of the ring for an event's number.
func (f *Feed) slot(number uint64) *Event { return &f.ring[number%uint64(len(f.ring))] }

// After returns up to limit events after a cursor that pass the filter, and the cursor for the next call. A gap comes first if the reader
// has missed events.
func (f *Feed) After(c Cursor, limit int, filter Filter) (found []Event, next Cursor) {
	number, gap := f.window().Resume(c)
	if gap != nil {
		found = append(found, *gap)
	}
	for ; number < f.next && len(found) < limit; number++ {
		if e := f.slot(number); filter.Passes(e) {
			found = append(found, *e)
		}
	}
	return found, Cursor{Incarnation: f.incarnation, Number: number - 1}
}

// window returns the range of events that the feed keeps.
func (f *Feed) window() *Window {
	w := &Window{
		Incarnation:      f.incarnation,
		First:            1,
		Next:             f.next,
		OtherIncarnation: "the process that gave the cursor has started again, or is another: what it saw since is not known here",
		Ahead:            "the cursor is ahead of the feed",
	}
	if capacity := uint64(len(f.ring)); f.next > capacity {
		w.First = f.next - capacity
	}
	return w
}
