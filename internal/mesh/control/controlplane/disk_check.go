package controlplane

import (
	"context"
	"time"
)

const (
	// diskCheckInterval is the time between two checks of an acceptor's disk. It is that between two probes of other processes, so that
	// these learn at their next probe that a disk has failed.
	diskCheckInterval = probeTicks * reconfigureInterval

	// diskCheckPause is the shortest time between two checks, as a multiple of the duration of the last one. It bounds the load on a slow
	// disk.
	diskCheckPause = 20

	// diskHangThreshold is the time after which an access to the disk that has not returned makes the acceptor unready.
	diskHangThreshold = 500 * time.Millisecond
)

// diskHealth is what is known of an acceptor's disk apart from its record. Its methods do no I/O.
type diskHealth struct {
	accessSince time.Time // time at which the acceptor's access in progress began; zero if there is none
	checkSince  time.Time // time at which the check in progress began; zero if there is none
	checkFailed bool      // whether the last check failed
}

// works reports whether the last check succeeded and neither it nor the acceptor's access to the disk hangs.
func (d *diskHealth) works(now time.Time) bool {
	return !d.checkFailed && !hangs(d.accessSince, now) && !hangs(d.checkSince, now)
}

// hangs reports whether an access that began at the given time, or none if that is zero, has not returned for diskHangThreshold.
func hangs(since, now time.Time) bool { return !since.IsZero() && now.Sub(since) >= diskHangThreshold }

// checkDisk checks the disk until ctx ends. probe writes to the disk without changing records. It runs beside the acceptor's accesses, so
// that it does not delay votes. The acceptor itself then verifies its record, and reads it again after a failure.
func (a *acceptor) checkDisk(ctx context.Context, probe func() error) {
	logged := ""
	delay := diskCheckInterval
	for sleep(ctx, delay) == nil {
		began := time.Now()
		err := a.probeDisk(probe)
		took := time.Since(began)
		if err == nil {
			err = a.verify(ctx)
		}
		if ctx.Err() == nil {
			logged = a.logDiskCheck(err, logged)
		}
		delay = max(diskCheckInterval, diskCheckPause*took)
	}
}

// sleep waits for a duration. It returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// probeDisk calls probe, and publishes its beginning and its result.
func (a *acceptor) probeDisk(probe func() error) error {
	a.updateHealth(func(health *diskHealth) { health.checkSince = time.Now() })
	err := probe()
	a.updateHealth(func(health *diskHealth) {
		health.checkSince = time.Time{}
		health.checkFailed = err != nil
	})
	return err
}

// logDiskCheck logs the result of a check if it differs from the one that was logged last, and returns the text that is logged now.
func (a *acceptor) logDiskCheck(err error, logged string) string {
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	switch {
	case reason == logged:
	case err != nil:
		a.log.WithError(err).Warn("the acceptor's disk has failed a check")
	default:
		a.log.Info("the acceptor's disk works again")
	}
	return reason
}

// updateHealth calls change with the acceptor's diskHealth. The acceptor becomes ready at this time if the disk works again.
func (a *acceptor) updateHealth(change func(*diskHealth)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	before := a.health.works(now)
	change(&a.health)
	if !before && a.health.works(now) {
		a.published.readySince = now
	}
}

// beginAccess records that the acceptor begins to access the disk. The returned function records that it is done.
func (a *acceptor) beginAccess() (end func()) {
	a.updateHealth(func(health *diskHealth) { health.accessSince = time.Now() })
	return func() { a.updateHealth(func(health *diskHealth) { health.accessSince = time.Time{} }) }
}
