package controlplane

import (
	"context"
	"slices"
	"time"

	"gingerlead/internal/mesh/control/consensus"

	"github.com/gravitational/trace"
)

const (
	reconfigureInterval = time.Second
	reconfigureTimeout  = 2 * time.Second // for one change of the voters
)

// presence is since when a core process is here, or away.
type presence struct {
	here  bool
	since time.Time
}

// attend keeps up with the voters' list, and sees to it that there are enough voters. Every core process does: the first of
// those that are there acts at once, the next ones only if the need stays, and two that act at once race.
func (d *Server) reconfigureLoop() {
	tick := time.NewTicker(reconfigureInterval)
	defer tick.Stop()
	core := map[string]presence{}
	var named []string // by any seeds so far
	var need consensus.MembershipChange
	var since time.Time
	for {
		select {
		case <-tick.C:
		case <-d.ctx.Done():
			return
		}
		d.followChanges()
		if d.o.Cores == nil {
			continue
		}
		now := time.Now()
		here := append(slices.Clone(d.o.Cores()), d.o.Self)
		slices.Sort(here)
		d.mu.Lock()
		seeds := d.seeds
		d.mu.Unlock()
		for _, s := range seeds {
			if !slices.Contains(named, s) {
				named = append(named, s)
			}
		}
		e := d.Membership()
		updatePresence(core, here, e.Voters, now)
		move := consensus.PlanMembership(e, presenceList(core, seeds, named, now), d.o.Tolerated)
		if move != need {
			need, since = move, now
		}
		rank, _ := slices.BinarySearch(slices.Compact(here), d.o.Self)
		if move == (consensus.MembershipChange{}) || len(e.Voters) == 0 || now.Sub(since) < time.Duration(rank)*2*reconfigureInterval {
			continue
		}
		ctx, cancel := context.WithTimeout(d.ctx, reconfigureTimeout)
		if err := d.changeMembership(ctx, e, move); err != nil {
			d.o.Log.WithError(err).WithField("add", move.Add).WithField("remove", move.Remove).Warn("voters can't be changed")
		}
		cancel()
	}
}

// look notes who is here and who isn't.
func updatePresence(core map[string]presence, here, voters []string, now time.Time) {
	for _, node := range append(slices.Clone(here), voters...) {
		if _, ok := core[node]; !ok {
			core[node] = presence{since: now}
		}
	}
	for node, p := range core {
		is := slices.Contains(here, node)
		if p.here != is {
			core[node] = presence{here: is, since: now}
		}
		if !is && !slices.Contains(voters, node) {
			delete(core, node)
		}
	}
}

func presenceList(core map[string]presence, seeds, named []string, now time.Time) (list []consensus.Presence) {
	for node, p := range core {
		list = append(list, consensus.Presence{Node: node, Alive: p.here, For: now.Sub(p.since),
			Dropped: slices.Contains(named, node) && !slices.Contains(seeds, node)})
	}
	return list
}

// keepUp writes down the newest list, and asks one peer whether it knows a newer one.
func (d *Server) followChanges() {
	d.mu.Lock()
	e, behind := d.voters, d.voters.Epoch > d.kept && d.ready
	i := int(d.rng.Uint32())
	d.mu.Unlock()
	if behind {
		ctx, cancel := context.WithTimeout(d.ctx, askTimeout)
		_, _ = d.do(ctx, &job{decided: &e}) // again at the next tick
		cancel()
	}
	peers := d.peers()
	if len(peers) == 0 || len(e.Voters) == 0 {
		return
	}
	answers := d.broadcast([]string{peers[i%len(peers)]}, &consensus.Request{Kind: consensus.Describe})
	go func() {
		if a := <-answers; a.reply != nil {
			d.adoptMembership(a.reply.Membership)
		}
	}()
}

// Seeds tells that the operator's settings name other seeds now.
func (d *Server) Seeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = slices.Clone(seeds)
}

// move changes the voters by one.
func (d *Server) changeMembership(ctx context.Context, e consensus.Membership, m consensus.MembershipChange) error {
	if m.Add != "" {
		reply, err := d.describe(ctx, m.Add)
		if err != nil {
			return trace.Wrap(err)
		}
		if !reply.Ready {
			return trace.CompareFailed("%s isn't ready to vote", m.Add)
		}
	}
	change := consensus.NewMembershipChange(e, m)
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
	return nil
}

func (d *Server) describe(ctx context.Context, node string) (*consensus.Reply, error) {
	select {
	case a := <-d.broadcast([]string{node}, &consensus.Request{Kind: consensus.Describe}):
		if a.reply != nil {
			return a.reply, nil
		}
		return nil, trace.ConnectionProblem(nil, "%s doesn't answer", node)
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
}

// Add makes a core process a voter.
func (d *Server) Add(ctx context.Context, node string) error {
	return trace.Wrap(d.applyMembershipChange(ctx, consensus.MembershipChange{Add: node}, func(e consensus.Membership) bool { return e.Has(node) }))
}

// Retire takes a voter out for good, unless it is added by Add again. Another takes its place in a while, if there is one.
func (d *Server) Retire(ctx context.Context, node string) error {
	return trace.Wrap(d.applyMembershipChange(ctx, consensus.MembershipChange{Remove: node, Retire: true},
		func(e consensus.Membership) bool { return !e.Has(node) }))
}

// insist makes a move again, on the newest list, until it is made.
func (d *Server) applyMembershipChange(ctx context.Context, m consensus.MembershipChange, made func(consensus.Membership) bool) error {
	pause := pauseMin
	for {
		if _, err := d.Newest(ctx); err != nil {
			return trace.Wrap(err)
		}
		e := d.Membership()
		if made(e) {
			return nil
		}
		err := d.changeMembership(ctx, e, m)
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
