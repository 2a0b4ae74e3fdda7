package tool

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"quincegap/internal/config/finding"
)

// many is an apps.toml of applications that call each other: each calls the next two, in one ring through
// all, and each tenth calls a hub.
func many(n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[chain]\nmost_tiers = 100000\nmost_attempts_in_chain = 100000\n[defaults.attempts]\nmost_attempts = 1\n[defaults.limits]\ncores = 1\nmemory = \"192MiB\"\nsockets = 1024\n[defaults.discovery]\naddress = \"127.0.0.1:8500\"\n")
	for i := range n {
		name := fmt.Sprintf("app-%d.example.org", i)
		fmt.Fprintf(&b, "\n# Application %d.\n[apps.\"%s\".sidecar]\nlisten = \"127.%d.%d.%d:8080\"\n", i, name, 1+i>>16, i>>8&255, i&255)
		fmt.Fprintf(&b, "[apps.\"%s\".class.book]\naim = \"1s\"\ndeadline = \"5s\"\neffect = \"keyed\"\nkey_scope = \"cell\"\nkey_window = \"10s\"\n", name)
		fmt.Fprintf(&b, "[apps.\"%s\".class.find]\naim = \"1s\"\ndeadline = \"5s\"\neffect = \"safe\"\n", name)
		for k := 1; k <= 2 && n > 2; k++ {
			fmt.Fprintf(&b, "[apps.\"%s\".calls.next%d]\nto = \"app-%d.example.org\"\nfor_class = \"book\"\ntimeout = \"5s\"\nmutual_depth = 2\n", name, k, (i+k)%n)
		}
	}
	return b.String()
}

// BenchmarkCheck is the time and memory of check; docs/figures/configuration.md has its figures.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{1, 100, 5000} {
		text := many(n)
		path := filepath.Join(b.TempDir(), "apps.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var found finding.List
				Check([]string{path}, false, &found)
				if found.Len() > 0 {
					b.Fatal(found.All()[0])
				}
			}
			b.ReportMetric(float64(len(text))/1e3, "kB-file")
			b.ReportMetric(peak(path), "MiB-peak-heap")
		})
	}
}

// peak is the largest heap during one check, as it is sampled every few hundred microseconds.
func peak(path string) float64 {
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	stop, most := make(chan struct{}), make(chan uint64)
	go func() {
		largest := uint64(0)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			largest = max(largest, m.HeapAlloc)
			select {
			case <-stop:
				most <- largest
				return
			case <-time.After(300 * time.Microsecond):
			}
		}
	}()
	var found finding.List
	Check([]string{path}, false, &found)
	close(stop)
	return float64(<-most-before.HeapAlloc) / (1 << 20)
}
