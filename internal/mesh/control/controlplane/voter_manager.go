package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

const standbyWait = 2 * time.Second // a leaving voter waits so long for a process that is about to be ready

// voterManager makes changes of the voter set: those that are asked for, and those that its monitor plans. It owns what the last
// turn of the monitor found.
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
	unresponsive []string               // voters that don't answer this process
	peers        []consensus.PeerStatus // of the other core processes
	persisting   bool                   // a newer voter set is being written down
}

// unresponsiveVoters are the voters that don't answer this process.
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

// knownPeers is the state of the other core processes.
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

// add makes a core process a voter.
func (v *voterManager) add(ctx context.Context, node string) error {
	return trace.Wrap(v.apply(ctx, func(voters consensus.VoterSet) consensus.VoterChange {
		if voters.Contains(node) {
			return consensus.VoterChange{}
		}
		return consensus.VoterChange{Add: node}
	}))
}

// retire removes a voter for good, unless it is added by add again. Another takes its place in the same step if there is one, and
// else as soon as there is.
func (v *voterManager) retire(ctx context.Context, node string) error {
	return trace.Wrap(v.apply(ctx, func(voters consensus.VoterSet) consensus.VoterChange {
		if !voters.Contains(node) {
			return consensus.VoterChange{}
		}
		successor := consensus.PlanHandover(voters, v.knownPeers(), node).Add
		return consensus.VoterChange{Add: successor, Remove: node, Retire: true}
	}))
}

// handOver gives this process's place to another one. Without one that is ready, or will be soon, this process stays a voter, as
// one that is only restarted does.
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
			_ = v.backoff.wait(ctx, &delay) // the state of a standby comes with the next probe
		}
		return consensus.VoterChange{}
	}))
}

// standbyExists reports whether a running process may take this one's place, now or soon.
func (v *voterManager) standbyExists(voters consensus.VoterSet) bool {
	return slices.ContainsFunc(v.directory.runningCores(), func(node string) bool {
		return node != v.self && mayJoin(voters, node)
	})
}

// mayJoin reports whether a process is no voter, and may become one.
func mayJoin(voters consensus.VoterSet, node string) bool {
	return !voters.Contains(node) && !slices.Contains(voters.Retired, node)
}

// apply makes the change that is wanted on the newest voter set, again until none is.
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

// change makes one change of a voter set. When it returns without an error a majority of the new one has it, and the newest value,
// on disk, so that a removed voter may be switched off. A trace.CompareFailed says that the change can't be made now.
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
	if round.Verdict != consensus.Applied {
		return trace.CompareFailed("the voters have changed")
	}
	_, err = v.proposer.read(ctx)
	return trace.Wrap(err)
}

// persist writes a voter set down if the record on disk has an older one, in the background. A write that fails is
// made again by a later call.
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

// beginPersisting returns false if a write is under way.
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
