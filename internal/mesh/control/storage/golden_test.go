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

// The golden files: a folder and its records as earlier versions of the program have written them. In the folder older records are in a
// table and newer ones in the journal.
const (
	goldenFolder  = "testdata/golden/folder"
	goldenRecords = "records.txt"
)

// goldenContent are the records of the golden folder, in the order in which they were written.
var goldenContent = []struct{ key, data string }{
	{"owner", "10.0.0.1:7001"},
	{"standing", "first"},
	{"vote", "a vote"},
	{"empty", ""},
	{"standing", "second"},
	{"long", strings.Repeat("0123456789", 20)},
}

// writeGoldenFolder writes the content, and closes and opens the folder once in between.
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

// dump returns the keys of an open folder with their records, as they are on disk, in hexadecimal.
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

// Records are written as earlier versions wrote them.
func TestGoldenRecordsAreWritten(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	writeGoldenFolder(c, folder)
	golden.Text(t, goldenRecords, dump(c, open(t, folder)))
}

// A folder that an earlier version wrote is read and checked, and more records are written to it.
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

// The header of a record on disk.
func TestHeaderIsAFormat(t *testing.T) {
	c := qt.New(t)
	c.Assert([]int{recordFormat, maxRecordFormat, headerBytes}, qt.DeepEquals, []int{0x71, 0x7f, 5})
	c.Assert(fmt.Sprintf("%x", encodeRecord([]byte("data"))), qt.Equals, "71"+"d17dd8ae"+"64617461")
}
