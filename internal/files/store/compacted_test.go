package store_test

import (
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// filler fills a segment of smallSegments.
var filler = strings.Repeat("x", int(smallSegments.SegmentBytes))

// copyStore copies the files of a recorded store to a temporary directory.
func copyStore(t *testing.T, recorded string) store.FS {
	t.Helper()
	target := t.TempDir()
	check(t, os.CopyFS(target, os.DirFS(filepath.Join("testdata", recorded))))
	return store.Dir(target)
}

// Records are read from segments that the compaction of an earlier version has written, which marked the last record in them as
// continued by a record that was not live. If that version has opened the store, it did not see the records, and one of them was deleted
// since.
func TestRecordsOfEarlierCompactions(t *testing.T) {
	want := map[string]string{
		"whole-1": "a", "whole-2": "b", "first-lives": "c", "spoilt-1": "g", "spoilt-2": "h", "overwritten": "new", "after": "i",
	}
	for _, recorded := range []string{"closed", "reopened"} {
		dir := copyStore(t, filepath.Join("compacted-3b9c963", recorded))
		if recorded == "reopened" {
			delete(want, "spoilt-2")
		}
		for _, when := range []string{"first", "second"} {
			kv := open(t, dir, store.Options{SegmentBytes: 300})
			if got := content(t, kv); !maps.Equal(got, want) {
				t.Errorf("%s, %s start: the store has %v, want %v", recorded, when, got, want)
			}
			if health := kv.Health(); len(health.Damage) > 0 {
				t.Errorf("%s, %s start: Health reports damage %v, want none", recorded, when, health.Damage)
			}
			check(t, kv.Compact())
			closeStore(t, kv)
		}
	}
}

// A compaction of batches keeps the live records of each: the first or the last ones of a batch, all or none.
func TestCompactionOfBatches(t *testing.T) {
	testDisk := disk.New()
	kv := open(t, testDisk, smallSegments)
	apply := func(changes ...modelChange) {
		t.Helper()
		check(t, kv.ApplyAndWait(modelChanges(changes).batch()))
	}
	apply(modelChange{"dead-1", "1"}, modelChange{"dead-2", "2"})
	apply(modelChange{"first-dies", "3"}, modelChange{"last-lives", "4"})
	apply(modelChange{"first-lives", "5"}, modelChange{"last-dies", "6"})
	apply(modelChange{"dead-1", ""}, modelChange{"dead-2", ""}, modelChange{"first-dies", ""}, modelChange{"last-dies", ""})
	put(t, kv, "filler", filler)
	check(t, kv.Compact())
	closeStore(t, kv)
	kv = open(t, testDisk, smallSegments)
	defer closeStore(t, kv)
	want := map[string]string{"last-lives": "4", "first-lives": "5", "filler": filler}
	if got := content(t, kv); !maps.Equal(got, want) {
		t.Errorf("content after the compaction and a restart: got %v, want %v", got, want)
	}
}

// A missing segment is reported also if it followed a compacted one, and a segment that was compacted twice is not missing.
func TestMissingAfterCompactions(t *testing.T) {
	dir := store.Dir(t.TempDir())
	kv := open(t, dir, smallSegments)
	put(t, kv, "first", filler)
	check(t, kv.Compact())
	check(t, kv.Compact())
	put(t, kv, "second", filler)
	put(t, kv, "third", filler)
	closeStore(t, kv)
	kv = open(t, dir, smallSegments)
	if health := kv.Health(); len(health.Damage) > 0 {
		t.Errorf("after two compactions Health reports damage %v, want none", health.Damage)
	}
	closeStore(t, kv)
	report, err := store.Inspect(dir, newClock().now, nil)
	check(t, err)
	check(t, dir.Remove(report.Segments[1].File))
	kv = open(t, dir, smallSegments)
	defer closeStore(t, kv)
	if health := kv.Health(); len(health.Damage) != 1 || health.Damage[0].File != report.Segments[1].File {
		t.Errorf("Health reports damage %v, want that %s is missing", health.Damage, report.Segments[1].File)
	}
	if _, _, ok, err := kv.Get([]byte("third")); !ok || err != nil {
		t.Errorf("the record after the missing segment: found %v, error %v; want it found", ok, err)
	}
}
