package events

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/golden"
)

// goldenEvent is an event with a value in each field.
func goldenEvent() Event {
	return Event{
		Cursor: "1a2b-17", Time: "2026-01-02T03:04:05.6Z", Kind: ConfigurationApplied, Node: "10.1.0.44:7640", Zone: "north-a", Service: "orders",
		Endpoint: "ep-1", Tenant: "north", Version: "r12", Detail: "why",
	}
}

func TestGoldenEvent(t *testing.T) {
	c := qt.New(t)
	full := goldenEvent()
	text, err := json.Marshal(full)
	c.Assert(err, qt.IsNil)
	golden.Text(t, "event.json", append(text, '\n'))
	var read Event
	c.Assert(json.Unmarshal(text, &read), qt.IsNil)
	c.Assert(read, qt.DeepEquals, full)
	empty, err := json.Marshal(Event{})
	c.Assert(err, qt.IsNil)
	c.Assert(string(empty), qt.Equals, `{"cursor":"","kind":""}`)
}

func TestGoldenKinds(t *testing.T) {
	kinds := []string{
		EndpointServing, EndpointDraining, EndpointGone, EndpointCrashed, ConfigurationApplied, RoleAcquired, RoleLost, QuotaExhausted,
		MemberReachable, MemberUnreachable, Gap,
	}
	golden.Text(t, "kinds.txt", []byte(strings.Join(kinds, "\n")+"\n"))
}

// The golden file has the texts of cursors and gaps, and the errors for invalid cursors.
func TestGoldenCursors(t *testing.T) {
	var lines strings.Builder
	for _, text := range []string{
		"", "1a2b-17", "3w5e11264sgsf-18446744073709551615", "0-0", "x", "-", "1-", "-1", "1--1", "1-x", "zzzzzzzzzzzzzz-1",
		"1-99999999999999999999", "A-1",
	} {
		cursor, err := ParseCursor(text)
		fmt.Fprintf(&lines, "%q: %d %d %v\n", text, cursor.Incarnation, cursor.Number, err)
		if err == nil {
			fmt.Fprintf(&lines, "  %s\n", cursor)
		}
	}
	feed := NewFeed(36, 3)
	for i := range 5 {
		feed.Add(Event{Kind: QuotaExhausted, Detail: strconv.Itoa(i)})
	}
	for _, cursor := range []Cursor{{}, {36, 1}, {36, 2}, {36, 5}, {36, 6}, {37, 4}} {
		found, next := feed.After(cursor, 9, Filter{})
		text, err := json.Marshal(found)
		qt.Assert(t, err, qt.IsNil)
		fmt.Fprintf(&lines, "after %s: %s, next %s\n", cursor, text, next)
	}
	golden.Text(t, "cursors.txt", []byte(lines.String()))
}
