package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"quincegap/internal/modules/peers"
)

// run ticks and answers queries until ctx ends.
func (g *Group) run(ctx context.Context) {
	defer close(g.loopDone)
	ticker := time.NewTicker(max(g.config.SettleAfter/ticksPerSettle, minTick))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case answer := <-g.queries:
			answer()
		case <-ticker.C:
			g.tick()
		}
	}
}

// announceMetadata has memberlist announce new metadata, which waits until others have it. It is apart from the loop, whose view
// would take such a wait for a standstill.
func (g *Group) announceMetadata(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.metadataChanged:
			_ = g.list.UpdateNode(updateTimeout) // a timeout where nobody hears it; the next full exchange carries it too
		}
	}
}

// work is what a tick finds to be done once g.mu is free.
type work struct {
	changes         []peers.Change
	share           peers.Share
	shareChanged    bool
	settledNames    []string // nil if they are the same as before
	knownAddresses  []string // goes with settledNames
	disputed        []peers.Record
	metadataChanged bool
	exchangeWith    string // an address; empty for none
	join            bool   // addresses are due
	missing         bool   // members are
}

// tick moves the view on, and does what that asks for.
func (g *Group) tick() {
	ready := g.config.Ready == nil || g.config.Ready()
	w := g.updateView(ready)
	g.logChanges(w.changes)
	if w.shareChanged {
		g.publishShare(&w.share)
	}
	if w.settledNames != nil {
		g.config.OnSettled(w.settledNames, w.knownAddresses)
	}
	g.sendDisputed(w.disputed)
	if w.metadataChanged {
		select {
		case g.metadataChanged <- struct{}{}:
		default: // the announcement that is pending takes this one along
		}
	}
	g.startJoin(w.exchangeWith, w.join, w.missing)
}

// updateView moves the view on, and broadcasts what is new in it.
func (g *Group) updateView(ready bool) (w work) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if ready && g.view.Self().State == peers.Joining {
		g.view.SetState(now, peers.Serving)
	}
	g.broadcast(g.view.Tick(now)...)
	w.metadataChanged = g.announceSelf()
	if now-g.lastDispute >= g.config.ProbeInterval {
		w.disputed = g.view.Disputed()
		g.lastDispute = now
	}
	share, ok := g.view.Share(now)
	if ok && (!g.haveShare || !share.Equal(&g.share) || share.Confidence != g.share.Confidence) {
		w.share = share
		w.shareChanged = true
		g.share = share
		g.haveShare = true
		w.settledNames, w.knownAddresses = g.newSettledGroup()
	}
	w.missing = !ok || share.Confidence == peers.Partitioned
	w.join = g.joinSchedule.Due(now, w.missing)
	w.exchangeWith = g.exchangeWith
	g.exchangeWith = ""
	w.changes = g.view.TakeChanges()
	return w
}

// announceSelf broadcasts this member's record if it is another than before, or was refuted, and tells whether it is another.
// g.mu is held.
func (g *Group) announceSelf() bool {
	self := g.view.Self()
	changed := self != g.announced
	if changed || g.reannounce {
		g.announced = self
		g.reannounce = false
		g.broadcast(self)
	}
	return changed
}

// newSettledGroup is the group that was settled last, with the addresses that are known, if OnSettled does not have it yet; else
// nil. g.mu is held.
func (g *Group) newSettledGroup() (names, addresses []string) {
	if g.config.OnSettled == nil {
		return nil, nil
	}
	names = g.view.SettledGroup()
	if names == nil || slices.Equal(names, g.lastSettled) {
		return nil, nil
	}
	g.lastSettled = names
	return names, g.joinSchedule.Learned()
}

func (g *Group) publishShare(s *peers.Share) {
	g.config.Log.Info("peers", "confidence", s.Confidence, "instances", s.Instances, "ordinal", s.Ordinal, "sharing", s.MaxInstances, "placed", s.OwnsName)
	g.config.OnShare(*s)
}

func (g *Group) logChanges(changes []peers.Change) {
	for _, c := range changes {
		from := c.From.String()
		if c.From == 0 {
			from = "new"
		}
		g.config.Log.Info("peer", "name", c.Name, "process", peers.FormatProcess(c.Process), "from", from, "to", c.To.String(),
			"cause", c.Cause, "witness", c.Witness)
	}
}

// sendDisputed tells members that they are said to be gone, for them to refute it.
func (g *Group) sendDisputed(disputed []peers.Record) {
	if len(disputed) == 0 {
		return
	}
	nodes := map[string]*memberlist.Node{}
	for _, n := range g.list.Members() {
		nodes[n.Name] = n
	}
	for _, r := range disputed {
		if n := nodes[formatNodeName(r.Name, r.Process)]; n != nil {
			_ = g.list.SendBestEffort(n, g.encodeRecords(r)) // one that is lost is sent again
		}
	}
}
