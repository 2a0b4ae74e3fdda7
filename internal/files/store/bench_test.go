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

// writtenBytes returns the number of bytes that this process has caused to be written to disks.
func writtenBytes(b *testing.B) float64 {
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

// heapBytes runs a garbage collection, and returns the size of the heap in bytes.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// Sizes of each record, and the duration of a write benchmark.
const (
	benchKeyBytes   = 17
	benchValueBytes = 60
	benchDuration   = 2 * time.Second
)

// writeConcurrently writes records for benchDuration. Each writer waits until its record is durable before it writes the next one.
func writeConcurrently(b *testing.B, writers int, put func(key, value []byte) error) {
	b.Helper()
	var running sync.WaitGroup
	var writes atomic.Int64
	before, end := writtenBytes(b), time.Now().Add(benchDuration)
	for w := range writers {
		running.Go(func() {
			value := make([]byte, benchValueBytes)
			for i := 0; time.Now().Before(end); i++ {
				if err := put(fmt.Appendf(nil, "%0*d", benchKeyBytes, i*writers+w), value); err != nil {
					b.Error(err)
					return
				}
				writes.Add(1)
			}
		})
	}
	running.Wait()
	b.ReportMetric(float64(writes.Load())/benchDuration.Seconds(), "writes/s")
	b.ReportMetric((writtenBytes(b)-before)/float64(writes.Load()*(benchKeyBytes+benchValueBytes)), "bytes/byte")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkDurable measures concurrent durable writes, with group commit and with one record per sync. STORE_DIR is a directory on the
// disk to measure.
func BenchmarkDurable(b *testing.B) {
	for _, writers := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("store/%d", writers), func(b *testing.B) {
			kv := openBench(b)
			defer closeStore(b, kv)
			writeConcurrently(b, writers, func(key, value []byte) error { return kv.Put(key, value, 16*time.Second) })
		})
		// The baseline has no group commit: a mutex makes the writers take turns, with one record per sync.
		b.Run(fmt.Sprintf("one a sync/%d", writers), func(b *testing.B) {
			kv := openBench(b)
			defer closeStore(b, kv)
			var turn sync.Mutex
			writeConcurrently(b, writers, func(key, value []byte) error {
				turn.Lock()
				defer turn.Unlock()
				return kv.Put(key, value, 16*time.Second)
			})
		})
	}
}

// benchDir returns a temporary directory on the disk to measure.
func benchDir(b *testing.B) string {
	b.Helper()
	dir, err := os.MkdirTemp(os.Getenv("STORE_DIR"), "store-bench") //nolint:usetesting // b.TempDir can't be on a given disk
	check(b, err)
	b.Cleanup(func() { check(b, os.RemoveAll(dir)) })
	return dir
}

// openBench opens an empty store on the disk to measure.
func openBench(b *testing.B) *store.Store {
	b.Helper()
	kv, err := store.Open(store.Dir(benchDir(b)), store.Options{MaxBytes: 1 << 30, MaxRecords: 1 << 24})
	check(b, err)
	return kv
}

// BenchmarkOpen measures the time and the memory for opening stores with many live or expired records. It runs only if STORE_OPEN is
// set.
func BenchmarkOpen(b *testing.B) {
	if os.Getenv("STORE_OPEN") == "" {
		b.Skip("STORE_OPEN is not set")
	}
	for _, test := range []struct {
		name      string
		records   int
		retention time.Duration
	}{
		{"live/1000000", 1_000_000, 0},
		{"live/10000000", 10_000_000, 0},
		{"expired/10000000", 10_000_000, time.Second},
	} {
		b.Run(test.name, func(b *testing.B) { benchmarkOpen(b, test.records, test.retention) })
	}
}

// benchmarkOpen measures opening a store with the given number of records.
func benchmarkOpen(b *testing.B, records int, retention time.Duration) {
	b.Helper()
	dir := store.Dir(benchDir(b))
	clock := newClock()
	options := store.Options{MaxBytes: 4 << 30, MaxRecords: 1 << 24, MaxPendingBytes: 64 << 20, Clock: clock.now}
	kv := open(b, dir, options)
	fillBench(b, kv, records, retention)
	closeStore(b, kv)
	clock.advance(time.Minute)
	before := heapBytes()
	began := time.Now()
	kv = open(b, dir, options)
	took := time.Since(began)
	b.ReportMetric(float64(took.Milliseconds()), "ms")
	b.ReportMetric((heapBytes()-before)/float64(records), "bytes/record")
	b.ReportMetric(0, "ns/op")
	if n := kv.Len(); (retention == 0) != (n == records) {
		b.Errorf("the opened store has %d of %d records with retention %v, want all only with retention 0", n, records, retention)
	}
	closeStore(b, kv)
}

// fillBench writes records in batches of perBatch. After each maxPending records, it waits until they are durable.
func fillBench(b *testing.B, kv *store.Store, records int, retention time.Duration) {
	b.Helper()
	const perBatch, maxPending = 1000, 20_000
	var pending sync.WaitGroup
	for i := 0; i < records; i += perBatch {
		var batch store.Batch
		for j := i; j < i+perBatch; j++ {
			batch.Put(fmt.Appendf(nil, "%0*d", benchKeyBytes, j), make([]byte, benchValueBytes), retention)
		}
		pending.Add(1)
		kv.Apply(batch, func(err error) {
			defer pending.Done()
			if err != nil {
				b.Error(err)
			}
		})
		if i%maxPending == 0 {
			pending.Wait()
		}
	}
	pending.Wait()
}
