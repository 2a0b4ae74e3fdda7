package controlplane

import (
	"context"
	"slices"
	"time"

	"quincegap/internal/mesh/control/consensus"

	"github.com/gravitational/trace"
)

// drive plays a round until it is over. Each phase waits for replies as long as patience, and less after a rejection.
func (d *Server) drive(ctx context.Context, r *consensus.Round, q *consensus.Request, patience time.Duration) {
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
					timer.Reset(min(patience, 2*time.Since(began)+afterNack))
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
		d.adoptMembership(r.NewerVoters)
	}
}

// rounds plays rounds until one is done or the context ends. A read asks first, and needs a ballot only if the answers
// differ.
func (d *Server) rounds(ctx context.Context, reading bool, change *consensus.Change) (*consensus.Round, error) {
	pause, patience := pauseMin, phaseMin
	asks := reading
	for ; ; patience = min(patience*3/2, phaseMax) {
		if e := d.Membership(); len(e.Voters) > 0 {
			r, err := d.round(ctx, e, asks, change, patience)
			switch {
			case err != nil:
				return nil, trace.Wrap(err)
			case r.State == consensus.Done:
				return r, nil
			case r.State == consensus.Inconclusive:
				asks = false
				continue
			case r.State == consensus.Stale && d.Membership().Epoch > e.Epoch:
				continue
			}
			asks = reading
		}
		if err := d.pause(ctx, &pause); err != nil {
			return nil, trace.Wrap(err)
		}
	}
}

func (d *Server) round(ctx context.Context, e consensus.VoterSet, asks bool, change *consensus.Change, patience time.Duration) (*consensus.Round, error) {
	known := d.knownVote()
	if asks {
		r, q := consensus.NewReadRound(e, known)
		d.drive(ctx, r, q, patience)
		return r, nil
	}
	select {
	case d.writer <- struct{}{}:
		defer func() { <-d.writer }()
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	r, q := consensus.NewRound(e, d.nextBallot(), change, known)
	d.drive(ctx, r, q, patience)
	if v := r.CommittedVote(); r.State == consensus.Done || r.State == consensus.Stale {
		d.announceCommit(r, v.Ballot)
	}
	return r, nil
}

// pause waits for a random time, which grows.
func (d *Server) pause(ctx context.Context, pause *time.Duration) error {
	d.mu.Lock()
	wait := *pause/4 + time.Duration(d.rng.Int64N(int64(*pause)))
	d.mu.Unlock()
	*pause = min(2**pause, pauseMax)
	timer := time.NewTimer(min(wait, pauseMax))
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

// announceCommit tells those who took part in a round that its value is committed; of a new list of voters it tells all processes
// of the core.
func (d *Server) announceCommit(r *consensus.Round, ballot consensus.Ballot) {
	nodes := r.Recipients()
	e := d.Membership()
	if e.Epoch > r.VoterSet().Epoch {
		nodes = append(nodes, d.peersThere()...)
		slices.Sort(nodes)
		nodes = slices.Compact(nodes)
	}
	d.broadcast(nodes, &consensus.Request{Kind: consensus.Commit, Ballot: ballot, VoterSet: e})
}
