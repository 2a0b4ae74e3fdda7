package store_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// bitStep returns the distance to the next bit to flip. Each bit of a header's version is flipped, and every third of the other bits.
func bitStep(bit int) int {
	if bit >= 8*8-3 && bit < 8*10 {
		return 1
	}
	return 3
}

// With one flipped bit, at most one record is lost, the loss is reported, and no record is read that was never written.
func TestAnyBitFlipped(t *testing.T) {
	options := store.Options{Clock: newClock().now, SegmentBytes: 900, MaxBytes: 1 << 20}
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	want := map[string]string{}
	for i := range 20 {
		key, value := fmt.Sprintf("k%02d", i), strings.Repeat(string(rune('a'+i)), 30)
		put(t, kv, key, value)
		want[key] = value
	}
	testDisk = testDisk.AfterCrash() // after a crash, the last segment is not sealed
	for name, size := range testDisk.Files() {
		if !strings.HasSuffix(name, ".seg") {
			continue
		}
		for bit := 0; bit < 8*size; bit += bitStep(bit) {
			damaged := testDisk.AfterCrash()
			damaged.FlipBit(name, bit)
			checkOneLost(t, damaged, options, want, fmt.Sprintf("%s, bit %d of %d", name, bit, 8*size))
		}
	}
}

// checkOneLost opens a damaged store. At most one record of want may be missing, only if damage is reported, and no other records may
// exist.
func checkOneLost(t *testing.T, testDisk *disk.Disk, options store.Options, want map[string]string, when string) {
	t.Helper()
	kv, err := store.Open(testDisk, options)
	if err != nil {
		t.Fatalf("%s: open the store: %v", when, err)
	}
	got := content(t, kv)
	missing := 0
	for key, value := range want {
		if got[key] != value {
			missing++
		}
	}
	for key := range got {
		if want[key] == "" {
			t.Fatalf("%s: the store has a record %q, which was never written", when, key)
		}
	}
	h := kv.Health()
	reported := len(h.Damage) > 0 || h.TornBytes > 0
	if missing > 1 || missing > 0 && !reported {
		t.Fatalf("%s: %d records are missing with damage %v and %d torn bytes, want at most one if any is reported",
			when, missing, h.Damage, h.TornBytes)
	}
	closeStore(t, kv)
}

// A value may contain encoded frames of the same store. These are not read as records if the frame of the value is damaged.
func TestFramesInAValue(t *testing.T) {
	const segment = "0000000000000001.seg"
	options := store.Options{Clock: newClock().now}
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	put(t, kv, "deleted", "1")
	copied := readRaw(t, testDisk, segment, testDisk.Files()[segment])
	check(t, kv.Delete([]byte("deleted")))
	before := testDisk.Files()[segment]
	put(t, kv, "copy", string(copied))
	put(t, kv, "after", "2") // the group of this record shows that the record before it was durable
	const groupFrame = 33    // bytes of the group frame before the record
	testDisk = testDisk.AfterCrash()
	testDisk.FlipBit(segment, 8*(before+groupFrame+4)) // the bit is in the checksum of the record
	kv = open(t, testDisk, options)
	if got := content(t, kv); len(got) != 1 || got["after"] != "2" {
		t.Errorf("content after damage: got %v, want only after=2", got)
	}
	closeStore(t, kv)
}

// fillDir writes records to a new store with several segments, and returns the paths of the segments.
func fillDir(t *testing.T, dir string, options store.Options, records int) []string {
	t.Helper()
	kv := open(t, store.Dir(dir), options)
	for i := range records {
		put(t, kv, fmt.Sprint("k", i), strings.Repeat("v", 140))
	}
	closeStore(t, kv)
	return segmentFiles(t, dir)
}

// segmentFiles returns the paths of the segments in a directory, in ascending order.
func segmentFiles(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	check(t, err)
	slices.Sort(files)
	return files
}

// A segment that is missing or truncated, or that belongs to another store, is reported by name.
func TestForeignAndMissingFiles(t *testing.T) {
	options := store.Options{Clock: newClock().now, SegmentBytes: 500, MaxBytes: 1 << 20}
	t.Run("missing", func(t *testing.T) {
		dir := t.TempDir()
		files := fillDir(t, dir, options, 20)
		check(t, os.Remove(files[1]))
		kv := open(t, store.Dir(dir), options)
		if h := kv.Health(); len(h.Damage) != 1 || !strings.Contains(h.Damage[0].String(), filepath.Base(files[1])) {
			t.Errorf("missing segment: got damage %v, want one that names %s", h.Damage, filepath.Base(files[1]))
		}
		closeStore(t, kv)
	})
	dir := t.TempDir()
	files := fillDir(t, dir, options, 20)
	t.Run("truncated", func(t *testing.T) {
		check(t, os.Truncate(files[1], 200))
		kv := open(t, store.Dir(dir), options)
		h := kv.Health()
		if len(h.Damage) != 1 || h.Damage[0].FirstSeq == 0 || h.Damage[0].File != filepath.Base(files[1]) {
			t.Fatalf("truncated segment: got damage %v, want one with sequence numbers that names %s", h.Damage, filepath.Base(files[1]))
		}
		if n := kv.Len(); n != 20-int(h.Damage[0].LastSeq-h.Damage[0].FirstSeq+1) {
			t.Errorf("%d of 20 records are left, which does not match the reported damage %v", n, h.Damage)
		}
		closeStore(t, kv)
	})
	t.Run("foreign", func(t *testing.T) {
		other := t.TempDir()
		fillDir(t, other, options, 50)
		data, err := os.ReadFile(filepath.Join(other, filepath.Base(files[0])))
		check(t, err)
		check(t, os.WriteFile(filepath.Join(dir, "00000000000000ff.seg"), data, 0o600))
		if _, err := store.Open(store.Dir(dir), options); err == nil || !strings.Contains(err.Error(), "00000000000000ff.seg") {
			t.Errorf("open a directory with a segment of another store: got error %v, want one that names the segment", err)
		}
	})
}

// Open rejects a store that a later version has written, and does not change it.
func TestNewerVersion(t *testing.T) {
	dir := t.TempDir()
	kv := open(t, store.Dir(dir), store.Options{})
	put(t, kv, "a", "1")
	closeStore(t, kv)
	files := segmentFiles(t, dir)
	data, err := os.ReadFile(files[0])
	check(t, err)
	const versionOffset, headerBytes = 8, 100
	data[versionOffset]++
	checksum := crc32.Checksum(data[:headerBytes-4], crc32.MakeTable(crc32.Castagnoli))
	binary.LittleEndian.PutUint32(data[headerBytes-4:], checksum)
	check(t, os.WriteFile(files[0], data, 0o600))
	var newer *store.NewerVersionError
	if _, err := store.Open(store.Dir(dir), store.Options{}); !errors.As(err, &newer) || newer.Version != store.Version+1 {
		t.Errorf("open a store of a later version: got error %v, want a NewerVersionError for version %d", err, store.Version+1)
	}
	if again := segmentFiles(t, dir); !slices.Equal(again, files) {
		t.Errorf("segments after the rejected open: got %v, want %v", again, files)
	}
}

// Reads that return fewer bytes than requested lose no records.
func TestShortReads(t *testing.T) {
	options := smallSegments
	options.Clock = newClock().now
	testDisk, written := disk.New(), &workload{}
	check(t, written.run(testDisk, options, 60))
	testDisk.SetShortReads(true)
	kv := open(t, testDisk, options)
	written.checkContent(t, kv, len(written.acknowledged), "short reads")
	closeStore(t, kv)
}
