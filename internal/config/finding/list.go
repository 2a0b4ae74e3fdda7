package finding

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// MaxFindings bounds the findings that one List stores, so that a file of invalid text takes bounded memory. Further findings are only
// counted.
const MaxFindings = 1000

// List collects findings. Equal findings are stored once, since many applications may inherit one wrong value.
// The zero List is empty and ready for use. It is not safe for concurrent use.
type List struct {
	findings []Finding
	seen     map[Finding]bool
	omitted  int // the number of findings above MaxFindings
}

// Reporter adds a finding about one file.
type Reporter func(at Pos, format string, args ...any)

// Add adds a finding whose message is formatted as by fmt.Sprintf.
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

// ForFile returns a Reporter that adds findings about one file to the list.
func (l *List) ForFile(file string) Reporter {
	return func(at Pos, format string, args ...any) { l.Add(file, at, format, args...) }
}

// Len returns the number of findings, including those above MaxFindings.
func (l *List) Len() int { return len(l.findings) + l.omitted }

// All sorts the findings by file, line, column and message, and returns them. Files are in the order of their first findings.
func (l *List) All() []Finding {
	fileOrder := map[string]int{}
	for _, f := range l.findings {
		if _, ok := fileOrder[f.File]; !ok {
			fileOrder[f.File] = len(fileOrder)
		}
	}
	slices.SortStableFunc(l.findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(fileOrder[a.File], fileOrder[b.File]),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			strings.Compare(a.Message, b.Message),
		)
	})
	return l.findings
}

// Print writes one line per finding, and a last line with the number of findings above MaxFindings if there are any. It returns the
// writer's error.
func (l *List) Print(w io.Writer) error {
	_, err := io.WriteString(w, l.text())
	return err
}

// text returns the text that Print writes.
func (l *List) text() string {
	var text strings.Builder
	for _, f := range l.All() {
		text.WriteString(f.String() + "\n")
	}
	if l.omitted > 0 {
		fmt.Fprintf(&text, "and %d more findings\n", l.omitted)
	}
	return text.String()
}

// PrintJSON writes one object {"findings":[...],"more":N} for other programs; N counts the findings above MaxFindings. It returns
// the writer's error.
func (l *List) PrintJSON(w io.Writer) error {
	all := l.All()
	if all == nil {
		all = []Finding{} // an empty array, not null
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct {
		Findings []Finding `json:"findings"`
		More     int       `json:"more"`
	}{all, l.omitted})
}

// Err returns an Error with the text of all findings, or nil if the list is empty.
func (l *List) Err() error {
	if l.Len() == 0 {
		return nil
	}
	return Error(strings.TrimSuffix(l.text(), "\n"))
}
