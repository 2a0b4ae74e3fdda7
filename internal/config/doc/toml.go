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
	// maxDepth bounds tables and lists within one another, and so recursion here and in whoever walks the tree.
	maxDepth = 16
)

// ReadTOML reads a text of at most maxBytes bytes. It reports all that cannot be read, and returns the tree of the rest: with findings
// it is not to be used, but more faults may be found in it. It is nil only where nothing could be read.
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

// tomlReader reads one document. The parser stops at its first error, so it is started again behind the line of each.
type tomlReader struct {
	*Document
	report      finding.Reporter
	parser      unstable.Parser
	parserStart int    // offset of the parser's text in the document's
	table       *Table // which keys go into; nil behind a header that cannot be read
	readEnd     int    // offset behind the last line that could be read, except the end of a list

	unreadable  int // lines reported as unreadable
	restarts    int // of the parser
	lastSkipped int // number of the line that was skipped last
}

// read reads all expressions, and goes on behind each line that cannot be read.
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

// skipUnreadable reports the parser's error and moves behind its line. It is false where too much could not be read to go on.
func (r *tomlReader) skipUnreadable(err error) bool {
	at, message := r.locate(err)
	line := r.line(at)
	statement := r.trimmedLine(line)
	// Behind a list or a string that is not closed, its other lines cannot be read either: they are part of that finding, unless they
	// look like statements of their own.
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

// locate is the offset of a parser's error, and its message for people.
func (r *tomlReader) locate(err error) (at int, message string) {
	at = r.parserStart
	var parserError *unstable.ParserError
	if errors.As(err, &parserError) && parserError.Highlight != nil {
		at += int(r.parser.Range(parserError.Highlight).Offset)
	}
	at = min(at, len(r.Text)-1)
	start := r.expressionStart(at)
	if r.line(start) < r.line(at) {
		// A list or string over several lines. Where it begins says more than where the parser noticed, and the lines from there on are
		// looked at one by one.
		return start, "what begins here is not closed (" + err.Error() + ")"
	}
	lineStart := r.lines[r.line(at)]
	return at, explainSyntaxError(err.Error(), r.Text[lineStart:r.lineEnd(at)], at-lineStart)
}

// expressionStart is where the expression begins that cannot be read at an offset: the first line behind the last one that could be,
// if it looks like the start of one, else the offset itself.
func (r *tomlReader) expressionStart(at int) int {
	for line := r.line(min(max(r.readEnd, r.parserStart), at)); line < r.line(at); line++ {
		if r.lines[line] >= r.readEnd && looksLikeStatement(r.trimmedLine(line)) {
			text := r.Text[r.lines[line]:]
			return r.lines[line] + len(text) - len(bytes.TrimLeft(text, " \t"))
		}
	}
	return at
}

// trimmedLine is a line by its number, without the white space around it.
func (r *tomlReader) trimmedLine(line int) string {
	return strings.TrimSpace(string(r.Text[r.lines[line]:r.lineEnd(r.lines[line])]))
}

// looksLikeStatement tells whether a line looks like a header or a key with a value, and not like the inside of a list.
func looksLikeStatement(line string) bool {
	return strings.HasPrefix(line, "[") || !strings.HasPrefix(line, "#") && strings.Contains(line, "=")
}
