package prompter

import (
	"context"
	"slices"
	"time"

	"gingerlead/internal/mesh/promptbook"

	"github.com/gravitational/trace"
)

const (
	attendEach = time.Second
	moveTime   = 2 * time.Second // for one change of the voters
)

// presence is since when a core process is here, or away.
type presence struct {
	here  bool
	since time.Time
}

// attend keeps up with the voters' list, and sees to it that there are enough voters. Every core process does: the first of
// those that are there acts at once, the next ones only if the need stays, and two that act at once race.
func (d *Desk) attend() {
	tick := time.NewTicker(attendEach)
	defer tick.Stop()
	core := map[string]presence{}
	var named []string // by any seeds so far
	var need promptbook.Move
	var since time.Time
	for {
		select {
		case <-tick.C:
		case <-d.ctx.Done():
			return
		}
		d.keepUp()
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
		e := d.Electorate()
		look(core, here, e.Voters, now)
		move := promptbook.Steward(e, present(core, seeds, named, now), d.o.Tolerated)
		if move != need {
			need, since = move, now
		}
		rank, _ := slices.BinarySearch(slices.Compact(here), d.o.Self)
		if move == (promptbook.Move{}) || len(e.Voters) == 0 || now.Sub(since) < time.Duration(rank)*2*attendEach {
			continue
		}
		ctx, cancel := context.WithTimeout(d.ctx, moveTime)
		if err := d.move(ctx, e, move); err != nil {
			d.o.Log.WithError(err).WithField("add", move.Add).WithField("remove", move.Remove).Warn("voters can't be changed")
		}
		cancel()
	}
}

// look notes who is here and who isn't.
func look(core map[string]presence, here, voters []string, now time.Time) {
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

func present(core map[string]presence, seeds, named []string, now time.Time) (list []promptbook.Presence) {
	for node, p := range core {
		list = append(list, promptbook.Presence{Node: node, Here: p.here, For: now.Sub(p.since),
			Dropped: slices.Contains(named, node) && !slices.Contains(seeds, node)})
	}
	return list
}

// keepUp writes down the newest list, and asks one peer whether it knows a newer one.
func (d *Desk) keepUp() {
	d.mu.Lock()
	e, behind := d.voters, d.voters.Epoch > d.kept && d.fit
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
	answers := d.broadcast([]string{peers[i%len(peers)]}, &promptbook.Request{Kind: promptbook.Introduce})
	go func() {
		if a := <-answers; a.reply != nil {
			d.setVoters(a.reply.Electorate)
		}
	}()
}

// Seeds tells that the operator's settings name other seeds now.
func (d *Desk) Seeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = slices.Clone(seeds)
}

// move changes the voters by one.
func (d *Desk) move(ctx context.Context, e promptbook.Electorate, m promptbook.Move) error {
	if m.Add != "" {
		reply, err := d.introduction(ctx, m.Add)
		if err != nil {
			return trace.Wrap(err)
		}
		if !reply.Fit {
			return trace.CompareFailed("%s isn't ready to vote", m.Add)
		}
	}
	change := promptbook.NewMove(e, m)
	if change == nil {
		return nil
	}
	r, err := d.rounds(ctx, false, change)
	if err != nil {
		return trace.Wrap(err)
	}
	if r.Verdict != promptbook.Taken {
		return trace.CompareFailed("the voters have changed")
	}
	return nil
}

func (d *Desk) introduction(ctx context.Context, node string) (*promptbook.Reply, error) {
	select {
	case a := <-d.broadcast([]string{node}, &promptbook.Request{Kind: promptbook.Introduce}):
		if a.reply != nil {
			return a.reply, nil
		}
		return nil, trace.ConnectionProblem(nil, "%s doesn't answer", node)
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
}

// Add makes a core process a voter.
func (d *Desk) Add(ctx context.Context, node string) error {
	return trace.Wrap(d.insist(ctx, promptbook.Move{Add: node}, func(e promptbook.Electorate) bool { return e.Has(node) }))
}

// Retire takes a voter out for good, unless it is added by Add again. Another takes its place in a while, if there is one.
func (d *Desk) Retire(ctx context.Context, node string) error {
	return trace.Wrap(d.insist(ctx, promptbook.Move{Remove: node, Retire: true},
		func(e promptbook.Electorate) bool { return !e.Has(node) }))
}

// insist makes a move again, on the newest list, until it is made.
func (d *Desk) insist(ctx context.Context, m promptbook.Move, made func(promptbook.Electorate) bool) error {
	pause := pauseMin
	for {
		if _, err := d.Newest(ctx); err != nil {
			return trace.Wrap(err)
		}
		e := d.Electorate()
		if made(e) {
			return nil
		}
		err := d.move(ctx, e, m)
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
