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
	Unknown   Outcome = iota // it may be in force, or come into force later, or neither
	Committed                // it is committed, or was before a later version
	Conflict                 // it never was in force and never will be: another version has taken its place
	Invalid                  // it never was in force and never will be: it is not a valid configuration
)

// String returns the outcome's name, as it is logged.
func (o Outcome) String() string { return [...]string{"unknown", "applied", "conflict", "invalid"}[o] }

// ReplaceResult is an outcome, and the reason for it; Reason is nil if the outcome is Committed.
type ReplaceResult struct {
	Outcome Outcome
	Reason  error
}

// register reads and replaces the configuration on which the core processes agree. It has no state of its own.
type register struct {
	proposer *proposer
	growth   *growth
}

// readLatest is described at Server.ReadLatest.
func (r *register) readLatest(ctx context.Context) (consensus.Value, error) {
	round, err := r.proposer.read(ctx)
	if err != nil {
		return consensus.Value{}, trace.Wrap(err)
	}
	return round.Value, nil
}

// replace is described at Server.Replace.
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
		if err := r.growth.await(ctx); err != nil {
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
