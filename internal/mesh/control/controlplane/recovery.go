package controlplane

import (
	"slices"
	"time"

	"quincegap/internal/mesh/control/consensus"

	"github.com/gravitational/trace"
)

// recover makes the record of a process that has none: the list of voters comes from any peer, and what the voters promised and
// accepted from enough of them. A process outside the list may become a voter from then on.
func (d *Server) recover(life uint64, blank bool) {
	pause := recoverDelay
	for ; d.ctx.Err() == nil; _ = d.pause(d.ctx, &pause) {
		e := d.Membership()
		var record consensus.Record
		ok := false
		switch {
		case len(e.Voters) == 0:
			d.findMembership()
		default:
			record, ok, life = d.recoverReplica(e, life, blank)
		}
		if !ok {
			continue
		}
		if _, err := d.do(d.ctx, &job{record: &record}); err == nil || trace.IsAlreadyExists(err) {
			d.o.Log.WithField("life", record.State.DiskIncarnation).Info("the voter's record is made")
			return
		}
	}
}

// peers are the seeds and the core processes that are there, without this one.
func (d *Server) peers() []string {
	d.mu.Lock()
	peers := slices.Clone(d.seeds)
	d.mu.Unlock()
	if d.o.Cores != nil {
		peers = append(peers, d.o.Cores()...)
	}
	slices.Sort(peers)
	return slices.DeleteFunc(slices.Compact(peers), func(s string) bool { return s == d.o.Self })
}

// findMembership asks all for the voters' list.
func (d *Server) findMembership() {
	peers := d.peers()
	answers := d.broadcast(peers, &consensus.Request{Kind: consensus.Describe})
	for range peers {
		select {
		case a := <-answers:
			if a.reply != nil && len(a.reply.VoterSet.Voters) > 0 {
				d.adoptSystem(a.reply.System)
				d.adoptMembership(a.reply.VoterSet)
				return
			}
		case <-d.ctx.Done():
			return
		}
	}
}

// recoverReplica is one attempt to recover; it returns the incarnation for another one.
func (d *Server) recoverReplica(e consensus.VoterSet, life uint64, blank bool) (consensus.Record, bool, uint64) {
	y, q := consensus.NewRecovery(d.o.Self, e, life, blank)
	timer := time.NewTimer(recoverTimeout)
	defer timer.Stop()
	answers := make(chan answer, 64)
	asked := map[string]bool{}
	for left := 0; ; left-- {
		for _, node := range y.Recipients() { // which may grow with each answer
			if !asked[node] && len(asked) < cap(answers) {
				asked[node] = true
				left++
				one := d.broadcast([]string{node}, q)
				go func() { answers <- <-one }()
			}
		}
		if left == 0 {
			return consensus.Record{}, false, y.NextDiskIncarnation()
		}
		select {
		case a := <-answers:
			if a.reply == nil {
				continue
			}
			if record, ok := y.Step(a.node, a.reply); ok {
				return record, true, 0
			}
		case <-timer.C:
			return consensus.Record{}, false, y.NextDiskIncarnation()
		}
	}
}
