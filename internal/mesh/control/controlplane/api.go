package controlplane

import (
	"context"

	"gingerlead/internal/mesh/control/configuration"
	"gingerlead/internal/mesh/control/consensus"

	"github.com/gravitational/trace"
)

// Newest is the newest word that was committed when it was called, or a newer one.
func (d *Server) Newest(ctx context.Context) (consensus.Value, error) {
	r, err := d.rounds(ctx, true, nil)
	if err != nil {
		return consensus.Value{}, trace.Wrap(err)
	}
	return r.Value, nil
}

// Outcome is what became of an operator's change.
type Outcome uint8

// Outcomes. What is Lost or Invalid never comes in force; what is Unclear may.
const (
	Unknown Outcome = iota
	Applied
	Conflict
	Invalid
)

func (o Outcome) String() string { return [...]string{"unclear", "taken", "lost", "invalid"}[o] }

// Verdict is an outcome, with the reason if it isn't Taken.
type Verdict struct {
	Outcome Outcome
	Reason  error
}

// Replace puts a configuration in place of version base.
func (d *Server) Replace(ctx context.Context, base configuration.Version, raw []byte) Verdict {
	config, err := configuration.Read(raw)
	if err != nil {
		return Verdict{Invalid, trace.Wrap(err)}
	}
	r, err := d.rounds(ctx, false, consensus.NewChange(base, config.Version, raw))
	switch {
	case err != nil:
		return Verdict{Unknown, trace.Wrap(err)}
	case r.Verdict == consensus.Applied:
		return Verdict{Outcome: Applied}
	}
	return Verdict{Conflict, trace.CompareFailed("%v on %v: %v is in place", config.Version, base, r.Value.Version)}
}

// settle finds out which word is committed when the process starts.
func (d *Server) logNewest() {
	w, err := d.Newest(d.ctx)
	if err == nil {
		d.o.Log.WithField("version", w.Version).Info("newest configuration known")
	}
}
