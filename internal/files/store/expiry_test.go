package store_test

import (
	"fmt"
	"testing"
	"time"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// No record expires early because the wall clock is set back or forward. The time in which the machine is off counts as age.
func TestClockSet(t *testing.T) {
	for _, test := range []struct {
		name     string
		wall, up time.Duration // how far the clocks advance while the store is closed
		reboots  bool          // whether the machine reboots while the store is closed
		left     time.Duration // expected time left of a retention of one minute; 0 if the record has expired
	}{
		{"nothing", 0, 0, false, time.Minute},
		{"set back", -24 * time.Hour, time.Second, false, 59 * time.Second},
		{"set forward", 24 * time.Hour, time.Second, false, 59 * time.Second},
		{"restarted", 10 * time.Second, 0, true, 50 * time.Second},
		{"restarted and set back", -time.Hour, 0, true, time.Minute},
		{"off for long", time.Hour, 0, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := newClock()
			testDisk := disk.New()
			kv := open(t, testDisk, store.Options{Clock: clock.now})
			check(t, kv.Put([]byte("k"), nil, time.Minute))
			closeStore(t, kv)
			clock.wallMillis.Add(test.wall.Milliseconds())
			clock.uptimeMillis.Add(test.up.Milliseconds())
			if test.reboots {
				clock.bootID.Add(1)
				clock.uptimeMillis.Store(5)
			}
			kv = open(t, testDisk, store.Options{Clock: clock.now})
			if _, left, ok, err := kv.Get([]byte("k")); ok != (test.left > 0) || left != test.left || err != nil {
				t.Errorf("Get returns %v left, ok %v, error %v; want %v left", left, ok, err, test.left)
			}
			clock.wallMillis.Add(-48 * time.Hour.Milliseconds()) // this has no effect while the store is open
			if _, left, _, _ := kv.Get([]byte("k")); left != test.left {
				t.Errorf("after setting the wall clock back: %v left, want %v", left, test.left)
			}
			closeStore(t, kv)
		})
	}
}

// Expired records take no space on the disk or in the index, and are discarded when the store is reopened.
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
		t.Errorf("the index has %d records and the disk %d bytes, want at most 340 records and 46000 bytes", n, size)
	}
	closeStore(t, kv)
	clock.advance(time.Minute)
	kv = open(t, testDisk, options)
	put(t, kv, "a", "1")
	if n, files := kv.Len(), testDisk.Files(); n != 1 || len(files) > 2 {
		t.Errorf("%d records in files %v after reopening, want 1 record in at most 2 files", n, files)
	}
	closeStore(t, kv)
}

// A record that was superseded by an expired record in another segment does not reappear, even if the segment of the expired record
// has no live record.
func TestExpiredRecordHidesOlder(t *testing.T) {
	clock := newClock()
	options := store.Options{Clock: clock.now}
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	check(t, kv.Put([]byte("k"), []byte("older"), time.Hour))
	put(t, kv, "other", "keeps the first segment")
	closeStore(t, kv) // closing seals the segment
	kv = open(t, testDisk, options)
	check(t, kv.Put([]byte("k"), []byte("newer"), time.Second))
	closeStore(t, kv)
	clock.advance(10 * time.Second)
	kv = open(t, testDisk, options)
	if got := content(t, kv); len(got) != 1 || got["k"] != "" {
		t.Errorf("content: got %v, want only the record in the first segment", got)
	}
	closeStore(t, kv)
}

// The records of a key that is overwritten many times take a bounded space on the disk.
func TestOverwrittenKeyTakesBoundedSpace(t *testing.T) {
	clock := newClock()
	testDisk := disk.New()
	kv := open(t, testDisk, store.Options{Clock: clock.now, SegmentBytes: 1000, MaxBytes: 10_000})
	for i := range 3000 {
		check(t, kv.Put([]byte("list"), fmt.Append(nil, i), time.Hour))
	}
	closeStore(t, kv)
	kv = open(t, testDisk, store.Options{Clock: clock.now})
	if got := content(t, kv); got["list"] != "2999" || kv.Size() > 5000 {
		t.Errorf("content %v in %d bytes, want list=2999 in at most 5000 bytes", got, kv.Size())
	}
	closeStore(t, kv)
}
