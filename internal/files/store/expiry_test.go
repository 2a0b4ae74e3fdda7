package store_test

import (
	"fmt"
	"testing"
	"time"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// The wall clock set back or forward makes no record expire early; a machine that was off lets them age.
func TestClockSet(t *testing.T) {
	for _, c := range []struct {
		name     string
		wall, up time.Duration // that pass while the store is closed
		reboots  bool
		left     time.Duration // of a minute; 0 for none
	}{
		{"nothing", 0, 0, false, time.Minute},
		{"set back", -24 * time.Hour, time.Second, false, 59 * time.Second},
		{"set forward", 24 * time.Hour, time.Second, false, 59 * time.Second},
		{"restarted", 10 * time.Second, 0, true, 50 * time.Second},
		{"restarted and set back", -time.Hour, 0, true, time.Minute},
		{"off for long", time.Hour, 0, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := newClock()
			d := disk.New()
			s := open(t, d, store.Options{Clock: clock.now})
			check(t, s.Put([]byte("k"), nil, time.Minute))
			closeStore(t, s)
			clock.wall.Add(c.wall.Milliseconds())
			clock.up.Add(c.up.Milliseconds())
			if c.reboots {
				clock.boot.Add(1)
				clock.up.Store(5)
			}
			s = open(t, d, store.Options{Clock: clock.now})
			if _, left, ok, err := s.Get([]byte("k")); ok != (c.left > 0) || left != c.left || err != nil {
				t.Errorf("%v left, %v, %v", left, ok, err)
			}
			clock.wall.Add(-48 * time.Hour.Milliseconds()) // while it is open it counts for nothing
			if _, left, _, _ := s.Get([]byte("k")); left != c.left {
				t.Errorf("set back: %v left", left)
			}
			closeStore(t, s)
		})
	}
}

// Records that have expired cost no file, no place in the index and, at open, no reading.
func TestExpired(t *testing.T) {
	c := newClock()
	o := store.Options{Clock: c.now, SegmentBytes: 2000, MaxBytes: 20_000, MaxRecords: 400}
	d := disk.New()
	s := open(t, d, o)
	for i := range 5000 {
		if err := s.Put(fmt.Append(nil, "k", i), make([]byte, 20), time.Second); err != nil {
			t.Fatal(i, err)
		}
		c.pass(3 * time.Millisecond)
	}
	if n, size := s.Len(), s.Size(); n > 340 || size > 40_000+3*2000 {
		t.Errorf("%d records, %d bytes", n, size)
	}
	closeStore(t, s)
	c.pass(time.Minute)
	s = open(t, d, o)
	put(t, s, "a", "1")
	if n, files := s.Len(), d.Files(); n != 1 || len(files) > 2 {
		t.Errorf("%d records in %v", n, files)
	}
	closeStore(t, s)
}

// A record that has expired goes on hiding the one that it superseded in another segment, also where nothing else in its own
// segment is live.
func TestExpiredRecordHidesOlder(t *testing.T) {
	c := newClock()
	o := store.Options{Clock: c.now}
	d := disk.New()
	s := open(t, d, o)
	check(t, s.Put([]byte("k"), []byte("older"), time.Hour))
	put(t, s, "other", "keeps the first segment")
	closeStore(t, s) // which seals the segment
	s = open(t, d, o)
	check(t, s.Put([]byte("k"), []byte("newer"), time.Second))
	closeStore(t, s)
	c.pass(10 * time.Second)
	s = open(t, d, o)
	if got := content(t, s); len(got) != 1 || got["k"] != "" {
		t.Errorf("%v", got)
	}
	closeStore(t, s)
}

// A key that is written again and again takes no more room than once.
func TestOneKeyForEver(t *testing.T) {
	c := newClock()
	d := disk.New()
	s := open(t, d, store.Options{Clock: c.now, SegmentBytes: 1000, MaxBytes: 10_000})
	for i := range 3000 {
		check(t, s.Put([]byte("list"), fmt.Append(nil, i), time.Hour))
	}
	closeStore(t, s)
	s = open(t, d, store.Options{Clock: c.now})
	if got := content(t, s); got["list"] != "2999" || s.Size() > 5000 {
		t.Errorf("%v, %d bytes", got, s.Size())
	}
	closeStore(t, s)
}
