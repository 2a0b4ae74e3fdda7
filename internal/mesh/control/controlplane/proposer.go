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
	minPhaseTimeout = 400 * time.Millisecond // time for which a phase of the first round waits for replies
	maxPhaseTimeout = time.Second            // upper limit of that time, which grows from round to round
	rejectionMargin = 20 * time.Millisecond  // time to wait for further replies, in addition to twice the time until the first rejection
)

// proposer runs this process's rounds, which read and change the configuration, in the goroutines of its callers. Any number of reads may
// run concurrently, but only one round with a ballot, because two such rounds would preempt each other.
type proposer struct {
	id        string // name of this process in its ballots, different at each start
	backoff   *backoff
	learner   *learner
	directory *coreDirectory
	client    *peerClient
	slot      chan struct{} // semaphore of capacity one, held during a round with a ballot

	mu      sync.Mutex
	highest uint64 // highest ballot number seen
}

// read runs rounds until one has read the newest committed value, from a majority that answered after the call began. It fails only if
// ctx or the Server ends.
func (p *proposer) read(ctx context.Context) (*consensus.Round, error) {
	return p.runUntilDone(ctx, true, nil)
}

// propose runs rounds until one has a verdict on the change. It fails only if ctx or the Server ends.
func (p *proposer) propose(ctx context.Context, change *consensus.Change) (*consensus.Round, error) {
	return p.runUntilDone(ctx, false, change)
}

// observeBallot records the number of a ballot, so that the next ballot of this process is higher.
func (p *proposer) observeBallot(ballot consensus.Ballot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highest = max(p.highest, ballot.Number)
}

// nextBallot returns a ballot that was never used before and is higher than all that this process has seen.
func (p *proposer) nextBallot() consensus.Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highest++
	return consensus.Ballot{Number: p.highest, Proposer: p.id}
}

// runUntilDone runs rounds until one is Done or ctx ends. A read first runs a round without a ballot, which writes nothing to disk. If the
// votes differ, a round with a ballot follows immediately; if that is preempted, the next round has no ballot again.
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

// attempt runs one round under a voter set. It fails if ctx ends before a round with a ballot can begin.
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

// runRound runs all phases of a round, and passes the ballots, votes and voter sets that it found to the proposer and the learner. timeout
// limits how long each phase waits for replies.
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

// runPhase sends a request to the round's recipients and passes their replies to the round. It returns the request of the next phase,
// or nil if the round has ended, all replies have arrived, or the timeout has expired. After a rejection the timeout is shorter, because
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

// announceCommit notifies a round's recipients that the round's value is committed. If this process now knows a newer voter set than the
// round's, it also notifies all running core processes.
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
