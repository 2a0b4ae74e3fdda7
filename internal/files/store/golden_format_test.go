package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"quincegap/internal/golden"
)

// goldenTimestamp is the clock reading with which the golden files were written.
var goldenTimestamp = Timestamp{WallMillis: 1_800_000_000_000, BootID: 0x1122334455667788, UptimeMillis: 1_000_000}

func goldenClock() Timestamp { return goldenTimestamp }

// checkGoldenHeader checks that a header is encoded to the content of a golden file, and that the file is decoded to the header.
func checkGoldenHeader(t *testing.T, file string, want *header) {
	t.Helper()
	golden.Hex(t, file, want.encode())
	got, err := decodeHeader(file, golden.Read(t, file))
	if err != nil || !reflect.DeepEqual(got, *want) {
		t.Errorf("decoded as %+v, %v; want %+v", got, err, *want)
	}
}

// checkGoldenFrame checks that a frame is encoded to the content of a golden file, and that the file is decoded to the frame.
func checkGoldenFrame(t *testing.T, file string, want frame) {
	t.Helper()
	golden.Hex(t, file, appendFrame(nil, &want))
	data := golden.Read(t, file)
	want.size = len(data)
	if got, ok := decodeFrame(data); !ok || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded as %+v, %v; want %+v", got, ok, want)
	}
}

// A header with all fields set has the recorded encoding.
func TestGoldenHeader(t *testing.T) {
	checkGoldenHeader(t, "header.hex", &header{
		version:    1,
		storeID:    0x0102030405060709,
		id:         0x2a,
		firstSeq:   1001,
		durableSeq: 1000,
		failedSeqs: seqRange{900, 950},
		previousID: 0x29,
		timestamp:  Timestamp{BootID: 0x1122334455667788, UptimeMillis: 123_456},
		storeTime:  1_800_000_000_123,
		replaces:   []uint64{7, 8, 9},
	})
}

// A frame of each kind, with all of its fields set, has the recorded encoding.
func TestGoldenFrames(t *testing.T) {
	for _, test := range []struct {
		name string
		frame
	}{
		{"put", frame{kind: kindPut, seq: 1001, expiresAt: 1_800_000_060_000, key: []byte("key"), value: []byte("value")}},
		{"put-forever", frame{kind: kindPut, seq: 1002, expiresAt: never, key: []byte("key"), value: []byte{}}},
		{"put-more", frame{kind: kindPut, moreInBatch: true, seq: 1003, expiresAt: 5, key: []byte("k"), value: []byte("v")}},
		{"delete", frame{kind: kindDelete, seq: 1004, key: []byte("key"), value: []byte{}}},
		{"delete-more", frame{kind: kindDelete, moreInBatch: true, seq: 1005, key: []byte("key"), value: []byte{}}},
		{"group", frame{kind: kindGroup, seq: 1006, durableSeq: 1005, storeTime: 1_800_000_000_456}},
		{"seal", frame{kind: kindSeal, seq: 1006, expiresAt: 1_800_000_060_000, supersededExpiresAt: 1_800_000_070_000, records: 6}},
	} {
		t.Run(test.name, func(t *testing.T) { checkGoldenFrame(t, "frame-"+test.name+".hex", test.frame) })
	}
}

// The names and numbers in the on-disk format do not change.
func TestGoldenNames(t *testing.T) {
	for _, test := range []struct {
		name      string
		got, want any
	}{
		{"format", Version, 1},
		{"magic", magic, "QGSTORE\n"},
		{"lock", lockName, "lock"},
		{"segment", segmentName(0x1f), "000000000000001f.seg"},
		{"unfinished", temporarySuffix, ".tmp"},
		{"damaged", damagedSuffix, ".damaged"},
		{"put", byte(kindPut), byte(1)},
		{"delete", byte(kindDelete), byte(2)},
		{"group", byte(kindGroup), byte(3)},
		{"seal", byte(kindSeal), byte(4)},
		{"more", byte(moreFlag), byte(0x80)},
		{"key bytes", MaxKeyBytes, 1024},
		{"value bytes", MaxValueBytes, 1048576},
		{"segments replaced", maxReplaced, 65536},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.got != test.want {
				t.Errorf("%s: got %v, want %v", test.name, test.got, test.want)
			}
		})
	}
}

// The messages of errors and of damage, which operators see, do not change.
func TestGoldenTexts(t *testing.T) {
	var text bytes.Buffer
	for _, line := range []fmt.Stringer{
		Damage{File: "000000000000001f.seg", From: 100, To: 250, FirstSeq: 5, LastSeq: 7, Reason: "unreadable, and was durable"},
		Damage{File: "000000000000001f.seg", Reason: "the file is missing"},
	} {
		fmt.Fprintln(&text, line)
	}
	fmt.Fprintln(&text, &NewerVersionError{File: "000000000000001f.seg", Version: 2})
	for _, err := range []error{ErrClosed, ErrFull, ErrBusy, ErrRecordSize, ErrLocked} {
		fmt.Fprintln(&text, err)
	}
	golden.Text(t, "texts.txt", text.Bytes())
}

// A report has the JSON encoding that `quincegapctl store verify --json` prints. Programs read it by the names of its fields.
func TestGoldenReport(t *testing.T) {
	want := Report{
		Segments: []Segment{{
			File: "000000000000001f.seg", Bytes: 4096, FirstSeq: 5, LastSeq: 9, Records: 4, Replaces: 2, Sealed: true,
		}},
		LiveRecords: 3,
		TornBytes:   17,
		Damage: []Damage{{
			File: "000000000000001f.seg", From: 100, To: 250, FirstSeq: 5, LastSeq: 7, Reason: "unreadable, and was durable",
		}},
		Leftovers: []string{"0000000000000020.tmp"},
		InUse:     true,
	}
	text, err := json.MarshalIndent(want, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "report.json", text)
	if text, err = os.ReadFile("testdata/golden/report.json"); err != nil {
		t.Fatal(err)
	}
	var got Report
	if err := json.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded as %+v, %v; want %+v", got, err, want)
	}
}

// newGoldenStore makes some changes to a store with a fixed ID, optionally compacts it, and returns its directory.
func newGoldenStore(t *testing.T, compact bool) string {
	t.Helper()
	dir := t.TempDir()
	// The ID of a new store is random, but a store with a segment uses the ID in the header of that segment.
	first := header{storeID: 0x0102030405060709, id: 1, firstSeq: 1, timestamp: goldenTimestamp, storeTime: 1_800_000_000_000}
	if err := os.WriteFile(filepath.Join(dir, segmentName(1)), first.encode(), 0o600); err != nil {
		t.Fatal(err)
	}
	kv, err := Open(Dir(dir), Options{Clock: goldenClock})
	if err != nil {
		t.Fatal(err)
	}
	if err := kv.Put([]byte("a"), []byte("1"), 0); err != nil {
		t.Fatal(err)
	}
	if err := kv.Put([]byte("b"), []byte("2"), time.Minute); err != nil {
		t.Fatal(err)
	}
	var b Batch
	b.Put([]byte("a"), []byte("3"), time.Hour)
	b.Delete([]byte("b"))
	b.Put([]byte("c"), []byte("4"), 0)
	if err := kv.ApplyAndWait(b); err != nil {
		t.Fatal(err)
	}
	if err := kv.Close(); err != nil {
		t.Fatal(err)
	}
	if !compact {
		return dir
	}
	if kv, err = Open(Dir(dir), Options{Clock: goldenClock}); err != nil {
		t.Fatal(err)
	}
	if err := kv.Compact(); err != nil {
		t.Fatal(err)
	}
	if err := kv.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

// The files of a store have the recorded content, both as written and after a compaction. Open and Inspect read the golden files.
func TestGoldenFolder(t *testing.T) {
	for _, test := range []struct {
		name    string
		compact bool
	}{{"written", false}, {"compacted", true}} {
		t.Run(test.name, func(t *testing.T) {
			dir := newGoldenStore(t, test.compact)
			paths, err := filepath.Glob(filepath.Join(dir, "*"))
			if err != nil {
				t.Fatal(err)
			}
			var names bytes.Buffer
			copied := t.TempDir()
			for _, path := range paths {
				name := filepath.Base(path)
				fmt.Fprintln(&names, name)
				data, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				golden.Hex(t, test.name+"/"+name+".hex", data)
				if err := os.WriteFile(filepath.Join(copied, name), golden.Read(t, test.name+"/"+name+".hex"), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			golden.Text(t, test.name+"/files.txt", names.Bytes())
			checkInspection(t, test.name, Dir(copied))
			checkContent(t, Dir(copied))
		})
	}
}

// checkInspection compares the result of Inspect with a golden file.
func checkInspection(t *testing.T, name string, dir Dir) {
	t.Helper()
	var text bytes.Buffer
	report, err := Inspect(dir, goldenClock, func(r Record) error {
		fmt.Fprintf(&text, "%d %s=%s %s %v\n", r.Seq, r.Key, r.Value, r.File, r.TimeLeft)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(
		&text, "%d live, %d torn, damage %v, leftover %v, in use %v\n",
		report.LiveRecords, report.TornBytes, report.Damage, report.Leftovers, report.InUse,
	)
	for _, seg := range report.Segments {
		fmt.Fprintln(&text, seg.File, seg.Bytes, seg.FirstSeq, seg.LastSeq, seg.Records, seg.Replaces, seg.Sealed)
	}
	golden.Text(t, name+"/look.txt", text.Bytes())
}

// checkContent opens the store and checks its records.
func checkContent(t *testing.T, dir Dir) {
	t.Helper()
	kv, err := Open(dir, Options{Clock: goldenClock})
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	if err := kv.Range(func(key, value []byte, left time.Duration) bool {
		got[string(key)] = string(value)
		if string(key) == "a" && left != time.Hour {
			t.Errorf("a expires after %v, want 1h0m0s", left)
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
	if want := map[string]string{"a": "3", "c": "4"}; !maps.Equal(got, want) {
		t.Errorf("keys %v: got records %v, want %v", slices.Sorted(maps.Keys(got)), got, want)
	}
	if err := kv.Close(); err != nil {
		t.Fatal(err)
	}
}
