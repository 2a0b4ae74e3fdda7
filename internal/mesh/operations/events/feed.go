package events

import "fmt"

// Window is the range of events that a feed retains: numbers First to Next-1.
type Window struct {
	Incarnation uint64
	First, Next uint64

	// Details of the gaps for a cursor of another incarnation, and for a cursor that is ahead of the window.
	OtherIncarnationDetail, AheadDetail string
}

// Resume returns the number of the event at which a reader with a cursor continues. If the reader has missed events, gap is the event that
// it gets first; otherwise gap is nil.
func (w *Window) Resume(c Cursor) (number uint64, gap *Event) {
	switch {
	case c == Cursor{}:
		return w.First, nil
	case c.Incarnation != w.Incarnation:
		return w.First, w.gap(w.OtherIncarnationDetail)
	case c.Number >= w.Next:
		return w.First, w.gap(w.AheadDetail)
	case c.Number+1 < w.First:
		return w.First, w.gap(fmt.Sprintf("%d events are no longer kept", w.First-c.Number-1))
	}
	return c.Number + 1, nil
}

// gap returns an event of kind Gap that stands before the oldest retained event.
func (w *Window) gap(detail string) *Event {
	before := Cursor{Incarnation: w.Incarnation, Number: w.First - 1}
	return &Event{Cursor: before.String(), Kind: Gap, Detail: detail}
}

// Feed retains the newest events of one incarnation of a process in a ring buffer.
type Feed struct {
	incarnation uint64
	next        uint64 // number of the next event; the first is 1
	ring        []Event
}

// NewFeed returns an empty feed that retains up to capacity events. capacity must be positive.
func NewFeed(incarnation uint64, capacity int) *Feed {
	return &Feed{incarnation: incarnation, next: 1, ring: make([]Event, capacity)}
}

// Add appends an event to the feed, and returns the event with its cursor.
func (f *Feed) Add(e Event) Event {
	e.Cursor = Cursor{Incarnation: f.incarnation, Number: f.next}.String()
	*f.slot(f.next) = e
	f.next++
	return e
}

// slot returns the slot of the ring buffer for the event with a number.
func (f *Feed) slot(number uint64) *Event { return &f.ring[number%uint64(len(f.ring))] }

// After returns up to limit events after a cursor that match the filter, and the cursor for the next call. If the reader has missed
// events, the first event is a gap.
func (f *Feed) After(cursor Cursor, limit int, filter Filter) (found []Event, next Cursor) {
	number, gap := f.window().Resume(cursor)
	if gap != nil {
		found = append(found, *gap)
	}
	for ; number < f.next && len(found) < limit; number++ {
		if e := f.slot(number); filter.Matches(e) {
			found = append(found, *e)
		}
	}
	return found, Cursor{Incarnation: f.incarnation, Number: number - 1}
}

// window returns the range of events that the feed retains.
func (f *Feed) window() *Window {
	window := &Window{
		Incarnation:            f.incarnation,
		First:                  1,
		Next:                   f.next,
		OtherIncarnationDetail: "the process that gave the cursor has started again, or is another: what it saw since is not known here",
		AheadDetail:            "the cursor is ahead of the feed",
	}
	if capacity := uint64(len(f.ring)); f.next > capacity {
		window.First = f.next - capacity
	}
	return window
}
