package controlplane

import (
	"context"
	"slices"
	"strings"
	"time"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/transport/codec"

	"github.com/gravitational/trace"
)

const (
	reconfigureInterval = 250 * time.Millisecond
	probeTicks          = 2                      // of the interval, between two probes of a process
	probeTimeout        = 600 * time.Millisecond // for an answer to a probe
	rankDelay           = 500 * time.Millisecond // by which each next process of the core waits longer before it acts
	wakeAfter           = time.Second            // a tick that comes so late means that this process stood still
	reconfigureTimeout  = 2 * time.Second        // for one change of the voters
	spareWait           = 2 * time.Second        // a leaving voter waits for a process that is about to be ready
)

func compareNodes(a, b string) int { return strings.Compare(a, b) }

// reconfigurer follows the list of voters and sees to it that there are enough of them. Every process of the core has one: the
// first of those that are there acts at once, the next ones only if the need stays; two that act at once race.
type reconfigurer struct {
	server   *Server
	table    peerTable
	made     replacements
	answers  chan answer
	finished chan struct{} // a change that was begun is over
	changing bool
	named    []string // by any seeds so far
	last     time.Time
	ticks    int
	need     consensus.VoterChange
	since    time.Time // of need
}

func (d *Server) reconfigureLoop() {
	r := &reconfigurer{server: d, answers: make(chan answer, 64), finished: make(chan struct{}, 1), last: time.Now()}
	tick := time.NewTicker(reconfigureInterval)
	defer tick.Stop()
	for {
		select {
		case a := <-r.answers:
			r.table.answered(time.Now(), a.node, a.reply)
		case <-r.finished:
			r.changing = false
		case <-tick.C:
			r.step(time.Now())
		case <-d.ctx.Done():
			return
		}
	}
}

// step is one turn: probe, tell what was found, plan, act.
func (r *reconfigurer) step(now time.Time) {
	d := r.server
	if now.Sub(r.last) > wakeAfter {
		r.table.wake(now)
	}
	r.last = now
	e := d.Membership()
	r.table.track(now, r.others(e))
	r.made.observe(now, e)
	if r.ticks++; r.ticks%probeTicks == 0 {
		r.probe()
		d.persistMembership(e)
	}
	if d.o.Cores == nil {
		return
	}
	presence := r.presence(now, e)
	change := r.plan(now, e, presence)
	if change == (consensus.VoterChange{}) || r.changing || now.Sub(r.since) < rankDelay*time.Duration(rank(d.o.Self, presence)) {
		return
	}
	r.changing = true
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, reconfigureTimeout)
		defer cancel()
		if err := d.changeMembership(ctx, e, change); err != nil {
			d.o.Log.WithError(err).WithField("add", change.Add).WithField("remove", change.Remove).Warn("voters can't be changed")
		}
		r.finished <- struct{}{}
	})
}

// others are the processes whose answers matter: voters, and all that are there.
func (r *reconfigurer) others(e consensus.VoterSet) []string {
	nodes := append(r.server.peersThere(), e.Voters...)
	slices.Sort(nodes)
	return slices.DeleteFunc(slices.Compact(nodes), func(s string) bool { return s == r.server.o.Self })
}

// probe asks the others what they know. It also brings newer lists of voters.
func (r *reconfigurer) probe() {
	d := r.server
	for _, node := range r.table.due() {
		d.wg.Go(func() {
			reply, err := d.describe(d.ctx, node)
			if err == nil {
				d.adoptSystem(reply.System)
				d.adoptMembership(reply.VoterSet)
			}
			select {
			case r.answers <- answer{node, reply}:
			case <-d.ctx.Done():
			}
		})
	}
}

// presence is what is known of the others now. It is also what this process tells them.
func (r *reconfigurer) presence(now time.Time, e consensus.VoterSet) []consensus.PeerStatus {
	d := r.server
	silent := r.table.silent(now, e.Voters)
	d.mu.Lock()
	seeds := d.seeds
	d.silent = silent
	d.mu.Unlock()
	for _, s := range seeds {
		if !slices.Contains(r.named, s) {
			r.named = append(r.named, s)
		}
	}
	own := silent
	if !e.Contains(d.o.Self) {
		own = nil
	}
	presence := r.table.presence(now, e.Voters, own, func(node string) bool {
		return slices.Contains(r.named, node) && !slices.Contains(seeds, node)
	})
	d.mu.Lock()
	d.presence = presence
	if !e.Contains(d.o.Self) && d.ready {
		presence = append(slices.Clone(presence), consensus.PeerStatus{Node: d.o.Self, Responsive: true, StateDuration: now.Sub(d.readySince), Ready: true,
			RemovedFromSeeds: slices.Contains(r.named, d.o.Self) && !slices.Contains(seeds, d.o.Self)})
	}
	d.mu.Unlock()
	return presence
}

// plan is the change that is needed, if it may be made yet.
func (r *reconfigurer) plan(now time.Time, e consensus.VoterSet, presence []consensus.PeerStatus) consensus.VoterChange {
	var change consensus.VoterChange
	if len(e.Voters) > 0 {
		change = consensus.PlanVoterChange(e, presence, r.server.o.Tolerated)
	}
	if change.Remove != "" && !r.made.allowed(now, r.server.o.Tolerated) {
		change = consensus.VoterChange{}
	}
	if change != r.need {
		r.need, r.since = change, now
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

// peersThere are the processes of the core that are there, as far as members tell each other.
func (d *Server) peersThere() []string {
	if d.o.Cores == nil {
		return nil
	}
	return slices.Clone(d.o.Cores())
}

// persistMembership writes down the newest list, if the record on disk has an older one.
func (d *Server) persistMembership(e consensus.VoterSet) {
	d.mu.Lock()
	behind := e.Epoch > d.kept && d.ready && !d.persisting
	d.persisting = d.persisting || behind
	d.mu.Unlock()
	if !behind {
		return
	}
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, askTimeout)
		defer cancel()
		_, _ = d.do(ctx, &job{decided: &e}) // again at a later tick
		d.mu.Lock()
		defer d.mu.Unlock()
		d.persisting = false
	})
}

// Seeds tells that the operator's settings name other seeds now.
func (d *Server) Seeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = slices.Clone(seeds)
}

// changeMembership makes one change of the voters. When it returns without an error a majority of the new list has the list and
// the newest value on disk, so that a removed voter may be switched off.
func (d *Server) changeMembership(ctx context.Context, e consensus.VoterSet, m consensus.VoterChange) error {
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
	r, err := d.rounds(ctx, false, change)
	if err != nil {
		return trace.Wrap(err)
	}
	if r.Verdict != consensus.Applied {
		return trace.CompareFailed("the voters have changed")
	}
	_, err = d.Newest(ctx)
	return trace.Wrap(err)
}

// describe asks a process for the list that it knows, and for its own state.
func (d *Server) describe(ctx context.Context, node string) (*consensus.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	q := d.sign(consensus.Request{Kind: consensus.Describe, VoterSet: d.Membership()})
	return d.ask(ctx, node, q, codec.Write(nil, &q))
}

// Add makes a core process a voter.
func (d *Server) Add(ctx context.Context, node string) error {
	return trace.Wrap(d.applyMembershipChange(ctx, func(e consensus.VoterSet) consensus.VoterChange {
		if e.Contains(node) {
			return consensus.VoterChange{}
		}
		return consensus.VoterChange{Add: node}
	}))
}

// Retire takes a voter out for good, unless it is added by Add again. Another takes its place in the same step if there is one,
// and else as soon as there is.
func (d *Server) Retire(ctx context.Context, node string) error {
	return trace.Wrap(d.applyMembershipChange(ctx, func(e consensus.VoterSet) consensus.VoterChange {
		if !e.Contains(node) {
			return consensus.VoterChange{}
		}
		return consensus.VoterChange{Add: consensus.PlanHandover(e, d.knownPresence(), node).Add, Remove: node, Retire: true}
	}))
}

// HandOver gives this process's place among the voters to another one before it ends. Without one that is ready, or will be
// soon, it stays a voter, as one that is only restarted does.
func (d *Server) HandOver(ctx context.Context) error {
	began := time.Now()
	return trace.Wrap(d.applyMembershipChange(ctx, func(e consensus.VoterSet) consensus.VoterChange {
		for ctx.Err() == nil && e.Contains(d.o.Self) {
			if change := consensus.PlanHandover(e, d.knownPresence(), d.o.Self); change != (consensus.VoterChange{}) {
				return change
			}
			joining := slices.ContainsFunc(d.peersThere(), func(node string) bool {
				return node != d.o.Self && !e.Contains(node) && !slices.Contains(e.Retired, node)
			})
			if !joining || time.Since(began) > spareWait {
				break
			}
			pause := pauseMin
			_ = d.pause(ctx, &pause) // a presence comes with the next probe
		}
		return consensus.VoterChange{}
	}))
}

// knownPresence is what the last turn of the reconfigurer found.
func (d *Server) knownPresence() []consensus.PeerStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.presence)
}

// applyMembershipChange makes the change that is wanted on the newest list, again until none is.
func (d *Server) applyMembershipChange(ctx context.Context, wanted func(consensus.VoterSet) consensus.VoterChange) error {
	pause := pauseMin
	for {
		if _, err := d.Newest(ctx); err != nil {
			return trace.Wrap(err)
		}
		e := d.Membership()
		change := wanted(e)
		if change == (consensus.VoterChange{}) {
			return nil
		}
		err := d.changeMembership(ctx, e, change)
		if ctx.Err() != nil {
			return trace.Wrap(err)
		}
		if err != nil {
			if err := d.pause(ctx, &pause); err != nil {
				return trace.Wrap(err)
			}
		}
	}
}
