package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

// maxStandbyWait is the longest time for which a voter that shuts down waits until a standby is ready.
const maxStandbyWait = 2 * time.Second

// voterManager changes the voter set, on request and as the voterMonitor plans. It owns the results of the monitor's last tick.
type voterManager struct {
	self      string
	tolerated int // number of machines that may be lost at once
	lifetime  *lifetime
	backoff   *backoff
	learner   *learner
	directory *coreDirectory
	client    *peerClient
	acceptor  *acceptor
	proposer  *proposer

	mu           sync.Mutex
	unresponsive []string               // voters that do not answer this process
	peers        []consensus.PeerStatus // statuses of the other core processes
	persisting   bool                   // whether a newer voter set is being written to disk
}

// unresponsiveVoters returns the voters that did not answer this process as of the monitor's last tick.
func (v *voterManager) unresponsiveVoters() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unresponsive
}

func (v *voterManager) setUnresponsiveVoters(voters []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unresponsive = voters
}

// knownPeers returns the statuses of the other core processes as of the monitor's last tick.
func (v *voterManager) knownPeers() []consensus.PeerStatus {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.peers)
}

func (v *voterManager) setKnownPeers(peers []consensus.PeerStatus) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers = peers
}

// add implements Server.AddVoter.
func (v *voterManager) add(ctx context.Context, node string) error {
	return trace.Wrap(v.applyUntilDone(ctx, func(voters consensus.VoterSet) consensus.VoterChange {
		if voters.Contains(node) {
			return consensus.VoterChange{}
		}
		return consensus.VoterChange{Add: node}
	}))
}

// retire implements Server.RetireVoter.
func (v *voterManager) retire(ctx context.Context, node string) error {
	return trace.Wrap(v.applyUntilDone(ctx, func(voters consensus.VoterSet) consensus.VoterChange {
		if !voters.Contains(node) {
			return consensus.VoterChange{}
		}
		successor := consensus.PlanHandover(voters, v.knownPeers(), node).Add
		return consensus.VoterChange{Add: successor, Remove: node, Retire: true}
	}))
}

// handOver implements Server.HandOver.
func (v *voterManager) handOver(ctx context.Context) error {
	began := time.Now()
	return trace.Wrap(v.applyUntilDone(ctx, func(voters consensus.VoterSet) consensus.VoterChange {
		for ctx.Err() == nil && voters.Contains(v.self) {
			if change := consensus.PlanHandover(voters, v.knownPeers(), v.self); change != (consensus.VoterChange{}) {
				return change
			}
			if !v.standbyExists(voters) || time.Since(began) > maxStandbyWait {
				break
			}
			delay := minBackoff
			_ = v.backoff.wait(ctx, &delay) // a standby may be ready at the next probe; if ctx ends, so does the loop
		}
		return consensus.VoterChange{}
	}))
}

// standbyExists reports whether a running process may replace this one as a voter, even if it is not ready yet.
func (v *voterManager) standbyExists(voters consensus.VoterSet) bool {
	return slices.ContainsFunc(v.directory.runningCores(), func(node string) bool {
		return node != v.self && mayJoin(voters, node)
	})
}

// mayJoin reports whether a process is neither a voter nor retired, so that it may become a voter.
func mayJoin(voters consensus.VoterSet, node string) bool {
	return !voters.Contains(node) && !slices.Contains(voters.Retired, node)
}

// applyUntilDone repeatedly makes the change that plan returns for the newest voter set, until plan returns the zero change. It retries
// failed changes, and returns an error only if ctx or the Server ends.
func (v *voterManager) applyUntilDone(ctx context.Context, plan func(consensus.VoterSet) consensus.VoterChange) error {
	delay := minBackoff
	for {
		if _, err := v.proposer.read(ctx); err != nil {
			return trace.Wrap(err)
		}
		voters := v.learner.voterSet()
		change := plan(voters)
		if change == (consensus.VoterChange{}) {
			return nil
		}
		err := v.change(ctx, voters, change)
		if ctx.Err() != nil {
			return trace.Wrap(err)
		}
		if err == nil {
			continue
		}
		if err := v.backoff.wait(ctx, &delay); err != nil {
			return trace.Wrap(err)
		}
	}
}

// change makes one change to a voter set. Once it returns without an error, a majority of the new voters has the new set and the newest
// value on disk, so that a removed voter may be switched off. The error is a trace.CompareFailed if the process to add is not ready, or if
// voters, on which the change is based, is no longer the current voter set.
func (v *voterManager) change(ctx context.Context, voters consensus.VoterSet, change consensus.VoterChange) error {
	if change.Add != "" {
		reply, err := v.client.describe(ctx, change.Add)
		if err != nil {
			return trace.Wrap(err)
		}
		if !reply.Ready {
			return trace.CompareFailed("%s isn't ready to vote", change.Add)
		}
	}
	proposal := consensus.NewVoterChange(voters, change)
	if proposal == nil {
		return nil
	}
	round, err := v.proposer.propose(ctx, proposal)
	if err != nil {
		return trace.Wrap(err)
	}
	if round.Verdict != consensus.Committed {
		return trace.CompareFailed("the voter set has changed since epoch %d", voters.Epoch)
	}
	_, err = v.proposer.read(ctx)
	return trace.Wrap(err)
}

// persist writes a decided voter set to disk in the background, if the acceptor is ready, its record on disk has an older voter set, and
// no such write is in progress. If the write fails, a later call retries it.
func (v *voterManager) persist(voters consensus.VoterSet) {
	status := v.acceptor.status()
	if voters.Epoch <= status.decidedEpoch || !status.ready || !v.beginPersisting() {
		return
	}
	v.lifetime.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		_ = v.acceptor.learnDecided(ctx, voters) // the acceptor logs the error
		v.endPersisting()
	})
}

// beginPersisting marks a write of a voter set as in progress. It returns false if one is in progress already.
func (v *voterManager) beginPersisting() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.persisting {
		return false
	}
	v.persisting = true
	return true
}

func (v *voterManager) endPersisting() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.persisting = false
}
