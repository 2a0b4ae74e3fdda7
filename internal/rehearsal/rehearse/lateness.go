package rehearse

import (
	"context"
	"time"

	"quincegap/internal/rehearsal/audit"
)

// The emulator monitors its own scheduling: a late tick shows that this process did not get the processor. The behavior of servers and
// callers at that time then says nothing about the sidecars.
const (
	watchTick     = 5 * time.Millisecond
	lateThreshold = 20 * time.Millisecond
)

// watchLateness records late ticks until the context ends.
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

// recordLateness records a delay of the emulator if it exceeds lateThreshold, and reports whether it does.
func (r *rehearsal) recordLateness(late time.Duration) bool {
	if late <= lateThreshold {
		return false
	}
	r.record(audit.Event{At: r.now(), Kind: audit.EmulatorLate, Duration: late, Server: -1, Sidecar: -1, Origin: -1})
	return true
}
