package doc

import "quincegap/internal/config/finding"

// Kind is the type of a value.
type Kind int

// The kinds of a value.
const (
	String Kind = iota
	Integer
	Float
	Bool
	Time
	Array
	TableKind // a TOML table or a JSON object
	Null      // the JSON null
)

var kindNames = [...]string{"a string", "a whole number", "a number", "true or false", "a date or time", "a list", "a table", "null"}

// String returns the name of the kind with its article, for messages.
func (k Kind) String() string { return kindNames[k] }

// Value is a value in a document.
type Value struct {
	Kind Kind
	Pos  finding.Pos
	// Start and End are the offsets of the first byte of a scalar in the text and of the first byte after it. They are not exact for lists
	// and tables.
	Start, End int
	Text       string   // the content of a String, or the source text of another scalar
	Items      []*Value // the items of an Array
	Table      *Table   // the table of a TableKind
}

// generatedStart is the Start of an entry that has no line in the text: a table that a header or a dotted key defines implicitly.
const generatedStart = -1

// Entry is a key of a table with its value.
type Entry struct {
	Name   string
	Pos    finding.Pos
	Value  *Value
	Start  int    // the offset of the first byte of its line; generatedStart if it has no line
	End    int    // the offset of the first byte after its last line
	prefix string // the text of a dotted key before its last part, with the dot
}

// Table is a set of keys, in the order of the text.
type Table struct {
	Path    []string
	Pos     finding.Pos // the position of its header, or of the key that first names it
	Entries []*Entry

	index        map[string]*Entry
	hasHeader    bool // whether a header defines it
	dotted       bool // whether a dotted key or an inline table defines it
	arrayElement bool // whether it is an element of an array of tables
	headerStart  int  // the offset of the first byte of the header line
	bodyEnd      int  // the offset of the first byte after the last line below the header that belongs to the table
}

// Get returns the entry with a name, or nil. The table may be nil.
func (t *Table) Get(name string) *Entry {
	if t == nil {
		return nil
	}
	return t.index[name]
}

// Subtable returns the subtable with a name, or nil if there is no such key or its value is not a table.
func (t *Table) Subtable(name string) *Table {
	if e := t.Get(name); e != nil && e.Value.Kind == TableKind {
		return e.Value.Table
	}
	return nil
}

// Lookup returns the entry at a path of at least one name, or nil if there is none.
func (t *Table) Lookup(path ...string) *Entry {
	for _, name := range path[:len(path)-1] {
		if t = t.Subtable(name); t == nil {
			return nil
		}
	}
	return t.Get(path[len(path)-1])
}

// add adds an entry. The table must not have one of the same name.
func (t *Table) add(e *Entry) {
	if t.index == nil {
		t.index = map[string]*Entry{}
	}
	t.index[e.Name] = e
	t.Entries = append(t.Entries, e)
}

// pathOf returns the path of the key with a name in this table.
func (t *Table) pathOf(name string) []string {
	return append(t.Path[:len(t.Path):len(t.Path)], name)
}
