package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

// standbyWait is how long a leaving voter waits for a standby that is not ready yet, at most.
const standbyWait = 2 * time.Second

// voterManager changes the voter set, on request and as the voterMonitor plans. It owns the findings of the monitor's last tick.
type voterManager struct {
	self      string
	tolerated int // losses of machines
	lifetime  *lifetime
	backoff   *backoff
	learner   *learner
	directory *coreDirectory
	client    *peerClient
	acceptor  *acceptor
	proposer  *proposer

	mu           sync.Mutex
	unresponsive []string               // voters that do not answer this process
	peers        []consensus.PeerStatus // of the other core processes
	persisting   bool                   // a newer voter set is being written to disk
}

// unresponsiveVoters returns the voters that do not answer this process.
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

// add is described at Server.AddVoter.
func (v *voterManager) add(ctx context.Context, node string) error {
	return trace.Wrap(v.apply(ctx, func(voters consensus.VoterSet) consensus.VoterChange {
		if voters.Contains(node) {
			return consensus.VoterChange{}
		}
		return consensus.VoterChange{Add: node}
	}))
}

// retire is described at Server.RetireVoter.
func (v *voterManager) retire(ctx context.Context, node string) error {
	return trace.Wrap(v.apply(ctx, func(voters consensus.VoterSet) consensus.VoterChange {
		if !voters.Contains(node) {
			return consensus.VoterChange{}
		}
		successor := consensus.PlanHandover(voters, v.knownPeers(), node).Add
		return consensus.VoterChange{Add: successor, Remove: node, Retire: true}
	}))
}

// handOver is described at Server.HandOver.
func (v *voterManager) handOver(ctx context.Context) error {
	began := time.Now()
	return trace.Wrap(v.apply(ctx, func(voters consensus.VoterSet) consensus.VoterChange {
		for ctx.Err() == nil && voters.Contains(v.self) {
			if change := consensus.PlanHandover(voters, v.knownPeers(), v.self); change != (consensus.VoterChange{}) {
				return change
			}
			if !v.standbyExists(voters) || time.Since(began) > standbyWait {
				break
			}
			delay := minBackoff
			_ = v.backoff.wait(ctx, &delay) // the next probe may report a standby as ready; the loop ends with ctx
		}
		return consensus.VoterChange{}
	}))
}

// standbyExists reports whether a running process may take this one's place, even if it is not ready yet.
func (v *voterManager) standbyExists(voters consensus.VoterSet) bool {
	return slices.ContainsFunc(v.directory.runningCores(), func(node string) bool {
		return node != v.self && mayJoin(voters, node)
	})
}

// mayJoin reports whether a process is not a voter and may become one.
func mayJoin(voters consensus.VoterSet, node string) bool {
	return !voters.Contains(node) && !slices.Contains(voters.Retired, node)
}

// apply repeatedly makes the change that wanted returns for the newest voter set, until it returns the zero change.
func (v *voterManager) apply(ctx context.Context, wanted func(consensus.VoterSet) consensus.VoterChange) error {
	delay := minBackoff
	for {
		if _, err := v.proposer.read(ctx); err != nil {
			return trace.Wrap(err)
		}
		voters := v.learner.voterSet()
		change := wanted(voters)
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
// value on disk, so that a removed voter may be switched off. The error is a trace.CompareFailed if the change cannot be made now: the
// process to add is not ready, or the voters are not those that the change is based on.
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
		return trace.CompareFailed("the voters have changed since epoch %d", voters.Epoch)
	}
	_, err = v.proposer.read(ctx)
	return trace.Wrap(err)
}

// persist starts to write a decided voter set to disk if the record there has an older one. A later call repeats a failed write.
func (v *voterManager) persist(voters consensus.VoterSet) {
	status := v.acceptor.status()
	if voters.Epoch <= status.decidedEpoch || !status.ready || !v.beginPersisting() {
		return
	}
	v.lifetime.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		_ = v.acceptor.learnDecided(ctx, voters) // the acceptor has logged what went wrong
		v.endPersisting()
	})
}

// beginPersisting marks a write as in progress, and returns false if one already is.
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
