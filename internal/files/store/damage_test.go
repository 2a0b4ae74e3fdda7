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

// bitStep is to the next bit that is flipped: each of a header's version, and every third of the others.
func bitStep(bit int) int {
	if bit >= 8*8-3 && bit < 8*10 {
		return 1
	}
	return 3
}

// Each bit of a log, flipped: every other record is found, or the loss of it is named. Nothing wrong is believed.
func TestAnyBitFlipped(t *testing.T) {
	o := store.Options{Clock: newClock().now, SegmentBytes: 900, MaxBytes: 1 << 20}
	d := disk.New()
	s := open(t, d, o)
	want := map[string]string{}
	for i := range 20 {
		key, value := fmt.Sprintf("k%02d", i), strings.Repeat(string(rune('a'+i)), 30)
		put(t, s, key, value)
		want[key] = value
	}
	d = d.AfterCrash() // so that the last segment is not sealed
	for name, size := range d.Files() {
		if !strings.HasSuffix(name, ".seg") {
			continue
		}
		for bit := 0; bit < 8*size; bit += bitStep(bit) {
			damaged := d.AfterCrash()
			damaged.FlipBit(name, bit)
			checkOneLost(t, damaged, o, want, fmt.Sprintf("%s, bit %d of %d", name, bit, 8*size))
		}
	}
}

// checkOneLost opens a damaged store: one record may be missing, if that is reported, and none may be new.
func checkOneLost(t *testing.T, d *disk.Disk, o store.Options, want map[string]string, when string) {
	t.Helper()
	s, err := store.Open(d, o)
	if err != nil {
		t.Fatalf("%s: %v", when, err)
	}
	got := content(t, s)
	missing := 0
	for key, value := range want {
		if got[key] != value {
			missing++
		}
	}
	for key := range got {
		if want[key] == "" {
			t.Fatalf("%s: believes %q", when, key)
		}
	}
	h := s.Health()
	reported := len(h.Damage) > 0 || h.TornBytes > 0
	if missing > 1 || missing > 0 && !reported {
		t.Fatalf("%s: %d records are missing, damage %v, torn %d", when, missing, h.Damage, h.TornBytes)
	}
	closeStore(t, s)
}

// A value that holds a copy of the store's own frames is not taken for records where the frame around it is damaged.
func TestFramesInAValue(t *testing.T) {
	const segment = "0000000000000001.seg"
	o := store.Options{Clock: newClock().now}
	d := disk.New()
	s := open(t, d, o)
	put(t, s, "deleted", "1")
	copied := readRaw(t, d, segment, d.Files()[segment])
	check(t, s.Delete([]byte("deleted")))
	before := d.Files()[segment]
	put(t, s, "copy", string(copied))
	put(t, s, "after", "2") // so that the copy is known to have been durable
	const groupFrame = 33   // bytes; the frame of the record follows
	d = d.AfterCrash()
	d.FlipBit(segment, 8*(before+groupFrame+4)) // in its checksum
	s = open(t, d, o)
	if got := content(t, s); len(got) != 1 || got["after"] != "2" {
		t.Errorf("believes %v", got)
	}
	closeStore(t, s)
}

// fillDir writes records into a store in several segments, and returns their files.
func fillDir(t *testing.T, dir string, o store.Options, records int) []string {
	t.Helper()
	s := open(t, store.Dir(dir), o)
	for i := range records {
		put(t, s, fmt.Sprint("k", i), strings.Repeat("v", 140))
	}
	closeStore(t, s)
	return segmentFiles(t, dir)
}

func segmentFiles(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	check(t, err)
	slices.Sort(files)
	return files
}

// A file that was taken away, cut short or put there from another store is named.
func TestForeignAndMissingFiles(t *testing.T) {
	o := store.Options{Clock: newClock().now, SegmentBytes: 500, MaxBytes: 1 << 20}
	t.Run("missing", func(t *testing.T) {
		dir := t.TempDir()
		files := fillDir(t, dir, o, 20)
		check(t, os.Remove(files[1]))
		s := open(t, store.Dir(dir), o)
		if h := s.Health(); len(h.Damage) != 1 || !strings.Contains(h.Damage[0].String(), filepath.Base(files[1])) {
			t.Errorf("a file is missing: %v", h.Damage)
		}
		closeStore(t, s)
	})
	dir := t.TempDir()
	files := fillDir(t, dir, o, 20)
	t.Run("cut", func(t *testing.T) {
		check(t, os.Truncate(files[1], 200))
		s := open(t, store.Dir(dir), o)
		h := s.Health()
		if len(h.Damage) != 1 || h.Damage[0].FirstSeq == 0 || h.Damage[0].File != filepath.Base(files[1]) {
			t.Fatalf("a file is cut: %v", h.Damage)
		}
		if n := s.Len(); n != 20-int(h.Damage[0].LastSeq-h.Damage[0].FirstSeq+1) {
			t.Errorf("%d are left, beside %v", n, h.Damage)
		}
		closeStore(t, s)
	})
	t.Run("foreign", func(t *testing.T) {
		other := t.TempDir()
		fillDir(t, other, o, 50)
		text, err := os.ReadFile(filepath.Join(other, filepath.Base(files[0])))
		check(t, err)
		check(t, os.WriteFile(filepath.Join(dir, "00000000000000ff.seg"), text, 0o600))
		if _, err := store.Open(store.Dir(dir), o); err == nil || !strings.Contains(err.Error(), "00000000000000ff.seg") {
			t.Errorf("a file of another store: %v", err)
		}
	})
}

// A store that a later program wrote is refused, and left as it is.
func TestNewerVersion(t *testing.T) {
	dir := t.TempDir()
	s := open(t, store.Dir(dir), store.Options{})
	put(t, s, "a", "1")
	closeStore(t, s)
	files := segmentFiles(t, dir)
	text, err := os.ReadFile(files[0])
	check(t, err)
	text[8]++
	const header = 100
	binary.LittleEndian.PutUint32(text[header-4:], crc32.Checksum(text[:header-4], crc32.MakeTable(crc32.Castagnoli)))
	check(t, os.WriteFile(files[0], text, 0o600))
	var newer *store.NewerVersionError
	if _, err := store.Open(store.Dir(dir), store.Options{}); !errors.As(err, &newer) || newer.Version != store.Version+1 {
		t.Errorf("%v", err)
	}
	if again := segmentFiles(t, dir); !slices.Equal(again, files) {
		t.Errorf("files changed: %v", again)
	}
}

// Reads that bring less than was asked for lose nothing.
func TestShortReads(t *testing.T) {
	o := smallSegments
	o.Clock = newClock().now
	d, x := disk.New(), &script{}
	check(t, x.play(d, o, 60))
	d.SetShortReads(true)
	s := open(t, d, o)
	x.checkContent(t, s, len(x.acks), "short reads")
	closeStore(t, s)
}
