// Package report shows a verdict to people: on one screen, and as one page of
// HTML that needs nothing beside it.
package report

import (
	"fmt"
	"io"
	"strings"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/morning"
)

// Run is one playing of a morning.
type Run struct {
	Program string // the program that was played
	Plan    *morning.Plan
	Verdict *audit.Verdict
	Virtual bool // in virtual time, the decision module alone
	CPU     time.Duration
	Memory  int64 // bytes of the largest sidecar
	Notes   []string
}

// Outcome is the word on a play.
type Outcome int

// The outcomes, the best first.
const (
	OutcomeKept   Outcome = iota
	OutcomeMissed         // an expectation of the script was not met
	OutcomeBroken         // a rule was broken, or a sidecar crashed
	OutcomeVoid           // the emulator was too slow: it says nothing of the sidecar
)

func (o Outcome) String() string {
	return [...]string{"KEPT", "MISSED", "BROKEN", "VOID"}[o]
}

// Outcome is the outcome, with the reasons.
func (p *Run) Outcome() (o Outcome, why []string) {
	v := p.Verdict
	if v.VoidReason != "" {
		return OutcomeVoid, []string{v.VoidReason}
	}
	for _, e := range p.Plan.Expectations {
		if got, met := e.Evaluate(v); !met {
			o = OutcomeMissed
			why = append(why, fmt.Sprintf("line %d: %s is %.4f, expected %s %v", e.Position.Line, e.Figure, got, map[bool]string{true: "above", false: "below"}[e.Above], e.Bound))
		}
	}
	if len(v.Crashes) > 0 {
		o = OutcomeBroken
		why = append(why, v.Crashes...)
	}
	for r, n := range v.BreachesByRule {
		if n > 0 {
			o = OutcomeBroken
			why = append(why, fmt.Sprintf("%s: broken %d times", audit.Rule(r), n))
		}
	}
	return o, why
}

// A row is a figure with its name.
type row struct{ name, value string }

// rows are the figures of a play.
func (p *Run) rows() []row {
	v := p.Verdict
	pct := func(n int) string {
		return fmt.Sprintf("%d (%.2f%%)", n, 100*float64(n)/float64(max(1, v.Requests)))
	}
	rows := []row{
		{"service (worth in time / worth asked)", fmt.Sprintf("%.4f", v.Service)},
		{"worst 10 s", fmt.Sprintf("%.4f, from %v", v.WorstService, v.WorstFrom)},
		{"requests", fmt.Sprint(v.Requests)},
		{"served in time", pct(v.InTime)},
		{"served late", pct(v.Late)},
		{"refused", pct(v.Rejected)},
		{"failed", pct(v.Failed)},
		{"tries of callers", fmt.Sprint(v.CallerAttempts)},
		{"attempts at boxes, a call", fmt.Sprintf("%d, %.4f", v.ServerAttempts, v.AttemptsPerCall)},
		{"work wasted", fmt.Sprintf("%.2f%%", 100*v.WastedShare)},
		{"median, 99th percentile", fmt.Sprintf("%v, %v", v.P50.Round(time.Millisecond), v.P99.Round(time.Millisecond))},
	}
	if !p.Virtual {
		rows = append(rows, row{"sidecars' CPU, largest memory", fmt.Sprintf("%v, %d MiB", p.CPU.Round(10*time.Millisecond), p.Memory>>20)},
			row{"emulator late by at most", v.MaxLateness.Round(time.Millisecond).String()})
	}
	return rows
}

const maxShownBreaches = 5

// WriteScreen writes the verdict on one screen. Several plays, of several builds, stand side by side.
func WriteScreen(w io.Writer, plays ...*Run) error {
	var b strings.Builder
	first := plays[0]
	fmt.Fprintf(&b, "\n%s (seed %d, %v)\n", first.Plan.DisplayName(), first.Plan.Seed, first.Plan.Length)
	if len(plays) > 1 {
		fmt.Fprintf(&b, "  %-38s", "")
		for _, p := range plays {
			fmt.Fprintf(&b, " %-24s", p.Program)
		}
		b.WriteString("\n")
	}
	for i, r := range first.rows() {
		fmt.Fprintf(&b, "  %-38s", r.name)
		for _, p := range plays {
			fmt.Fprintf(&b, " %-24s", p.rows()[i].value)
		}
		b.WriteString("\n")
	}
	for _, p := range plays {
		o, why := p.Outcome()
		fmt.Fprintf(&b, "%s", o)
		if len(plays) > 1 {
			fmt.Fprintf(&b, " %s", p.Program)
		}
		b.WriteString("\n")
		for _, y := range why {
			fmt.Fprintf(&b, "  %s\n", y)
		}
		for i, br := range p.Verdict.Breaches {
			if i == maxShownBreaches {
				fmt.Fprintf(&b, "  and %d more\n", len(p.Verdict.Breaches)-i)
				break
			}
			fmt.Fprintf(&b, "  %s\n", p.describeBreach(br))
		}
		if n := p.Verdict.Excused; n > 0 {
			fmt.Fprintf(&b, "  %d breaches do not count: the emulator was late\n", n)
		}
		for _, n := range p.Notes {
			fmt.Fprintf(&b, "  %s\n", n)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// describeBreach names the second, the request and the box of a breach.
func (p *Run) describeBreach(b audit.Breach) string {
	text := fmt.Sprintf("%.3f s: %s: ", b.At.Seconds(), b.Rule)
	if b.Request != "" {
		text += b.Request + ": "
	}
	if b.Server >= 0 && b.Server < len(p.Plan.Servers) {
		text += p.Plan.Name(b.Server) + ": "
	}
	return text + b.Message
}
