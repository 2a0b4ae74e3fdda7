package store_test

import (
	"hash/crc32"
	"testing"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// writeRaw puts a file on a disk.
func writeRaw(tb testing.TB, d *disk.Disk, name string, text []byte) {
	tb.Helper()
	f, err := d.Create(name)
	check(tb, err)
	_, err = f.Write(text)
	check(tb, err)
	check(tb, f.Sync())
	check(tb, d.SyncDir())
}

// readRaw returns a file of a disk.
func readRaw(tb testing.TB, d *disk.Disk, name string, size int) []byte {
	tb.Helper()
	file, err := d.Open(name)
	check(tb, err)
	text := make([]byte, size)
	_, err = file.ReadAt(text, 0)
	check(tb, err)
	return text
}

// Whatever stands in a segment, opening it ends, and what is then read is what some record said, whole. What is
// written after that is there at the next open.
func FuzzRecovery(f *testing.F) {
	o := store.Options{Clock: newClock().now}
	d := disk.New()
	s := open(f, d, o)
	key := []byte("key")
	for i := range 5 {
		value := make([]byte, 10*i)
		check(f, s.Put(append(key, byte(i)), value, 0))
	}
	closeStore(f, s)
	for name, size := range d.Files() {
		text := readRaw(f, d, name, size)
		f.Add(text)
		f.Add(text[:len(text)-20])
		f.Add(append(text[:150:150], text[170:]...))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d := disk.New()
		writeRaw(t, d, "0000000000000001.seg", text)
		s, err := store.Open(d, o)
		if err != nil {
			return // of a later version, or another store's
		}
		before := content(t, s)
		sum := crc32.ChecksumIEEE(text)
		check(t, s.Put([]byte("after"), []byte{byte(sum)}, 0))
		closeStore(t, s)
		s = open(t, d, o)
		got := content(t, s)
		if got["after"] != string([]byte{byte(sum)}) {
			t.Error("what was written after it is not there")
		}
		delete(got, "after")
		delete(before, "after")
		for key, value := range before {
			if got[key] != value {
				t.Errorf("%q is %q at one open and %q at the next", key, value, got[key])
			}
		}
		closeStore(t, s)
	})
}
