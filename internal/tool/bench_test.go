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

// appsInRing returns an apps.toml with n applications in a ring. Each of them calls the next two.
func appsInRing(n int) string {
	var text strings.Builder
	text.WriteString("[chain]\nmost_tiers = 100000\nmost_attempts_in_chain = 100000\n[defaults.attempts]\nmost_attempts = 1\n" +
		"[defaults.limits]\ncores = 1\nmemory = \"192MiB\"\nsockets = 1024\n[defaults.discovery]\naddress = \"127.0.0.1:8500\"\n")
	for i := range n {
		app := fmt.Sprintf("apps.\"app-%d.example.org\"", i)
		fmt.Fprintf(&text, "\n# Application %d.\n[%s.sidecar]\nlisten = \"127.%d.%d.%d:8080\"\n", i, app, 1+i>>16, i>>8&255, i&255)
		fmt.Fprintf(&text, "[%s.class.book]\naim = \"1s\"\ndeadline = \"5s\"\neffect = \"keyed\"\n", app)
		text.WriteString("key_scope = \"cell\"\nkey_window = \"10s\"\n")
		fmt.Fprintf(&text, "[%s.class.find]\naim = \"1s\"\ndeadline = \"5s\"\neffect = \"safe\"\n", app)
		for k := 1; k <= 2 && n > 2; k++ {
			fmt.Fprintf(&text, "[%s.calls.next%d]\nto = \"app-%d.example.org\"\n", app, k, (i+k)%n)
			text.WriteString("for_class = \"book\"\ntimeout = \"5s\"\nmutual_depth = 2\n")
		}
	}
	return text.String()
}

// BenchmarkCheck measures the run time and peak heap of the command check. Its results are in docs/figures/configuration.md.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{1, 100, 5000} {
		text := appsInRing(n)
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
			b.ReportMetric(peakHeap(path), "MiB-peak-heap")
		})
	}
}

// peakHeap returns the largest growth of the heap during one check, in MiB. It samples the heap every 300 microseconds.
func peakHeap(path string) float64 {
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	stop := make(chan struct{})
	peak := make(chan uint64)
	go func() {
		largest := uint64(0)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			largest = max(largest, m.HeapAlloc)
			select {
			case <-stop:
				peak <- largest
				return
			case <-time.After(300 * time.Microsecond):
			}
		}
	}()
	var found finding.List
	Check([]string{path}, false, &found)
	close(stop)
	return float64(<-peak-before.HeapAlloc) / (1 << 20)
}
