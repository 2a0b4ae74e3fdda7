package store

import (
	"bytes"
	"flag"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quincegap/internal/golden"
)

// The files below testdata/golden/recorded were written by the version of the program before the packages were renamed.

// The header and each kind of frame have the same encoding as in the earlier version.
func TestGoldenRecordedFormat(t *testing.T) {
	t.Run("header", func(t *testing.T) {
		checkGoldenHeader(t, "recorded/header.hex", &header{
			version:    1,
			storeID:    0x0102030405060708,
			id:         9,
			firstSeq:   40,
			durableSeq: 39,
			failedSeqs: seqRange{11, 12},
			previousID: 8,
			timestamp:  Timestamp{BootID: 0x1112131415161718, UptimeMillis: 123_456},
			storeTime:  1_800_000_123_456,
			replaces:   []uint64{3, 5, 7},
		})
	})
	for _, test := range []struct {
		name string
		frame
	}{
		{"put", frame{kind: kindPut, seq: 41, expiresAt: 1_800_000_999_000, key: []byte("key"), value: []byte("value")}},
		{"put-forever", frame{kind: kindPut, seq: 42, expiresAt: never, key: []byte("key"), value: []byte{}}},
		{"put-batch", frame{kind: kindPut, moreInBatch: true, seq: 43, expiresAt: never, key: []byte("key"), value: []byte("v")}},
		{"delete", frame{kind: kindDelete, seq: 44, key: []byte("key"), value: []byte{}}},
		{"group", frame{kind: kindGroup, seq: 45, durableSeq: 44, storeTime: 1_800_000_123_500}},
		{"seal", frame{kind: kindSeal, seq: 46, expiresAt: 1_800_000_999_001, supersededExpiresAt: 1_800_000_999_002, records: 5}},
	} {
		t.Run(test.name, func(t *testing.T) { checkGoldenFrame(t, "recorded/frame-"+test.name+".hex", test.frame) })
	}
}

// The file names and the limits are the same as in the earlier version.
func TestGoldenRecordedNames(t *testing.T) {
	for got, want := range map[string]string{
		magic:             "QGSTORE\n",
		segmentName(0x1f): "000000000000001f.seg",
		lockName:          "lock",
		segmentSuffix:     ".seg",
		temporarySuffix:   ".tmp",
		damagedSuffix:     ".damaged",
	} {
		if got != want {
			t.Errorf("name in the format: got %q, want %q as in the earlier version", got, want)
		}
	}
	if Version != 1 || MaxKeyBytes != 1024 || MaxValueBytes != 1<<20 {
		t.Errorf("format version %d, keys of up to %d bytes, values of up to %d; want 1, 1024 and 1048576", Version, MaxKeyBytes, MaxValueBytes)
	}
}

// recordedDir is the golden directory with the segments of a closed store, each encoded in hexadecimal.
const recordedDir = "recorded/folder"

// recordedClock is the clock with which the recorded store was written.
func recordedClock() Timestamp {
	return Timestamp{WallMillis: 1_800_000_000_000, BootID: 7, UptimeMillis: 1_000_000}
}

// recordedValues has the value and the time left of each record in the recorded store by key. The time left is negative for a record
// that never expires.
var recordedValues = map[string]string{
	"a":     "third, -1ns",
	"c":     "of a batch, 1m0s",
	"empty": ", -1ns",
	"long":  strings.Repeat("x", 300) + ", -1ns",
	"short": "for an hour, 1h0m0s",
}

// writeRecordedDir writes the golden files of the recorded store.
func writeRecordedDir(t *testing.T) {
	t.Helper()
	dir := Dir(t.TempDir())
	kv, err := Open(dir, Options{SegmentBytes: 400, Clock: recordedClock})
	if err != nil {
		t.Fatal(err)
	}
	var batch Batch
	batch.Put([]byte("c"), []byte("of a batch"), time.Minute)
	batch.Put([]byte("empty"), nil, 0)
	for _, err := range []error{
		kv.Put([]byte("a"), []byte("first"), 0),
		kv.Put([]byte("b"), []byte("second"), 0),
		kv.Put([]byte("a"), []byte("third"), 0),
		kv.Put([]byte("long"), bytes.Repeat([]byte("x"), 300), 0),
		kv.Put([]byte("short"), []byte("for an hour"), time.Hour),
		kv.Delete([]byte("b")),
		kv.ApplyAndWait(batch),
		kv.Close(),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	names, err := dir.List()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(filepath.Join("testdata", "golden", recordedDir)); err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) {
			data, err := os.ReadFile(dir.path(name))
			if err != nil {
				t.Fatal(err)
			}
			golden.Hex(t, recordedDir+"/"+name+".hex", data)
		}
	}
}

// A store that the earlier version has written can be read completely, and encoding its frames again gives the same bytes.
func TestGoldenRecordedFolder(t *testing.T) {
	if flag.Lookup("update-golden").Value.String() == "true" {
		writeRecordedDir(t) // the store ID is random, so that each update writes different bytes
	}
	files, err := filepath.Glob(filepath.Join("testdata", "golden", recordedDir, "*.hex"))
	if err != nil || len(files) < 2 {
		t.Fatalf("golden files of the recorded store: got %d files and error %v, want at least 2 files", len(files), err)
	}
	dir := Dir(t.TempDir())
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".hex")
		data := golden.Read(t, recordedDir+"/"+filepath.Base(file))
		if err := os.WriteFile(dir.path(name), data, 0o600); err != nil {
			t.Fatal(err)
		}
		checkRecordedEncoding(t, name, data)
	}
	checkRecordedReport(t, dir, len(files))
	checkRecordedContent(t, dir)
}

// checkRecordedEncoding decodes the header and the frames of a segment, encodes them again and checks that the bytes are the same.
func checkRecordedEncoding(t *testing.T, name string, data []byte) {
	t.Helper()
	h, err := decodeHeader(name, data)
	if err != nil {
		t.Fatal(err)
	}
	encoded := h.encode()
	for rest := data[h.size():]; len(rest) > 0; {
		f, ok := decodeFrame(rest)
		if !ok {
			t.Fatalf("%s: no valid frame at byte %d", name, len(data)-len(rest))
		}
		encoded = appendFrame(encoded, &f)
		rest = rest[f.size:]
	}
	if !bytes.Equal(encoded, data) {
		t.Errorf("%s: encoded again as %x, want the same bytes as in the golden file", name, encoded)
	}
}

// checkRecordedReport checks the records and the report of an inspection.
func checkRecordedReport(t *testing.T, dir Dir, segments int) {
	t.Helper()
	inspected := map[string]string{}
	report, err := Inspect(dir, recordedClock, func(r Record) error {
		inspected[string(r.Key)] = string(r.Value) + ", " + r.TimeLeft.String()
		return nil
	})
	if err != nil || !maps.Equal(inspected, recordedValues) {
		t.Fatalf("Inspect: got records %v and error %v, want records %v", inspected, err, recordedValues)
	}
	if report.LiveRecords != len(recordedValues) || report.TornBytes != 0 || len(report.Damage) != 0 || len(report.Segments) != segments {
		t.Errorf("Inspect: got report %+v, want %d live records in %d segments without damage", report, len(recordedValues), segments)
	}
}

// checkRecordedContent opens the store and checks its records.
func checkRecordedContent(t *testing.T, dir Dir) {
	t.Helper()
	kv, err := Open(dir, Options{Clock: recordedClock})
	if err != nil {
		t.Fatal(err)
	}
	opened := map[string]string{}
	if err := kv.Range(func(key, value []byte, left time.Duration) bool {
		if left < 0 {
			left = -1 // the record never expires, for which Inspect returns -1 and Range an undefined time
		}
		opened[string(key)] = string(value) + ", " + left.String()
		return true
	}); err != nil || !maps.Equal(opened, recordedValues) {
		t.Errorf("Open: got records %v and error %v, want records %v", opened, err, recordedValues)
	}
	if h := kv.Health(); h.Err != nil || h.TornBytes != 0 || len(h.Damage) != 0 {
		t.Errorf("Open: got Health %+v, want no error and no damage", h)
	}
	if err := kv.Close(); err != nil {
		t.Fatal(err)
	}
}
