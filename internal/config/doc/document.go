package doc

import (
	"bytes"
	"sort"
	"unicode/utf8"

	"quincegap/internal/config/finding"
)

// Document is a TOML or JSON text with the tree of its tables, keys and values.
type Document struct {
	Text []byte
	Root *Table

	lines []int // the offset of the first byte of each line
}

// newDocument returns a document with an empty root table, for a text that is still to be parsed.
func newDocument(text []byte) *Document {
	d := &Document{Text: text, Root: &Table{Pos: finding.Pos{Line: 1, Col: 1}}, lines: []int{0}}
	for i, b := range text {
		if b == '\n' {
			d.lines = append(d.lines, i+1)
		}
	}
	return d
}

// Pos returns the line and column of an offset. A byte that is not valid UTF-8 counts as one character.
func (d *Document) Pos(offset int) finding.Pos {
	offset = min(max(offset, 0), len(d.Text))
	line := d.line(offset)
	return finding.Pos{Line: line + 1, Col: utf8.RuneCount(d.Text[d.lines[line]:offset]) + 1}
}

// line returns the number of the line that contains an offset, counted from 0.
func (d *Document) line(offset int) int { return sort.SearchInts(d.lines, offset+1) - 1 }

// lineEnd returns the offset of the first byte after the line that contains an offset.
func (d *Document) lineEnd(offset int) int {
	if n := d.line(offset) + 1; n < len(d.lines) {
		return d.lines[n]
	}
	return len(d.Text)
}

// checkReadable reports whether the text is UTF-8 without NUL bytes or a byte order mark, and has at most maxBytes bytes. If not it adds a
// finding.
func (d *Document) checkReadable(maxBytes int, report finding.Reporter) bool {
	text := d.Text
	start := finding.Pos{Line: 1, Col: 1}
	switch {
	case len(text) > maxBytes:
		report(finding.Pos{}, "has %d bytes; at most %d are read", len(text), maxBytes)
	case bytes.HasPrefix(text, []byte("\xef\xbb\xbf")):
		report(start, "begins with a byte order mark (BOM); save it as UTF-8 without one")
	case bytes.HasPrefix(text, []byte("\xff\xfe")) || bytes.HasPrefix(text, []byte("\xfe\xff")):
		report(start, "is UTF-16; save it as UTF-8")
	case !utf8.Valid(text):
		at := firstInvalidByte(text)
		report(d.Pos(at), "the byte 0x%02x is not UTF-8", text[at])
	case bytes.IndexByte(text, 0) >= 0:
		report(d.Pos(bytes.IndexByte(text, 0)), "a NUL byte: this is no text file")
	default:
		return true
	}
	return false
}

// firstInvalidByte returns the offset of the first byte that is not UTF-8. The text must have one.
func firstInvalidByte(text []byte) int {
	at := 0
	for {
		r, size := utf8.DecodeRune(text[at:])
		if r == utf8.RuneError && size <= 1 {
			return at
		}
		at += size
	}
}

// Newline returns the line end of a text: CR LF if it contains one, otherwise LF.
func Newline(text []byte) string {
	if bytes.Contains(text, []byte("\r\n")) {
		return "\r\n"
	}
	return "\n"
}
