package controlplane

import (
	"context"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
)

// Outcome is the outcome of an operator's change. Committed, Conflict and Invalid are final.
type Outcome uint8

// The outcomes.
const (
	Unknown   Outcome = iota // the change may be active, may become active later, or may never become active
	Committed                // the change is committed, or was committed before a later version replaced it
	Conflict                 // the change never was and never will be active, because another version is committed instead
	Invalid                  // the change never was and never will be active, because its body is not a valid configuration
)

// String returns the outcome's name for the log.
func (o Outcome) String() string { return [...]string{"unknown", "applied", "conflict", "invalid"}[o] }

// ReplaceResult is the result of Server.Replace: the outcome and the reason for it. Reason is nil if the outcome is Committed.
type ReplaceResult struct {
	Outcome Outcome
	Reason  error
}

// maxConcurrentReads is the number of reads at a time. Each may get the value from all voters.
const maxConcurrentReads = 8

// register reads and replaces the configuration on which the core processes agree.
type register struct {
	proposer *proposer
	growth   *growthWaiter
	reads    chan struct{} // semaphore of capacity maxConcurrentReads, held during a read
}

// readLatest implements Server.ReadLatest. All callers share the memory of a value that this process has learned.
func (r *register) readLatest(ctx context.Context) (consensus.Value, error) {
	select {
	case r.reads <- struct{}{}:
		defer func() { <-r.reads }()
	case <-ctx.Done():
		return consensus.Value{}, trace.Wrap(ctx.Err())
	}
	round, err := r.proposer.read(ctx)
	if err != nil {
		return consensus.Value{}, trace.Wrap(err)
	}
	value := round.Value
	if known, ok := r.proposer.learner.newestValue(); ok && known.Version == value.Version {
		value.Body = known.Body
	}
	return value, nil
}

// replace implements Server.Replace.
func (r *register) replace(ctx context.Context, base configuration.Version, raw []byte) ReplaceResult {
	config, err := configuration.Parse(raw)
	if err != nil {
		return ReplaceResult{Invalid, trace.Wrap(err)}
	}
	round, err := r.proposer.propose(ctx, consensus.NewChange(base, config.Version, raw))
	switch {
	case err != nil:
		return ReplaceResult{Unknown, trace.Wrap(err)}
	case round.Verdict == consensus.Committed:
		if err := r.growth.wait(ctx); err != nil {
			return ReplaceResult{Unknown, trace.Wrap(err, "%v is in force, but too few voters hold it yet", config.Version)}
		}
		return ReplaceResult{Outcome: Committed}
	case round.Verdict == consensus.Conflict:
		return ReplaceResult{Conflict, trace.CompareFailed("%v on %v: %v is in place", config.Version, base, round.Value.Version)}
	}
	return ReplaceResult{Unknown, trace.LimitExceeded(
		"%v on %v: %v is in place, and what is remembered doesn't tell whether the change was ever in force",
		config.Version, base, round.Value.Version)}
}
