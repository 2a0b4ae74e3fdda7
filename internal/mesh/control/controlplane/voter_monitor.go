package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
)

const (
	reconfigureInterval = 250 * time.Millisecond // between two ticks of a voterMonitor
	reconfigureTimeout  = 2 * time.Second        // of one change of the voters
	probeTicks          = 2                      // ticks between two probes of a process
	rankDelay           = 500 * time.Millisecond // a core process waits this much longer than the one before it in rank
	suspendThreshold    = time.Second            // between two ticks; after more than this the process was suspended
	maxQueuedReplies    = 64                     // to probes
)

// voterMonitor probes the core processes, adds voters while there are too few, and replaces lost ones. Each core process has a
// voterMonitor. The first of the processes that run acts at once; each next one waits longer (rankDelay), and acts only if the change is
// still needed. Two that act at once compete like any proposers. Only its goroutine (run) uses its state.
type voterMonitor struct {
	self      string
	tolerated int // losses of machines
	log       *logrus.Logger
	lifetime  *lifetime
	learner   *learner
	directory *coreDirectory
	client    *peerClient
	acceptor  *acceptor
	manager   *voterManager

	detector     failureDetector
	limiter      replacementLimiter
	replies      chan peerReply // to probes
	changeDone   chan struct{}  // the change in progress has ended
	changing     bool           // a change is in progress
	seedsSeen    []string       // all that the settings have named since the start
	lastTick     time.Time
	ticks        int                   // since the start
	planned      consensus.VoterChange // at the newest tick; zero for none
	plannedSince time.Time
}

func newVoterMonitor(manager *voterManager, log *logrus.Logger) *voterMonitor {
	return &voterMonitor{
		self:       manager.self,
		tolerated:  manager.tolerated,
		log:        log,
		lifetime:   manager.lifetime,
		learner:    manager.learner,
		directory:  manager.directory,
		client:     manager.client,
		acceptor:   manager.acceptor,
		manager:    manager,
		replies:    make(chan peerReply, maxQueuedReplies),
		changeDone: make(chan struct{}, 1),
		lastTick:   time.Now(),
	}
}

// run ticks at each interval until ctx ends.
func (v *voterMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(reconfigureInterval)
	defer ticker.Stop()
	for {
		select {
		case answer := <-v.replies:
			v.detector.observeReply(time.Now(), answer.node, answer.reply)
		case <-v.changeDone:
			v.changing = false
		case <-ticker.C:
			v.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// tick probes the other processes, publishes their statuses, plans a change of the voters, and starts it.
func (v *voterMonitor) tick(now time.Time) {
	if now.Sub(v.lastTick) > suspendThreshold {
		v.detector.resetTimeouts(now)
	}
	v.lastTick = now
	voters := v.learner.voterSet()
	v.detector.track(now, v.directory.withoutSelf(append(v.directory.runningCores(), voters.Voters...)))
	v.limiter.observe(now, voters)
	v.ticks++
	if v.ticks%probeTicks == 0 {
		v.probe()
		v.manager.persist(voters)
	}
	if v.directory.running == nil {
		return
	}
	peers := v.peerStatuses(now, voters)
	change := v.plan(now, voters, peers)
	delay := rankDelay * time.Duration(rank(v.self, peers))
	if change == (consensus.VoterChange{}) || v.changing || now.Sub(v.plannedSince) < delay {
		return
	}
	v.begin(voters, change)
}

// begin starts a change in the background.
func (v *voterMonitor) begin(voters consensus.VoterSet, change consensus.VoterChange) {
	v.changing = true
	v.lifetime.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reconfigureTimeout)
		defer cancel()
		if err := v.manager.change(ctx, voters, change); err != nil {
			v.log.WithError(err).WithField("add", change.Add).WithField("remove", change.Remove).Warn("voters can't be changed")
		}
		v.changeDone <- struct{}{}
	})
}

// probe asks the other processes for their state, and learns newer voter sets from their replies.
func (v *voterMonitor) probe() {
	for _, node := range v.detector.startProbes() {
		v.lifetime.start(func(ctx context.Context) {
			reply, err := v.client.describe(ctx, node)
			if err == nil {
				v.learner.learnSystem(reply.System)
				v.learner.learnVoterSet(reply.VoterSet)
			}
			select {
			case v.replies <- peerReply{node, reply}:
			case <-ctx.Done():
			}
		})
	}
}

// peerStatuses returns the statuses of the core processes, including this one if it may become a voter. It publishes those of the
// others at the voterManager.
func (v *voterMonitor) peerStatuses(now time.Time, voters consensus.VoterSet) []consensus.PeerStatus {
	seeds := v.directory.currentSeeds()
	v.recordSeeds(seeds)
	removed := func(node string) bool { return slices.Contains(v.seedsSeen, node) && !slices.Contains(seeds, node) }
	unresponsive := v.detector.unresponsive(now, voters.Voters)
	v.manager.setUnresponsiveVoters(unresponsive)
	reported := unresponsive
	if !voters.Contains(v.self) {
		reported = nil // only the reports of voters count
	}
	peers := v.detector.peerStatuses(now, voters.Voters, reported, removed)
	v.manager.setKnownPeers(peers)
	self, ok := v.ownStatus(now, voters)
	if !ok {
		return peers
	}
	self.RemovedFromSeeds = removed(v.self)
	return append(slices.Clone(peers), self)
}

// recordSeeds adds the seeds to those that the settings have named since the start.
func (v *voterMonitor) recordSeeds(seeds []string) {
	for _, seed := range seeds {
		if !slices.Contains(v.seedsSeen, seed) {
			v.seedsSeen = append(v.seedsSeen, seed)
		}
	}
}

// ownStatus returns this process's own status, but for RemovedFromSeeds; ok is false if it is a voter, or may not become one.
func (v *voterMonitor) ownStatus(now time.Time, voters consensus.VoterSet) (self consensus.PeerStatus, ok bool) {
	status := v.acceptor.status()
	if voters.Contains(v.self) || !status.ready {
		return consensus.PeerStatus{}, false
	}
	return consensus.PeerStatus{
		Node:          v.self,
		Responsive:    true,
		StateDuration: now.Sub(status.readySince),
		Ready:         true,
	}, true
}

// plan returns the change that is needed, or the zero change if none is, or if voters were replaced too recently.
func (v *voterMonitor) plan(now time.Time, voters consensus.VoterSet, peers []consensus.PeerStatus) consensus.VoterChange {
	var change consensus.VoterChange
	if len(voters.Voters) > 0 {
		change = consensus.PlanVoterChange(voters, peers, v.tolerated)
	}
	if change.Remove != "" && !v.limiter.allows(now, v.tolerated) {
		change = consensus.VoterChange{}
	}
	if change != v.planned {
		v.planned = change
		v.plannedSince = now
	}
	return change
}

// rank returns how many responsive processes precede this one by name.
func rank(self string, peers []consensus.PeerStatus) (before int) {
	for _, peer := range peers {
		if peer.Responsive && peer.Node < self {
			before++
		}
	}
	return before
}
