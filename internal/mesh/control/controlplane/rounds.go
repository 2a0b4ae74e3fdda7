package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

// runRound plays a round until it is over. Each phase waits for replies as long as patience, and less after a rejection.
func (d *Server) runRound(ctx context.Context, r *consensus.Round, q *consensus.Request, patience time.Duration) {
	for q != nil {
		nodes := r.Recipients()
		answers, left := d.broadcast(nodes, q), len(nodes)
		began := time.Now()
		timer := time.NewTimer(patience)
		hurried := false
		for q = nil; q == nil && left > 0 && !r.Finished(); {
			select {
			case a := <-answers:
				left--
				if a.reply == nil {
					continue
				}
				q = r.Step(a.node, a.reply)
				if a.reply.Kind == consensus.Rejected && !hurried {
					hurried = true
					timer.Reset(min(patience, 2*time.Since(began)+rejectionMargin))
				}
			case <-timer.C:
				left = 0
			case <-ctx.Done():
				left = 0
			}
		}
		timer.Stop()
	}
	r.StopWaiting()
	d.observeBallot(r.HighestBallot)
	if r.State == consensus.Done || r.State == consensus.Stale {
		d.learn(r.CommittedVote())
		d.adoptVoterSet(r.NewerVoters)
	}
}

// runRounds plays rounds until one is done or the context ends. A read asks first, and needs a ballot only if the answers
// differ.
func (d *Server) runRounds(ctx context.Context, reading bool, change *consensus.Change) (*consensus.Round, error) {
	pause, patience := minBackoff, minPhaseTimeout
	asks := reading
	for ; ; patience = min(patience*3/2, maxPhaseTimeout) {
		if e := d.VoterSet(); len(e.Voters) > 0 {
			r, err := d.tryRound(ctx, e, asks, change, patience)
			switch {
			case err != nil:
				return nil, trace.Wrap(err)
			case r.State == consensus.Done:
				return r, nil
			case r.State == consensus.Inconclusive:
				asks = false
				continue
			case r.State == consensus.Stale && d.VoterSet().Epoch > e.Epoch:
				continue
			}
			asks = reading
		}
		if err := d.backOff(ctx, &pause); err != nil {
			return nil, trace.Wrap(err)
		}
	}
}

func (d *Server) tryRound(ctx context.Context, e consensus.VoterSet, asks bool, change *consensus.Change, patience time.Duration) (*consensus.Round, error) {
	known := d.newestCommittedVote()
	if asks {
		r, q := consensus.NewReadRound(e, known)
		d.runRound(ctx, r, q, patience)
		return r, nil
	}
	select {
	case d.ballotSlot <- struct{}{}:
		defer func() { <-d.ballotSlot }()
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	r, q := consensus.NewRound(e, d.nextBallot(), change, known)
	d.runRound(ctx, r, q, patience)
	if v := r.CommittedVote(); r.State == consensus.Done || r.State == consensus.Stale {
		d.notifyCommit(r, v.Ballot)
	}
	return r, nil
}

// backOff waits for a random time, which grows.
func (d *Server) backOff(ctx context.Context, pause *time.Duration) error {
	d.mu.Lock()
	wait := *pause/4 + time.Duration(d.rng.Int64N(int64(*pause)))
	d.mu.Unlock()
	*pause = min(2**pause, maxBackoff)
	timer := time.NewTimer(min(wait, maxBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-d.ctx.Done():
		return trace.Wrap(d.ctx.Err())
	}
}

// notifyCommit tells those who took part in a round that its value is committed; of a new list of voters it tells all processes
// of the core.
func (d *Server) notifyCommit(r *consensus.Round, ballot consensus.Ballot) {
	nodes := r.Recipients()
	e := d.VoterSet()
	if e.Epoch > r.VoterSet().Epoch {
		nodes = append(nodes, d.runningCores()...)
		slices.Sort(nodes)
		nodes = slices.Compact(nodes)
	}
	d.broadcast(nodes, &consensus.Request{Kind: consensus.Commit, Ballot: ballot, VoterSet: e})
}
