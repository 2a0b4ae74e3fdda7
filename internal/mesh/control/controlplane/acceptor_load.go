package controlplane

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

// loadUntilDone loads the record for the first time, and retries until that succeeds. It logs each reason for a failure once. It
// returns false if ctx ends first.
func (a *acceptor) loadUntilDone(ctx context.Context) bool {
	delay := minBackoff
	logged := ""
	for {
		err := a.load()
		if err == nil {
			return true
		}
		if reason := err.Error(); reason != logged {
			a.log.WithError(err).Warn("the replica's record can't be read")
			logged = reason
		}
		if a.backoff.wait(ctx, &delay) != nil {
			return false
		}
	}
}

// load reads the record and writes it again: after a failed write, what is read may come from a cache and not be on the disk itself. A
// missing or corrupt record was lost, except at the first start of the system, and has to be recovered. A record of a later
// format and a folder of another process are errors; nothing is written there.
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
		return trace.Wrap(a.makeInitialRecord())
	case damage.state != nil || trace.IsCompareFailed(damage.vote) || !record.State.Ready:
		if !a.needsRecord {
			a.log.WithField(stateKey, damage.state).WithField(voteKey, damage.vote).Warn("there is no voter's record")
		}
		a.learner.learnVoterSet(record.DecidedVoters())
		a.startRecovery(damage.blank())
		return nil
	}
	return trace.Wrap(a.keep(record))
}

// makeInitialRecord writes and adopts the record of a voter of the system's first start. Any other process starts a recovery.
func (a *acceptor) makeInitialRecord() error {
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

// keep writes a record that was read to disk again, and adopts it.
func (a *acceptor) keep(record consensus.Record) error {
	if record.State.System == 0 && record.DecidedVoters().Epoch == 0 { // written by a version without system IDs
		record.State.System = consensus.NewSystemID(record.State.Voters)
	}
	if err := a.disk.save(&record, consensus.Unsynced{Vote: true, State: true}); err != nil {
		return trace.Wrap(err)
	}
	a.adopt(record)
	return nil
}

// startRecovery starts to recover the record, or to make the first one of a process that never voted. Until that is done the acceptor
// answers NotReady.
func (a *acceptor) startRecovery(blankDisk bool) {
	a.loaded = true // there is nothing to load
	if a.needsRecord {
		return // a recovery is in progress
	}
	a.needsRecord = true
	a.blankDisk = blankDisk
	a.diskIncarnation = uint64(time.Now().UnixNano())
	a.startRecoverer(a.diskIncarnation, blankDisk)
}
