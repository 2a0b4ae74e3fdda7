package controlplane

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

// loadWithRetry loads the record for the first time, and retries until that succeeds. It logs an error only if it differs from the one
// before. It returns false if ctx ends first.
func (a *acceptor) loadWithRetry(ctx context.Context) bool {
	delay := minBackoff
	logged := ""
	for {
		err := a.load()
		if err == nil {
			return true
		}
		if reason := err.Error(); reason != logged {
			a.log.WithError(err).Warn("failed to load the acceptor's record; retrying")
			logged = reason
		}
		if a.backoff.wait(ctx, &delay) != nil {
			return false
		}
	}
}

// load reads the record and writes it again: after a failed write, the data that is read may come from a cache and not be on the disk
// itself. A missing or corrupt record has to be recovered; a missing one is created only at the first start of the system. load fails if
// the disk fails, if the record has a later format, and if the folder belongs to another process; in the last two cases it leaves
// the record on disk unchanged.
func (a *acceptor) load() error {
	if err := a.disk.open(); err != nil {
		return trace.Wrap(err)
	}
	record, damage, err := a.disk.read()
	if err != nil {
		return trace.Wrap(err)
	}
	switch {
	case damage.blank() && a.initialStart && !a.hadRecord && !a.needsRecord:
		return trace.Wrap(a.createInitialRecord())
	case damage.state != nil || trace.IsCompareFailed(damage.vote) || !record.State.Ready:
		if !a.needsRecord {
			a.log.WithField(stateKey, damage.state).WithField(voteKey, damage.vote).
				Warn("the acceptor has no complete record; starting a recovery")
		}
		a.learner.learnVoterSet(record.DecidedVoters())
		a.startRecovery(damage.blank())
		return nil
	}
	return trace.Wrap(a.rewriteRecord(record))
}

// createInitialRecord writes and adopts the first record of an initial voter. A process that is not an initial voter starts a recovery.
func (a *acceptor) createInitialRecord() error {
	initial := consensus.InitialRecord(a.self, a.initialVoters)
	if !initial.State.Ready {
		a.learner.learnSystem(initial.State.System)
		a.learner.learnVoterSet(initial.State.VoterSet)
		a.startRecovery(false)
		return nil
	}
	if err := a.disk.save(&initial, consensus.Unsynced{State: true}); err != nil {
		return trace.Wrap(err)
	}
	a.adopt(initial)
	return nil
}

// rewriteRecord writes a record that was read from disk again, and adopts it.
func (a *acceptor) rewriteRecord(record consensus.Record) error {
	if record.State.System == 0 && record.DecidedVoters().Epoch == 0 { // written by a version without system IDs
		record.State.System = consensus.NewSystemID(record.State.Voters)
	}
	if err := a.disk.save(&record, consensus.Unsynced{Vote: true, State: true}); err != nil {
		return trace.Wrap(err)
	}
	a.adopt(record)
	return nil
}

// startRecovery starts to recover the record, or to create the first record of a process that never voted. Until that is done, the
// acceptor answers NotReady.
func (a *acceptor) startRecovery(blankDisk bool) {
	a.loaded = true // there is no record to load
	if a.needsRecord {
		return // a recovery is in progress
	}
	a.publishUnready()
	a.needsRecord = true
	a.blankDisk = blankDisk
	a.diskIncarnation = uint64(time.Now().UnixNano())
	a.startRecoverer(a.diskIncarnation, blankDisk)
}
