package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
)

const (
	reconfigureInterval = 250 * time.Millisecond // time between two ticks of a voterMonitor
	reconfigureTimeout  = 2 * time.Second        // timeout of one change of the voters
	probeTicks          = 2                      // number of ticks from one probe of a process to the next
	rankDelay           = 500 * time.Millisecond // additional delay before a change for each rank
	suspendThreshold    = time.Second            // time between two ticks above which the process was suspended
	maxQueuedReplies    = 64                     // capacity of the queue of replies to probes
)

// voterMonitor probes the core processes, adds voters while there are too few, and replaces lost ones. Each core process has a
// voterMonitor. The responsive process whose name sorts first has rank 0 and makes a change immediately. Each next one waits longer
// (rankDelay), and makes the change only if it is still needed. Two that act at the same time compete like any proposers. Only the
// goroutine of run uses the state of a voterMonitor.
type voterMonitor struct {
	self      string
	tolerated int // number of machines that may be lost at once
	log       *logrus.Logger
	lifetime  *lifetime
	learner   *learner
	directory *coreDirectory
	client    *peerClient
	acceptor  *acceptor
	manager   *voterManager

	detector     failureDetector
	limiter      replacementLimiter
	replies      chan peerReply        // replies to probes
	changeDone   chan struct{}         // signal that the change in progress has ended
	changing     bool                  // whether a change is in progress
	seedsSeen    []string              // all seeds that the settings have contained since the start
	lastTick     time.Time             // time of the last tick
	ticks        int                   // number of ticks since the start
	planned      consensus.VoterChange // change that was planned at the last tick; zero if none was
	plannedSince time.Time             // time since which planned has its value
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

// run calls tick every reconfigureInterval, and processes replies to probes, until ctx ends.
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

// tick probes the other processes, publishes their statuses, plans a change of the voters, and starts the change once this process's
// delay has passed.
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
			v.log.WithError(err).WithField("add", change.Add).WithField("remove", change.Remove).Warn("failed to change the voters")
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

// peerStatuses returns the statuses of the core processes, including this one if it may become a voter. It passes the statuses of the
// others, and the unresponsive voters, to the voterManager.
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

// recordSeeds adds seeds to seedsSeen.
func (v *voterMonitor) recordSeeds(seeds []string) {
	for _, seed := range seeds {
		if !slices.Contains(v.seedsSeen, seed) {
			v.seedsSeen = append(v.seedsSeen, seed)
		}
	}
}

// ownStatus returns the status of this process, except RemovedFromSeeds. ok is false if the process is already a voter or is not ready.
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

// plan returns the change that is needed. It returns the zero change if none is needed, or if the limiter does not allow a replacement now.
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

// rank returns the number of responsive processes whose name sorts before that of this process.
func rank(self string, peers []consensus.PeerStatus) (before int) {
	for _, peer := range peers {
		if peer.Responsive && peer.Node < self {
			before++
		}
	}
	return before
}
