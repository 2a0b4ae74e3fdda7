package storage

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/golden"
)

// The golden files are a folder and its records as earlier versions of the program wrote them. The older records of the folder are in a
// table, the newer ones in the journal.
const (
	goldenFolder  = "testdata/golden/folder"
	goldenRecords = "records.txt"
)

// goldenContent lists the records of the golden folder in the order in which they are written.
var goldenContent = []struct{ key, data string }{
	{"owner", "10.0.0.1:7001"},
	{"standing", "first"},
	{"vote", "a vote"},
	{"empty", ""},
	{"standing", "second"},
	{"long", strings.Repeat("0123456789", 20)},
}

// writeGoldenFolder writes goldenContent to a folder, and closes and reopens the folder after half of the records.
func writeGoldenFolder(c *qt.C, folder string) {
	store, err := Open(folder)
	c.Assert(err, qt.IsNil)
	for i, record := range goldenContent {
		if i == len(goldenContent)/2 {
			c.Assert(store.Close(), qt.IsNil)
			store, err = Open(folder)
			c.Assert(err, qt.IsNil)
		}
		c.Assert(store.Put(record.key, []byte(record.data)), qt.IsNil)
	}
	c.Assert(store.Close(), qt.IsNil)
}

// dump returns the keys of an open folder, each with its record in hexadecimal as it is on disk, header included.
func dump(c *qt.C, store *Store) []byte {
	var text strings.Builder
	records := store.db.NewIterator(nil, nil)
	defer records.Release()
	for records.Next() {
		fmt.Fprintf(&text, "%s %x\n", records.Key(), records.Value())
	}
	c.Assert(records.Error(), qt.IsNil)
	return []byte(text.String())
}

// Records are written in the same format as by earlier versions.
func TestGoldenRecordsAreWritten(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	writeGoldenFolder(c, folder)
	golden.Text(t, goldenRecords, dump(c, open(t, folder)))
}

// A folder that an earlier version wrote can be read and checked, and further records can be written to it.
func TestGoldenFolderIsRead(t *testing.T) {
	c := qt.New(t)
	if flag.Lookup("update-golden").Value.String() == "true" {
		c.Assert(os.RemoveAll(goldenFolder), qt.IsNil)
		writeGoldenFolder(c, goldenFolder)
	}
	folder := t.TempDir()
	c.Assert(os.CopyFS(folder, os.DirFS(filepath.FromSlash(goldenFolder))), qt.IsNil)
	store := open(t, folder)
	golden.Text(t, goldenRecords, dump(c, store))
	want := map[string]string{}
	for _, record := range goldenContent {
		want[record.key] = record.data
	}
	for key, data := range want {
		got, err := store.Get(key)
		c.Assert(err, qt.IsNil)
		c.Assert(string(got), qt.Equals, data)
	}
	c.Assert(store.Check(), qt.IsNil)
	c.Assert(store.Put("vote", []byte("another")), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	got, err := open(t, folder).Get("vote")
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "another")
}

// The header of a record on disk does not change.
func TestRecordHeaderFormat(t *testing.T) {
	c := qt.New(t)
	c.Assert([]int{recordFormat, maxRecordFormat, headerBytes}, qt.DeepEquals, []int{0x71, 0x7f, 5})
	c.Assert(fmt.Sprintf("%x", encodeRecord([]byte("data"))), qt.Equals, "71"+"d17dd8ae"+"64617461")
}
