package store_test

import (
	"os"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// testClock is a machine's clock that stands still unless a test moves it.
type testClock struct{ wall, up, boot atomic.Int64 }

func newClock() *testClock {
	c := &testClock{}
	c.wall.Store(1_800_000_000_000)
	c.up.Store(1_000_000)
	c.boot.Store(7)
	return c
}

func (c *testClock) now() store.Timestamp {
	return store.Timestamp{WallMillis: c.wall.Load(), UptimeMillis: c.up.Load(), BootID: uint64(c.boot.Load())}
}

func (c *testClock) pass(d time.Duration) {
	c.wall.Add(d.Milliseconds())
	c.up.Add(d.Milliseconds())
}

// open opens a store, with a clock that stands still unless the options have one.
func open(tb testing.TB, d store.FS, o store.Options) *store.Store {
	tb.Helper()
	if o.Clock == nil {
		o.Clock = newClock().now
	}
	s, err := store.Open(d, o)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// closeStore closes a store whose disk works.
func closeStore(tb testing.TB, s *store.Store) {
	tb.Helper()
	if err := s.Close(); err != nil {
		tb.Fatal(err)
	}
}

// closeAnyhow closes a store on a disk that may fail: what was acknowledged before is what counts.
func closeAnyhow(s *store.Store) { _ = s.Close() }

// tryOpen opens and closes a store on a disk that may lose power meanwhile.
func tryOpen(d *disk.Disk, o store.Options) {
	if s, err := store.Open(d, o); err == nil {
		closeAnyhow(s)
	}
}

// readAll returns all records of a store.
func readAll(s *store.Store) (map[string]string, error) {
	all := map[string]string{}
	err := s.Range(func(key, value []byte, _ time.Duration) bool {
		all[string(key)] = string(value)
		return true
	})
	return all, err
}

// content is readAll for a store whose disk works.
func content(tb testing.TB, s *store.Store) map[string]string {
	tb.Helper()
	all, err := readAll(s)
	if err != nil {
		tb.Fatal(err)
	}
	return all
}

func put(tb testing.TB, s *store.Store, key, value string) {
	tb.Helper()
	if err := s.Put([]byte(key), []byte(value), 0); err != nil {
		tb.Fatal(err)
	}
}

// check ends a test in which a step fails that has to work.
func check(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// courses is how many random courses are played: some in make test, many in make soak.
func courses() int {
	if os.Getenv("SOAK") != "" {
		return 300
	}
	return 20
}
