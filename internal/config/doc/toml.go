package doc

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"quincegap/internal/config/finding"
)

const (
	// maxUnreadableLines bounds the lines that are reported as unreadable: behind so many the file is not TOML, and
	// each costs a start of the parser; so do those that follow one and are not reported.
	maxUnreadableLines = 100
	maxParserRestarts  = 1000
	// maxDepth bounds tables and lists within one another, and so recursion here and in whoever walks the tree.
	maxDepth = 16
)

// ReadTOML reads a text of at most a number of bytes. It reports all that cannot be read, and gives the tree
// of the rest: with findings it is not to be used, but others may be found in it. It is nil only where
// nothing could be read.
func ReadTOML(text []byte, most int, report finding.Reporter) *Document {
	d := newDocument(text)
	if !d.checkReadable(most, report) {
		return nil
	}
	r := tomlReader{Document: d, report: report, table: d.Root}
	r.read()
	return d
}

// tomlReader reads one document.
type tomlReader struct {
	*Document
	report      finding.Reporter
	parser      unstable.Parser
	parserStart int    // where the parser's text begins in the document's
	table       *Table // which keys go into; nil behind a header that cannot be read
	readEnd     int    // behind the last line that could be read, but for the end of a list
}

func (r *tomlReader) read() {
	unread, restarts, last := 0, 0, -2
	for r.parserStart < len(r.Text) {
		r.parser.Reset(r.Text[r.parserStart:len(r.Text):len(r.Text)])
		for r.parser.NextExpression() {
			r.expression(r.parser.Expression())
		}
		err := r.parser.Error()
		if err == nil {
			return
		}
		at := r.parserStart
		var perr *unstable.ParserError
		if errors.As(err, &perr) && perr.Highlight != nil {
			at += int(r.parser.Range(perr.Highlight).Offset)
		}
		at = min(at, len(r.Text)-1)
		message := explainSyntaxError(err.Error(), r.Text[r.lines[r.line(at)]:r.lineEnd(at)], at-r.lines[r.line(at)])
		if began := r.expressionStart(at); r.line(began) < r.line(at) {
			// A list or string over several lines. Where it begins says more than where it was noticed, and the
			// lines from there on are looked at one by one.
			at = began
			message = "what begins here is not closed (" + err.Error() + ")"
		}
		line := r.line(at)
		begins := r.trimmedLine(line)
		// Behind a list or a string that is not closed, its other lines cannot be read either: they are part of
		// that finding, unless they look like lines of their own.
		if line != last+1 || looksLikeStatement(begins) {
			unread++
			r.report(r.Pos(at), "cannot be read: %s", message)
		}
		if restarts++; unread >= maxUnreadableLines || restarts >= maxParserRestarts {
			r.report(r.Pos(at), "too many lines cannot be read; the rest is not looked at")
			return
		}
		if strings.HasPrefix(begins, "[") {
			r.table = nil
		}
		last = line
		r.parserStart = r.lineEnd(at)
	}
}

// expressionStart is where the expression began that cannot be read at a byte: the first line behind the last one that
// could be, if it looks like the start of one.
func (r *tomlReader) expressionStart(at int) int {
	for line := r.line(min(max(r.readEnd, r.parserStart), at)); line < r.line(at); line++ {
		if r.lines[line] >= r.readEnd && looksLikeStatement(r.trimmedLine(line)) {
			text := r.Text[r.lines[line]:]
			return r.lines[line] + len(text) - len(bytes.TrimLeft(text, " \t"))
		}
	}
	return at
}

func (r *tomlReader) trimmedLine(line int) string {
	return strings.TrimSpace(string(r.Text[r.lines[line]:r.lineEnd(r.lines[line])]))
}

// looksLikeStatement tells whether a line looks like a header or a key with a value, and not like the inside of a list.
func looksLikeStatement(line string) bool {
	return strings.HasPrefix(line, "[") || !strings.HasPrefix(line, "#") && strings.Contains(line, "=")
}

// explainSyntaxError puts the parser's words into plainer ones, where there are such, for an error at a byte of a line.
func explainSyntaxError(message string, text []byte, at int) string {
	line := strings.TrimSpace(string(text))
	equals := bytes.IndexByte(text, '=')
	switch {
	case bytes.IndexByte(text, '\r') >= 0 && !bytes.Contains(text, []byte("\r\n")) || bytes.IndexByte(text, '\r') >= 0 && bytes.IndexByte(text, '\r') < len(text)-2:
		return "a carriage return within a line: lines end in LF or CR LF"
	case strings.HasPrefix(line, "[") && strings.Trim(line, "[] \t") == "":
		return "a table's header without a name"
	case strings.HasPrefix(line, "[") && strings.Count(line, "[") > strings.Count(line, "]"):
		return "the table's header is not closed by ]"
	case strings.HasPrefix(line, "[") || strings.HasPrefix(line, "="):
		return message
	case equals < 0:
		return "neither key = value, nor [table], nor # comment"
	case strings.HasSuffix(line, "="):
		return "there is no value behind ="
	case at <= equals:
		return message
	}
	value := strings.TrimSpace(string(text[equals+1:]))
	if strings.HasPrefix(value, `"`) && !strings.HasPrefix(value, `""`) && strings.Count(strings.ReplaceAll(value, `\"`, ""), `"`) == 1 {
		return `a string is not closed by "`
	}
	word, _, _ := strings.Cut(value, "#")
	word = strings.TrimSpace(word)
	if word != "" && strings.Trim(word, "0123456789.abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ%/:_-+") == "" {
		return "the value " + truncated(word) + " is neither a number, nor true or false, nor a string in quotes: write " + Quote(truncated(word))
	}
	return message
}

func truncated(s string) string {
	if len(s) > 40 {
		return strings.ToValidUTF8(s[:40], "") + "..."
	}
	return s
}

func (r *tomlReader) offset(n *unstable.Node) int { return r.parserStart + int(n.Raw.Offset) }

// keyParts are the parts of a dotted key, with the place of each.
func (r *tomlReader) keyParts(it unstable.Iterator) (parts []string, at []int, end int) {
	for it.Next() {
		n := it.Node()
		parts, at = append(parts, string(n.Data)), append(at, r.offset(n))
		end = r.offset(n) + int(n.Raw.Length)
	}
	return parts, at, end
}

func (r *tomlReader) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		r.header(n, n.Kind == unstable.ArrayTable)
	case unstable.KeyValue:
		if r.table != nil {
			r.keyValue(r.table, n, 0)
		}
	}
}

// hasHeader takes up the table that the next keys go into.
func (r *tomlReader) header(n *unstable.Node, list bool) {
	parts, at, _ := r.keyParts(n.Key())
	pos := r.Pos(at[0])
	r.table = nil
	if len(parts) > maxDepth {
		r.report(pos, "more than %d tables within one another", maxDepth)
		return
	}
	t := r.Root
	for i, part := range parts {
		last := i == len(parts)-1
		e := t.Get(part)
		if e == nil {
			sub := &Table{Path: append(t.Path[:len(t.Path):len(t.Path)], part), Pos: pos}
			v := &Value{Kind: TableKind, Pos: pos, Table: sub}
			if last && list {
				sub.arrayElement = true
				v = &Value{Kind: Array, Pos: pos, Items: []*Value{v}}
			}
			t.add(&Entry{Name: part, Pos: pos, Value: v, Start: -1})
			t = sub
			continue
		}
		switch {
		case e.Value.Kind == Array && len(e.Value.Items) > 0 && e.Value.Items[0].Kind == TableKind && e.Value.Items[0].Table.arrayElement:
			if last && list {
				sub := &Table{Path: append(t.Path[:len(t.Path):len(t.Path)], part), Pos: pos, arrayElement: true}
				e.Value.Items = append(e.Value.Items, &Value{Kind: TableKind, Pos: pos, Table: sub})
				t = sub
			} else if last {
				r.report(pos, "[%s] is a list of tables since line %d", DottedPath(parts), e.Pos.Line)
				return
			} else {
				t = e.Value.Items[len(e.Value.Items)-1].Table
			}
		case e.Value.Kind != TableKind:
			r.report(pos, "[%s] is a table, but %s has a value in line %d", DottedPath(parts), DottedPath(parts[:i+1]), e.Pos.Line)
			return
		case last && list:
			r.report(pos, "[[%s]] is a list of tables, but a table since line %d", DottedPath(parts), e.Pos.Line)
			return
		default:
			t = e.Value.Table
		}
	}
	if t.hasHeader || t.dotted {
		r.report(pos, "the table [%s] stands twice: first in line %d", DottedPath(parts), t.Pos.Line)
		// Its keys are looked at all the same, as another table's: each would be a duplicate otherwise.
		r.table = &Table{Path: t.Path, Pos: pos}
		return
	}
	t.hasHeader, t.Pos = true, pos
	t.headerStart = r.lines[r.line(at[0])]
	t.bodyEnd = r.lineEnd(at[0])
	r.readEnd = t.bodyEnd
	r.table = t
}

// keyValue puts a key into a table.
func (r *tomlReader) keyValue(t *Table, n *unstable.Node, depth int) {
	parts, at, end := r.keyParts(n.Key())
	pos := r.Pos(at[0])
	if depth+len(parts) > maxDepth {
		r.report(pos, "more than %d tables within one another", maxDepth)
		return
	}
	owner := t
	for i, part := range parts[:len(parts)-1] {
		e := t.Get(part)
		if e == nil {
			sub := &Table{Path: append(t.Path[:len(t.Path):len(t.Path)], part), Pos: pos, dotted: true}
			e = &Entry{Name: part, Pos: pos, Value: &Value{Kind: TableKind, Pos: pos, Table: sub}, Start: -1}
			t.add(e)
		}
		if e.Value.Kind != TableKind || e.Value.Table.hasHeader {
			r.report(pos, "%s cannot be set here: %s is set in line %d", DottedPath(parts), DottedPath(parts[:i+1]), e.Pos.Line)
			return
		}
		t = e.Value.Table
	}
	name := parts[len(parts)-1]
	if e := t.Get(name); e != nil {
		r.report(pos, "%s stands twice: first in line %d", DottedPath(parts), e.Pos.Line)
		return
	}
	for end < len(r.Text) && (r.Text[end] == ' ' || r.Text[end] == '\t' || r.Text[end] == '=') {
		end++ // to the value
	}
	v := r.value(append(t.Path[:len(t.Path):len(t.Path)], name), n.Value(), end, depth+len(parts))
	e := &Entry{Name: name, Pos: pos, Value: v, Start: r.lines[r.line(at[0])]}
	e.prefix = string(r.Text[at[0]:at[len(at)-1]])
	e.End = r.lineEnd(max(v.End-1, end, at[0]))
	t.add(e)
	owner.bodyEnd = max(owner.bodyEnd, e.End)
	r.readEnd = max(r.readEnd, e.End)
}

var kinds = map[unstable.Kind]Kind{
	unstable.String: String, unstable.Integer: Integer, unstable.Float: Float, unstable.Bool: Bool,
	unstable.LocalDate: Time, unstable.LocalTime: Time, unstable.LocalDateTime: Time, unstable.DateTime: Time,
	unstable.Array: Array, unstable.InlineTable: TableKind,
}

// value reads the value that begins at a byte.
func (r *tomlReader) value(path []string, n *unstable.Node, start, depth int) *Value {
	v := &Value{Kind: kinds[n.Kind], Pos: r.Pos(start), Start: start, End: start + 1}
	switch v.Kind {
	case Array, TableKind:
		if depth >= maxDepth {
			r.report(v.Pos, "more than %d lists and tables within one another", maxDepth)
			return v
		}
		if v.Kind == TableKind {
			v.Table = &Table{Path: path, Pos: v.Pos, dotted: true}
		}
		for it := n.Children(); it.Next(); {
			child := it.Node()
			switch {
			case child.Kind == unstable.Comment:
			case v.Kind == TableKind:
				r.keyValue(v.Table, child, depth)
			default:
				item := r.value(path, child, r.childStart(child, start), depth+1)
				v.Items = append(v.Items, item)
				v.End = max(v.End, item.End)
			}
		}
		if v.Table != nil {
			for _, e := range v.Table.Entries {
				v.End = max(v.End, e.Value.End)
			}
		}
	default:
		v.Start = r.offset(n)
		v.End = v.Start + int(n.Raw.Length)
		v.Pos = r.Pos(v.Start)
		v.Text = string(n.Data)
	}
	return v
}

// childStart is where an item of a list begins: lists and tables within it are not told their place by the
// parser, and count as standing where the outer one does.
func (r *tomlReader) childStart(n *unstable.Node, outer int) int {
	if n.Raw.Length > 0 {
		return r.offset(n)
	}
	return outer
}

// Newline is the line end that a text uses.
func Newline(text []byte) string {
	if bytes.Contains(text, []byte("\r\n")) {
		return "\r\n"
	}
	return "\n"
}
