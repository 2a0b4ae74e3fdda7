package gossip

import (
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// cpu is the processor time that this process has used.
func cpu(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap is the memory in use, in bytes.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// lines keeps a log.
type lines struct {
	mu  sync.Mutex
	all []string
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, string(b))
	return len(b), nil
}

func (l *lines) logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

func (l *lines) take() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.all
	l.all = nil
	return all
}

// TestFigures prints docs/figures/peers.md's tables of virtual time:
//
//	FIGURES=1 go test ./internal/network/gossip -run TestFigures -v -timeout 60m
func TestFigures(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("FIGURES is not set")
	}
	t.Run("times", func(t *testing.T) {
		for _, n := range []int{3, 10, 50, 200} {
			var line string
			synctest.Test(t, func(t *testing.T) { line = times(t, n) })
			t.Log(line)
		}
	})
	t.Run("loss", func(t *testing.T) {
		for _, n := range []int{10, 50} {
			for _, loss := range []float64{0.01, 0.1, 0.3} {
				var line string
				synctest.Test(t, func(t *testing.T) { line = lossy(t, n, loss) })
				t.Log(line)
			}
		}
	})
}

// times measures a fleet of n members: its start, a quiet minute, a death, a join, a partition that heals. It returns a line of the table.
func times(t *testing.T, size int) string {
	t.Helper()
	before := heap()
	fleet := newFleet(t, size, 1)
	defer fleet.end()
	for i := range size {
		fleet.start(i, size, nil)
	}
	const long = 5 * time.Minute
	start := fleet.within(long, "start", fleet.agree)
	memory := float64(heap()-before) / float64(size)
	sent := func() (b int) {
		fleet.net.set(func() {
			for _, x := range fleet.net.bytes {
				b += x
			}
		})
		return b
	}
	time.Sleep(time.Minute) // the broadcasts of the start have ended
	bytes, used := sent(), cpu(t)
	const quiet = time.Minute
	time.Sleep(quiet)
	rate := float64(sent()-bytes) / float64(size) / quiet.Seconds()
	work := (cpu(t) - used).Seconds() / float64(size) / quiet.Seconds()
	fleet.kill(size - 1)
	died := fleet.within(long, "a death", fleet.agree)
	fleet.start(size-1, size, nil)
	joined := fleet.within(long, "a join", fleet.agree)
	time.Sleep(time.Minute)
	fleet.halve()
	parted := fleet.within(long, "a partition", func() bool {
		for i, g := range fleet.members {
			want := size - size/2
			if i < size/2 {
				want = size / 2
			}
			if s, _ := g.state(); s.Instances != want {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Minute)
	fleet.heal()
	healed := fleet.within(long, "healed", fleet.agree)
	return fmt.Sprintf("| %d | %.1f s | %.1f s | %.1f s | %.1f s | %.1f s | %.0f | %.2f | %.0f |",
		size, start.Seconds(), died.Seconds(), joined.Seconds(),
		parted.Seconds(), healed.Seconds(), rate, work*1000, memory/1024)
}

// lossy counts for ten minutes how often a member that runs is declared gone by another, and how often the group changes. It returns a
// line of the table.
func lossy(t *testing.T, size int, loss float64) string {
	t.Helper()
	fleet := newFleet(t, size, 1)
	defer fleet.end()
	logged := &lines{}
	for i := range size {
		fleet.start(i, size, func(c *Config) { c.Log = logged.logger() })
	}
	fleet.within(5*time.Minute, "start", fleet.agree)
	time.Sleep(time.Second) // members log a view a tick after they have it
	fleet.net.set(func() { fleet.net.loss = loss })
	logged.take()
	const length = 10 * time.Minute
	time.Sleep(length)
	gone, moves := 0, 0
	verdicts := map[string]bool{} // one for each member that was taken for gone, whoever heard of it
	for _, l := range logged.take() {
		if strings.Contains(l, "msg=peer ") && strings.Contains(l, "to=gone") {
			gone++
			if i := strings.Index(l, "process="); i >= 0 && strings.Contains(l, `cause="not reached"`) {
				verdicts[l[i:]] = true
			}
		}
		if strings.Contains(l, "msg=peers ") && strings.Contains(l, "instances=") {
			moves++
		}
	}
	hours := length.Hours() * float64(size)
	return fmt.Sprintf("| %d | %.0f%% | %.2f | %.2f |", size, loss*100, float64(len(verdicts))/hours, float64(moves)/hours)
}
