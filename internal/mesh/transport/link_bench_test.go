package transport_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

type word struct{ Text string }

func (w *word) Fields(v *codec.Visitor) { v.String(1, &w.Text) }

func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memory() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkLinks has many hubs linked to one, as sidecars are to a duty's holder: what a link holds, both ends, what a quiet
// one costs a second, and what an ask of 100 bytes costs, both ends, when they come in turn from all.
func BenchmarkLinks(b *testing.B) {
	for _, n := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("links-%d", n), func(b *testing.B) {
			log := logrus.New()
			log.SetLevel(logrus.ErrorLevel)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			to := l.Addr().String()
			center := transport.NewHub(transport.Hello{Incarnation: 1, Address: to}, time.Now(), 8<<20, log)
			transport.Handle(center, 1, func(_ context.Context, _ *transport.Hello, w *word) *word { return w })
			go func() { _ = center.Listen(l) }()
			b.Cleanup(func() { center.Close(); l.Close() })
			var hubs []*transport.Hub
			for i := range n {
				h := transport.NewHub(transport.Hello{Incarnation: uint64(i + 2), Address: fmt.Sprint(i)}, time.Now(), 8<<20, log)
				b.Cleanup(h.Close)
				hubs = append(hubs, h)
			}
			text := &word{string(make([]byte, 100))}
			ask := func(h *transport.Hub) {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				if _, err := transport.Request[word](ctx, h, to, 1, text); err != nil {
					b.Fatal(err)
				}
			}
			before := memory()
			for _, h := range hubs {
				ask(h)
			}
			kept := (memory() - before) / float64(n)
			used := processor()
			time.Sleep(3 * time.Second)
			quiet := float64((processor() - used).Microseconds()) / 3 / float64(n)
			used, asks := processor(), 0
			for b.Loop() {
				ask(hubs[asks%n])
				asks++
			}
			used = processor() - used
			b.ReportMetric(kept, "B/link")
			b.ReportMetric(quiet, "quiet-us/link/s")
			b.ReportMetric(float64(used.Microseconds())/float64(asks), "cpu-us/ask")
		})
	}
}
