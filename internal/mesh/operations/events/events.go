// Package events is a feed of what changed in the mesh, in order, for other tools. A reader holds a cursor; where it missed events
// that are no longer kept it gets a gap, so that nothing is skipped in silence. The package does no I/O.
package events

import (
	"fmt"
	"strconv"
	"strings"
)

// Kinds of events. Readers ignore kinds that they don't know, which later versions may add.
const (
	EndpointServing      = "endpoint_serves"
	EndpointDraining     = "endpoint_drains"
	EndpointGone         = "endpoint_left"    // in order
	EndpointCrashed      = "endpoint_crashed" // or its lease ran out
	ConfigurationApplied = "configuration_in_force"
	RoleAcquired         = "duty_came"
	RoleLost             = "duty_went"
	QuotaExhausted       = "quota_hit"
	MemberReachable      = "machine_in_touch"
	MemberUnreachable    = "machine_out_of_touch"
	Gap                  = "gap" // events are missing here; Detail says why
)

// Event is one change. Fields that don't apply are empty.
type Event struct {
	Cursor   string `json:"cursor"`
	Time     string `json:"time,omitempty"` // RFC 3339, by the clock of the process that saw it
	Kind     string `json:"kind"`
	Node     string `json:"node,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Service  string `json:"service,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Tenant   string `json:"tenant,omitempty"`
	Version  string `json:"version,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Filter passes events that match all of its fields that are not empty, and all gaps.
type Filter struct{ Service, Tenant, Zone string }

// Passes reports whether an event matches.
func (f Filter) Passes(e *Event) bool {
	return e.Kind == Gap || (f.Service == "" || f.Service == e.Service) && (f.Tenant == "" || f.Tenant == e.Tenant) &&
		(f.Zone == "" || f.Zone == e.Zone)
}

// Cursor is a place in a feed: after the event of that number, in one life of the process that keeps the feed.
type Cursor struct {
	Incarnation uint64
	Number      uint64
}

// String is the cursor's text.
func (c Cursor) String() string {
	return strconv.FormatUint(c.Incarnation, 36) + "-" + strconv.FormatUint(c.Number, 10)
}

// ParseCursor reads a cursor; an empty text is the oldest event that is kept.
func ParseCursor(s string) (Cursor, error) {
	if s == "" {
		return Cursor{}, nil
	}
	life, number, ok := strings.Cut(s, "-")
	l, err := strconv.ParseUint(life, 36, 64)
	n, err2 := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || err2 != nil {
		return Cursor{}, fmt.Errorf("cursor %q: wanted one that the feed gave, like 1a2b-17", s)
	}
	return Cursor{l, n}, nil
}

// Feed keeps the newest events of one life of a process.
type Feed struct {
	incarnation uint64
	next        uint64 // number of the next event; the first is 1
	ring        []Event
}

// NewFeed makes a feed that keeps so many events.
func NewFeed(life uint64, most int) *Feed {
	return &Feed{incarnation: life, next: 1, ring: make([]Event, most)}
}

// Add adds an event and gives it its cursor.
func (f *Feed) Add(e Event) Event {
	e.Cursor = Cursor{f.incarnation, f.next}.String()
	f.ring[f.next%uint64(len(f.ring))] = e
	f.next++
	return e
}

// After gives up to most events after a cursor that pass the filter, and the cursor to go on from. A gap comes first if the reader
// missed events.
func (f *Feed) After(c Cursor, most int, filter Filter) (out []Event, next Cursor) {
	first := uint64(1)
	if n := uint64(len(f.ring)); f.next > n {
		first = f.next - n
	}
	at := c.Number + 1
	gap := ""
	switch {
	case c == Cursor{}:
		at = first
	case c.Incarnation != f.incarnation:
		gap, at = "the process that gave the cursor has started again, or is another: what it saw since is not known here", first
	case c.Number >= f.next:
		gap, at = "the cursor is ahead of the feed", first
	case at < first:
		gap, at = fmt.Sprintf("%d events are no longer kept", first-at), first
	}
	if gap != "" {
		out = append(out, Event{Cursor: Cursor{f.incarnation, at - 1}.String(), Kind: Gap, Detail: gap})
	}
	for ; at < f.next && len(out) < most; at++ {
		if e := f.ring[at%uint64(len(f.ring))]; filter.Passes(&e) {
			out = append(out, e)
		}
	}
	return out, Cursor{f.incarnation, at - 1}
}
