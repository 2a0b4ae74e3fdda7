package controlplane

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// close cancels the goroutines' context and waits for them. After that no goroutine is started.
func TestLifetimeWaitsForItsGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLifetime()
		const cleanUp = time.Second // of the bubble's time
		ended := 0
		qt.Assert(t, l.start(func(ctx context.Context) {
			<-ctx.Done()
			time.Sleep(cleanUp)
			ended++
		}), qt.IsTrue)
		began := time.Now()
		l.close()
		qt.Assert(t, ended, qt.Equals, 1)
		qt.Assert(t, time.Since(began), qt.Equals, cleanUp)
		qt.Assert(t, l.start(func(context.Context) { t.Error("a goroutine runs after the end") }), qt.IsFalse)
		synctest.Wait()
	})
}

// A read at a closed server fails at once.
func TestNoRepliesAfterTheEnd(t *testing.T) {
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
