package tool

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printer prints a command's messages for people. It ignores write errors, since a closed terminal or pipe does not change what the command
// has done. Output whose loss has to be reported is written to the embedded Writer.
type printer struct{ io.Writer }

func (p printer) printf(format string, args ...any) { _, _ = fmt.Fprintf(p.Writer, format, args...) }

func (p printer) println(args ...any) { _, _ = fmt.Fprintln(p.Writer, args...) }

func (p printer) print(args ...any) { _, _ = fmt.Fprint(p.Writer, args...) }

// table prints lines of tab-separated cells in aligned columns. Write errors are returned by Flush.
type table struct {
	writer *tabwriter.Writer
	err    error // first write error; nil if there was none
}

// columnPadding is the white space between two columns, in characters.
const columnPadding = 2

// newTable returns a table with left-aligned cells.
func newTable(w io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(w, 0, 8, columnPadding, ' ', 0)}
}

// newFigureTable returns a table with right-aligned cells, for numbers.
func newFigureTable(w io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', tabwriter.AlignRight)}
}

func (t *table) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(t.writer, format, args...); t.err == nil {
		t.err = err
	}
}

func (t *table) println(args ...any) { t.printf("%s", fmt.Sprintln(args...)) }

// Flush writes the buffered lines, and returns the first error of this and earlier writes.
func (t *table) Flush() error {
	if err := t.writer.Flush(); t.err == nil {
		t.err = err
	}
	return t.err
}
