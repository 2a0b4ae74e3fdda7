package rehearse

import (
	"context"
	"time"

	"quincegap/internal/rehearsal/audit"
)

// The emulator watches itself: a tick that comes late shows that this process did not get the processor, and what servers and callers
// did then says nothing of the sidecars.
const (
	watchTick     = 5 * time.Millisecond
	lateThreshold = 20 * time.Millisecond
)

// watchLateness records ticks that come late, until the context ends.
func (r *rehearsal) watchLateness(ctx context.Context) {
	for due := time.Now().Add(watchTick); ; due = due.Add(watchTick) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		if r.recordLateness(time.Since(due)) {
			due = time.Now()
		}
	}
}

// recordLateness records that the emulator was late, if it was by enough to matter, and reports whether it was.
func (r *rehearsal) recordLateness(late time.Duration) bool {
	if late <= lateThreshold {
		return false
	}
	r.record(audit.Event{At: r.now(), Kind: audit.EmulatorLate, Duration: late, Server: -1, Sidecar: -1, Origin: -1})
	return true
}
