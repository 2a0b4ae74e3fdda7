package doc

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"quincegap/internal/config/finding"
)

const (
	// maxUnreadableLines bounds the lines that are reported as unreadable. A file with more is probably not TOML.
	maxUnreadableLines = 100
	// maxParserRestarts bounds the lines that are skipped, whether reported or not, since the parser is restarted after each.
	maxParserRestarts = 1000
	// maxDepth bounds the nesting of tables and lists, and so the recursion depth here and in code that traverses the tree.
	maxDepth = 16
)

// ReadTOML reads a text of at most maxBytes bytes. It reports everything that cannot be read, and returns a document with the rest. If it
// has reported findings, the document must only be used to look for further faults. It is nil if the text could not be read at all.
func ReadTOML(text []byte, maxBytes int, report finding.Reporter) *Document {
	d := newDocument(text)
	if !d.checkReadable(maxBytes, report) {
		return nil
	}
	r := tomlReader{Document: d, report: report, table: d.Root, lastSkipped: noLine}
	r.read()
	return d
}

// noLine is a line number that is not adjacent to any line of a text.
const noLine = -2

// tomlReader reads one document. Since the parser stops at the first error, it is restarted after the line of each error.
type tomlReader struct {
	*Document
	report      finding.Reporter
	parser      unstable.Parser
	parserStart int    // the offset in the document at which the parser's text starts
	table       *Table // the table that keys are added to; nil after a header that cannot be read
	readEnd     int    // the offset after the last line that could be read; the lines that close a multi-line list do not count

	unreadableLines int // the number of lines reported as unreadable
	restarts        int // the number of restarts of the parser
	lastSkipped     int // the number of the line that was skipped last
}

// read adds all expressions of the text to the tree, and continues after each line that cannot be read.
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

// skipUnreadable adds a finding for the parser's error and skips its line. It returns false if reading stops because too many lines cannot
// be read.
func (r *tomlReader) skipUnreadable(err error) bool {
	at, message := r.locate(err)
	line := r.line(at)
	statement := r.trimmedLine(line)
	// The lines after the start of an unclosed list or string cannot be read either. They get no findings of their own, unless they look
	// like statements.
	if line != r.lastSkipped+1 || looksLikeStatement(statement) {
		r.unreadableLines++
		r.report(r.Pos(at), "cannot be read: %s", message)
	}
	r.restarts++
	if r.unreadableLines >= maxUnreadableLines || r.restarts >= maxParserRestarts {
		r.report(r.Pos(at), "too many lines cannot be read; the rest is skipped")
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
		// A list or string over several lines is not closed. Its start is reported, since that helps more than the offset at which the
		// parser failed, and the lines after it are read one by one.
		return start, "what begins here is not closed (" + err.Error() + ")"
	}
	lineStart := r.lines[r.line(at)]
	return at, explainSyntaxError(err.Error(), r.Text[lineStart:r.lineEnd(at)], at-lineStart)
}

// expressionStart returns the start of the expression in which the parser failed at an offset: the first line from readEnd on that looks
// like a statement, otherwise the given offset.
func (r *tomlReader) expressionStart(at int) int {
	for line := r.line(min(max(r.readEnd, r.parserStart), at)); line < r.line(at); line++ {
		if r.lines[line] >= r.readEnd && looksLikeStatement(r.trimmedLine(line)) {
			text := r.Text[r.lines[line]:]
			return r.lines[line] + len(text) - len(bytes.TrimLeft(text, " \t"))
		}
	}
	return at
}

// trimmedLine returns the line with a number, counted from 0, without the white space around it.
func (r *tomlReader) trimmedLine(line int) string {
	return strings.TrimSpace(string(r.Text[r.lines[line]:r.lineEnd(r.lines[line])]))
}

// looksLikeStatement reports whether a line looks like a header or a key with a value, and not like an item of a list or a comment.
func looksLikeStatement(line string) bool {
	return strings.HasPrefix(line, "[") || !strings.HasPrefix(line, "#") && strings.Contains(line, "=")
}
