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

// writtenBytes returns how many bytes this process has had written to disks.
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

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

const (
	benchKey   = 17
	benchValue = 60
	benchTime  = 2 * time.Second
)

// writeConcurrently writes records for benchTime, by a number of writers that each wait until their record is durable.
func writeConcurrently(b *testing.B, writers int, put func(key, value []byte) error) {
	b.Helper()
	var running sync.WaitGroup
	var writes atomic.Int64
	before, end := writtenBytes(b), time.Now().Add(benchTime)
	for w := range writers {
		running.Go(func() {
			value := make([]byte, benchValue)
			for i := 0; time.Now().Before(end); i++ {
				if err := put(fmt.Appendf(nil, "%0*d", benchKey, i*writers+w), value); err != nil {
					b.Error(err)
					return
				}
				writes.Add(1)
			}
		})
	}
	running.Wait()
	b.ReportMetric(float64(writes.Load())/benchTime.Seconds(), "writes/s")
	b.ReportMetric((writtenBytes(b)-before)/float64(writes.Load()*(benchKey+benchValue)), "bytes/byte")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkDurable writes records by writers that wait until they are durable, with group commit and with one record a sync.
// STORE_DIR is a directory on the disk to measure.
func BenchmarkDurable(b *testing.B) {
	for _, writers := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("store/%d", writers), func(b *testing.B) {
			kv := openBench(b)
			defer closeStore(b, kv)
			writeConcurrently(b, writers, func(key, value []byte) error { return kv.Put(key, value, 16*time.Second) })
		})
		// The baseline is a store without group commit: the writers take turns, with one record a sync.
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

// BenchmarkOpen opens stores with many records, live or expired. It runs only if STORE_OPEN is set.
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
	options := store.Options{MaxBytes: 4 << 30, MaxRecords: 1 << 24, MaxPendingBytes: 64 << 20, Clock: c.now}
	kv := open(b, dir, options)
	fillBench(b, kv, records, retention)
	closeStore(b, kv)
	c.advance(time.Minute)
	before := heapBytes()
	began := time.Now()
	kv = open(b, dir, options)
	took := time.Since(began)
	b.ReportMetric(float64(took.Milliseconds()), "ms")
	b.ReportMetric((heapBytes()-before)/float64(records), "bytes/record")
	b.ReportMetric(0, "ns/op")
	if n := kv.Len(); (retention == 0) != (n == records) {
		b.Errorf("%d records", n)
	}
	closeStore(b, kv)
}

// fillBench writes records in batches of perBatch, and waits until they are durable after each perWait records.
func fillBench(b *testing.B, kv *store.Store, records int, retention time.Duration) {
	b.Helper()
	const perBatch, perWait = 1000, 20_000
	var pending sync.WaitGroup
	for i := 0; i < records; i += perBatch {
		var batch store.Batch
		for j := i; j < i+perBatch; j++ {
			batch.Put(fmt.Appendf(nil, "%0*d", benchKey, j), make([]byte, benchValue), retention)
		}
		pending.Add(1)
		kv.Apply(batch, func(err error) {
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
