package appfile

import (
	"quincegap/internal/config/schema"
)

// Limits bounds the resources of its machine that a sidecar may use.
type Limits struct {
	Cores   float64 // the processor cores, possibly a fraction
	Memory  int64   // the memory in bytes
	Sockets int     // the number of file descriptors
}

// MinSockets is the minimum of limits.sockets. It exceeds the 32 reserved file descriptors so that some are left for connections.
const MinSockets = 64

// bytesPerSocket is the memory that a connection takes with its buffers and its goroutine, in bytes.
const bytesPerSocket = 16 << 10

// LimitsTable is [limits].
var LimitsTable = schema.NewTable("limits", "What of its machine the sidecar may use.",
	schema.Float("cores", func(l *Limits) *float64 { return &l.Cores },
		schema.Bounds[float64]{Default: 1, Min: 0.01, Max: 1024}, schema.AtStart,
		"Processor cores."),
	schema.Size("memory", func(l *Limits) *int64 { return &l.Memory },
		schema.Bounds[int64]{Default: 192 << 20, Min: 16 << 20, Max: 1 << 40}, schema.AtStart,
		"Memory; the collector works harder from three quarters of it on."),
	schema.Int("sockets", func(l *Limits) *int { return &l.Sockets },
		schema.Bounds[int]{Default: 1024, Min: MinSockets, Max: 1 << 20}, schema.AtStart,
		"File descriptors; 32 are reserved, the rest is shared out between callers and endpoints."),
).Check(func(_ *schema.File, _ string, l *Limits, report schema.Reporter) {
	if need := int64(l.Sockets) * bytesPerSocket; need > l.Memory/2 {
		report("sockets", "%d connections of %d KiB each take more than half of limits.memory (%d MiB)",
			l.Sockets, bytesPerSocket>>10, l.Memory>>20)
	}
})
