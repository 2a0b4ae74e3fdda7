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

// goldenFolder has the files of a log whose program has shut down without a fault. They are regenerated if the environment variable
// UPDATE_GOLDEN_FOLDER is set; set it together with the flag -update-golden, which updates the other golden files.
const goldenFolder = "testdata/golden/folder"

// goldenEvents returns five events with a value in each field except the cursor.
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

// addGoldenEvents opens a log that retains three events, and adds five.
func addGoldenEvents(t *testing.T, store Store) {
	t.Helper()
	eventLog, err := OpenLog(store, 3, 36)
	qt.Assert(t, err, qt.IsNil)
	for i, e := range goldenEvents() {
		qt.Assert(t, eventLog.Add(e, "10.1.0.44:8105", events.Cursor{Incarnation: 7, Number: uint64(i + 1)}.String()), qt.IsNil)
	}
}

// The golden file has the records of a log by key.
func TestGoldenRecords(t *testing.T) {
	store := newMemoryStore(100)
	addGoldenEvents(t, store)
	var lines strings.Builder
	for _, key := range []string{"head", "event/0", "event/1", "event/2"} {
		fmt.Fprintf(&lines, "%s: %s\n", key, store.records[key])
	}
	qt.Assert(t, store.records, qt.HasLen, 4)
	qt.Assert(t, []string{headKey, eventKeyPrefix}, qt.DeepEquals, []string{"head", "event/"})
	golden.Text(t, "records.txt", []byte(lines.String()))
}

// A folder that an earlier version of the program has written is read, and its log is continued.
func TestGoldenFolder(t *testing.T) {
	c := qt.New(t)
	if os.Getenv("UPDATE_GOLDEN_FOLDER") != "" {
		c.Assert(os.RemoveAll(goldenFolder), qt.IsNil)
		store, err := storage.Open(goldenFolder)
		c.Assert(err, qt.IsNil)
		addGoldenEvents(t, store)
		c.Assert(store.Close(), qt.IsNil)
	}
	folder := filepath.Join(t.TempDir(), "folder")
	c.Assert(os.CopyFS(folder, os.DirFS(goldenFolder)), qt.IsNil)
	store, err := storage.Open(folder)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(store.Close(), qt.IsNil) }()
	eventLog, err := OpenLog(store, 3, 99)
	c.Assert(err, qt.IsNil)
	address, cursor := eventLog.Followed()
	c.Assert([]string{address, cursor}, qt.DeepEquals, []string{"10.1.0.44:8105", "7-5"})
	c.Assert(eventLog.Add(events.Event{Kind: events.Gap, Detail: "later"}, "10.2.0.35:8105", "8-1"), qt.IsNil)
	var lines strings.Builder
	for _, after := range []events.Cursor{
		{},
		{Incarnation: 36, Number: 4},
		{Incarnation: 36, Number: 1},
		{Incarnation: 99, Number: 1},
		{Incarnation: 36, Number: 7},
	} {
		found, next, _, err := eventLog.After(after, 9, events.Filter{})
		c.Assert(err, qt.IsNil)
		fmt.Fprintf(&lines, "after %s, next %s\n", after, next)
		for _, e := range found {
			text, err := json.Marshal(e)
			c.Assert(err, qt.IsNil)
			fmt.Fprintf(&lines, "%s\n", text)
		}
	}
	golden.Text(t, "folder.txt", []byte(lines.String()))
}

// The error for an invalid or missing record names the key of the record.
func TestGoldenInvalidRecords(t *testing.T) {
	var lines strings.Builder
	_, err := OpenLog(&memoryStore{records: map[string][]byte{"head": []byte("{")}}, 3, 36)
	fmt.Fprintf(&lines, "%v\n", err)
	qt.Assert(t, trace.IsBadParameter(err), qt.IsTrue)
	store := newMemoryStore(100)
	addGoldenEvents(t, store)
	eventLog, err := OpenLog(store, 3, 36)
	qt.Assert(t, err, qt.IsNil)
	store.records["event/0"] = []byte("x")
	_, next, _, err := eventLog.After(events.Cursor{}, 9, events.Filter{})
	fmt.Fprintf(&lines, "%s %v\n", next, err)
	delete(store.records, "event/0")
	_, next, _, err = eventLog.After(events.Cursor{}, 9, events.Filter{})
	fmt.Fprintf(&lines, "%s %v\n", next, err)
	golden.Text(t, "spoilt.txt", []byte(lines.String()))
}
