package store_test

import (
	"os"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// testClock is the clock of a machine. It advances only when a test calls advance or sets its fields.
type testClock struct{ wallMillis, uptimeMillis, bootID atomic.Int64 }

func newClock() *testClock {
	c := &testClock{}
	c.wallMillis.Store(1_800_000_000_000)
	c.uptimeMillis.Store(1_000_000)
	c.bootID.Store(7)
	return c
}

func (c *testClock) now() store.Timestamp {
	return store.Timestamp{
		WallMillis:   c.wallMillis.Load(),
		UptimeMillis: c.uptimeMillis.Load(),
		BootID:       uint64(c.bootID.Load()),
	}
}

// advance advances both clocks within one boot of the machine.
func (c *testClock) advance(elapsed time.Duration) {
	c.wallMillis.Add(elapsed.Milliseconds())
	c.uptimeMillis.Add(elapsed.Milliseconds())
}

// open opens a store. Unless the options have a clock, it uses one that does not advance.
func open(tb testing.TB, dir store.FS, options store.Options) *store.Store {
	tb.Helper()
	if options.Clock == nil {
		options.Clock = newClock().now
	}
	kv, err := store.Open(dir, options)
	if err != nil {
		tb.Fatal(err)
	}
	return kv
}

// closeStore closes a store on a disk that must not fail.
func closeStore(tb testing.TB, kv *store.Store) {
	tb.Helper()
	if err := kv.Close(); err != nil {
		tb.Fatal(err)
	}
}

// closeIgnoringError closes a store on a disk that may fail. It ignores the error, as tests check only acknowledged writes.
func closeIgnoringError(kv *store.Store) { _ = kv.Close() }

// tryOpen opens and closes a store on a disk that may lose power meanwhile.
func tryOpen(testDisk *disk.Disk, options store.Options) {
	if kv, err := store.Open(testDisk, options); err == nil {
		closeIgnoringError(kv)
	}
}

// readAll returns all records of a store.
func readAll(kv *store.Store) (map[string]string, error) {
	records := map[string]string{}
	err := kv.Range(func(key, value []byte, _ time.Duration) bool {
		records[string(key)] = string(value)
		return true
	})
	return records, err
}

// content returns all records of a store, and fails the test if one cannot be read.
func content(tb testing.TB, kv *store.Store) map[string]string {
	tb.Helper()
	records, err := readAll(kv)
	if err != nil {
		tb.Fatal(err)
	}
	return records
}

// put writes a record that does not expire.
func put(tb testing.TB, kv *store.Store, key, value string) {
	tb.Helper()
	if err := kv.Put([]byte(key), []byte(value), 0); err != nil {
		tb.Fatal(err)
	}
}

// check ends the test if a required step has failed.
func check(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// seeds returns the number of random seeds for a test: a few in make test, many in make soak.
func seeds() int {
	if os.Getenv("SOAK") != "" {
		return 300
	}
	return 20
}
