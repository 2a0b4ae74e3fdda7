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

// bitStep returns the distance to the next bit to flip: each bit of a header's version is flipped, and every third of the others.
func bitStep(bit int) int {
	if bit >= 8*8-3 && bit < 8*10 {
		return 1
	}
	return 3
}

// One flipped bit loses at most one record, which is reported, and no record that was never written is read.
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
	testDisk = testDisk.AfterCrash() // so that the last segment is not sealed
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

// checkOneLost opens a damaged store. One record may be missing if damage is reported, and there may be no others than want.
func checkOneLost(t *testing.T, testDisk *disk.Disk, options store.Options, want map[string]string, when string) {
	t.Helper()
	kv, err := store.Open(testDisk, options)
	if err != nil {
		t.Fatalf("%s: %v", when, err)
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
			t.Fatalf("%s: reads %q, which was never written", when, key)
		}
	}
	h := kv.Health()
	reported := len(h.Damage) > 0 || h.TornBytes > 0
	if missing > 1 || missing > 0 && !reported {
		t.Fatalf("%s: %d records are missing, damage %v, torn %d", when, missing, h.Damage, h.TornBytes)
	}
	closeStore(t, kv)
}

// A value that contains frames of the store itself is not read as records if the frame around it is damaged.
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
	put(t, kv, "after", "2") // shows that the record before it was durable
	const groupFrame = 33    // bytes before the frame of the record
	testDisk = testDisk.AfterCrash()
	testDisk.FlipBit(segment, 8*(before+groupFrame+4)) // in its checksum
	kv = open(t, testDisk, options)
	if got := content(t, kv); len(got) != 1 || got["after"] != "2" {
		t.Errorf("reads %v", got)
	}
	closeStore(t, kv)
}

// fillDir writes records to a new store with several segments, and returns the paths of these.
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
			t.Errorf("a file is missing: %v", h.Damage)
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
			t.Fatalf("a file is truncated: %v", h.Damage)
		}
		if n := kv.Len(); n != 20-int(h.Damage[0].LastSeq-h.Damage[0].FirstSeq+1) {
			t.Errorf("%d are left, beside %v", n, h.Damage)
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
			t.Errorf("a file of another store: %v", err)
		}
	})
}

// A store that a later version has written is rejected and not changed.
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
		t.Errorf("%v", err)
	}
	if again := segmentFiles(t, dir); !slices.Equal(again, files) {
		t.Errorf("files changed: %v", again)
	}
}

// Reads that return less than requested lose nothing.
func TestShortReads(t *testing.T) {
	options := smallSegments
	options.Clock = newClock().now
	testDisk, played := disk.New(), &workload{}
	check(t, played.play(testDisk, options, 60))
	testDisk.SetShortReads(true)
	kv := open(t, testDisk, options)
	played.checkContent(t, kv, len(played.acknowledged), "short reads")
	closeStore(t, kv)
}
