package standalone

import (
	"context"
	"errors"
	"slices"
	"time"

	"quincegap/internal/network/exchange"
)

const (
	// defaultQuietPeriod is how long there must have been no new connection, and no caller connected, before a sidecar that is
	// shutting down ends early.
	defaultQuietPeriod = 500 * time.Millisecond
	// shutdownPollInterval is how often that is checked.
	shutdownPollInterval = 20 * time.Millisecond
)

// shutDown ends the server shortly before SIGKILL is expected, with all accepted requests answered. Until then it goes on serving:
// the platform sends it no new callers, but the present ones go on using their connections, and if it is the only sidecar, or the
// others have ended or are just starting, they have no other. If there are others, it closes idle connections hand_over before the
// end, so that its last callers move there. It ends early when no caller is connected any more. Requests are lost if the platform
// kills sooner than the settings say. Its error joins those of the fronts.
func (s *server) shutDown() error {
	began := time.Now()
	stop := s.tuning.Load().stop
	duration := min(s.longestDeadline, stop.MaxDeadline) + stop.KillGrace - stop.KillMargin
	end := began.Add(duration)
	s.loop.post(func() { s.loop.shutDownAt(end) })
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

// stopFronts stops all fronts at once, and closes the connections that are left at a time.
func (s *server) stopFronts(end time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	stopped := make(chan error, len(s.fronts))
	for _, f := range s.fronts {
		go func() {
			err := f.Stop(ctx)
			if errors.Is(err, context.DeadlineExceeded) {
				err = f.Close() // the callers that are left have not sent a complete request, or do not read their answers
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
