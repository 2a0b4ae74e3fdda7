// Package finding holds what is wrong with a file and where: messages for
// people, each with a line and a column.
package finding

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Pos is a place in a file. Line and Col count from 1, Col in characters; both
// are 0 where a whole file is meant.
type Pos struct{ Line, Col int }

// Finding is one thing that is wrong.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
}

// String is the form FILE:LINE:COLUMN: message that editors jump to.
func (f Finding) String() string {
	if f.Line == 0 {
		return f.File + ": " + f.Message
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// MaxFindings bounds the findings of one List. What a file of junk could make grow is
// bounded so; the count goes on.
const MaxFindings = 1000

// List collects findings. Findings that are equal are kept once: a value that
// many applications inherit is wrong in one place only. The zero List is empty.
type List struct {
	findings []Finding
	seen     map[Finding]bool
	omitted  int
}

// Add adds a finding.
func (l *List) Add(file string, at Pos, format string, args ...any) {
	f := Finding{File: file, Line: at.Line, Column: at.Col, Message: fmt.Sprintf(format, args...)}
	switch {
	case l.seen[f]:
	case len(l.findings) >= MaxFindings:
		l.omitted++
	default:
		if l.seen == nil {
			l.seen = map[Finding]bool{}
		}
		l.seen[f] = true
		l.findings = append(l.findings, f)
	}
}

// ForFile is a Reporter for one file.
func (l *List) ForFile(file string) Reporter {
	return func(at Pos, format string, args ...any) { l.Add(file, at, format, args...) }
}

// Reporter takes the findings of one file.
type Reporter func(at Pos, format string, args ...any)

// Len is the number of findings, those that were too many to keep included.
func (l *List) Len() int { return len(l.findings) + l.omitted }

// All are the findings by file, line and column. Files keep the order in which
// they were first named.
func (l *List) All() []Finding {
	order := map[string]int{}
	for _, f := range l.findings {
		if _, ok := order[f.File]; !ok {
			order[f.File] = len(order)
		}
	}
	slices.SortStableFunc(l.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(order[a.File], order[b.File]), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column), strings.Compare(a.Message, b.Message))
	})
	return l.findings
}

// Print writes one line a finding.
func (l *List) Print(w io.Writer) error {
	for _, f := range l.All() {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	if l.omitted > 0 {
		_, err := fmt.Fprintf(w, "and %d more findings\n", l.omitted)
		return err
	}
	return nil
}

// PrintJSON writes {"findings":[...],"more":N}: all of it in one object, for
// programs.
func (l *List) PrintJSON(w io.Writer) error {
	all := l.All()
	if all == nil {
		all = []Finding{}
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(struct {
		Findings []Finding `json:"findings"`
		More     int       `json:"more"`
	}{all, l.omitted})
}

// Err is nil, or an error of all findings, one a line.
func (l *List) Err() error {
	if l.Len() == 0 {
		return nil
	}
	var b strings.Builder
	l.Print(&b)
	return Error(strings.TrimSuffix(b.String(), "\n"))
}

// Error is the text of a List with findings.
type Error string

func (e Error) Error() string { return string(e) }
