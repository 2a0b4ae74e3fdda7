package rehearse

import (
	"context"
	"sync"
	"time"
)

// callerStartDelay is the time from when all sidecars serve until the first caller may arrive. Events before that have negative times.
const callerStartDelay = 300 * time.Millisecond

// play plays the steps and the arrivals in real time, and returns when all callers and steps have ended. It stops starting them when
// the context ends.
func (r *rehearsal) play(ctx context.Context, program *program, progress func(Progress)) {
	r.clockOffset.Store(int64(time.Since(r.createdAt) + callerStartDelay))
	watchContext, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer func() {
		stop()
		watchers.Wait() // progress must not be called after Run has returned
	}()
	watchers.Go(func() { r.watchLateness(watchContext) })
	if progress != nil {
		watchers.Go(func() { r.reportProgress(watchContext, progress) })
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

// playSteps plays each step at its time. Steps that take longer continue in goroutines of the wait group.
func (r *rehearsal) playSteps(ctx context.Context, program *program, steps *sync.WaitGroup) {
	for i := range r.plan.Steps {
		step := &r.plan.Steps[i]
		if step.At > r.plan.Length || !r.waitUntil(ctx, step.At) {
			return
		}
		r.recordLateness(r.now() - step.At) // a late step leaves a server up that should be down
		r.playStep(ctx, program, step, steps)
	}
}

// waitUntil waits until a time on the rehearsal's clock. It returns false if the context has ended.
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

// reportProgress calls progress once a second until the context ends.
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
