package assembly

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/operations/settings"
)

const (
	settingsTimeout      = 5 * time.Second       // longest wait for a settings file that is missing or invalid, as the platform may be writing it
	listenTimeout        = 2 * time.Second       // longest wait for an address that can't be used for another reason than that it is in use
	startRetryInterval   = 50 * time.Millisecond // time between two attempts
	startWarningDelay    = time.Second           // time of attempts without success after which the process warns
	startWarningInterval = 10 * time.Second      // time between two warnings
)

// errTerminated is the error of a start that a signal has ended.
var errTerminated = errors.New("terminated during the start")

// startResult returns the error with which a program exits if its start has failed with err. A signal to terminate is no failure.
func startResult(err error) error {
	if errors.Is(err, errTerminated) {
		return nil
	}
	return err
}

// startStep is a step of the start that is repeated until it succeeds.
type startStep struct {
	log *logrus.Entry
	// mayRetry decides whether the step is repeated after it has failed with err, a given time after its first attempt.
	mayRetry func(err error, elapsed time.Duration) bool
}

// run calls attempt until it succeeds, or mayRetry gives up, and returns the last error of attempt. It returns errTerminated if ctx ends.
func (s *startStep) run(ctx context.Context, attempt func() error) error {
	began := time.Now()
	nextWarning := startWarningDelay
	for {
		err := attempt()
		elapsed := time.Since(began)
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return errTerminated
		case !s.mayRetry(err, elapsed):
			return err
		}
		if elapsed >= nextWarning {
			s.log.WithError(err).Warn("assembly: a step of the start has failed, trying again")
			nextWarning = elapsed + startWarningInterval
		}
		select {
		case <-time.After(startRetryInterval):
		case <-ctx.Done():
			return errTerminated
		}
	}
}

// mayRetryListening decides whether to listen again on an address. An address in use is waited for without a limit: an earlier incarnation
// of the process, or a connection of another one, may have it, and a process that exits would be started only to fail again. So is an
// address that the machine does not have yet.
func mayRetryListening(err error, elapsed time.Duration) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL) || elapsed <= listenTimeout
}

// mayRetryLoading decides whether to load the settings again.
func mayRetryLoading(_ error, elapsed time.Duration) bool { return elapsed <= settingsTimeout }

// loadSettings loads the settings file. It waits for a file that is missing, invalid or incomplete.
func (p *process) loadSettings(ctx context.Context) (loaded *settings.Settings, err error) {
	step := startStep{log: p.log.WithField("file", p.settingsPath), mayRetry: mayRetryLoading}
	err = step.run(ctx, func() (err error) {
		loaded, err = settings.Load(p.settingsPath, p.program)
		return err
	})
	return loaded, err
}
