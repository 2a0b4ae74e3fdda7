package standalone

import (
	"context"
	"errors"
	"slices"
	"time"

	"quincegap/internal/network/exchange"
)

const (
	// defaultQuietPeriod is how long a sidecar that is shutting down must have had no connected caller and no new connection before it
	// ends early.
	defaultQuietPeriod = 500 * time.Millisecond
	// shutdownPollInterval is the time between two checks for connected callers during a shutdown.
	shutdownPollInterval = 20 * time.Millisecond
)

// shutDown stops the server shortly before SIGKILL is expected, with all accepted requests answered. Until then the server continues to
// serve: the platform directs no new callers to it, but the current callers continue to use their connections, and they have no other
// sidecar if this is the only one, or if the others have ended or are still starting. If there are other sidecars, the server closes
// idle connections hand_over before the end, so that its last callers move to them. It stops early once no caller is connected.
// Requests are lost if the platform sends SIGKILL sooner than the settings say. The returned error joins the errors of the fronts.
func (s *server) shutDown() error {
	began := time.Now()
	stop := s.tuning.Load().stop
	duration := min(s.longestDeadline, stop.MaxDeadline) + stop.KillGrace - stop.KillMargin
	end := began.Add(duration)
	s.loop.post(func() { s.loop.scheduleShutdown(end) })
	s.shutdownAt.Store(&end)
	s.group.announceLeave()
	lastServed := end
	if s.instances.Load() > 1 {
		lastServed = end.Add(-min(stop.HandOver, max(0, duration-s.quietPeriod)))
	}
	for time.Now().Before(lastServed) && (time.Since(began) < s.quietPeriod || !s.quiet()) {
		time.Sleep(shutdownPollInterval)
	}
	return s.stopFronts(end.Add(stop.KillMargin / 2))
}

// stopFronts stops all fronts concurrently, and closes the connections that are still open at the time end.
func (s *server) stopFronts(end time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	stopped := make(chan error, len(s.fronts))
	for _, f := range s.fronts {
		go func() {
			err := f.Stop(ctx)
			if errors.Is(err, context.DeadlineExceeded) {
				err = f.Close() // the remaining callers have not sent a complete request, or do not read their answers
			}
			stopped <- err
		}()
	}
	var err error
	for range s.fronts {
		err = errors.Join(err, <-stopped)
	}
	return err
}

// quiet reports whether no caller is connected to any front, and none was within the quiet period.
func (s *server) quiet() bool {
	return !slices.ContainsFunc(s.fronts, func(f exchange.Front) bool { return !f.Quiet(s.quietPeriod) })
}
