package report

import (
	"fmt"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// Run is one run of a scenario, as reports show it.
type Run struct {
	Program string // name of the sidecar's program
	Plan    *scenario.Plan
	Verdict *audit.Verdict
	Virtual bool          // it was in virtual time, with the decision module only
	CPU     time.Duration // of all sidecars
	Memory  int64         // bytes of the largest sidecar
	Notes   []string
}

// Outcome is the judgement of a run.
type Outcome int

// The outcomes, the best first.
const (
	OutcomeKept   Outcome = iota
	OutcomeMissed         // an expectation of the script was not met
	OutcomeBroken         // a rule was broken, or a sidecar crashed
	OutcomeVoid           // the emulator was too slow: the run says nothing of the sidecar
)

// String returns the outcome as the screen has it.
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

// row is a figure as text, with its name.
type row struct{ name, value string }

// Name returns the name, for the template of the page.
func (r row) Name() string { return r.name }

// Value returns the value, for the template of the page.
func (r row) Value() string { return r.value }

// rows returns the figures of the run.
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

// describeBreach returns the time, the rule, the request and the server of a breach in words.
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
