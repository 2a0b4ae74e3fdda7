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
	TableKind // of a TOML table or a JSON object
	Null      // of JSON only
)

var kindNames = [...]string{"a string", "a whole number", "a number", "true or false", "a date or time", "a list", "a table", "null"}

// String returns the name of the kind, for messages.
func (k Kind) String() string { return kindNames[k] }

// Value is a value in a document.
type Value struct {
	Kind Kind
	Pos  finding.Pos
	// Start and End are the offsets of the first byte of a scalar in the text and of the byte after it.
	Start, End int
	Text       string   // the content of a String; the text of another scalar
	Items      []*Value // of an Array
	Table      *Table   // of a TableKind
}

// generatedStart is the Start of an entry without a line, that is a table that a header or a dotted key implies.
const generatedStart = -1

// Entry is a key with its value.
type Entry struct {
	Name   string
	Pos    finding.Pos
	Value  *Value
	Start  int    // offset of the first byte of its line; generatedStart if it has no line
	End    int    // offset of the first byte after its last line
	prefix string // the text of a dotted key before its last part
}

// Table is a set of keys, in the order of the text.
type Table struct {
	Path    []string
	Pos     finding.Pos // of its header, or of the key that first names it
	Entries []*Entry

	index        map[string]*Entry
	hasHeader    bool // a header defines it
	dotted       bool // a dotted key or an inline table defines it
	arrayElement bool // it is an element of an array of tables
	headerStart  int  // offset of the header line's first byte
	bodyEnd      int  // offset of the first byte after the last line that belongs to the header
}

// Get returns the entry with a name, or nil.
func (t *Table) Get(name string) *Entry {
	if t == nil {
		return nil
	}
	return t.index[name]
}

// Subtable returns the table with a name, or nil if there is none or the name has another value.
func (t *Table) Subtable(name string) *Table {
	if e := t.Get(name); e != nil && e.Value.Kind == TableKind {
		return e.Value.Table
	}
	return nil
}

// Lookup follows a path of at least one name to an entry, or nil.
func (t *Table) Lookup(path ...string) *Entry {
	for _, name := range path[:len(path)-1] {
		if t = t.Subtable(name); t == nil {
			return nil
		}
	}
	return t.Get(path[len(path)-1])
}

// add adds an entry whose name the table does not have.
func (t *Table) add(e *Entry) {
	if t.index == nil {
		t.index = map[string]*Entry{}
	}
	t.index[e.Name] = e
	t.Entries = append(t.Entries, e)
}

// pathOf returns the path of the entry with a name.
func (t *Table) pathOf(name string) []string {
	return append(t.Path[:len(t.Path):len(t.Path)], name)
}
