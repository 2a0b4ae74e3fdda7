package controlplane

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
)

const (
	minRecoveryBackoff = 20 * time.Millisecond  // delay after the first failed attempt
	recoveryTimeout    = 600 * time.Millisecond // timeout of one attempt
	maxRecoveryPeers   = 64                     // maximum number of processes that one attempt asks
)

// recoverer creates the record of an acceptor that has none. It learns the voter set from any peer, and the promises and votes from enough
// of the voters (consensus.Recovery). Its state is local to its goroutine (run).
type recoverer struct {
	self      string
	log       *logrus.Logger
	lifetime  *lifetime
	backoff   *backoff
	learner   *learner
	directory *coreDirectory
	client    *peerClient
	install   func(context.Context, consensus.Record) error // passes the record to the acceptor
}

// start recovers the record in the background. blankDisk is true if the disk was completely empty.
func (r *recoverer) start(diskIncarnation uint64, blankDisk bool) {
	r.lifetime.start(func(ctx context.Context) { r.run(ctx, diskIncarnation, blankDisk) })
}

// run makes recovery attempts until the acceptor has a record or ctx ends. Once it has a record, a process that is not a voter may become
// one.
func (r *recoverer) run(ctx context.Context, diskIncarnation uint64, blankDisk bool) {
	delay := minRecoveryBackoff
	for ; ctx.Err() == nil; _ = r.backoff.wait(ctx, &delay) {
		voters := r.learner.voterSet()
		if len(voters.Voters) == 0 {
			r.findVoterSet(ctx)
			continue
		}
		recovery, request := consensus.NewRecovery(r.self, voters, diskIncarnation, blankDisk)
		record, ok := r.attempt(recovery, request)
		if !ok {
			diskIncarnation = recovery.NextDiskIncarnation()
			continue
		}
		diskIncarnation = 0 // if install fails, the voters reject the next attempt and report an incarnation that can be used
		if err := r.install(ctx, record); err == nil || errors.Is(err, errRecordExists) {
			r.log.WithField("incarnation", record.State.DiskIncarnation).Info("the recovery has written the acceptor's record")
			return
		}
	}
}

// findVoterSet asks all peers for the voter set, and learns the first voter set that is reported.
func (r *recoverer) findVoterSet(ctx context.Context) {
	peers := r.directory.peers()
	replies := r.client.broadcast(peers, &consensus.Request{Kind: consensus.Describe})
	for range peers {
		select {
		case answer := <-replies:
			if answer.reply != nil && len(answer.reply.VoterSet.Voters) > 0 {
				r.learner.learnSystem(answer.reply.System)
				r.learner.learnVoterSet(answer.reply.VoterSet)
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// attempt makes one attempt to recover the record. Each reply may add recipients of the request. ok is false if no record was recovered
// before all asked processes replied or recoveryTimeout expired.
func (r *recoverer) attempt(recovery *consensus.Recovery, request *consensus.Request) (record consensus.Record, ok bool) {
	timer := time.NewTimer(recoveryTimeout)
	defer timer.Stop()
	replies := make(chan peerReply, maxRecoveryPeers)
	asked := map[string]bool{}
	for pending := 0; ; pending-- {
		for _, node := range recovery.Recipients() {
			if !asked[node] && len(asked) < maxRecoveryPeers {
				asked[node] = true
				pending++
				r.client.send([]string{node}, request, replies)
			}
		}
		if pending == 0 {
			return consensus.Record{}, false
		}
		select {
		case answer := <-replies:
			if answer.reply == nil {
				continue
			}
			if record, ok := recovery.Step(answer.node, answer.reply); ok {
				return record, true
			}
		case <-timer.C:
			return consensus.Record{}, false
		}
	}
}
