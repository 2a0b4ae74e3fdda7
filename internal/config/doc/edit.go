package doc

import (
	"bytes"
	"slices"
	"strings"
)

// Set returns the text with a key's value replaced. If the key does not exist it is added with the comment lines above it: after the last
// key of its table, or in a new table after the tables that share the longest part of its path. value is TOML. All other lines are
// unchanged. The document must have been read without findings.
func (d *Document) Set(path []string, value string, comment ...string) []byte {
	if e := d.Root.Lookup(path...); e != nil {
		return d.splice(e.Value.Start, e.Value.End, value)
	}
	newline := Newline(d.Text)
	comments := ""
	for _, c := range comment {
		comments += "# " + c + newline
	}
	assignment := QuoteKey(path[len(path)-1]) + " = " + value + newline
	parent := path[:len(path)-1]
	table := d.table(parent)
	switch {
	case table != nil && (table.hasHeader || len(parent) == 0):
		at := table.bodyEnd
		if len(table.Entries) == 0 && len(parent) == 0 {
			at = 0
		}
		return d.insert(at, comments+assignment)
	case table != nil && table.dotted && len(table.Entries) > 0 && table.lastEntry().Start != generatedStart:
		// Dotted keys define this table, so TOML does not allow a header for it: the key is added after its dotted keys.
		last := table.lastEntry()
		return d.insert(last.End, comments+last.prefix+assignment)
	}
	header := newline + "[" + DottedPath(parent) + "]" + newline
	return d.insert(d.tableInsertion(parent), header+comments+assignment)
}

// lastEntry returns the last key of a table, which must not be empty.
func (t *Table) lastEntry() *Entry { return t.Entries[len(t.Entries)-1] }

// table returns the table with a path, or nil if there is none.
func (d *Document) table(path []string) *Table {
	t := d.Root
	for _, name := range path {
		if t = t.Subtable(name); t == nil {
			return nil
		}
	}
	return t
}

// tableInsertion returns the offset at which a new table is inserted: after the tables that share the longest part of its path, or at the
// end of the text.
func (d *Document) tableInsertion(path []string) int {
	for n := len(path) - 1; n > 0; n-- {
		if t := d.table(path[:n]); t != nil {
			if end := t.endWithSubtables(); end > 0 {
				return end
			}
		}
	}
	return len(d.Text)
}

// endWithSubtables returns the offset of the first byte after a table and its subtables.
func (t *Table) endWithSubtables() int {
	end := t.bodyEnd
	for _, e := range t.Entries {
		if e.Value.Kind == TableKind {
			end = max(end, e.Value.Table.endWithSubtables())
		}
		end = max(end, e.End)
	}
	return end
}

// Delete returns the text without a key, and without the given comment lines if they are directly above it. It also deletes the header of a
// table that becomes empty, with one empty line above it. If there is no such key the text is unchanged.
func (d *Document) Delete(path []string, comment ...string) []byte {
	e := d.Root.Lookup(path...)
	if e == nil {
		return d.Text
	}
	start := d.commentStart(e.Start, comment)
	table := d.table(path[:len(path)-1])
	if table.hasHeader && len(table.Entries) == 1 && d.isBlank(d.lineEnd(table.headerStart), start) {
		start = table.headerStart
		if line := d.line(start); line > 0 && d.isBlank(d.lines[line-1], start) {
			start = d.lines[line-1]
		}
	}
	return d.splice(start, e.End, "")
}

// commentStart returns the offset of the given comment lines if they are directly above the line that starts at an offset, otherwise that
// offset.
func (d *Document) commentStart(start int, comment []string) int {
	for _, c := range slices.Backward(comment) {
		line := d.line(start)
		if line == 0 || strings.TrimRight(string(d.Text[d.lines[line-1]:start]), "\r\n") != "# "+c {
			break
		}
		start = d.lines[line-1]
	}
	return start
}

// isBlank reports whether there is only white space from start to end.
func (d *Document) isBlank(start, end int) bool { return len(bytes.TrimSpace(d.Text[start:end])) == 0 }

// insert inserts lines before the line that begins at an offset. It adds a missing line end to the line above.
func (d *Document) insert(at int, lines string) []byte {
	if at > 0 && d.Text[at-1] != '\n' {
		lines = Newline(d.Text) + lines
	}
	return d.splice(at, at, lines)
}

// splice returns the text with the bytes from start up to end replaced.
func (d *Document) splice(start, end int, replacement string) []byte {
	return slices.Concat(d.Text[:start], []byte(replacement), d.Text[end:])
}
