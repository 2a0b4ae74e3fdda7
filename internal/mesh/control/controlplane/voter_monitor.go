package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
)

const (
	reconfigureInterval = 250 * time.Millisecond // between two turns of a voterMonitor
	reconfigureTimeout  = 2 * time.Second        // for one change of the voters
	probeTicks          = 2                      // turns between two probes of a process
	rankDelay           = 500 * time.Millisecond // by which each next process of the core waits longer before it acts
	suspendThreshold    = time.Second            // a turn that comes so late means that this process stood still
	maxQueuedReplies    = 64                     // to probes
)

// voterMonitor watches the core processes, and sees to it that there are enough voters and that lost ones are replaced. Each core
// process has one: the first of those that run acts at once, the next ones only if the need stays. Two that act at once compete
// as any proposers do. Its goroutine (run) has all of its state.
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
	changeDone   chan struct{}  // a change that was begun is over
	changing     bool
	seedsSeen    []string // all that any settings have named so far
	lastTick     time.Time
	ticks        int
	planned      consensus.VoterChange
	plannedSince time.Time
}

func newVoterMonitor(manager *voterManager, log *logrus.Logger) *voterMonitor {
	return &voterMonitor{
		self: manager.self, tolerated: manager.tolerated, log: log, lifetime: manager.lifetime, learner: manager.learner,
		directory: manager.directory, client: manager.client, acceptor: manager.acceptor, manager: manager,
		replies: make(chan peerReply, maxQueuedReplies), changeDone: make(chan struct{}, 1), lastTick: time.Now(),
	}
}

// run makes a turn at each interval until ctx ends.
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

// tick is one turn: probe the others, publish what was found, plan a change of the voters, and make it.
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

// begin makes a change in the background.
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

// probe asks the others what they know, which also brings newer voter sets.
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

// peerStatuses is what is known of the core processes now, this one included if it may become a voter. What is known of the others
// is published.
func (v *voterMonitor) peerStatuses(now time.Time, voters consensus.VoterSet) []consensus.PeerStatus {
	unresponsive := v.detector.unresponsive(now, voters.Voters)
	v.manager.setUnresponsiveVoters(unresponsive)
	seeds := v.directory.currentSeeds()
	for _, seed := range seeds {
		if !slices.Contains(v.seedsSeen, seed) {
			v.seedsSeen = append(v.seedsSeen, seed)
		}
	}
	removed := func(node string) bool { return slices.Contains(v.seedsSeen, node) && !slices.Contains(seeds, node) }
	reported := unresponsive
	if !voters.Contains(v.self) {
		reported = nil // only voters' reports count
	}
	peers := v.detector.peerStatuses(now, voters.Voters, reported, removed)
	v.manager.setKnownPeers(peers)
	status := v.acceptor.status()
	if voters.Contains(v.self) || !status.ready {
		return peers
	}
	self := consensus.PeerStatus{Node: v.self, Responsive: true, StateDuration: now.Sub(status.readySince), Ready: true, RemovedFromSeeds: removed(v.self)}
	return append(slices.Clone(peers), self)
}

// plan is the change that is needed, if it may be made yet.
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

// rank is how many of the processes that respond come before this one, by name.
func rank(self string, peers []consensus.PeerStatus) (before int) {
	for _, peer := range peers {
		if peer.Responsive && peer.Node < self {
			before++
		}
	}
	return before
}
