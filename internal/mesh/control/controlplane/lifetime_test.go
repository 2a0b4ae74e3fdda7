package controlplane

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// close cancels the goroutines' context and waits until they have returned. After close, start does not run a goroutine.
func TestLifetimeWaitsForItsGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tested := newLifetime()
		const cleanUp = time.Second
		ended := 0
		qt.Assert(t, tested.start(func(ctx context.Context) {
			<-ctx.Done()
			time.Sleep(cleanUp)
			ended++
		}), qt.IsTrue)
		began := time.Now()
		tested.close()
		qt.Assert(t, ended, qt.Equals, 1)
		qt.Assert(t, time.Since(began), qt.Equals, cleanUp)
		qt.Assert(t, tested.start(func(context.Context) { t.Error("start ran a goroutine after close") }), qt.IsFalse)
		synctest.Wait()
	})
}

// A read at a closed server fails immediately.
func TestReadAtAClosedServerFails(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.newest(ctx, 0)
		server := core.server(0)
		core.stop(0)
		began := time.Now()
		_, err := server.ReadLatest(ctx)
		qt.Assert(t, err, qt.ErrorIs, context.Canceled)
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
	})
}
