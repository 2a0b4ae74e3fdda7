package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
)

const (
	minPhaseTimeout = 400 * time.Millisecond // how long a phase of the first round waits for replies
	maxPhaseTimeout = time.Second            // the same of any later round, at most
	rejectionMargin = 20 * time.Millisecond  // added to twice the time until the first rejection, for the remaining replies
)

// proposer runs this process's rounds, which read and change the register, in the goroutines of its callers. Any number of reads runs at
// a time, but only one round with a ballot, as two would preempt each other.
type proposer struct {
	id        string // identifies this start of the process in its ballots
	backoff   *backoff
	learner   *learner
	directory *coreDirectory
	client    *peerClient
	slot      chan struct{} // a semaphore with room for one round with a ballot

	mu      sync.Mutex
	highest uint64 // number of the highest ballot seen
}

// read runs rounds until one has read the newest committed value. A majority has answered after the call began.
func (p *proposer) read(ctx context.Context) (*consensus.Round, error) {
	return p.runUntilDone(ctx, true, nil)
}

// propose runs rounds until one has a verdict on the change.
func (p *proposer) propose(ctx context.Context, change *consensus.Change) (*consensus.Round, error) {
	return p.runUntilDone(ctx, false, change)
}

// observeBallot records a ballot, so that the next one of this process is higher.
func (p *proposer) observeBallot(ballot consensus.Ballot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highest = max(p.highest, ballot.Number)
}

// nextBallot returns a ballot that was never used.
func (p *proposer) nextBallot() consensus.Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highest++
	return consensus.Ballot{Number: p.highest, Proposer: p.id}
}

// runUntilDone runs rounds until one is Done or ctx ends. A read first runs a round without a ballot, which writes nothing. If the votes differ,
// a round with a ballot follows at once; if that is preempted, the next round has no ballot again.
func (p *proposer) runUntilDone(ctx context.Context, isRead bool, change *consensus.Change) (*consensus.Round, error) {
	delay := minBackoff
	timeout := minPhaseTimeout
	withoutBallot := isRead
	for ; ; timeout = min(timeout*3/2, maxPhaseTimeout) {
		if voters := p.learner.voterSet(); len(voters.Voters) > 0 {
			round, err := p.attempt(ctx, voters, withoutBallot, change, timeout)
			switch {
			case err != nil:
				return nil, trace.Wrap(err)
			case round.State == consensus.Done:
				return round, nil
			case round.State == consensus.Inconclusive:
				withoutBallot = false
				continue
			case round.State == consensus.Stale && p.learner.voterSet().Epoch > voters.Epoch:
				continue
			}
			withoutBallot = isRead
		}
		if err := p.backoff.wait(ctx, &delay); err != nil {
			return nil, trace.Wrap(err)
		}
	}
}

// attempt runs one round under a voter set.
func (p *proposer) attempt(
	ctx context.Context, voters consensus.VoterSet, withoutBallot bool, change *consensus.Change, timeout time.Duration,
) (*consensus.Round, error) {
	known := p.learner.newestVote()
	if withoutBallot {
		round, request := consensus.NewReadRound(voters, known)
		p.runRound(ctx, round, request, timeout)
		return round, nil
	}
	select {
	case p.slot <- struct{}{}:
		defer func() { <-p.slot }()
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	round, request := consensus.NewRound(voters, p.nextBallot(), change, known)
	p.runRound(ctx, round, request, timeout)
	if round.State == consensus.Done || round.State == consensus.Stale {
		p.announceCommit(round)
	}
	return round, nil
}

// runRound runs a round to its end, and learns what it found. timeout is how long each phase waits for replies.
func (p *proposer) runRound(ctx context.Context, round *consensus.Round, request *consensus.Request, timeout time.Duration) {
	for request != nil {
		request = p.runPhase(ctx, round, request, timeout)
	}
	round.StopWaiting()
	p.observeBallot(round.HighestBallot)
	if round.State == consensus.Done || round.State == consensus.Stale {
		p.learner.learnVote(round.CommittedVote())
		p.learner.learnVoterSet(round.NewerVoters)
	}
}

// runPhase sends a request to the round's recipients and hands their replies to the round. It returns the request of the next phase,
// or nil if the round has ended, all replies are there, or the time is over. After a rejection it waits for a shorter time, as
// the round is likely to fail.
func (p *proposer) runPhase(
	ctx context.Context, round *consensus.Round, request *consensus.Request, timeout time.Duration,
) *consensus.Request {
	nodes := round.Recipients()
	replies := p.client.broadcast(nodes, request)
	began := time.Now()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	shortened := false
	for pending := len(nodes); pending > 0 && !round.Finished(); {
		select {
		case answer := <-replies:
			pending--
			if answer.reply == nil {
				continue
			}
			if next := round.Step(answer.node, answer.reply); next != nil {
				return next
			}
			if answer.reply.Kind == consensus.Rejected && !shortened {
				shortened = true
				timer.Reset(min(timeout, 2*time.Since(began)+rejectionMargin))
			}
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// announceCommit notifies a round's recipients that its value is committed. If the value has a new voter set, it notifies all core
// processes.
func (p *proposer) announceCommit(round *consensus.Round) {
	nodes := round.Recipients()
	voters := p.learner.voterSet()
	if voters.Epoch > round.VoterSet().Epoch {
		nodes = append(nodes, p.directory.runningCores()...)
		slices.Sort(nodes)
		nodes = slices.Compact(nodes)
	}
	p.client.broadcast(nodes, &consensus.Request{Kind: consensus.Commit, Ballot: round.CommittedVote().Ballot, VoterSet: voters})
}
