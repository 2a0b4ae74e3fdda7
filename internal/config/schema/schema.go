package schema

import (
	"fmt"
	"strings"

	"quincegap/internal/config/doc"
)

// Change says when a new value of a key takes effect.
type Change int

// The values of Change.
const (
	AtStart  Change = iota // only when the sidecar starts; a reload with another value is rejected
	OnReload               // when the sidecar starts, and when it reloads its file on SIGHUP
)

// String returns the name that the reference page uses.
func (c Change) String() string { return [...]string{"start", "SIGHUP"}[c] }

// Key is the declaration of one key of a table.
type Key struct {
	Name     string
	Help     string // the meaning of the key in one sentence
	Type     string // the type as a phrase for the reference page
	Bounds   string // the valid values as a phrase; may be empty
	Default  string // the default as TOML; empty if there is none
	Example  string // an example as TOML, for a key that has no default
	Required bool
	Secret   Secret // the kind of secret in the file whose path is the value
	Change   Change

	optionalWhen func(f *File) bool // reports whether a required key may be missing; may be nil
	decode       func(target any, v *doc.Value) (canonical, fault string)
	setDefault   func(target any)
}

// KeyOf is a Key that sets a field of a T.
type KeyOf[T any] struct{ *Key }

// Table is the declaration of a table of keys, or of a group of named tables [name.ANY] with the same keys.
type Table struct {
	Name        string
	Help        string
	Keys        []*Key
	Named       bool   // whether there may be any number of tables [name.ANY]
	NameKind    string // what ANY names, such as "class"
	Required    bool   // whether at least one table [name.ANY] is required
	ExampleName string // an example of ANY

	byName    map[string]*Key
	newValue  func() any
	check     func(f *File, name string, value any, report Reporter)
	nameFault func(name string) string
}

// Reporter adds a finding about a key of the table that is checked.
type Reporter func(key string, format string, args ...any)

// TypedTable is a Table whose keys set the fields of a T.
type TypedTable[T any] struct{ *Table }

// NewTable declares the table [name]. It panics if two keys have the same name.
func NewTable[T any](name, help string, keys ...KeyOf[T]) TypedTable[T] {
	return TypedTable[T]{newTable[T](name, help, keys)}
}

// NewNamed declares the tables [name.ANY]. kind says what ANY names, and example is an example of ANY. It panics if two keys have the same
// name.
func NewNamed[T any](name, kind, example, help string, keys ...KeyOf[T]) TypedTable[T] {
	t := newTable[T](name, help, keys)
	t.Named = true
	t.NameKind = kind
	t.ExampleName = example
	return TypedTable[T]{t}
}

// newTable returns a table with some keys. It panics if two keys have the same name; tables are declared when a program starts.
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

// RequireOne declares that a file must have at least one of the named tables.
func (t TypedTable[T]) RequireOne() TypedTable[T] {
	t.Required = true
	return t
}

// Check sets a check over several keys of a table. It runs only if decoding has reported nothing. Its findings are located at their key,
// or at the table's header if the key is not set.
func (t TypedTable[T]) Check(check func(f *File, name string, value *T, report Reporter)) TypedTable[T] {
	t.check = func(f *File, name string, value any, report Reporter) { check(f, name, value.(*T), report) }
	return t
}

// OptionalWhen sets a function that reports whether a required key may be missing in a file.
func (t TypedTable[T]) OptionalWhen(key string, optional func(f *File) bool) TypedTable[T] {
	t.byName[key].optionalWhen = optional
	return t
}

// CheckNames sets a check of the names of named tables. fault returns what is wrong with a name, or "".
func (t TypedTable[T]) CheckNames(fault func(name string) string) TypedTable[T] {
	t.nameFault = fault
	return t
}

// In returns the struct with a file's values of the table, or with the defaults if the file does not have the table.
func (t TypedTable[T]) In(f *File) *T {
	if v, ok := f.values[t.Name]; ok {
		return v.(*T)
	}
	return t.Default()
}

// Default returns a struct with the defaults of all keys.
func (t TypedTable[T]) Default() *T { return t.newValue().(*T) }

// Named is one of the tables [name.ANY], with ANY as Name and the struct with its values as Value.
type Named[T any] struct {
	Name  string
	Value *T
}

// All returns the named tables of a file, in the order of the file.
func (t TypedTable[T]) All(f *File) []Named[T] {
	var all []Named[T]
	for _, name := range f.names[t.Name] {
		all = append(all, Named[T]{name, f.values[valueID(t.Name, name)].(*T)})
	}
	return all
}

// First returns the first of the named tables of a file, or nil, and their number.
func (t TypedTable[T]) First(f *File) (first *T, all int) {
	names := f.names[t.Name]
	if len(names) == 0 {
		return nil, 0
	}
	return t.Get(f, names[0]), len(names)
}

// Get returns the named table with a name, or nil if the file does not have it.
func (t TypedTable[T]) Get(f *File, name string) *T {
	v, _ := f.values[valueID(t.Name, name)].(*T)
	return v
}

// Schema is the declaration of the tables of a file.
type Schema struct {
	Tables []*Table
	byName map[string]*Table
}

// New returns a schema of some tables. It panics if two tables have the same name, or keys of the same name. Names of keys are unique so
// that a missing header is detected: its keys then belong to the table above, which does not declare them.
func New(tables ...*Table) *Schema {
	schema := &Schema{Tables: tables, byName: map[string]*Table{}}
	owner := map[string]string{}
	for _, t := range tables {
		if schema.byName[t.Name] != nil {
			panic("schema: [" + t.Name + "] is declared twice")
		}
		schema.byName[t.Name] = t
		for _, k := range t.Keys {
			if other := owner[k.Name]; other != "" {
				panic(fmt.Sprintf("schema: both [%s] and [%s] have a key %s", other, t.Name, k.Name))
			}
			owner[k.Name] = t.Name
		}
	}
	return schema
}

// Table returns the table with a name, or nil.
func (s *Schema) Table(name string) *Table { return s.byName[name] }

// path returns the path of the table, or of the table with the given name if it is a named one.
func (t *Table) path(name string) []string {
	if t.Named {
		return []string{t.Name, name}
	}
	return []string{t.Name}
}

// headerName returns the name as messages and the reference page write it in a header: "sidecar", or "class.CLASS" for a named table.
func (t *Table) headerName() string {
	if t.Named {
		return t.Name + "." + strings.ToUpper(t.NameKind)
	}
	return t.Name
}

// keyNames returns the names of the table's keys, in the order of declaration.
func (t *Table) keyNames() []string {
	names := make([]string, len(t.Keys))
	for i, k := range t.Keys {
		names[i] = k.Name
	}
	return names
}

// tableNames returns the names of all tables, in the order of the schema.
func (s *Schema) tableNames() []string {
	names := make([]string, len(s.Tables))
	for i, t := range s.Tables {
		names[i] = t.Name
	}
	return names
}

// keyNames returns the names of the keys of all tables, in the order of declaration.
func (s *Schema) keyNames() (names []string) {
	for _, t := range s.Tables {
		names = append(names, t.keyNames()...)
	}
	return names
}

// tableOfKey returns the header name of the table that declares a key, or "".
func (s *Schema) tableOfKey(key string) string {
	for _, t := range s.Tables {
		if t.byName[key] != nil {
			return t.headerName()
		}
	}
	return ""
}
