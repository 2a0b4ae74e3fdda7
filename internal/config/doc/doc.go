// Package doc reads TOML and JSON text into trees in which each key and value
// knows its line and column, reports all that cannot be read and not only the
// first, and edits TOML text without touching any other line. It does no I/O.
package doc

import (
	"bytes"
	"sort"
	"strings"
	"unicode/utf8"

	"quincegap/internal/config/finding"
)

// Kind is what a value is.
type Kind int

// The kinds of a value.
const (
	String Kind = iota
	Integer
	Float
	Bool
	Time
	Array
	TableKind
	Null
)

func (k Kind) String() string {
	return [...]string{"a string", "a whole number", "a number", "true or false", "a date or time", "a list", "a table", "null"}[k]
}

// Value is a value in a document.
type Value struct {
	Kind       Kind
	Pos        finding.Pos
	Start, End int      // bytes of a scalar in the text
	Text       string   // of a String what it says, of another scalar what is written
	Items      []*Value // of an Array
	Table      *Table   // of a TableKind
}

// Entry is a key with its value.
type Entry struct {
	Name   string
	Pos    finding.Pos
	Value  *Value
	Start  int    // first byte of its line
	End    int    // behind its last line, the line end included
	prefix string // of a dotted key, what stands before its last part
}

// Table is a set of keys, in the order of the text.
type Table struct {
	Path    []string
	Pos     finding.Pos // of its header, or of the key that first names it
	Entries []*Entry

	index        map[string]*Entry
	hasHeader    bool // a header defines it
	dotted       bool // a dotted key or an inline table defines it
	arrayElement bool // an element of an array of tables
	headerStart  int  // first byte of the header's line
	bodyEnd      int  // behind the last line that belongs to the header
}

// Get is the entry of a name, or nil.
func (t *Table) Get(name string) *Entry {
	if t == nil {
		return nil
	}
	return t.index[name]
}

// Subtable is the table of a name, or nil where there is none or a value in its place.
func (t *Table) Subtable(name string) *Table {
	if e := t.Get(name); e != nil && e.Value.Kind == TableKind {
		return e.Value.Table
	}
	return nil
}

// Lookup follows a path to an entry, or nil.
func (t *Table) Lookup(path ...string) *Entry {
	for _, name := range path[:len(path)-1] {
		if t = t.Subtable(name); t == nil {
			return nil
		}
	}
	return t.Get(path[len(path)-1])
}

func (t *Table) add(e *Entry) {
	if t.index == nil {
		t.index = map[string]*Entry{}
	}
	t.index[e.Name] = e
	t.Entries = append(t.Entries, e)
}

// Document is a document that has been read.
type Document struct {
	Text []byte
	Root *Table

	lines []int // first byte of each line
}

func newDocument(text []byte) *Document {
	d := &Document{Text: text, Root: &Table{Pos: finding.Pos{Line: 1, Col: 1}}, lines: []int{0}}
	for i, b := range text {
		if b == '\n' {
			d.lines = append(d.lines, i+1)
		}
	}
	return d
}

// Pos is the place of a byte.
func (d *Document) Pos(offset int) finding.Pos {
	offset = min(max(offset, 0), len(d.Text))
	line := sort.SearchInts(d.lines, offset+1) - 1
	// What cannot be a character counts one a byte.
	return finding.Pos{Line: line + 1, Col: utf8.RuneCount(d.Text[d.lines[line]:offset]) + 1}
}

// line is the number, from 0, of the line that a byte stands in.
func (d *Document) line(offset int) int { return sort.SearchInts(d.lines, offset+1) - 1 }

// lineEnd is the first byte of the line behind the one that a byte stands in.
func (d *Document) lineEnd(offset int) int {
	if n := d.line(offset) + 1; n < len(d.lines) {
		return d.lines[n]
	}
	return len(d.Text)
}

// checkReadable reports what makes a text useless as a whole: it is then not read.
func (d *Document) checkReadable(most int, report finding.Reporter) bool {
	text := d.Text
	switch {
	case len(text) > most:
		report(finding.Pos{}, "has %d bytes; at most %d are read", len(text), most)
	case bytes.HasPrefix(text, []byte("\xef\xbb\xbf")):
		report(finding.Pos{Line: 1, Col: 1}, "begins with a byte order mark (BOM); save it as UTF-8 without one")
	case bytes.HasPrefix(text, []byte("\xff\xfe")) || bytes.HasPrefix(text, []byte("\xfe\xff")):
		report(finding.Pos{Line: 1, Col: 1}, "is UTF-16; save it as UTF-8")
	case !utf8.Valid(text):
		at := 0
		for {
			r, n := utf8.DecodeRune(text[at:])
			if r == utf8.RuneError && n <= 1 {
				break
			}
			at += n
		}
		report(d.Pos(at), "the byte 0x%02x is not UTF-8", text[at])
	case bytes.IndexByte(text, 0) >= 0:
		report(d.Pos(bytes.IndexByte(text, 0)), "a NUL byte: this is no text file")
	default:
		return true
	}
	return false
}

// DottedPath writes a path as in a table's header: parts that are no bare key in quotes.
func DottedPath(path []string) string {
	parts := make([]string, len(path))
	for i, p := range path {
		parts[i] = QuoteKey(p)
	}
	return strings.Join(parts, ".")
}

// QuoteKey writes a key, in quotes where it must be.
func QuoteKey(key string) string {
	for i := range len(key) {
		if c := key[i] | 0x20; !('a' <= c && c <= 'z' || '0' <= key[i] && key[i] <= '9' || key[i] == '_' || key[i] == '-') {
			return Quote(key)
		}
	}
	if key == "" {
		return Quote(key)
	}
	return key
}

// Quote writes a TOML basic string.
func Quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r == '\t':
			b.WriteString(`\t`)
		case r == '\n':
			b.WriteString(`\n`)
		case r == '\r':
			b.WriteString(`\r`)
		case r < 0x20 || r == 0x7f:
			const hex = "0123456789ABCDEF"
			b.WriteString(`\u00`)
			b.WriteByte(hex[r>>4])
			b.WriteByte(hex[r&15])
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}
