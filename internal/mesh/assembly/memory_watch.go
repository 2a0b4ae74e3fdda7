package assembly

import (
	"context"
	"runtime/metrics"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	memoryCheckInterval   = time.Second      // time between two checks of the memory that the process uses
	memoryWarningInterval = 10 * time.Second // shortest time between two warnings
	memoryWarningFraction = 0.9              // fraction of the machine's memory above which the process warns; above the soft limit
)

// Samples of package runtime/metrics, in the order of memoryUse's fields.
var memoryMetrics = []string{
	"/memory/classes/total:bytes",
	"/memory/classes/heap/released:bytes",
	"/memory/classes/heap/objects:bytes",
	"/memory/classes/heap/stacks:bytes",
}

// memoryUse is the memory that the Go runtime uses, in bytes.
type memoryUse struct {
	mapped   uint64 // all memory of the runtime
	released uint64 // part of mapped that was returned to the operating system
	objects  uint64 // live objects, and dead ones that were not collected yet
	stacks   uint64
}

// resident returns the memory that the platform counts, without what the kernel holds for connections.
func (m memoryUse) resident() int64 { return int64(m.mapped - m.released) }

// readMemoryUse reads the current use.
func readMemoryUse() memoryUse {
	samples := make([]metrics.Sample, len(memoryMetrics))
	for i, name := range memoryMetrics {
		samples[i].Name = name
	}
	metrics.Read(samples)
	return memoryUse{
		mapped:   samples[0].Value.Uint64(),
		released: samples[1].Value.Uint64(),
		objects:  samples[2].Value.Uint64(),
		stacks:   samples[3].Value.Uint64(),
	}
}

// memoryWarner decides when a process warns that it may soon be killed for its use of memory.
type memoryWarner struct {
	machineBytes int64
	warned       bool
	warnedAt     time.Duration
}

// exceeded reports whether a number of bytes is above the fraction of the memory from which the process warns.
func (m *memoryWarner) exceeded(bytes int64) bool {
	return float64(bytes) >= memoryWarningFraction*float64(m.machineBytes)
}

// due reports whether a warning is due at the time now, for a use of a number of bytes.
func (m *memoryWarner) due(now time.Duration, bytes int64) bool {
	if !m.exceeded(bytes) {
		return false
	}
	if m.warned && now-m.warnedAt < memoryWarningInterval {
		return false
	}
	m.warned = true
	m.warnedAt = now
	return true
}

// watchMemory adjusts the soft limit of memory to the open connections, and logs a warning with what the process holds while its memory is
// nearly used up, until ctx ends. A process that the platform kills for its memory leaves no other trace.
func (p *process) watchMemory(ctx context.Context) {
	warner := memoryWarner{machineBytes: int64(p.settings.MemoryMB) << 20}
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		receiveBytes := p.memory.receiveBytes()
		p.heapLimit.adjust(warner.machineBytes, receiveBytes)
		use := readMemoryUse()
		if !warner.exceeded(use.resident() + receiveBytes) {
			continue // whatever is unread
		}
		if warner.due(p.hub.Now(), use.resident()+p.sockets.usage().UnreadBytes) {
			p.memoryFields().WithFields(logrus.Fields{
				"limitBytes":    warner.machineBytes,
				"residentBytes": use.resident(),
				"objectBytes":   use.objects,
				"stackBytes":    use.stacks,
			}).Warn("assembly: the memory of the machine is nearly used up, the platform may kill the process")
		}
	}
}
