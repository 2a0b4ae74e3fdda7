package controlplane

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

// recoverRecord makes the record of a process that has none: the list of voters comes from any peer, and what the voters promised and
// accepted from enough of them. A process outside the list may become a voter from then on.
func (d *Server) recoverRecord(life uint64, blank bool) {
	pause := minRecoveryBackoff
	for ; d.ctx.Err() == nil; _ = d.backOff(d.ctx, &pause) {
		e := d.VoterSet()
		var record consensus.Record
		ok := false
		switch {
		case len(e.Voters) == 0:
			d.findVoterSet()
		default:
			record, ok, life = d.tryRecovery(e, life, blank)
		}
		if !ok {
			continue
		}
		if _, err := d.submit(d.ctx, &acceptorJob{recovered: &record}); err == nil || trace.IsAlreadyExists(err) {
			d.options.Log.WithField("life", record.State.DiskIncarnation).Info("the voter's record is made")
			return
		}
	}
}

// recoveryPeers are the seeds and the core processes that are there, without this one.
func (d *Server) recoveryPeers() []string {
	d.mu.Lock()
	peers := slices.Clone(d.seeds)
	d.mu.Unlock()
	if d.options.Cores != nil {
		peers = append(peers, d.options.Cores()...)
	}
	slices.Sort(peers)
	return slices.DeleteFunc(slices.Compact(peers), func(s string) bool { return s == d.options.Self })
}

// findVoterSet asks all for the voters' list.
func (d *Server) findVoterSet() {
	peers := d.recoveryPeers()
	answers := d.broadcast(peers, &consensus.Request{Kind: consensus.Describe})
	for range peers {
		select {
		case a := <-answers:
			if a.reply != nil && len(a.reply.VoterSet.Voters) > 0 {
				d.adoptSystemID(a.reply.System)
				d.adoptVoterSet(a.reply.VoterSet)
				return
			}
		case <-d.ctx.Done():
			return
		}
	}
}

// tryRecovery is one attempt to recover; it returns the incarnation for another one.
func (d *Server) tryRecovery(e consensus.VoterSet, life uint64, blank bool) (consensus.Record, bool, uint64) {
	y, q := consensus.NewRecovery(d.options.Self, e, life, blank)
	timer := time.NewTimer(recoveryTimeout)
	defer timer.Stop()
	answers := make(chan peerReply, 64)
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
