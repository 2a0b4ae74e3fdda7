package controlplane

import (
	"context"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
)

// Outcome is what became of an operator's change.
type Outcome uint8

// Outcomes.
const (
	Unknown  Outcome = iota // it may be in force, or come in force later, or not
	Applied                 // it is in force, or was
	Conflict                // it never was in force and never will be: another version was in its place
	Invalid                 // it never was in force and never will be: it breaks a rule for configurations
)

// String is the outcome's name in logs.
func (o Outcome) String() string { return [...]string{"unknown", "applied", "conflict", "invalid"}[o] }

// ReplaceResult is an outcome, with the reason if it isn't Applied.
type ReplaceResult struct {
	Outcome Outcome
	Reason  error
}

// register is the configuration as the core processes agree on it. It has no state of its own.
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
	case round.Verdict == consensus.Applied:
		if err := r.growth.await(ctx); err != nil {
			return ReplaceResult{Unknown, trace.Wrap(err, "%v is in force, but too few voters hold it yet", config.Version)}
		}
		return ReplaceResult{Outcome: Applied}
	case round.Verdict == consensus.Conflict:
		return ReplaceResult{Conflict, trace.CompareFailed("%v on %v: %v is in place", config.Version, base, round.Value.Version)}
	}
	return ReplaceResult{Unknown, trace.LimitExceeded("%v on %v: %v is in place, and what is remembered doesn't tell whether the change was ever in force",
		config.Version, base, round.Value.Version)}
}
