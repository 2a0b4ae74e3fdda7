package tool

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes what a command says to people. That a terminal or a pipe has gone changes nothing in what the command has done, so
// errors of writing are dropped; what a command must not lose goes through the writer itself.
type printer struct{ io.Writer }

func (p printer) printf(format string, args ...any) { _, _ = fmt.Fprintf(p.Writer, format, args...) }

func (p printer) println(args ...any) { _, _ = fmt.Fprintln(p.Writer, args...) }

func (p printer) print(args ...any) { _, _ = fmt.Fprint(p.Writer, args...) }

// table writes lines whose cells, separated by tabs, are aligned. Its errors come with Flush.
type table struct {
	writer *tabwriter.Writer
	err    error // the first
}

// columnPadding is the white space between two columns, in characters.
const columnPadding = 2

// newTable is a table whose cells are aligned at their left.
func newTable(w io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(w, 0, 8, columnPadding, ' ', 0)}
}

// newFigureTable is a table whose cells are aligned at their right.
func newFigureTable(w io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', tabwriter.AlignRight)}
}

func (t *table) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(t.writer, format, args...); t.err == nil {
		t.err = err
	}
}

func (t *table) println(args ...any) { t.printf("%s", fmt.Sprintln(args...)) }

// Flush writes what has been collected, and returns the first error.
func (t *table) Flush() error {
	if err := t.writer.Flush(); t.err == nil {
		t.err = err
	}
	return t.err
}
