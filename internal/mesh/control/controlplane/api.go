package controlplane

import (
	"context"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
)

// ReadLatest is the newest value that was committed when it was called, or a newer one. It is in contact with a majority of the
// voters after the call began, and fails when ctx ends before that.
func (d *Server) ReadLatest(ctx context.Context) (consensus.Value, error) {
	r, err := d.runRounds(ctx, true, nil)
	if err != nil {
		return consensus.Value{}, trace.Wrap(err)
	}
	return r.Value, nil
}

// Outcome is what became of an operator's change.
type Outcome uint8

// Outcomes.
const (
	Unknown  Outcome = iota // it may be in force, or come in force later, or not
	Applied                 // it is in force, or was
	Conflict                // it never was in force and never will be: another version was in its place
	Invalid                 // it never was in force and never will be: it breaks a rule for configurations
)

func (o Outcome) String() string { return [...]string{"unknown", "applied", "conflict", "invalid"}[o] }

// ReplaceResult is an outcome, with the reason if it isn't Applied.
type ReplaceResult struct {
	Outcome Outcome
	Reason  error
}

// Replace puts a configuration in place of version base. The same call may be made again, at any process and any number of
// times. The outcome is Unknown if there is no contact with a majority before ctx ends, and for a repeat that is older than
// what the register remembers.
func (d *Server) Replace(ctx context.Context, base configuration.Version, raw []byte) ReplaceResult {
	config, err := configuration.Parse(raw)
	if err != nil {
		return ReplaceResult{Invalid, trace.Wrap(err)}
	}
	r, err := d.runRounds(ctx, false, consensus.NewChange(base, config.Version, raw))
	switch {
	case err != nil:
		return ReplaceResult{Unknown, trace.Wrap(err)}
	case r.Verdict == consensus.Applied:
		if err := d.awaitVoters(ctx); err != nil {
			return ReplaceResult{Unknown, trace.Wrap(err, "%v is in force, but too few voters hold it yet", config.Version)}
		}
		return ReplaceResult{Outcome: Applied}
	case r.Verdict == consensus.Conflict:
		return ReplaceResult{Conflict, trace.CompareFailed("%v on %v: %v is in place", config.Version, base, r.Value.Version)}
	}
	return ReplaceResult{Unknown, trace.LimitExceeded("%v on %v: %v is in place, and what is remembered doesn't tell whether the change was ever in force",
		config.Version, base, r.Value.Version)}
}

// logLatest finds out which value is committed when the process starts.
func (d *Server) logLatest() {
	w, err := d.ReadLatest(d.ctx)
	if err == nil {
		d.options.Log.WithField("version", w.Version).Info("newest configuration known")
	}
}
