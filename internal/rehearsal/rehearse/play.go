package rehearse

import (
	"context"
	"sync"
	"time"
)

// settleTime is from when all sidecars serve to when callers come. What is recorded before lies below 0 on the clock.
const settleTime = 300 * time.Millisecond

// play plays the steps and the arrivals in real time, and waits until every caller has ended.
func (r *rehearsal) play(ctx context.Context, program *program, progress func(Progress)) {
	r.clockOffset.Store(int64(time.Since(r.createdAt) + settleTime))
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer func() {
		stop()
		watchers.Wait() // progress is not called once Run has returned
	}()
	watchers.Go(func() { r.watchLateness(watching) })
	if progress != nil {
		watchers.Go(func() { r.reportProgress(watching, progress) })
	}
	var callers, steps sync.WaitGroup
	steps.Go(func() { r.playSteps(ctx, program, &steps) })
	for n := range r.plan.Arrivals {
		if !r.waitUntil(ctx, r.plan.Arrivals[n].At) {
			break
		}
		callers.Go(func() { r.playArrival(n) })
	}
	callers.Wait()
	r.faultyCallers.Store(0)
	steps.Wait()
}

// playSteps plays the steps when they are due. What takes longer goes on among steps.
func (r *rehearsal) playSteps(ctx context.Context, program *program, steps *sync.WaitGroup) {
	for i := range r.plan.Steps {
		step := &r.plan.Steps[i]
		if step.At > r.plan.Length || !r.waitUntil(ctx, step.At) {
			return
		}
		r.recordLateness(r.now() - step.At) // late, a server that should be down by now takes calls
		r.playStep(ctx, program, step, steps)
	}
}

// waitUntil waits until a time on the rehearsal's clock; false if the context ends before.
func (r *rehearsal) waitUntil(ctx context.Context, at time.Duration) bool {
	if wait := at - r.now(); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

// reportProgress reports progress once a second, until the context ends.
func (r *rehearsal) reportProgress(ctx context.Context, progress func(Progress)) {
	c := &r.counters
	for second := 1; r.waitUntil(ctx, time.Duration(second)*time.Second); second++ {
		progress(Progress{
			At:       r.now().Truncate(time.Second),
			Requests: c.requests.Load(), Served: c.served.Load(), Rejected: c.rejected.Load(), Failed: c.failed.Load(),
			Attempts: c.attempts.Load(),
		})
	}
}
