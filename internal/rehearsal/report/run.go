package report

import (
	"fmt"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// Run is one run of a scenario, with everything that reports show of it.
type Run struct {
	Program string // name of the sidecar's program; may be empty
	Plan    *scenario.Plan
	Verdict *audit.Verdict
	Virtual bool          // whether the run was in virtual time, with only the decision module
	CPU     time.Duration // total CPU time of all sidecars
	Memory  int64         // peak memory of the largest sidecar, in bytes
	Notes   []string      // further remarks on the run
}

// Outcome is the overall result of a run.
type Outcome int

// Outcomes in order from best to worst.
const (
	OutcomeKept   Outcome = iota // all rules were kept and all expectations were met
	OutcomeMissed                // an expectation of the script was not met
	OutcomeBroken                // a rule was broken, or a sidecar crashed
	OutcomeVoid                  // the emulator was too slow, so the run says nothing about the sidecar
)

// String returns the outcome in capitals, as WriteScreen shows it.
func (o Outcome) String() string {
	return [...]string{"KEPT", "MISSED", "BROKEN", "VOID"}[o]
}

// Outcome returns the worst outcome that applies to the run, with its reasons.
func (r *Run) Outcome() (outcome Outcome, reasons []string) {
	verdict := r.Verdict
	if verdict.VoidReason != "" {
		return OutcomeVoid, []string{verdict.VoidReason}
	}
	for _, expectation := range r.Plan.Expectations {
		got, met := expectation.Evaluate(verdict)
		if met {
			continue
		}
		outcome = OutcomeMissed
		side := "below"
		if expectation.Above {
			side = "above"
		}
		reasons = append(reasons, fmt.Sprintf("line %d: %s is %.4f, expected %s %v",
			expectation.Position.Line, expectation.Figure, got, side, expectation.Bound))
	}
	if len(verdict.Crashes) > 0 {
		outcome = OutcomeBroken
		reasons = append(reasons, verdict.Crashes...)
	}
	for rule, breaches := range verdict.BreachesByRule {
		if breaches > 0 {
			outcome = OutcomeBroken
			reasons = append(reasons, fmt.Sprintf("%s: broken %d times", audit.Rule(rule), breaches))
		}
	}
	return outcome, reasons
}

// row is a named figure, formatted as text.
type row struct{ name, value string }

// Name returns the name for the page's template.
func (r row) Name() string { return r.name }

// Value returns the value for the page's template.
func (r row) Value() string { return r.value }

// rows returns the figures of the run, with those of CPU, memory and lateness only for a run on sockets.
func (r *Run) rows() []row {
	verdict := r.Verdict
	share := func(n int) string {
		return fmt.Sprintf("%d (%.2f%%)", n, 100*float64(n)/float64(max(1, verdict.Requests)))
	}
	rows := []row{
		{"service (worth in time / worth asked)", fmt.Sprintf("%.4f", verdict.Service)},
		{"worst 10 s", fmt.Sprintf("%.4f, from %v", verdict.WorstService, verdict.WorstFrom)},
		{"requests", fmt.Sprint(verdict.Requests)},
		{"served in time", share(verdict.InTime)},
		{"served late", share(verdict.Late)},
		{"refused", share(verdict.Rejected)},
		{"failed", share(verdict.Failed)},
		{"tries of callers", fmt.Sprint(verdict.CallerAttempts)},
		{"attempts at boxes, a call", fmt.Sprintf("%d, %.4f", verdict.ServerAttempts, verdict.AttemptsPerCall)},
		{"work wasted", fmt.Sprintf("%.2f%%", 100*verdict.WastedShare)},
		{"median, 99th percentile", fmt.Sprintf("%v, %v", verdict.P50.Round(time.Millisecond), verdict.P99.Round(time.Millisecond))},
	}
	if !r.Virtual {
		rows = append(rows,
			row{"sidecars' CPU, largest memory", fmt.Sprintf("%v, %d MiB", r.CPU.Round(10*time.Millisecond), r.Memory>>20)},
			row{"emulator late by at most", verdict.MaxLateness.Round(time.Millisecond).String()})
	}
	return rows
}

// describeBreach describes a breach: its time, rule, request and server (where known) and message.
func (r *Run) describeBreach(b audit.Breach) string {
	text := fmt.Sprintf("%.3f s: %s: ", b.At.Seconds(), b.Rule)
	if b.Request != "" {
		text += b.Request + ": "
	}
	if b.Server >= 0 && b.Server < len(r.Plan.Servers) {
		text += r.Plan.Name(b.Server) + ": "
	}
	return text + b.Message
}
