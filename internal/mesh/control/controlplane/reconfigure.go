package controlplane

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/transport/codec"
)

const (
	reconfigureInterval = 250 * time.Millisecond
	probeTicks          = 2                      // of the interval, between two probes of a process
	probeTimeout        = 600 * time.Millisecond // for an answer to a probe
	rankDelay           = 500 * time.Millisecond // by which each next process of the core waits longer before it acts
	suspendThreshold    = time.Second            // a tick that comes so late means that this process stood still
	reconfigureTimeout  = 2 * time.Second        // for one change of the voters
	standbyWait         = 2 * time.Second        // a leaving voter waits for a process that is about to be ready
)

func compareNodes(a, b string) int { return strings.Compare(a, b) }

// voterManager follows the list of voters and sees to it that there are enough of them. Every process of the core has one: the
// first of those that are there acts at once, the next ones only if the need stays; two that act at once race.
type voterManager struct {
	server       *Server
	detector     failureDetector
	limiter      replacementLimiter
	replies      chan peerReply
	changeDone   chan struct{} // a change that was begun is over
	changing     bool
	seedsSeen    []string // by any seeds so far
	lastTick     time.Time
	ticks        int
	planned      consensus.VoterChange
	plannedSince time.Time // of need
}

func (d *Server) runVoterManager() {
	r := &voterManager{server: d, replies: make(chan peerReply, 64), changeDone: make(chan struct{}, 1), lastTick: time.Now()}
	tick := time.NewTicker(reconfigureInterval)
	defer tick.Stop()
	for {
		select {
		case a := <-r.replies:
			r.detector.observeReply(time.Now(), a.node, a.reply)
		case <-r.changeDone:
			r.changing = false
		case <-tick.C:
			r.tick(time.Now())
		case <-d.ctx.Done():
			return
		}
	}
}

// tick is one turn: probe, tell what was found, plan, act.
func (v *voterManager) tick(now time.Time) {
	d := v.server
	if now.Sub(v.lastTick) > suspendThreshold {
		v.detector.resetTimeouts(now)
	}
	v.lastTick = now
	e := d.VoterSet()
	v.detector.track(now, v.peers(e))
	v.limiter.observe(now, e)
	if v.ticks++; v.ticks%probeTicks == 0 {
		v.probe()
		d.persistVoterSet(e)
	}
	if d.options.Cores == nil {
		return
	}
	presence := v.peerStatuses(now, e)
	change := v.plan(now, e, presence)
	if change == (consensus.VoterChange{}) || v.changing || now.Sub(v.plannedSince) < rankDelay*time.Duration(rank(d.options.Self, presence)) {
		return
	}
	v.changing = true
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, reconfigureTimeout)
		defer cancel()
		if err := d.changeVoters(ctx, e, change); err != nil {
			d.options.Log.WithError(err).WithField("add", change.Add).WithField("remove", change.Remove).Warn("voters can't be changed")
		}
		v.changeDone <- struct{}{}
	})
}

// peers are the processes whose answers matter: voters, and all that are there.
func (v *voterManager) peers(e consensus.VoterSet) []string {
	nodes := append(v.server.runningCores(), e.Voters...)
	slices.Sort(nodes)
	return slices.DeleteFunc(slices.Compact(nodes), func(s string) bool { return s == v.server.options.Self })
}

// probe asks the others what they know. It also brings newer lists of voters.
func (v *voterManager) probe() {
	d := v.server
	for _, node := range v.detector.startProbes() {
		d.wg.Go(func() {
			reply, err := d.describe(d.ctx, node)
			if err == nil {
				d.adoptSystemID(reply.System)
				d.adoptVoterSet(reply.VoterSet)
			}
			select {
			case v.replies <- peerReply{node, reply}:
			case <-d.ctx.Done():
			}
		})
	}
}

// peers is what is known of the others now. It is also what this process tells them.
func (v *voterManager) peerStatuses(now time.Time, e consensus.VoterSet) []consensus.PeerStatus {
	d := v.server
	silent := v.detector.unresponsive(now, e.Voters)
	d.mu.Lock()
	seeds := d.seeds
	d.unresponsive = silent
	d.mu.Unlock()
	for _, s := range seeds {
		if !slices.Contains(v.seedsSeen, s) {
			v.seedsSeen = append(v.seedsSeen, s)
		}
	}
	own := silent
	if !e.Contains(d.options.Self) {
		own = nil
	}
	presence := v.detector.peerStatuses(now, e.Voters, own, func(node string) bool {
		return slices.Contains(v.seedsSeen, node) && !slices.Contains(seeds, node)
	})
	d.mu.Lock()
	d.peers = presence
	if !e.Contains(d.options.Self) && d.ready {
		presence = append(slices.Clone(presence), consensus.PeerStatus{
			Node: d.options.Self, Responsive: true, StateDuration: now.Sub(d.readySince), Ready: true,
			RemovedFromSeeds: slices.Contains(v.seedsSeen, d.options.Self) && !slices.Contains(seeds, d.options.Self),
		})
	}
	d.mu.Unlock()
	return presence
}

// plan is the change that is needed, if it may be made yet.
func (v *voterManager) plan(now time.Time, e consensus.VoterSet, presence []consensus.PeerStatus) consensus.VoterChange {
	var change consensus.VoterChange
	if len(e.Voters) > 0 {
		change = consensus.PlanVoterChange(e, presence, v.server.options.Tolerated)
	}
	if change.Remove != "" && !v.limiter.allows(now, v.server.options.Tolerated) {
		change = consensus.VoterChange{}
	}
	if change != v.planned {
		v.planned, v.plannedSince = change, now
	}
	return change
}

// rank is the place of a process among those that are there.
func rank(self string, presence []consensus.PeerStatus) (n int) {
	for _, p := range presence {
		if p.Responsive && p.Node < self {
			n++
		}
	}
	return n
}

// runningCores are the processes of the core that are there, as far as members tell each other.
func (d *Server) runningCores() []string {
	if d.options.Cores == nil {
		return nil
	}
	return slices.Clone(d.options.Cores())
}

// persistVoterSet writes down the newest list, if the record on disk has an older one.
func (d *Server) persistVoterSet(e consensus.VoterSet) {
	d.mu.Lock()
	behind := e.Epoch > d.persistedEpoch && d.ready && !d.persisting
	d.persisting = d.persisting || behind
	d.mu.Unlock()
	if !behind {
		return
	}
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
		defer cancel()
		_, _ = d.submit(ctx, &acceptorJob{decided: &e}) // again at a later tick
		d.mu.Lock()
		defer d.mu.Unlock()
		d.persisting = false
	})
}

// SetSeeds tells that the operator's settings name other seeds now.
func (d *Server) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = slices.Clone(seeds)
}

// changeVoters makes one change of the voters. When it returns without an error a majority of the new list has the list and
// the newest value on disk, so that a removed voter may be switched off.
func (d *Server) changeVoters(ctx context.Context, e consensus.VoterSet, m consensus.VoterChange) error {
	if m.Add != "" {
		reply, err := d.describe(ctx, m.Add)
		if err != nil {
			return trace.Wrap(err)
		}
		if !reply.Ready {
			return trace.CompareFailed("%s isn't ready to vote", m.Add)
		}
	}
	change := consensus.NewVoterChange(e, m)
	if change == nil {
		return nil
	}
	r, err := d.runRounds(ctx, false, change)
	if err != nil {
		return trace.Wrap(err)
	}
	if r.Verdict != consensus.Applied {
		return trace.CompareFailed("the voters have changed")
	}
	_, err = d.ReadLatest(ctx)
	return trace.Wrap(err)
}

// describe asks a process for the list that it knows, and for its own state.
func (d *Server) describe(ctx context.Context, node string) (*consensus.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	q := d.sign(consensus.Request{Kind: consensus.Describe, VoterSet: d.VoterSet()})
	return d.ask(ctx, node, q, codec.MarshalAppend(nil, &q))
}

// AddVoter makes a core process a voter.
func (d *Server) AddVoter(ctx context.Context, node string) error {
	return trace.Wrap(d.applyVoterChange(ctx, func(e consensus.VoterSet) consensus.VoterChange {
		if e.Contains(node) {
			return consensus.VoterChange{}
		}
		return consensus.VoterChange{Add: node}
	}))
}

// RetireVoter takes a voter out for good, unless it is added by Add again. Another takes its place in the same step if there is one,
// and else as soon as there is.
func (d *Server) RetireVoter(ctx context.Context, node string) error {
	return trace.Wrap(d.applyVoterChange(ctx, func(e consensus.VoterSet) consensus.VoterChange {
		if !e.Contains(node) {
			return consensus.VoterChange{}
		}
		return consensus.VoterChange{Add: consensus.PlanHandover(e, d.knownPeers(), node).Add, Remove: node, Retire: true}
	}))
}

// HandOver gives this process's place among the voters to another one before it ends. Without one that is ready, or will be
// soon, it stays a voter, as one that is only restarted does.
func (d *Server) HandOver(ctx context.Context) error {
	began := time.Now()
	return trace.Wrap(d.applyVoterChange(ctx, func(e consensus.VoterSet) consensus.VoterChange {
		for ctx.Err() == nil && e.Contains(d.options.Self) {
			if change := consensus.PlanHandover(e, d.knownPeers(), d.options.Self); change != (consensus.VoterChange{}) {
				return change
			}
			joining := slices.ContainsFunc(d.runningCores(), func(node string) bool {
				return node != d.options.Self && !e.Contains(node) && !slices.Contains(e.Retired, node)
			})
			if !joining || time.Since(began) > standbyWait {
				break
			}
			pause := minBackoff
			_ = d.backOff(ctx, &pause) // a presence comes with the next probe
		}
		return consensus.VoterChange{}
	}))
}

// knownPeers is what the last turn of the reconfigurer found.
func (d *Server) knownPeers() []consensus.PeerStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.peers)
}

// applyVoterChange makes the change that is wanted on the newest list, again until none is.
func (d *Server) applyVoterChange(ctx context.Context, wanted func(consensus.VoterSet) consensus.VoterChange) error {
	pause := minBackoff
	for {
		if _, err := d.ReadLatest(ctx); err != nil {
			return trace.Wrap(err)
		}
		e := d.VoterSet()
		change := wanted(e)
		if change == (consensus.VoterChange{}) {
			return nil
		}
		err := d.changeVoters(ctx, e, change)
		if ctx.Err() != nil {
			return trace.Wrap(err)
		}
		if err != nil {
			if err := d.backOff(ctx, &pause); err != nil {
				return trace.Wrap(err)
			}
		}
	}
}
