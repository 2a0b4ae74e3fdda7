package eventlog

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/control/storage"
	"quincegap/internal/mesh/operations/events"
)

// goldenFolder has the files of a log of a program that has shut down regularly. They are written anew with the other golden files if
// UPDATE_GOLDEN_FOLDER is set too.
const goldenFolder = "testdata/golden/folder"

// goldenEvents returns five events with a value in each field but the cursor.
func goldenEvents() []events.Event {
	var all []events.Event
	for i := range 5 {
		all = append(all, events.Event{
			Time: fmt.Sprintf("2026-01-02T03:04:0%dZ", i), Kind: events.EndpointDraining, Node: "10.1.0.40:7640", Zone: "south-b",
			Service: "orders", Endpoint: fmt.Sprintf("ep-%d", i), Tenant: "north", Version: "r12", Detail: strconv.Itoa(i),
		})
	}
	return all
}

// addGolden opens a log that keeps three events, and adds five.
func addGolden(t *testing.T, s Store) {
	t.Helper()
	l, err := OpenLog(s, 3, 36)
	qt.Assert(t, err, qt.IsNil)
	for i, e := range goldenEvents() {
		qt.Assert(t, l.Add(e, "10.1.0.44:8105", events.Cursor{Incarnation: 7, Number: uint64(i + 1)}.String()), qt.IsNil)
	}
}

// The records that a log keeps, by key.
func TestGoldenRecords(t *testing.T) {
	s := newMemoryStore(100)
	addGolden(t, s)
	var lines strings.Builder
	for _, key := range []string{"head", "event/0", "event/1", "event/2"} {
		fmt.Fprintf(&lines, "%s: %s\n", key, s.records[key])
	}
	qt.Assert(t, s.records, qt.HasLen, 4)
	qt.Assert(t, []string{headKey, eventKeyPrefix}, qt.DeepEquals, []string{"head", "event/"})
	golden.Text(t, "records.txt", []byte(lines.String()))
}

// The folder of an earlier program is read, and the log continued.
func TestGoldenFolder(t *testing.T) {
	c := qt.New(t)
	if os.Getenv("UPDATE_GOLDEN_FOLDER") != "" {
		c.Assert(os.RemoveAll(goldenFolder), qt.IsNil)
		store, err := storage.Open(goldenFolder)
		c.Assert(err, qt.IsNil)
		addGolden(t, store)
		c.Assert(store.Close(), qt.IsNil)
	}
	folder := filepath.Join(t.TempDir(), "folder")
	c.Assert(os.CopyFS(folder, os.DirFS(goldenFolder)), qt.IsNil)
	store, err := storage.Open(folder)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(store.Close(), qt.IsNil) }()
	l, err := OpenLog(store, 3, 99)
	c.Assert(err, qt.IsNil)
	from, cursor := l.Followed()
	c.Assert([]string{from, cursor}, qt.DeepEquals, []string{"10.1.0.44:8105", "7-5"})
	c.Assert(l.Add(events.Event{Kind: events.Gap, Detail: "later"}, "10.2.0.35:8105", "8-1"), qt.IsNil)
	var lines strings.Builder
	for _, after := range []events.Cursor{
		{},
		{Incarnation: 36, Number: 4},
		{Incarnation: 36, Number: 1},
		{Incarnation: 99, Number: 1},
		{Incarnation: 36, Number: 7},
	} {
		out, next, _, err := l.After(after, 9, events.Filter{})
		c.Assert(err, qt.IsNil)
		fmt.Fprintf(&lines, "after %s, next %s\n", after, next)
		for _, e := range out {
			text, err := json.Marshal(e)
			c.Assert(err, qt.IsNil)
			fmt.Fprintf(&lines, "%s\n", text)
		}
	}
	golden.Text(t, "folder.txt", []byte(lines.String()))
}

// The error for an invalid record names the record.
func TestGoldenInvalidRecords(t *testing.T) {
	var lines strings.Builder
	_, err := OpenLog(&memoryStore{records: map[string][]byte{"head": []byte("{")}}, 3, 36)
	fmt.Fprintf(&lines, "%v\n", err)
	qt.Assert(t, trace.IsBadParameter(err), qt.IsTrue)
	s := newMemoryStore(100)
	addGolden(t, s)
	l, err := OpenLog(s, 3, 36)
	qt.Assert(t, err, qt.IsNil)
	s.records["event/0"] = []byte("x")
	_, next, _, err := l.After(events.Cursor{}, 9, events.Filter{})
	fmt.Fprintf(&lines, "%s %v\n", next, err)
	delete(s.records, "event/0")
	_, next, _, err = l.After(events.Cursor{}, 9, events.Filter{})
	fmt.Fprintf(&lines, "%s %v\n", next, err)
	golden.Text(t, "spoilt.txt", []byte(lines.String()))
}
