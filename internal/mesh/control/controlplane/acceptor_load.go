package controlplane

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

// loadUntilDone loads the record for the first time, however long it takes. It logs why it can't, once for each reason. It returns
// false if ctx ends before.
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

// load reads the record, and writes it again: after a failed write what is read need not be on the disk itself. A record that is
// missing or corrupt is a lost one, except at the first start of the system. A record of a later format, and a folder of another
// process, are errors: nothing is written there.
func (a *acceptor) load() error {
	if err := a.disk.open(); err != nil {
		return trace.Wrap(err)
	}
	record, damage, err := a.disk.read()
	if err != nil {
		return trace.Wrap(err)
	}
	switch {
	case damage.blank() && a.initialStart && !a.hadRecord && !a.lost:
		return trace.Wrap(a.makeInitialRecord())
	case damage.state != nil || trace.IsCompareFailed(damage.vote) || !record.State.Ready:
		if !a.lost {
			a.log.WithField(stateKey, damage.state).WithField(voteKey, damage.vote).Warn("there is no voter's record")
		}
		a.learner.learnVoterSet(record.DecidedVoters())
		a.startRecovery(damage.blank())
		return nil
	}
	return trace.Wrap(a.keep(record))
}

// makeInitialRecord makes the record of a voter of the system's first start. Any other process makes its record by a recovery.
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

// keep goes on with a record that was read, once it is written again.
func (a *acceptor) keep(record consensus.Record) error {
	if record.State.System == 0 && record.DecidedVoters().Epoch == 0 { // written by a version that had no system
		record.State.System = consensus.NewSystemID(record.State.Voters)
	}
	if err := a.disk.save(&record, consensus.Unsynced{Vote: true, State: true}); err != nil {
		return trace.Wrap(err)
	}
	a.adopt(record)
	return nil
}

// startRecovery has the record made anew, or, for a process that never voted, made for the first time. Until then the acceptor
// answers that it is not ready.
func (a *acceptor) startRecovery(blankDisk bool) {
	a.loaded = true // as far as there is anything
	if a.lost {
		return // a recovery is under way
	}
	a.lost = true
	a.blankDisk = blankDisk
	a.diskIncarnation = uint64(time.Now().UnixNano())
	a.makeRecord(a.diskIncarnation, blankDisk)
}
