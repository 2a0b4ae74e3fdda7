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

// benchMessage is a request and its reply.
type benchMessage struct{ Text string }

func (m *benchMessage) Fields(v *codec.Visitor) { v.String(1, &m.Text) }

// cpuTime returns the processor time that the process has used on all cores.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// usedMemory returns the bytes of heap and stacks that the process uses after a garbage collection.
func usedMemory() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkLinks links many hubs to one, as sidecars are linked to the holder of a singleton role. It reports the memory of a link, the
// processor time per second of an idle link, and the processor time of a call of 100 bytes when all hubs call in turn. The memory and the
// processor time of a call are those of both ends together.
func BenchmarkLinks(b *testing.B) {
	for _, count := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("links-%d", count), func(b *testing.B) {
			log := logrus.New()
			log.SetLevel(logrus.ErrorLevel)
			var config net.ListenConfig
			listener, err := config.Listen(b.Context(), "tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			address := listener.Addr().String()
			server := transport.NewHub(transport.Hello{Incarnation: 1, Address: address}, time.Now(), 8<<20, log)
			transport.Handle(server, 1, func(_ context.Context, _ *transport.Hello, m *benchMessage) *benchMessage { return m })
			go func() { _ = server.Listen(listener) }()
			b.Cleanup(func() {
				server.Close()
				_ = listener.Close()
			})
			var hubs []*transport.Hub
			for i := range count {
				h := transport.NewHub(transport.Hello{Incarnation: uint64(i + 2), Address: fmt.Sprint(i)}, time.Now(), 8<<20, log)
				b.Cleanup(h.Close)
				hubs = append(hubs, h)
			}
			message := &benchMessage{string(make([]byte, 100))}
			call := func(h *transport.Hub) {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				if _, err := transport.Request[benchMessage](ctx, h, address, 1, message); err != nil {
					b.Fatal(err)
				}
			}
			before := usedMemory()
			for _, h := range hubs {
				call(h)
			}
			linkBytes := (usedMemory() - before) / float64(count)
			used := cpuTime()
			time.Sleep(3 * time.Second)
			idleCost := float64((cpuTime() - used).Microseconds()) / 3 / float64(count)
			used, calls := cpuTime(), 0
			for b.Loop() {
				call(hubs[calls%count])
				calls++
			}
			used = cpuTime() - used
			b.ReportMetric(linkBytes, "B/link")
			b.ReportMetric(idleCost, "quiet-us/link/s")
			b.ReportMetric(float64(used.Microseconds())/float64(calls), "cpu-us/ask")
		})
	}
}
