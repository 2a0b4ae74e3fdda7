package doc

import (
	"github.com/pelletier/go-toml/v2/unstable"

	"quincegap/internal/config/finding"
)

// expression adds a header, or a key with its value, to the tree.
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

// offset returns the offset of a node in the document. The parser does not record that of lists and inline tables.
func (r *tomlReader) offset(n *unstable.Node) int { return r.parserStart + int(n.Raw.Offset) }

// keyParts returns the parts of a dotted key, their offsets, and the offset of the first byte after the key.
func (r *tomlReader) keyParts(it unstable.Iterator) (parts []string, starts []int, end int) {
	for it.Next() {
		n := it.Node()
		parts = append(parts, string(n.Data))
		starts = append(starts, r.offset(n))
		end = r.offset(n) + int(n.Raw.Length)
	}
	return parts, starts, end
}

// header finds or creates the table that the next keys are added to. list is set for the header of an array element, [[name]]. If the
// header contradicts the text above it, it is reported, and the keys below it are ignored.
func (r *tomlReader) header(n *unstable.Node, list bool) {
	parts, starts, _ := r.keyParts(n.Key())
	pos := r.Pos(starts[0])
	r.table = nil
	if len(parts) > maxDepth {
		r.report(pos, "more than %d tables within one another", maxDepth)
		return
	}
	t := r.Root
	for i := range parts {
		if t = r.headerStep(t, parts, i, list, starts[0]); t == nil {
			return
		}
	}
	if t.hasHeader || t.dotted {
		r.report(pos, "the table [%s] stands twice: first in line %d", DottedPath(parts), t.Pos.Line)
		// The keys below the second header are still checked. They go into a separate table, since in the same one each could be a duplicate.
		r.table = &Table{Path: t.Path, Pos: pos}
		return
	}
	t.hasHeader = true
	t.Pos = pos
	t.headerStart = r.lines[r.line(starts[0])]
	t.bodyEnd = r.lineEnd(starts[0])
	r.readEnd = t.bodyEnd
	r.table = t
}

// headerStep returns the subtable that the part of a header with an index names, and creates it if there is none. start is the offset of
// the header. If the header contradicts the text above it, headerStep adds a finding and returns nil.
func (r *tomlReader) headerStep(t *Table, parts []string, index int, list bool, start int) *Table {
	pos := r.Pos(start)
	last := index == len(parts)-1
	entry := t.Get(parts[index])
	if entry == nil {
		return t.addSubtable(parts[index], pos, last && list)
	}
	switch {
	case isTableArray(entry.Value) && last && list:
		sub := &Table{Path: t.pathOf(parts[index]), Pos: pos, arrayElement: true}
		entry.Value.Items = append(entry.Value.Items, &Value{Kind: TableKind, Pos: pos, Table: sub})
		return sub
	case isTableArray(entry.Value) && last:
		r.report(pos, "[%s] is a list of tables since line %d", DottedPath(parts), entry.Pos.Line)
		return nil
	case isTableArray(entry.Value):
		return entry.Value.Items[len(entry.Value.Items)-1].Table
	case entry.Value.Kind != TableKind:
		r.report(pos, "[%s] is a table, but %s has a value in line %d", DottedPath(parts), DottedPath(parts[:index+1]), entry.Pos.Line)
		return nil
	case last && list:
		r.report(pos, "[[%s]] is a list of tables, but a table since line %d", DottedPath(parts), entry.Pos.Line)
		return nil
	}
	return entry.Value.Table
}

// keyValue adds a key with its value to a table. depth is the number of inline tables and lists that contain the key.
func (r *tomlReader) keyValue(t *Table, node *unstable.Node, depth int) {
	parts, starts, end := r.keyParts(node.Key())
	pos := r.Pos(starts[0])
	if depth+len(parts) > maxDepth {
		r.report(pos, "more than %d tables within one another", maxDepth)
		return
	}
	owner := t
	for i, part := range parts[:len(parts)-1] {
		e := t.Get(part)
		if e == nil {
			t.addSubtable(part, pos, false).dotted = true
			e = t.Get(part)
		}
		if e.Value.Kind != TableKind || e.Value.Table.hasHeader {
			r.report(pos, "%s cannot be set here: %s is already set in line %d", DottedPath(parts), DottedPath(parts[:i+1]), e.Pos.Line)
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
		end++ // skip to the value
	}
	value := r.value(t.pathOf(name), node.Value(), end, depth+len(parts))
	e := &Entry{
		Name:   name,
		Pos:    pos,
		Value:  value,
		Start:  r.lines[r.line(starts[0])],
		End:    r.lineEnd(max(value.End-1, end, starts[0])),
		prefix: string(r.Text[starts[0]:starts[len(starts)-1]]),
	}
	t.add(e)
	owner.bodyEnd = max(owner.bodyEnd, e.End)
	r.readEnd = max(r.readEnd, e.End)
}

// addSubtable adds a table that a header or a dotted key defines implicitly. If list is set it adds an array of tables with one element,
// and returns that element.
func (t *Table) addSubtable(name string, pos finding.Pos, list bool) *Table {
	sub := &Table{Path: t.pathOf(name), Pos: pos, arrayElement: list}
	v := &Value{Kind: TableKind, Pos: pos, Table: sub}
	if list {
		v = &Value{Kind: Array, Pos: pos, Items: []*Value{v}}
	}
	t.add(&Entry{Name: name, Pos: pos, Value: v, Start: generatedStart})
	return sub
}

// isTableArray reports whether a value is an array of tables that headers [[name]] define, as opposed to an inline array.
func isTableArray(v *Value) bool {
	if v.Kind != Array || len(v.Items) == 0 {
		return false
	}
	first := v.Items[0]
	return first.Kind == TableKind && first.Table.arrayElement
}

// kindOfNode maps the parser's kinds of values to this package's.
var kindOfNode = map[unstable.Kind]Kind{
	unstable.String: String, unstable.Integer: Integer, unstable.Float: Float, unstable.Bool: Bool,
	unstable.LocalDate: Time, unstable.LocalTime: Time, unstable.LocalDateTime: Time, unstable.DateTime: Time,
	unstable.Array: Array, unstable.InlineTable: TableKind,
}

// value converts the node of a value that starts at an offset. depth is the number of tables and lists that contain it.
func (r *tomlReader) value(path []string, node *unstable.Node, start, depth int) *Value {
	value := &Value{Kind: kindOfNode[node.Kind], Pos: r.Pos(start), Start: start, End: start + 1}
	if value.Kind != Array && value.Kind != TableKind {
		value.Start = r.offset(node)
		value.End = value.Start + int(node.Raw.Length)
		value.Pos = r.Pos(value.Start)
		value.Text = string(node.Data)
		return value
	}
	if value.Kind == TableKind {
		value.Table = &Table{Path: path, Pos: value.Pos, dotted: true}
	}
	if depth >= maxDepth {
		r.report(value.Pos, "more than %d lists and tables within one another", maxDepth)
		return value
	}
	for it := node.Children(); it.Next(); {
		child := it.Node()
		switch {
		case child.Kind == unstable.Comment:
		case value.Kind == TableKind:
			r.keyValue(value.Table, child, depth)
		default:
			item := r.value(path, child, r.childStart(child, start), depth+1)
			value.Items = append(value.Items, item)
			value.End = max(value.End, item.End)
		}
	}
	if value.Table != nil {
		for _, e := range value.Table.Entries {
			value.End = max(value.End, e.Value.End)
		}
	}
	return value
}

// childStart returns the offset of an item of a list. The parser does not record the offsets of lists and inline tables; for these it
// returns the offset of the list that contains them.
func (r *tomlReader) childStart(n *unstable.Node, outer int) int {
	if n.Raw.Length > 0 {
		return r.offset(n)
	}
	return outer
}
