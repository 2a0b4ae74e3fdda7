package standalone

import (
	"context"
	"errors"
	"slices"
	"time"

	"quincegap/internal/network/exchange"
)

const (
	// defaultQuietPeriod is how long no new connection must have come before a sidecar that is shutting down, and that
	// no caller is connected to, ends.
	defaultQuietPeriod = 500 * time.Millisecond
	// shutdownPollInterval is how often that is looked at.
	shutdownPollInterval = 20 * time.Millisecond
)

// shutDown ends the server shortly before it would be killed, with all answered that it has taken. Until then it
// goes on serving: no front sends it new callers, but those that it has go on using their connections, and
// where it is the only sidecar, or the others are gone or just starting, whom it cuts off has nowhere to go.
// Where there are others it closes what is idle hand_over before the end, so that its last callers move there.
// It ends early when nobody is connected any more. It does harm where the platform kills sooner than it says.
// Its error joins those of the fronts.
func (s *server) shutDown() error {
	began := time.Now()
	stop := s.tuning.Load().stop
	linger := min(s.longestDeadline, stop.MaxDeadline) + stop.KillGrace - stop.KillMargin
	end := began.Add(linger)
	s.loop.post(func() { s.loop.shutDownAt(end) })
	s.shutdownAt.Store(&end)
	s.group.announceLeave()
	lastServed := end
	if s.instances.Load() > 1 {
		lastServed = end.Add(-min(stop.HandOver, max(0, linger-s.quietPeriod)))
	}
	for time.Now().Before(lastServed) && (time.Since(began) < s.quietPeriod || !s.quiet()) {
		time.Sleep(shutdownPollInterval)
	}
	return s.stopFronts(end.Add(stop.KillMargin / 2))
}

// stopFronts stops all fronts at once and cuts off what is left at a given time.
func (s *server) stopFronts(end time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	stopped := make(chan error, len(s.fronts))
	for _, f := range s.fronts {
		go func() {
			err := f.Stop(ctx)
			if errors.Is(err, context.DeadlineExceeded) {
				err = f.Close() // what is left has not brought a complete request, or does not read its answer
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

// quiet reports whether nobody is connected by any front.
func (s *server) quiet() bool {
	return !slices.ContainsFunc(s.fronts, func(f exchange.Front) bool { return !f.Quiet(s.quietPeriod) })
}
