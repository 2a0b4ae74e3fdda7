package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxShownBreaches bounds the breaches that WriteScreen shows for each run.
const maxShownBreaches = 5

// WriteScreen writes a summary of the runs as text that fits on one screen, with the runs of several programs side by side. A
// figure that a run does not have, such as the processor time of one in virtual time, is shown as notMeasured. WriteScreen fails only if w
// does.
func WriteScreen(w io.Writer, runs ...*Run) error {
	var text strings.Builder
	first := runs[0]
	fmt.Fprintf(&text, "\n%s (seed %d, %v)\n", first.Plan.DisplayName(), first.Plan.Seed, first.Plan.Length)
	if len(runs) > 1 {
		fmt.Fprintf(&text, "  %-38s", "")
		for _, run := range runs {
			fmt.Fprintf(&text, " %-24s", run.Program)
		}
		text.WriteString("\n")
	}
	for _, name := range rowNames(runs) {
		fmt.Fprintf(&text, "  %-38s", name)
		for _, run := range runs {
			fmt.Fprintf(&text, " %-24s", run.valueOf(name))
		}
		text.WriteString("\n")
	}
	for _, run := range runs {
		run.writeOutcome(&text, len(runs) > 1)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// notMeasured is shown in place of a figure that a run does not have.
const notMeasured = "-"

// rowNames returns the names of all rows that one of the runs has, in the order in which they first appear.
func rowNames(runs []*Run) (names []string) {
	for _, run := range runs {
		for _, row := range run.rows() {
			if !slices.Contains(names, row.name) {
				names = append(names, row.name)
			}
		}
	}
	return names
}

// valueOf returns the value of the row with a name, or notMeasured if the run has no such row.
func (r *Run) valueOf(name string) string {
	for _, row := range r.rows() {
		if row.name == name {
			return row.value
		}
	}
	return notMeasured
}

// writeOutcome writes the outcome with its reasons, the first breaches and the notes; named adds the program's name.
func (r *Run) writeOutcome(text *strings.Builder, named bool) {
	outcome, reasons := r.Outcome()
	text.WriteString(outcome.String())
	if named {
		text.WriteString(" " + r.Program)
	}
	text.WriteString("\n")
	for _, reason := range reasons {
		fmt.Fprintf(text, "  %s\n", reason)
	}
	for i, breach := range r.Verdict.Breaches {
		if i == maxShownBreaches {
			fmt.Fprintf(text, "  and %d more\n", len(r.Verdict.Breaches)-i)
			break
		}
		fmt.Fprintf(text, "  %s\n", r.describeBreach(breach))
	}
	if excused := r.Verdict.Excused; excused > 0 {
		fmt.Fprintf(text, "  %d breaches do not count: the emulator was late\n", excused)
	}
	for _, note := range r.Notes {
		fmt.Fprintf(text, "  %s\n", note)
	}
}
