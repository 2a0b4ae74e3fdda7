package store_test

import (
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// Records are written, read, deleted and expired, and are the same after the store is reopened. Invalid records, a second Open and
// writes after Close are rejected.
func TestStore(t *testing.T) {
	dir := store.Dir(t.TempDir())
	clock := newClock()
	kv := open(t, dir, store.Options{Clock: clock.now})
	put(t, kv, "a", "1")
	put(t, kv, "b", "2")
	put(t, kv, "a", "3")
	check(t, kv.Put([]byte("short"), []byte("x"), time.Second))
	check(t, kv.Delete([]byte("b")))
	var b store.Batch
	b.Put([]byte("c"), []byte("4"), time.Minute)
	b.Put([]byte("empty"), nil, 0)
	check(t, kv.ApplyAndWait(b))
	if _, left, ok, err := kv.Get([]byte("c")); !ok || left != time.Minute || err != nil {
		t.Errorf("Get of c: %v left, ok %v, error %v; want 1m0s left", left, ok, err)
	}
	want := map[string]string{"a": "3", "short": "x", "c": "4", "empty": ""}
	if got := content(t, kv); !maps.Equal(got, want) {
		t.Errorf("content: got %v, want %v", got, want)
	}
	if _, err := store.Open(dir, store.Options{}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("open the store a second time: got error %v, want ErrLocked", err)
	}
	check(t, kv.Close())
	if err := kv.Put([]byte("a"), nil, 0); !errors.Is(err, store.ErrClosed) {
		t.Errorf("write after Close: got error %v, want ErrClosed", err)
	}
	clock.advance(1000 * time.Millisecond)
	delete(want, "short")
	kv = open(t, dir, store.Options{Clock: clock.now})
	defer closeStore(t, kv)
	if got := content(t, kv); !maps.Equal(got, want) || kv.Len() != len(want) {
		t.Errorf("content after reopening: got %v, want %v", got, want)
	}
	if h := kv.Health(); h.Err != nil || h.TornBytes > 0 || len(h.Damage) > 0 {
		t.Errorf("Health after reopening: got %+v, want no error and no damage", h)
	}
	for _, test := range []struct {
		name string
		err  error
	}{
		{"no key", kv.Put(nil, nil, 0)},
		{"long key", kv.Put(make([]byte, store.MaxKeyBytes+1), nil, 0)},
		{"long value", kv.Put([]byte("k"), make([]byte, store.MaxValueBytes+1), 0)},
	} {
		if !errors.Is(test.err, store.ErrRecordSize) {
			t.Errorf("write with %s: got error %v, want ErrRecordSize", test.name, test.err)
		}
	}
}

// A delayed batch is written in one sync with the next batch without a delay, or by itself after its delay, or when the store is
// closed.
func TestDelayedBatches(t *testing.T) {
	testDisk := disk.New()
	options := store.Options{Clock: newClock().now}
	kv := open(t, testDisk, options)
	done := make(chan error, 1)
	apply := func(key string, maxDelay time.Duration) {
		var b store.Batch
		b.Put([]byte(key), []byte("v"), 0)
		b.SetMaxDelay(maxDelay)
		kv.Apply(b, func(err error) { done <- err })
	}
	put(t, kv, "first", "v")
	before := testDisk.Operations()
	put(t, kv, "alone", "v")
	perGroup := testDisk.Operations() - before // number of disk operations for one group
	before = testDisk.Operations()
	apply("idle", time.Hour)
	if _, _, ok, _ := kv.Get([]byte("idle")); ok || testDisk.Operations() != before {
		t.Error("the batch was written before the end of its delay")
	}
	put(t, kv, "urgent", "v")
	if err := <-done; err != nil || testDisk.Operations() != before+perGroup {
		t.Errorf("delayed batch: error %v; %d disk operations for both batches, want %d", err, testDisk.Operations()-before, perGroup)
	}
	apply("timed", time.Millisecond)
	if err := <-done; err != nil {
		t.Error(err)
	}
	apply("last", time.Hour)
	check(t, kv.Close())
	if err := <-done; err != nil {
		t.Error(err)
	}
	kv = open(t, testDisk.AfterCrash(), options)
	if got := content(t, kv); len(got) != 6 {
		t.Errorf("content after a crash: got %v, want 6 records", got)
	}
	closeStore(t, kv)
}

// A write that would exceed MaxRecords or MaxBytes is rejected, and changes nothing.
func TestBounds(t *testing.T) {
	options := store.Options{Clock: newClock().now, SegmentBytes: 1000, MaxBytes: 3000, MaxRecords: 20}
	kv := open(t, disk.New(), options)
	full := 0
	for i := range 100 {
		if err := kv.Put(fmt.Append(nil, "k", i), make([]byte, 10), 0); errors.Is(err, store.ErrFull) {
			full++
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if full != 80 || kv.Len() != 20 {
		t.Errorf("%d writes were rejected and %d records are stored, want 80 and 20", full, kv.Len())
	}
	if err := kv.Put([]byte("k0"), make([]byte, 2900), 0); !errors.Is(err, store.ErrFull) {
		t.Errorf("write above MaxBytes: got error %v, want ErrFull", err)
	}
	put(t, kv, "k0", "shorter")
	if err := kv.Delete([]byte("k1")); err != nil {
		t.Errorf("delete from a full store: %v", err)
	}
	put(t, kv, "new", "in its place")
	closeStore(t, kv)
}

// While the disk hangs, Apply does not block, and rejects batches above MaxPendingBytes.
func TestBusy(t *testing.T) {
	testDisk := &hangingFS{FS: disk.New(), release: make(chan struct{})}
	kv := open(t, testDisk, store.Options{MaxPendingBytes: 1000})
	testDisk.hang.Store(true)
	var rejected, done atomic.Int64
	var pending sync.WaitGroup
	for i := range 100 {
		var b store.Batch
		b.Put(fmt.Append(nil, "k", i), make([]byte, 20), 0)
		pending.Add(1)
		kv.Apply(b, func(err error) {
			defer pending.Done()
			done.Add(1)
			if errors.Is(err, store.ErrBusy) {
				rejected.Add(1)
			}
		})
	}
	if n := rejected.Load(); n < 50 || done.Load() != n {
		t.Errorf("%d of 100 batches were rejected and %d are done, want at least 50 rejected and no others done", n, done.Load())
	}
	close(testDisk.release)
	pending.Wait()
	if n := kv.Len() + int(rejected.Load()); n != 100 {
		t.Errorf("%d batches were acknowledged or rejected, want 100", n)
	}
	closeStore(t, kv)
}

// hangingFS is a directory in which file syncs that begin while hang is set block until release is closed.
type hangingFS struct {
	store.FS
	hang    atomic.Bool
	release chan struct{}
}

// hangingFile is a file in a hangingFS.
type hangingFile struct {
	store.File
	dir *hangingFS
}

func (h *hangingFS) Create(name string) (store.File, error) {
	f, err := h.FS.Create(name)
	return hangingFile{f, h}, err
}

func (h hangingFile) Sync() error {
	if h.dir.hang.Load() {
		<-h.dir.release
	}
	return h.File.Sync()
}
