package store_test

import (
	"hash/crc32"
	"testing"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// writeRaw creates a file with the given content on a disk, and makes it durable.
func writeRaw(tb testing.TB, testDisk *disk.Disk, name string, data []byte) {
	tb.Helper()
	file, err := testDisk.Create(name)
	check(tb, err)
	_, err = file.Write(data)
	check(tb, err)
	check(tb, file.Sync())
	check(tb, testDisk.SyncDir())
}

// readRaw returns the first size bytes of a file on a disk.
func readRaw(tb testing.TB, testDisk *disk.Disk, name string, size int) []byte {
	tb.Helper()
	file, err := testDisk.Open(name)
	check(tb, err)
	data := make([]byte, size)
	_, err = file.ReadAt(data, 0)
	check(tb, err)
	return data
}

// Open returns for any content of a segment. The records that it reads are the same when the store is reopened, and so is a record
// that was written in between.
func FuzzRecovery(f *testing.F) {
	options := store.Options{Clock: newClock().now}
	testDisk := disk.New()
	kv := open(f, testDisk, options)
	key := []byte("key")
	for i := range 5 {
		value := make([]byte, 10*i)
		check(f, kv.Put(append(key, byte(i)), value, 0))
	}
	closeStore(f, kv)
	for name, size := range testDisk.Files() {
		data := readRaw(f, testDisk, name, size)
		f.Add(data)
		f.Add(data[:len(data)-20])
		f.Add(append(data[:150:150], data[170:]...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		testDisk := disk.New()
		writeRaw(t, testDisk, "0000000000000001.seg", data)
		kv, err := store.Open(testDisk, options)
		if err != nil {
			return // the segment is from a later version or another store
		}
		before := content(t, kv)
		sum := crc32.ChecksumIEEE(data)
		check(t, kv.Put([]byte("after"), []byte{byte(sum)}, 0))
		closeStore(t, kv)
		kv = open(t, testDisk, options)
		got := content(t, kv)
		if got["after"] != string([]byte{byte(sum)}) {
			t.Error("the record that was written before reopening is missing")
		}
		delete(got, "after")
		delete(before, "after")
		for key, value := range before {
			if got[key] != value {
				t.Errorf("record %q changed from %q to %q when the store was reopened", key, value, got[key])
			}
		}
		closeStore(t, kv)
	})
}
