package controlplane

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
)

// learner owns what this process knows to be decided: the voter set, the committed value and the identity of the system. All of
// it only moves forward, and may be older than what others know. It is kept in memory alone; after a restart it is learned again
// from the acceptor's record, from peers and from rounds.
type learner struct {
	log      *logrus.Logger
	onCommit func(consensus.Value) // may be nil
	updated  chan struct{}         // signals a newer committed value; one signal stands for all that were not taken yet

	mu        sync.Mutex
	voters    consensus.VoterSet // without voters while not known
	systemID  consensus.SystemID // 0 while not known
	vote      consensus.Vote     // the newest whose ballot and value are known to be committed
	committed consensus.Value    // the newest; it may have come without a ballot
}

func newLearner(log *logrus.Logger, onCommit func(consensus.Value)) *learner {
	return &learner{log: log, onCommit: onCommit, updated: make(chan struct{}, 1)}
}

// voterSet is the newest voter set that is known to be decided.
func (l *learner) voterSet() consensus.VoterSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.voters
}

// learnVoterSet notes that a voter set is decided.
func (l *learner) learnVoterSet(voters consensus.VoterSet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setVoterSet(voters)
}

// setVoterSet takes a voter set that is newer than the one known. l.mu is locked.
func (l *learner) setVoterSet(voters consensus.VoterSet) {
	if len(voters.Voters) == 0 || len(l.voters.Voters) > 0 && voters.Epoch <= l.voters.Epoch {
		return
	}
	l.voters = voters
	if voters.Epoch > 0 {
		l.log.WithField("epoch", voters.Epoch).WithField("voters", voters.Voters).Info("voters")
	}
}

// system is the identity of the system that this process belongs to, 0 while it is not known.
func (l *learner) system() consensus.SystemID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.systemID
}

// learnSystem notes the identity of the system. It never changes once it is known.
func (l *learner) learnSystem(id consensus.SystemID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.systemID == 0 {
		l.systemID = id
	}
}

// newestVote is the newest vote whose ballot and value are known to be committed.
func (l *learner) newestVote() consensus.Vote {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vote
}

// newestValue is the newest value that is known to be committed; ok is false while there is none.
func (l *learner) newestValue() (value consensus.Value, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.committed, l.committed.Version > 0
}

// learnVote notes that a vote's value is committed. The zero ballot stands for a value whose ballot is not known.
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
		default: // a signal is pending, and whoever takes it reads the newest value
		}
	}
}

// runNotifications calls onCommit with committed values of rising versions until ctx ends. Versions that come in quick succession
// are skipped but for the last one.
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
