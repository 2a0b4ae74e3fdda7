package storage

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"
)

// killed is a folder as it is left when the process that has it open is killed: all files as they were at one moment, while
// the database may be writing and removing tables.
func killed(t *testing.T, folder string) string {
	for range 100 {
		before := files(t, folder)
		copied := t.TempDir()
		err := os.CopyFS(copied, os.DirFS(folder))
		if maps.Equal(before, files(t, folder)) {
			qt.Assert(t, err, qt.IsNil)
			return copied
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the folder doesn't come to rest")
	return ""
}

// files are the files of a folder with their sizes.
func files(t *testing.T, folder string) map[string]int64 {
	sizes := map[string]int64{}
	for _, f := range must(os.ReadDir(folder)) {
		info, err := f.Info()
		if errors.Is(err, fs.ErrNotExist) {
			sizes[f.Name()] = -1
			continue
		}
		qt.Assert(t, err, qt.IsNil)
		sizes[f.Name()] = info.Size()
	}
	return sizes
}

func must[T any](x T, err error) T {
	if err != nil {
		panic(err)
	}
	return x
}

func open(t *testing.T, folder string) *Store {
	k, err := Open(folder)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = k.Close() })
	return k
}

func TestRecordsSurviveAKill(t *testing.T) {
	c := qt.New(t)
	folder := filepath.Join(t.TempDir(), "a", "b")
	k := open(t, folder)
	_, err := k.Get("vote")
	c.Assert(trace.IsNotFound(err), qt.IsTrue)
	large := bytes.Repeat([]byte("0123456789abcdef"), 1<<16) // more than the write buffer
	for i := range 12 {
		c.Assert(k.Put("vote", append(large, byte(i))), qt.IsNil)
		c.Assert(k.Put("standing", []byte{byte(i)}), qt.IsNil)
	}
	c.Assert(k.Close(), qt.IsNil) // a copy needs files that stay as they are
	k = open(t, folder)
	c.Assert(k.Put("empty", nil), qt.IsNil)
	k = open(t, killed(t, folder))
	for key, want := range map[string][]byte{"vote": append(large, 11), "standing": {11}, "empty": {}} {
		data, err := k.Get(key)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(data, want), qt.IsTrue)
	}
	c.Assert(k.Check(), qt.IsNil)
	size := int64(0)
	for _, n := range files(t, folder) {
		size += max(n, 0)
	}
	c.Assert(size < 8<<20, qt.IsTrue, qt.Commentf("%d bytes", size)) // what was written over is given back
}

// Wherever the last write is torn, the folder opens, with the record before it or the whole one.
func TestTornWrites(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	k := open(t, folder)
	c.Assert(k.Put("vote", []byte("first")), qt.IsNil)
	log := slices.Max(must(filepath.Glob(filepath.Join(folder, "*.log"))))
	synced := must(os.ReadFile(log))
	c.Assert(k.Put("vote", bytes.Repeat([]byte("second"), 20)), qt.IsNil)
	whole := must(os.ReadFile(log))
	for n := len(synced); n <= len(whole); n = min(n+5, max(n+1, len(whole))) {
		for _, zeros := range []int{0, len(whole) - n} { // the file may have its length, and not its bytes
			torn := killed(t, folder)
			left := append(slices.Clone(whole[:n]), make([]byte, zeros)...)
			c.Assert(os.WriteFile(filepath.Join(torn, filepath.Base(log)), left, 0o600), qt.IsNil)
			again := open(t, torn)
			data, err := again.Get("vote")
			c.Assert(err, qt.IsNil, qt.Commentf("%d of %d", n, len(whole)))
			c.Assert(string(data) == "first" || n >= len(whole)-1, qt.IsTrue, qt.Commentf("%d of %d: %q", n, len(whole), data))
			c.Assert(again.Put("vote", []byte("third")), qt.IsNil)
			c.Assert(again.Close(), qt.IsNil)
		}
	}
}

func TestSpoiltRecordsAreNamed(t *testing.T) {
	c := qt.New(t)
	k := open(t, t.TempDir())
	c.Assert(k.Put("good", []byte("x")), qt.IsNil)
	spoilt := wrap([]byte("data"))
	spoilt[len(spoilt)-1] ^= 1
	for key, record := range map[string][]byte{"spoilt": spoilt, "short": {magic}, "other": append([]byte{1}, wrap(nil)[1:]...)} {
		c.Assert(k.db.Put([]byte(key), record, nil), qt.IsNil)
		_, err := k.Get(key)
		c.Assert(trace.IsCompareFailed(err), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(k.Check(), qt.ErrorMatches, `(?s).*"`+key+`".*`)
	}
	_, err := k.Get("good")
	c.Assert(err, qt.IsNil)
}

// After an error of the database, and when its list of files is gone, the next write goes on.
func TestWritesGoOn(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	k := open(t, folder)
	c.Assert(k.Put("vote", []byte("1")), qt.IsNil)
	c.Assert(k.db.Close(), qt.IsNil)
	c.Assert(k.Put("vote", []byte("2")), qt.IsNotNil)
	data, err := k.Get("vote")
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "1")
	c.Assert(k.Put("vote", []byte("3")), qt.IsNil)
	c.Assert(k.Close(), qt.IsNil)

	for _, l := range must(filepath.Glob(filepath.Join(folder, "MANIFEST-*"))) {
		c.Assert(os.WriteFile(l, []byte("spoilt"), 0o600), qt.IsNil)
	}
	data, err = open(t, folder).Get("vote")
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "3")
}
