package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"quincegap/internal/modules/peers"
)

// run calls tick at regular intervals and answers queries, until ctx is done.
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

// announceMetadata announces new metadata through memberlist until ctx is done. It runs in a separate goroutine because an announcement
// blocks until other members have received it: the view would interpret the delayed tick as a pause of the whole process.
func (g *Group) announceMetadata(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.metadataChanged:
			_ = g.list.UpdateNode(updateTimeout) // fails by a timeout; the next full exchange also carries the metadata
		}
	}
}

// tickActions lists the actions of a tick that are carried out after g.mu has been released.
type tickActions struct {
	changes         []peers.Change
	share           peers.Share
	shareChanged    bool
	settledNames    []string       // names of the newly settled group; nil if it is unchanged
	knownAddresses  []string       // known addresses, set if settledNames is
	disputed        []peers.Record // records of members that are reachable, though others report them as gone
	metadataChanged bool
	exchangeWith    string // address of the member to exchange all records with; empty for none
	join            bool   // whether an attempt to join is due
	missing         bool   // whether members are missing
}

// tick advances the view to the present time, and carries out the actions that result.
func (g *Group) tick() {
	ready := g.config.Ready == nil || g.config.Ready()
	actions := g.updateView(ready)
	g.logChanges(actions.changes)
	if actions.shareChanged {
		g.publishShare(&actions.share)
	}
	if actions.settledNames != nil {
		g.config.OnSettled(actions.settledNames, actions.knownAddresses)
	}
	g.sendDisputed(actions.disputed)
	if actions.metadataChanged {
		select {
		case g.metadataChanged <- struct{}{}:
		default: // the pending announcement reads the latest metadata
		}
	}
	g.startJoin(actions.exchangeWith, actions.join, actions.missing)
}

// updateView advances the view, broadcasts the records that this changes, and returns the remaining actions of the tick.
func (g *Group) updateView(ready bool) (actions tickActions) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if ready && g.view.Self().State == peers.Joining {
		g.view.SetState(now, peers.Serving)
	}
	g.broadcast(g.view.Tick(now)...)
	actions.metadataChanged = g.announceSelf()
	if now-g.lastDispute >= g.config.ProbeInterval {
		actions.disputed = g.view.Disputed()
		g.lastDispute = now
	}
	share, ok := g.view.Share(now)
	if ok && (!g.haveShare || !share.Equal(&g.share) || share.Confidence != g.share.Confidence) {
		actions.share = share
		actions.shareChanged = true
		g.share = share
		g.haveShare = true
		actions.settledNames, actions.knownAddresses = g.newSettledGroup()
	}
	actions.missing = !ok || share.Confidence == peers.Partitioned
	actions.join = g.joinSchedule.Due(now, actions.missing)
	actions.exchangeWith = g.exchangeWith
	g.exchangeWith = ""
	actions.changes = g.view.TakeChanges()
	return actions
}

// announceSelf broadcasts this member's record if it has changed or a repeat was requested by reannounce. It reports whether the record
// has changed. The caller holds g.mu.
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

// newSettledGroup returns the names of the last settled group and the known addresses; nil if there is no such group, OnSettled is not
// set, or it has already been called with that group. The caller holds g.mu.
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

// sendDisputed sends each member the record that reports it as gone, so that the member can refute it.
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
			_ = g.list.SendBestEffort(n, g.encodeRecords(r)) // a lost record is sent again while it is disputed
		}
	}
}
