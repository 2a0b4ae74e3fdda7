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
	minPhaseTimeout = 400 * time.Millisecond // how long one phase of a round waits for replies, at first
	maxPhaseTimeout = time.Second
	rejectionMargin = 20 * time.Millisecond // beside twice the time until the first rejection, for the replies still to come
)

// proposer plays this process's rounds: reads and changes of the register. Rounds run in their callers' goroutines. Reads run at
// any number; of the rounds with a ballot one runs at a time, as they would only preempt each other.
type proposer struct {
	id        string // of this process since its start, in its ballots
	backoff   *backoff
	learner   *learner
	directory *coreDirectory
	client    *peerClient
	slot      chan struct{} // has room for the one round with a ballot

	mu      sync.Mutex
	highest uint64 // number of the highest ballot that was seen
}

// read plays rounds until one has read the newest committed value, in contact with a majority after the call began.
func (p *proposer) read(ctx context.Context) (*consensus.Round, error) {
	return p.run(ctx, true, nil)
}

// propose plays rounds until one has a verdict on the change.
func (p *proposer) propose(ctx context.Context, change *consensus.Change) (*consensus.Round, error) {
	return p.run(ctx, false, change)
}

// observeBallot notes a ballot, so that the next one of this process is above it.
func (p *proposer) observeBallot(ballot consensus.Ballot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highest = max(p.highest, ballot.Number)
}

// nextBallot is a ballot that was never used.
func (p *proposer) nextBallot() consensus.Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highest++
	return consensus.Ballot{Number: p.highest, Proposer: p.id}
}

// run plays rounds until one is done or the context ends. A read is played without a ballot first, which writes nothing. If its votes
// differ, one round with a ballot follows at once; if that is preempted, the next one reads without a ballot again.
func (p *proposer) run(ctx context.Context, reading bool, change *consensus.Change) (*consensus.Round, error) {
	delay := minBackoff
	timeout := minPhaseTimeout
	withoutBallot := reading
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
			withoutBallot = reading
		}
		if err := p.backoff.wait(ctx, &delay); err != nil {
			return nil, trace.Wrap(err)
		}
	}
}

// attempt plays one round under a voter set.
func (p *proposer) attempt(ctx context.Context, voters consensus.VoterSet, withoutBallot bool, change *consensus.Change,
	timeout time.Duration,
) (*consensus.Round, error) {
	known := p.learner.newestVote()
	if withoutBallot {
		round, request := consensus.NewReadRound(voters, known)
		p.play(ctx, round, request, timeout)
		return round, nil
	}
	select {
	case p.slot <- struct{}{}:
		defer func() { <-p.slot }()
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	round, request := consensus.NewRound(voters, p.nextBallot(), change, known)
	p.play(ctx, round, request, timeout)
	if round.State == consensus.Done || round.State == consensus.Stale {
		p.announceCommit(round)
	}
	return round, nil
}

// play plays a round until it is over, and learns what it found. Each phase waits for replies as long as timeout.
func (p *proposer) play(ctx context.Context, round *consensus.Round, request *consensus.Request, timeout time.Duration) {
	for request != nil {
		request = p.playPhase(ctx, round, request, timeout)
	}
	round.StopWaiting()
	p.observeBallot(round.HighestBallot)
	if round.State == consensus.Done || round.State == consensus.Stale {
		p.learner.learnVote(round.CommittedVote())
		p.learner.learnVoterSet(round.NewerVoters)
	}
}

// playPhase sends a request to all voters and takes their replies until the round is over, or has the request of its next phase,
// or no more replies are waited for. After a rejection it waits for a shorter time, as the round is likely to fail.
func (p *proposer) playPhase(ctx context.Context, round *consensus.Round, request *consensus.Request, timeout time.Duration) *consensus.Request {
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

// announceCommit notifies those who took part in a round that its value is committed. If it made a new voter set, all core processes
// are notified.
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
