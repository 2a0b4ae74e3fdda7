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

// announceMetadata announces new metadata through memberlist until ctx ends. An announcement blocks until others have it, so it runs
// apart from the loop: the view would take a tick that is late for a standstill of the process.
func (g *Group) announceMetadata(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.metadataChanged:
			_ = g.list.UpdateNode(updateTimeout) // fails by a timeout; the next full exchange carries the metadata too
		}
	}
}

// work is what a tick has to do after it has released g.mu.
type work struct {
	changes         []peers.Change
	share           peers.Share
	shareChanged    bool
	settledNames    []string       // nil if the settled group is unchanged
	knownAddresses  []string       // set with settledNames
	disputed        []peers.Record // of members that are reachable, though others say that they are gone
	metadataChanged bool
	exchangeWith    string // an address; empty for none
	join            bool   // an attempt to join is due
	missing         bool   // members are missing
}

// tick advances the view to the present time, and does the work that results from it.
func (g *Group) tick() {
	ready := g.config.Ready == nil || g.config.Ready()
	todo := g.updateView(ready)
	g.logChanges(todo.changes)
	if todo.shareChanged {
		g.publishShare(&todo.share)
	}
	if todo.settledNames != nil {
		g.config.OnSettled(todo.settledNames, todo.knownAddresses)
	}
	g.sendDisputed(todo.disputed)
	if todo.metadataChanged {
		select {
		case g.metadataChanged <- struct{}{}:
		default: // the pending announcement reads the latest metadata
		}
	}
	g.startJoin(todo.exchangeWith, todo.join, todo.missing)
}

// updateView advances the view, and broadcasts the records that are new in it.
func (g *Group) updateView(ready bool) (todo work) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if ready && g.view.Self().State == peers.Joining {
		g.view.SetState(now, peers.Serving)
	}
	g.broadcast(g.view.Tick(now)...)
	todo.metadataChanged = g.announceSelf()
	if now-g.lastDispute >= g.config.ProbeInterval {
		todo.disputed = g.view.Disputed()
		g.lastDispute = now
	}
	share, ok := g.view.Share(now)
	if ok && (!g.haveShare || !share.Equal(&g.share) || share.Confidence != g.share.Confidence) {
		todo.share = share
		todo.shareChanged = true
		g.share = share
		g.haveShare = true
		todo.settledNames, todo.knownAddresses = g.newSettledGroup()
	}
	todo.missing = !ok || share.Confidence == peers.Partitioned
	todo.join = g.joinSchedule.Due(now, todo.missing)
	todo.exchangeWith = g.exchangeWith
	g.exchangeWith = ""
	todo.changes = g.view.TakeChanges()
	return todo
}

// announceSelf broadcasts this member's record if it has changed or others have to be reminded of it. It reports whether the record has
// changed. The caller holds g.mu.
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

// newSettledGroup returns the group that settled last and the known addresses, or nil if OnSettled has been called with that group. The
// caller holds g.mu.
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

// publishShare logs a share and passes it to OnShare.
func (g *Group) publishShare(s *peers.Share) {
	g.config.Log.Info("peers", "confidence", s.Confidence, "instances", s.Instances, "ordinal", s.Ordinal,
		"sharing", s.MaxInstances, "placed", s.OwnsName)
	g.config.OnShare(*s)
}

// logChanges logs the changes of members' states.
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

// sendDisputed sends members the records that call them gone, for them to refute.
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
			_ = g.list.SendBestEffort(n, g.encodeRecords(r)) // a record that is lost is sent again while the dispute lasts
		}
	}
}
