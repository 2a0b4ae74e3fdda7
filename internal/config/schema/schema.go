package schema

import (
	"fmt"
	"strings"

	"quincegap/internal/config/doc"
)

// Change tells when a key's value takes effect.
type Change int

// The times of a change.
const (
	AtStart  Change = iota // at a start only; a reload with another value is refused
	OnReload               // at a start, and on SIGHUP
)

// String is how the reference page names it.
func (c Change) String() string { return [...]string{"start", "SIGHUP"}[c] }

// Key is one key of a table.
type Key struct {
	Name     string
	Help     string // one sentence
	Type     string // in words, as the reference has it
	Bounds   string // in words; may be empty
	Default  string // as TOML; empty where there is none
	Example  string // as TOML, of a key that has no default
	Required bool
	Secret   Secret // what the file holds that the value is the path of
	Change   Change

	optionalWhen func(f *File) bool // where it is not required after all; may be nil
	decode       func(target any, v *doc.Value) (canonical, fault string)
	setDefault   func(target any)
}

// KeyOf is a Key that fills a field of a T.
type KeyOf[T any] struct{ *Key }

// Table is a table of keys.
type Table struct {
	Name        string
	Help        string
	Keys        []*Key
	Named       bool   // [name.ANY], any number
	NameKind    string // of a named one, what its names are, "class"
	Required    bool   // of a named one, whether at least one is needed
	ExampleName string // an example of a name

	byName    map[string]*Key
	newValue  func() any
	check     func(f *File, name string, value any, report Reporter)
	nameFault func(name string) string
}

// Reporter takes a finding on a key of the table that is checked.
type Reporter func(key string, format string, args ...any)

// TypedTable is a Table whose keys fill a T.
type TypedTable[T any] struct{ *Table }

// NewTable declares [name].
func NewTable[T any](name, help string, keys ...KeyOf[T]) TypedTable[T] {
	return TypedTable[T]{newTable[T](name, help, keys)}
}

// NewNamed declares [name.ANY]; sorts says what ANY is, and example gives one.
func NewNamed[T any](name, sorts, example, help string, keys ...KeyOf[T]) TypedTable[T] {
	t := newTable[T](name, help, keys)
	t.Named, t.NameKind, t.ExampleName = true, sorts, example
	return TypedTable[T]{t}
}

// newTable panics for keys of one name: it runs at the start of a program.
func newTable[T any](name, help string, keys []KeyOf[T]) *Table {
	t := &Table{Name: name, Help: help, byName: map[string]*Key{}}
	t.newValue = func() any {
		v := new(T)
		for _, k := range keys {
			k.setDefault(v)
		}
		return v
	}
	for _, k := range keys {
		if t.byName[k.Name] != nil {
			panic("schema: " + name + "." + k.Name + " is declared twice")
		}
		t.byName[k.Name] = k.Key
		t.Keys = append(t.Keys, k.Key)
	}
	return t
}

// RequireOne says that at least one table of this sort must be there.
func (o TypedTable[T]) RequireOne() TypedTable[T] {
	o.Required = true
	return o
}

// Check adds a check over several keys of a table, run once all could be read. A finding is put where its
// key is set, or at the table's header.
func (o TypedTable[T]) Check(check func(f *File, name string, value *T, report Reporter)) TypedTable[T] {
	o.check = func(f *File, name string, value any, report Reporter) { check(f, name, value.(*T), report) }
	return o
}

// OptionalWhen says of a required key where it may be left out all the same.
func (o TypedTable[T]) OptionalWhen(key string, spared func(f *File) bool) TypedTable[T] {
	o.byName[key].optionalWhen = spared
	return o
}

// CheckNames checks the names of a named table: what is wrong with one, or "".
func (o TypedTable[T]) CheckNames(bad func(name string) string) TypedTable[T] {
	o.nameFault = bad
	return o
}

// In is the table's value in a file: its defaults where the file does not have it.
func (o TypedTable[T]) In(f *File) *T {
	if v, ok := f.values[o.Name]; ok {
		return v.(*T)
	}
	return o.Default()
}

// Default is the table's value where nothing is set.
func (o TypedTable[T]) Default() *T { return o.newValue().(*T) }

// Named is one of several tables of a sort.
type Named[T any] struct {
	Name  string
	Value *T
}

// All are the tables of a sort in a file, in its order.
func (o TypedTable[T]) All(f *File) []Named[T] {
	var all []Named[T]
	for _, name := range f.names[o.Name] {
		all = append(all, Named[T]{name, f.values[valueID(o.Name, name)].(*T)})
	}
	return all
}

// First is the first of several tables of a sort in a file, or nil, and how many there are.
func (o TypedTable[T]) First(f *File) (first *T, all int) {
	names := f.names[o.Name]
	if len(names) == 0 {
		return nil, 0
	}
	return o.Get(f, names[0]), len(names)
}

// Get is one of several tables of a sort, or nil.
func (o TypedTable[T]) Get(f *File, name string) *T {
	v, _ := f.values[valueID(o.Name, name)].(*T)
	return v
}

// Schema is a list of tables.
type Schema struct {
	Tables []*Table
	byName map[string]*Table
}

// New lists tables. No two may have a key of one name: where a header is lost, its keys fall to the table
// above, and must not be known there. It panics if two do, at the start of any program that has them.
func New(tables ...*Table) *Schema {
	s := &Schema{Tables: tables, byName: map[string]*Table{}}
	owner := map[string]string{}
	for _, t := range tables {
		if s.byName[t.Name] != nil {
			panic("schema: [" + t.Name + "] is declared twice")
		}
		s.byName[t.Name] = t
		for _, k := range t.Keys {
			if other := owner[k.Name]; other != "" {
				panic(fmt.Sprintf("schema: both [%s] and [%s] have a key %s", other, t.Name, k.Name))
			}
			owner[k.Name] = t.Name
		}
	}
	return s
}

// Table is a table of the schema by its name, or nil.
func (s *Schema) Table(name string) *Table { return s.byName[name] }

// path is the path of the table, or of that of a name where there are several.
func (t *Table) path(name string) []string {
	if t.Named {
		return []string{t.Name, name}
	}
	return []string{t.Name}
}

// headerName is the name in a header: "sidecar", or "class.CLASS" for a table of which there are several.
func (t *Table) headerName() string {
	if t.Named {
		return t.Name + "." + strings.ToUpper(t.NameKind)
	}
	return t.Name
}

// keyNames are the names of the table's keys, in order.
func (t *Table) keyNames() []string {
	names := make([]string, len(t.Keys))
	for i, k := range t.Keys {
		names[i] = k.Name
	}
	return names
}

// tableNames are the names of all tables, in order.
func (s *Schema) tableNames() []string {
	names := make([]string, len(s.Tables))
	for i, t := range s.Tables {
		names[i] = t.Name
	}
	return names
}

// keyNames are the names of the keys of all tables, in order.
func (s *Schema) keyNames() (names []string) {
	for _, t := range s.Tables {
		names = append(names, t.keyNames()...)
	}
	return names
}

// tableOfKey is the table that has a key of a name, or "".
func (s *Schema) tableOfKey(key string) string {
	for _, t := range s.Tables {
		if t.byName[key] != nil {
			return t.headerName()
		}
	}
	return ""
}
