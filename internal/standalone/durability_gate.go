package standalone

import (
	"context"
	"errors"
	"time"
)

// errDiskSlow says that a record was not durable within memory_wait.
var errDiskSlow = errors.New("the disk takes longer than memory_wait")

// durabilityGate is what an attempt waits for before it goes out: its record on the disk. A nil one is open.
type durabilityGate struct {
	written       chan error // holds one: how the write ended
	err           error      // known at once
	timeout       time.Duration
	reportTimeout func(error) // takes errDiskSlow
	goesOnWithout bool        // the attempt may go out though it is not remembered
	passed        bool        // it has been waited for
	durable       bool        // and the attempt is remembered
}

// pass waits until the attempt is remembered, and reports whether it may go out.
func (g *durabilityGate) pass(ctx context.Context) bool {
	if g == nil || g.passed {
		return true
	}
	g.passed = true
	if g.err != nil {
		return g.goesOnWithout
	}
	late := time.NewTimer(g.timeout)
	defer late.Stop()
	select {
	case err := <-g.written:
		g.durable = err == nil
		return g.durable || g.goesOnWithout
	case <-late.C:
		g.reportTimeout(errDiskSlow)
		return g.goesOnWithout
	case <-ctx.Done():
		return false
	}
}
