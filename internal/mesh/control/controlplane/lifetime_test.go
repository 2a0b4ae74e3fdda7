package controlplane

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Close cancels the goroutines' context and waits for them; later ones are not started.
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

// A request that is sent after the end of a server has no reply, and nobody waits for one.
func TestNoRepliesAfterTheEnd(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, co *testCore) {
		co.newest(ctx, 0)
		server := co.server(0)
		co.stop(0)
		began := time.Now()
		_, err := server.ReadLatest(ctx)
		qt.Assert(t, err, qt.ErrorIs, context.Canceled)
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
	})
}
