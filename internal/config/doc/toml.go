package doc

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"quincegap/internal/config/finding"
)

const (
	// maxUnreadableLines bounds the lines that are reported as unreadable: with more, the file is not TOML.
	maxUnreadableLines = 100
	// maxParserRestarts bounds the lines that are skipped, reported or not: each costs a start of the parser.
	maxParserRestarts = 1000
	// maxDepth bounds the nesting of tables and lists, and with it the recursion here and in code that walks the tree.
	maxDepth = 16
)

// ReadTOML reads a text of at most maxBytes bytes. It reports everything that cannot be read, and returns the tree of the rest. With
// findings the tree must only be used to look for further faults. It is nil if nothing could be read.
func ReadTOML(text []byte, maxBytes int, report finding.Reporter) *Document {
	d := newDocument(text)
	if !d.checkReadable(maxBytes, report) {
		return nil
	}
	r := tomlReader{Document: d, report: report, table: d.Root, lastSkipped: noLine}
	r.read()
	return d
}

// noLine is a line number that is not next to any line of a text.
const noLine = -2

// tomlReader reads one document. The parser stops at its first error, so it is started again after the line of each error.
type tomlReader struct {
	*Document
	report      finding.Reporter
	parser      unstable.Parser
	parserStart int    // offset of the parser's text in the document's
	table       *Table // that keys are added to; nil after a header that cannot be read
	readEnd     int    // offset of the first byte after the last line that could be read, except the end of a list

	unreadable  int // lines reported as unreadable
	restarts    int // of the parser
	lastSkipped int // number of the line that was skipped last
}

// read reads all expressions, and continues after each line that cannot be read.
func (r *tomlReader) read() {
	for r.parserStart < len(r.Text) {
		r.parser.Reset(r.Text[r.parserStart:len(r.Text):len(r.Text)])
		for r.parser.NextExpression() {
			r.expression(r.parser.Expression())
		}
		err := r.parser.Error()
		if err == nil {
			return
		}
		if !r.skipUnreadable(err) {
			return
		}
	}
}

// skipUnreadable adds a finding for the parser's error and skips its line. It returns false if too much cannot be read to continue.
func (r *tomlReader) skipUnreadable(err error) bool {
	at, message := r.locate(err)
	line := r.line(at)
	statement := r.trimmedLine(line)
	// If a list or a string is not closed its other lines cannot be read either. They are part of that finding, unless they look like
	// statements.
	if line != r.lastSkipped+1 || looksLikeStatement(statement) {
		r.unreadable++
		r.report(r.Pos(at), "cannot be read: %s", message)
	}
	r.restarts++
	if r.unreadable >= maxUnreadableLines || r.restarts >= maxParserRestarts {
		r.report(r.Pos(at), "too many lines cannot be read; the rest is not looked at")
		return false
	}
	if strings.HasPrefix(statement, "[") {
		r.table = nil
	}
	r.lastSkipped = line
	r.parserStart = r.lineEnd(at)
	return true
}

// locate returns the offset of a parser's error, and a message for it.
func (r *tomlReader) locate(err error) (at int, message string) {
	at = r.parserStart
	var parserError *unstable.ParserError
	if errors.As(err, &parserError) && parserError.Highlight != nil {
		at += int(r.parser.Range(parserError.Highlight).Offset)
	}
	at = min(at, len(r.Text)-1)
	start := r.expressionStart(at)
	if r.line(start) < r.line(at) {
		// A list or string over several lines is not closed. Its beginning tells more than the offset at which the parser noticed, and
		// the lines after it are read one by one.
		return start, "what begins here is not closed (" + err.Error() + ")"
	}
	lineStart := r.lines[r.line(at)]
	return at, explainSyntaxError(err.Error(), r.Text[lineStart:r.lineEnd(at)], at-lineStart)
}

// expressionStart returns the offset of the expression that the parser could not read at an offset: the first line after readEnd that looks
// like a statement, or else the given offset.
func (r *tomlReader) expressionStart(at int) int {
	for line := r.line(min(max(r.readEnd, r.parserStart), at)); line < r.line(at); line++ {
		if r.lines[line] >= r.readEnd && looksLikeStatement(r.trimmedLine(line)) {
			text := r.Text[r.lines[line]:]
			return r.lines[line] + len(text) - len(bytes.TrimLeft(text, " \t"))
		}
	}
	return at
}

// trimmedLine returns the line with a number, without the white space around it.
func (r *tomlReader) trimmedLine(line int) string {
	return strings.TrimSpace(string(r.Text[r.lines[line]:r.lineEnd(r.lines[line])]))
}

// looksLikeStatement reports whether a line looks like a header or a key with a value, and not like the inside of a list.
func looksLikeStatement(line string) bool {
	return strings.HasPrefix(line, "[") || !strings.HasPrefix(line, "#") && strings.Contains(line, "=")
}
