package controlplane

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
)

// learner owns what this process knows to be decided: the voter set, the committed value and the system's ID. A newer value or voter set
// is never replaced by an older one, but other processes may know newer ones. All of it is in memory only; after a restart it is
// learned again from the acceptor's record, from peers and from rounds.
type learner struct {
	log      *logrus.Logger
	onCommit func(consensus.Value) // may be nil
	updated  chan struct{}         // signal that there is a newer committed value; one signal may stand for several values

	mu        sync.Mutex
	voters    consensus.VoterSet // newest decided voter set; empty while unknown
	systemID  consensus.SystemID // 0 while unknown
	vote      consensus.Vote     // newest committed vote whose ballot is known
	committed consensus.Value    // newest committed value; newer than that of vote if it was learned without a ballot
}

func newLearner(log *logrus.Logger, onCommit func(consensus.Value)) *learner {
	return &learner{log: log, onCommit: onCommit, updated: make(chan struct{}, 1)}
}

// voterSet returns the newest voter set that is known to be decided.
func (l *learner) voterSet() consensus.VoterSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.voters
}

// learnVoterSet adopts a decided voter set if it is newer than the newest known one.
func (l *learner) learnVoterSet(voters consensus.VoterSet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setVoterSet(voters)
}

// setVoterSet is learnVoterSet for callers that hold l.mu.
func (l *learner) setVoterSet(voters consensus.VoterSet) {
	if len(voters.Voters) == 0 || len(l.voters.Voters) > 0 && voters.Epoch <= l.voters.Epoch {
		return
	}
	l.voters = voters
	if voters.Epoch > 0 {
		l.log.WithField("epoch", voters.Epoch).WithField("voters", voters.Voters).Info("learned a newer voter set")
	}
}

// system returns the ID of the system that this process belongs to, or 0 while it is unknown.
func (l *learner) system() consensus.SystemID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.systemID
}

// learnSystem sets the ID of the system if it is unknown. A known ID never changes.
func (l *learner) learnSystem(id consensus.SystemID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.systemID == 0 {
		l.systemID = id
	}
}

// newestVote returns the newest committed vote whose ballot is known.
func (l *learner) newestVote() consensus.Vote {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vote
}

// newestValue returns the newest value that is known to be committed; ok is false while there is none.
func (l *learner) newestValue() (value consensus.Value, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.committed, l.committed.Version > 0
}

// learnVote adopts the vote, the voter set and the value of a committed vote, each only if it is newer than the newest known one. A vote
// whose ballot is unknown has the zero ballot.
func (l *learner) learnVote(vote consensus.Vote) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if vote.Ballot.Compare(l.vote.Ballot) > 0 {
		vote.Learned = false
		l.vote = vote
	}
	l.setVoterSet(vote.Value.VoterSet)
	if vote.Value.Version > l.committed.Version {
		l.committed = vote.Value
		select {
		case l.updated <- struct{}{}:
		default: // a signal is pending; its receiver reads the newest value
		}
	}
}

// runNotifications calls onCommit with committed values, in the order of their versions, until ctx ends. Of several values that are
// learned in quick succession, it may skip all but the newest.
func (l *learner) runNotifications(ctx context.Context) {
	var notified configuration.Version
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.updated:
		}
		value, _ := l.newestValue()
		if value.Version > notified && l.onCommit != nil {
			notified = value.Version
			l.onCommit(value)
		}
	}
}
