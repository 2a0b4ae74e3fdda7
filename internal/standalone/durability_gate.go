package standalone

import (
	"context"
	"errors"
	"time"
)

// errDiskSlow is reported if a record was not durable within memory_wait.
var errDiskSlow = errors.New("record not durable within memory_wait")

// durabilityGate delays an attempt until its record is on the disk. A nil gate does not delay anything.
type durabilityGate struct {
	written          chan error    // receives the result of the write; buffered, so that the writer does not block
	err              error         // error that prevented the record from being created
	timeout          time.Duration // maximum time to wait for the write
	reportTimeout    func(error)   // called with errDiskSlow after the timeout
	servesUnrecorded bool          // the attempt may be sent without a record
	passed           bool          // pass has been called
	durable          bool          // the record is on the disk
}

// pass waits until the record is durable, and reports whether the attempt may be sent.
func (g *durabilityGate) pass(ctx context.Context) bool {
	if g == nil || g.passed {
		return true
	}
	g.passed = true
	if g.err != nil {
		return g.servesUnrecorded
	}
	timer := time.NewTimer(g.timeout)
	defer timer.Stop()
	select {
	case err := <-g.written:
		g.durable = err == nil
		return g.durable || g.servesUnrecorded
	case <-timer.C:
		g.reportTimeout(errDiskSlow)
		return g.servesUnrecorded
	case <-ctx.Done():
		return false
	}
}
