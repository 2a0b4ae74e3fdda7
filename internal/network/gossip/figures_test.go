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

// cpuTime returns the processor time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the memory in use on the heap and by stacks, in bytes.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// logRecorder records log lines. It is safe for concurrent use.
type logRecorder struct {
	mu  sync.Mutex
	all []string
}

func (l *logRecorder) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, string(b))
	return len(b), nil
}

func (l *logRecorder) logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

// drain returns the lines recorded since the last call.
func (l *logRecorder) drain() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.all
	l.all = nil
	return all
}

// TestFigures logs the tables of docs/figures/peers.md that are measured in virtual time:
//
//	FIGURES=1 go test ./internal/network/gossip -run TestFigures -v -timeout 60m
func TestFigures(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("FIGURES is not set")
	}
	t.Run("times", func(t *testing.T) {
		for _, n := range []int{3, 10, 50, 200} {
			var line string
			synctest.Test(t, func(t *testing.T) { line = measureTimes(t, n) })
			t.Log(line)
		}
	})
	t.Run("loss", func(t *testing.T) {
		for _, n := range []int{10, 50} {
			for _, loss := range []float64{0.01, 0.1, 0.3} {
				var line string
				synctest.Test(t, func(t *testing.T) { line = measureLoss(t, n, loss) })
				t.Log(line)
			}
		}
	})
}

// measureTimes measures a fleet of size members: the start, the load of an idle minute, the death of a member, a join, a partition and its
// end. It returns a row of the table.
func measureTimes(t *testing.T, size int) string {
	t.Helper()
	before := heapInUse()
	fleet := newFleet(t, size, 1)
	defer fleet.killAll()
	for i := range size {
		fleet.start(i, size, nil)
	}
	const timeout = 5 * time.Minute
	startTime := fleet.waitFor(timeout, "all members to settle after the start", fleet.converged)
	memory := float64(heapInUse()-before) / float64(size)
	sentBytes := func() (b int) {
		fleet.net.update(func() {
			for _, x := range fleet.net.bytes {
				b += x
			}
		})
		return b
	}
	time.Sleep(time.Minute) // until the broadcasts of the start have ended
	bytesBefore, cpuBefore := sentBytes(), cpuTime(t)
	const idlePeriod = time.Minute
	time.Sleep(idlePeriod)
	byteRate := float64(sentBytes()-bytesBefore) / float64(size) / idlePeriod.Seconds()
	cpuLoad := (cpuTime(t) - cpuBefore).Seconds() / float64(size) / idlePeriod.Seconds()
	fleet.kill(size - 1)
	deathTime := fleet.waitFor(timeout, "the survivors to settle after a death", fleet.converged)
	fleet.start(size-1, size, nil)
	joinTime := fleet.waitFor(timeout, "all members to settle after a join", fleet.converged)
	time.Sleep(time.Minute)
	fleet.partitionHalves()
	partitionTime := fleet.waitFor(timeout, "both halves to have their own group", func() bool {
		for i, g := range fleet.members {
			want := size - size/2
			if i < size/2 {
				want = size / 2
			}
			if s, _ := g.currentShare(); s.Instances != want {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Minute)
	fleet.heal()
	healTime := fleet.waitFor(timeout, "all members to settle after the partition", fleet.converged)
	return fmt.Sprintf("| %d | %.1f s | %.1f s | %.1f s | %.1f s | %.1f s | %.0f | %.2f | %.0f |",
		size, startTime.Seconds(), deathTime.Seconds(), joinTime.Seconds(),
		partitionTime.Seconds(), healTime.Seconds(), byteRate, cpuLoad*1000, memory/1024)
}

// measureLoss counts, over ten minutes with packet loss, how often a running member is declared gone by another, and how often a member's
// group changes. It returns a row of the table.
func measureLoss(t *testing.T, size int, loss float64) string {
	t.Helper()
	fleet := newFleet(t, size, 1)
	defer fleet.killAll()
	logged := &logRecorder{}
	for i := range size {
		fleet.start(i, size, func(c *Config) { c.Log = logged.logger() })
	}
	fleet.waitFor(5*time.Minute, "all members to settle after the start", fleet.converged)
	time.Sleep(time.Second) // members log a share one tick after it has changed
	fleet.net.update(func() { fleet.net.loss = loss })
	logged.drain()
	const length = 10 * time.Minute
	time.Sleep(length)
	goneChanges, shareChanges := 0, 0
	verdicts := map[string]bool{} // declarations that a member is gone, each counted once however many members receive it
	for _, l := range logged.drain() {
		if strings.Contains(l, "msg=peer ") && strings.Contains(l, "to=gone") {
			goneChanges++
			if i := strings.Index(l, "process="); i >= 0 && strings.Contains(l, `cause="not reached"`) {
				verdicts[l[i:]] = true
			}
		}
		if strings.Contains(l, "msg=peers ") && strings.Contains(l, "instances=") {
			shareChanges++
		}
	}
	hours := length.Hours() * float64(size)
	return fmt.Sprintf("| %d | %.0f%% | %.2f | %.2f |", size, loss*100, float64(len(verdicts))/hours, float64(shareChanges)/hours)
}
