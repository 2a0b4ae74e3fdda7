package store_test

import (
	"fmt"
	"testing"
	"time"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// Setting the wall clock back or forward makes no record expire early. Records age while the machine is off.
func TestClockSet(t *testing.T) {
	for _, c := range []struct {
		name     string
		wall, up time.Duration // by which the clocks advance while the store is closed
		reboots  bool
		left     time.Duration // of a retention of a minute; 0 if the record has expired
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
			testDisk := disk.New()
			kv := open(t, testDisk, store.Options{Clock: clock.now})
			check(t, kv.Put([]byte("k"), nil, time.Minute))
			closeStore(t, kv)
			clock.wallMillis.Add(c.wall.Milliseconds())
			clock.uptimeMillis.Add(c.up.Milliseconds())
			if c.reboots {
				clock.bootID.Add(1)
				clock.uptimeMillis.Store(5)
			}
			kv = open(t, testDisk, store.Options{Clock: clock.now})
			if _, left, ok, err := kv.Get([]byte("k")); ok != (c.left > 0) || left != c.left || err != nil {
				t.Errorf("%v left, %v, %v", left, ok, err)
			}
			clock.wallMillis.Add(-48 * time.Hour.Milliseconds()) // has no effect while the store is open
			if _, left, _, _ := kv.Get([]byte("k")); left != c.left {
				t.Errorf("set back: %v left", left)
			}
			closeStore(t, kv)
		})
	}
}

// Expired records take no space on the disk or in the index, and are not read when the store is opened.
func TestExpired(t *testing.T) {
	clock := newClock()
	options := store.Options{Clock: clock.now, SegmentBytes: 2000, MaxBytes: 20_000, MaxRecords: 400}
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	for i := range 5000 {
		if err := kv.Put(fmt.Append(nil, "k", i), make([]byte, 20), time.Second); err != nil {
			t.Fatal(i, err)
		}
		clock.advance(3 * time.Millisecond)
	}
	if n, size := kv.Len(), kv.Size(); n > 340 || size > 40_000+3*2000 {
		t.Errorf("%d records, %d bytes", n, size)
	}
	closeStore(t, kv)
	clock.advance(time.Minute)
	kv = open(t, testDisk, options)
	put(t, kv, "a", "1")
	if n, files := kv.Len(), testDisk.Files(); n != 1 || len(files) > 2 {
		t.Errorf("%d records in %v", n, files)
	}
	closeStore(t, kv)
}

// The record that an expired one has superseded in another segment does not return, even if nothing else in the segment of the
// expired one is live.
func TestExpiredRecordHidesOlder(t *testing.T) {
	clock := newClock()
	options := store.Options{Clock: clock.now}
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	check(t, kv.Put([]byte("k"), []byte("older"), time.Hour))
	put(t, kv, "other", "keeps the first segment")
	closeStore(t, kv) // seals the segment
	kv = open(t, testDisk, options)
	check(t, kv.Put([]byte("k"), []byte("newer"), time.Second))
	closeStore(t, kv)
	clock.advance(10 * time.Second)
	kv = open(t, testDisk, options)
	if got := content(t, kv); len(got) != 1 || got["k"] != "" {
		t.Errorf("%v", got)
	}
	closeStore(t, kv)
}

// A key that is written again and again takes a bounded space.
func TestOneKeyForEver(t *testing.T) {
	clock := newClock()
	testDisk := disk.New()
	kv := open(t, testDisk, store.Options{Clock: clock.now, SegmentBytes: 1000, MaxBytes: 10_000})
	for i := range 3000 {
		check(t, kv.Put([]byte("list"), fmt.Append(nil, i), time.Hour))
	}
	closeStore(t, kv)
	kv = open(t, testDisk, store.Options{Clock: clock.now})
	if got := content(t, kv); got["list"] != "2999" || kv.Size() > 5000 {
		t.Errorf("%v, %d bytes", got, kv.Size())
	}
	closeStore(t, kv)
}
