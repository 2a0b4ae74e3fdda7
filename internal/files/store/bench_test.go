package store_test

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/files/store"
)

// written is the bytes that this process has had written to disks.
func written(b *testing.B) float64 {
	b.Helper()
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Skip(err)
	}
	for line := range strings.Lines(string(text)) {
		if n, ok := strings.CutPrefix(line, "write_bytes: "); ok {
			x, _ := strconv.ParseFloat(strings.TrimSpace(n), 64)
			return x
		}
	}
	return 0
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

const (
	benchKey   = 17
	benchValue = 60
	benchTime  = 2 * time.Second
)

// hammer has writers put records, each waiting until its own is durable, for benchTime.
func hammer(b *testing.B, writers int, put func(key, value []byte) error) {
	b.Helper()
	var all sync.WaitGroup
	var n atomic.Int64
	before, end := written(b), time.Now().Add(benchTime)
	for w := range writers {
		all.Go(func() {
			value := make([]byte, benchValue)
			for i := 0; time.Now().Before(end); i++ {
				if err := put(fmt.Appendf(nil, "%0*d", benchKey, i*writers+w), value); err != nil {
					b.Error(err)
					return
				}
				n.Add(1)
			}
		})
	}
	all.Wait()
	b.ReportMetric(float64(n.Load())/benchTime.Seconds(), "writes/s")
	b.ReportMetric((written(b)-before)/float64(n.Load()*(benchKey+benchValue)), "bytes/byte")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkDurable is records made durable by writers who wait, with group commit and with one record a sync. STORE_DIR
// names a directory on the disk that is meant.
func BenchmarkDurable(b *testing.B) {
	for _, writers := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("store/%d", writers), func(b *testing.B) {
			s := openBench(b)
			defer closeStore(b, s)
			hammer(b, writers, func(key, value []byte) error { return s.Put(key, value, 16*time.Second) })
		})
		// The baseline: one record a sync, each writer in turn, as a store without group commit does it.
		b.Run(fmt.Sprintf("one a sync/%d", writers), func(b *testing.B) {
			s := openBench(b)
			defer closeStore(b, s)
			var turn sync.Mutex
			hammer(b, writers, func(key, value []byte) error {
				turn.Lock()
				defer turn.Unlock()
				return s.Put(key, value, 16*time.Second)
			})
		})
	}
}

func benchDir(b *testing.B) string {
	b.Helper()
	dir, err := os.MkdirTemp(os.Getenv("STORE_DIR"), "store-bench") //nolint:usetesting // b.TempDir can't be on a given disk
	check(b, err)
	b.Cleanup(func() { check(b, os.RemoveAll(dir)) })
	return dir
}

func openBench(b *testing.B) *store.Store {
	b.Helper()
	s, err := store.Open(store.Dir(benchDir(b)), store.Options{MaxBytes: 1 << 30, MaxRecords: 1 << 24})
	check(b, err)
	return s
}

// BenchmarkOpen is the time that opening takes, by how many records there are, live or expired.
func BenchmarkOpen(b *testing.B) {
	if os.Getenv("STORE_OPEN") == "" {
		b.Skip("STORE_OPEN is not set")
	}
	for _, c := range []struct {
		name      string
		records   int
		retention time.Duration
	}{
		{"live/1000000", 1_000_000, 0},
		{"live/10000000", 10_000_000, 0},
		{"expired/10000000", 10_000_000, time.Second},
	} {
		b.Run(c.name, func(b *testing.B) { benchmarkOpen(b, c.records, c.retention) })
	}
}

func benchmarkOpen(b *testing.B, records int, retention time.Duration) {
	b.Helper()
	dir := store.Dir(benchDir(b))
	c := newClock()
	o := store.Options{MaxBytes: 4 << 30, MaxRecords: 1 << 24, MaxPendingBytes: 64 << 20, Clock: c.now}
	s := open(b, dir, o)
	fillBench(b, s, records, retention)
	closeStore(b, s)
	c.pass(time.Minute)
	before := heap()
	began := time.Now()
	s = open(b, dir, o)
	took := time.Since(began)
	b.ReportMetric(float64(took.Milliseconds()), "ms")
	b.ReportMetric((heap()-before)/float64(records), "bytes/record")
	b.ReportMetric(0, "ns/op")
	if n := s.Len(); (retention == 0) != (n == records) {
		b.Errorf("%d records", n)
	}
	closeStore(b, s)
}

// fillBench writes records in batches of a thousand, and waits for them now and then.
func fillBench(b *testing.B, s *store.Store, records int, retention time.Duration) {
	b.Helper()
	const perBatch, perWait = 1000, 20_000
	var pending sync.WaitGroup
	for i := 0; i < records; i += perBatch {
		var batch store.Batch
		for j := i; j < i+perBatch; j++ {
			batch.Put(fmt.Appendf(nil, "%0*d", benchKey, j), make([]byte, benchValue), retention)
		}
		pending.Add(1)
		s.Apply(batch, func(err error) {
			defer pending.Done()
			if err != nil {
				b.Error(err)
			}
		})
		if i%perWait == 0 {
			pending.Wait()
		}
	}
	pending.Wait()
}
