package doc

import (
	"bytes"
	"slices"
	"strings"
)

// Set gives the text with a key's value replaced, or the key added: behind the last key of its table, or in a
// new table behind the one nearest to it. The value is TOML; comment lines go above a key that is added. All
// other lines stay as they are. Set must not be used on a document with findings.
func (d *Document) Set(path []string, value string, comment ...string) []byte {
	if e := d.Root.Lookup(path...); e != nil {
		return d.splice(e.Value.Start, e.Value.End, value)
	}
	nl := Newline(d.Text)
	name := QuoteKey(path[len(path)-1])
	lines := ""
	for _, c := range comment {
		lines += "# " + c + nl
	}
	parent := path[:len(path)-1]
	t := d.table(parent)
	switch {
	case t != nil && (t.hasHeader || len(parent) == 0):
		at := t.bodyEnd
		if len(t.Entries) == 0 && len(parent) == 0 {
			at = 0
		}
		return d.insert(at, lines+name+" = "+value+nl)
	case t != nil && t.dotted && len(t.Entries) > 0 && t.Entries[len(t.Entries)-1].Start >= 0:
		// A header must not define it again: the key goes beside its dotted ones.
		last := t.Entries[len(t.Entries)-1]
		return d.insert(last.End, lines+last.prefix+name+" = "+value+nl)
	}
	return d.insert(d.tableInsertion(parent), nl+"["+DottedPath(parent)+"]"+nl+lines+name+" = "+value+nl)
}

// table is the table of a path, or nil.
func (d *Document) table(path []string) *Table {
	t := d.Root
	for _, name := range path {
		if t = t.Subtable(name); t == nil {
			return nil
		}
	}
	return t
}

// tableInsertion is where a new table goes: behind the last table that shares the most of its path, or at the end.
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

// endWithSubtables is behind the last line of a table and those within it.
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

// Delete gives the text without a key, and without the comment lines directly above it that are given. A
// table that is left empty goes too.
func (d *Document) Delete(path []string, comment ...string) []byte {
	e := d.Root.Lookup(path...)
	if e == nil {
		return d.Text
	}
	start := e.Start
	for _, c := range slices.Backward(comment) {
		line := d.line(start)
		if line == 0 || strings.TrimRight(string(d.Text[d.lines[line-1]:start]), "\r\n") != "# "+c {
			break
		}
		start = d.lines[line-1]
	}
	end := e.End
	if t := d.table(path[:len(path)-1]); t.hasHeader && len(t.Entries) == 1 &&
		len(bytes.TrimSpace(d.Text[d.lineEnd(t.headerStart):start])) == 0 {
		start = t.headerStart
		if line := d.line(start); line > 0 && len(bytes.TrimSpace(d.Text[d.lines[line-1]:start])) == 0 {
			start = d.lines[line-1] // the empty line above its header
		}
	}
	return d.splice(start, end, "")
}

// insert puts lines in front of the one that begins at a byte. A last line without an end gets one.
func (d *Document) insert(at int, lines string) []byte {
	if at > 0 && d.Text[at-1] != '\n' {
		lines = Newline(d.Text) + lines
	}
	return d.splice(at, at, lines)
}

func (d *Document) splice(start, end int, by string) []byte {
	return slices.Concat(d.Text[:start], []byte(by), d.Text[end:])
}
