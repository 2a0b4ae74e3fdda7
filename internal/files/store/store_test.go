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

func TestStore(t *testing.T) {
	dir := store.Dir(t.TempDir())
	c := newClock()
	s := open(t, dir, store.Options{Clock: c.now})
	put(t, s, "a", "1")
	put(t, s, "b", "2")
	put(t, s, "a", "3")
	check(t, s.Put([]byte("short"), []byte("x"), time.Second))
	check(t, s.Delete([]byte("b")))
	var b store.Batch
	b.Put([]byte("c"), []byte("4"), time.Minute)
	b.Put([]byte("empty"), nil, 0)
	check(t, s.ApplyAndWait(b))
	if _, left, ok, err := s.Get([]byte("c")); !ok || left != time.Minute || err != nil {
		t.Errorf("c: %v %v %v", left, ok, err)
	}
	want := map[string]string{"a": "3", "short": "x", "c": "4", "empty": ""}
	if got := content(t, s); !maps.Equal(got, want) {
		t.Errorf("%v", got)
	}
	if _, err := store.Open(dir, store.Options{}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("a second process: %v", err)
	}
	check(t, s.Close())
	if err := s.Put([]byte("a"), nil, 0); !errors.Is(err, store.ErrClosed) {
		t.Errorf("after the end: %v", err)
	}
	c.pass(1000 * time.Millisecond)
	delete(want, "short")
	s = open(t, dir, store.Options{Clock: c.now})
	defer closeStore(t, s)
	if got := content(t, s); !maps.Equal(got, want) || s.Len() != len(want) {
		t.Errorf("opened again: %v", got)
	}
	if h := s.Health(); h.Err != nil || h.TornBytes > 0 || len(h.Damage) > 0 {
		t.Errorf("%+v", h)
	}
	for _, c := range []struct {
		name string
		err  error
	}{
		{"no key", s.Put(nil, nil, 0)},
		{"long key", s.Put(make([]byte, store.MaxKeyBytes+1), nil, 0)},
		{"long value", s.Put([]byte("k"), make([]byte, store.MaxValueBytes+1), 0)},
	} {
		if !errors.Is(c.err, store.ErrRecordSize) {
			t.Errorf("%s: %v", c.name, c.err)
		}
	}
}

// A batch that nobody waits for goes with the next that somebody does, in one sync, or by itself after its time, or when
// the store is closed.
func TestIdleBatches(t *testing.T) {
	d := disk.New()
	o := store.Options{Clock: newClock().now}
	s := open(t, d, o)
	done := make(chan error, 1)
	apply := func(key string, maxDelay time.Duration) {
		var b store.Batch
		b.Put([]byte(key), []byte("v"), 0)
		b.SetMaxDelay(maxDelay)
		s.Apply(b, func(err error) { done <- err })
	}
	put(t, s, "first", "v")
	before := d.Operations()
	put(t, s, "alone", "v")
	each := d.Operations() - before // calls of the disk that a group takes
	before = d.Operations()
	apply("idle", time.Hour)
	if _, _, ok, _ := s.Get([]byte("idle")); ok || d.Operations() != before {
		t.Error("it did not wait")
	}
	put(t, s, "urgent", "v")
	if err := <-done; err != nil || d.Operations() != before+each {
		t.Errorf("%v; %d calls of the disk for both, %d for one", err, d.Operations()-before, each)
	}
	apply("timed", time.Millisecond)
	if err := <-done; err != nil {
		t.Error(err)
	}
	apply("last", time.Hour)
	check(t, s.Close())
	if err := <-done; err != nil {
		t.Error(err)
	}
	s = open(t, d.AfterCrash(), o)
	if got := content(t, s); len(got) != 6 {
		t.Errorf("%v", got)
	}
	closeStore(t, s)
}

// What would not fit is refused, and nothing is lost by it.
func TestBounds(t *testing.T) {
	o := store.Options{Clock: newClock().now, SegmentBytes: 1000, MaxBytes: 3000, MaxRecords: 20}
	s := open(t, disk.New(), o)
	full := 0
	for i := range 100 {
		if err := s.Put(fmt.Append(nil, "k", i), make([]byte, 10), 0); errors.Is(err, store.ErrFull) {
			full++
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if full != 80 || s.Len() != 20 {
		t.Errorf("%d were refused, %d are there", full, s.Len())
	}
	if err := s.Put([]byte("k0"), make([]byte, 2900), 0); !errors.Is(err, store.ErrFull) {
		t.Errorf("too many bytes: %v", err)
	}
	put(t, s, "k0", "shorter")
	if err := s.Delete([]byte("k1")); err != nil {
		t.Errorf("deleting always goes: %v", err)
	}
	put(t, s, "new", "in its place")
	closeStore(t, s)
}

// A disk that hangs holds nobody up but those who wait for it, and bounds what waits.
func TestBusy(t *testing.T) {
	d := &hanging{FS: disk.New(), release: make(chan struct{})}
	s := open(t, d, store.Options{MaxPendingBytes: 1000})
	d.hang.Store(true)
	var failed, done atomic.Int64
	var all sync.WaitGroup
	for i := range 100 {
		var b store.Batch
		b.Put(fmt.Append(nil, "k", i), make([]byte, 20), 0)
		all.Add(1)
		s.Apply(b, func(err error) {
			defer all.Done()
			done.Add(1)
			if errors.Is(err, store.ErrBusy) {
				failed.Add(1)
			}
		})
	}
	if n := failed.Load(); n < 50 || done.Load() != n {
		t.Errorf("%d of 100 were refused", n)
	}
	close(d.release)
	all.Wait()
	if n := s.Len() + int(failed.Load()); n != 100 {
		t.Errorf("%d were acknowledged or refused", n)
	}
	closeStore(t, s)
}

// hanging is a directory in which a sync of a file does not return until release is closed, once hang is set.
type hanging struct {
	store.FS
	hang    atomic.Bool
	release chan struct{}
}

type hangingFile struct {
	store.File
	dir *hanging
}

func (h *hanging) Create(name string) (store.File, error) {
	f, err := h.FS.Create(name)
	return hangingFile{f, h}, err
}

func (h hangingFile) Sync() error {
	if h.dir.hang.Load() {
		<-h.dir.release
	}
	return h.File.Sync()
}
