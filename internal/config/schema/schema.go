// Package schema declares the keys of a configuration file, each once: its
// type, default, bounds, help and when it may change. Decoding, checks, the
// reference page, the sample file and the comments in written files all come
// from these declarations. The package does no I/O.
//
// A subsystem declares a table with the struct that it fills:
//
//	type Callers struct{ IdleTimeout time.Duration }
//
//	var CallersTable = schema.NewTable("callers", "Connections from callers.",
//		schema.Duration("idle_timeout", func(c *Callers) *time.Duration { return &c.IdleTimeout },
//			schema.Bounds[time.Duration]{Default: 30 * time.Second, Least: time.Second, Most: time.Hour},
//			schema.AtStart, "How long a connection may stand idle."))
//
// and after File := s.Decode(...) reads it with CallersTable.In(File).
package schema

import (
	"fmt"
	"slices"
	"strings"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
)

// Change tells when a key's value takes effect.
type Change int

// The times of a change.
const (
	AtStart  Change = iota // at a start only; a reload with another value is refused
	OnReload               // at a start, and on SIGHUP
)

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

	optionalWhen func(f *File) bool // where it is not required after all
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
		all = append(all, Named[T]{name, f.values[o.Name+"\x00"+name].(*T)})
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
	v, _ := f.values[o.Name+"\x00"+name].(*T)
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

// Location is where something is set.
type Location struct {
	File string
	finding.Pos
}

func (p Location) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// Setting is a key that a file sets.
type Setting struct {
	Path      []string // table, name where the table is a named one, key
	Key       *Key
	Location  Location
	Raw       string // as it is written
	Canonical string // the same for all ways to write a value
}

// ID is the setting's path as text.
func (s Setting) ID() string { return doc.DottedPath(s.Path) }

// File is a decoded file.
type File struct {
	schema   *Schema
	values   map[string]any
	names    map[string][]string
	settings map[string]*Setting
	tables   map[string]Location // of the tables that are there, by dotted path
	root     Location
}

// Layer is a document's table that holds tables of the schema. Where several are decoded together the later
// ones win, key by key.
type Layer struct {
	Doc   *doc.Document
	Table *doc.Table
	File  string
	Pos   *finding.Pos // the place of all that it holds, of one that is in no file
}

// location is that of something in the layer.
func (l Layer) location(at finding.Pos) Location {
	if l.Pos != nil {
		at = *l.Pos
	}
	return Location{l.File, at}
}

// Options of Decode.
type Options struct {
	// Partial leaves out that keys are missing, and the checks over several keys: for a layer by itself.
	Partial bool
	// RequiredElsewhere are tables whose missing keys come from somewhere else.
	RequiredElsewhere []string
	// OtherTables are names of tables that stand beside the schema's.
	OtherTables []string
}

// Decode reads layers, the lowest first, and reports all that is wrong with them.
func (s *Schema) Decode(found *finding.List, o Options, layers ...Layer) *File {
	f := &File{
		schema: s, values: map[string]any{}, names: map[string][]string{}, settings: map[string]*Setting{},
		tables: map[string]Location{},
	}
	before := found.Len()
	for _, l := range layers {
		if l.Table != nil {
			f.root = l.location(l.Table.Pos)
			s.decodeLayer(f, found, o, l)
		}
	}
	if o.Partial {
		return f
	}
	s.reportMissing(f, found, o)
	if found.Len() > before {
		return f // a check over keys that could not be read would mislead
	}
	for _, t := range s.Tables {
		if t.check != nil {
			t.each(f, func(name string, v any) {
				path := t.path(name)
				t.check(f, name, v, func(key, format string, args ...any) {
					at := f.Location(append(path, key)...)
					found.Add(at.File, at.Pos, "%s%s", messagePrefix(append(path, key)), fmt.Sprintf(format, args...))
				})
			})
		}
	}
	return f
}

// messagePrefix names a setting at the head of a message.
func messagePrefix(path []string) string { return doc.DottedPath(path) + ": " }

func (t *Table) path(name string) []string {
	if t.Named {
		return []string{t.Name, name}
	}
	return []string{t.Name}
}

// each calls for the table's value, or for that of each of its names.
func (t *Table) each(f *File, do func(name string, v any)) {
	if t.Named {
		for _, name := range f.names[t.Name] {
			do(name, f.values[t.Name+"\x00"+name])
		}
		return
	}
	if v, ok := f.values[t.Name]; ok {
		do("", v)
	} else if t.check != nil {
		do("", t.newValue())
	}
}

func (s *Schema) decodeLayer(f *File, found *finding.List, o Options, l Layer) {
	report := found.ForFile(l.File)
	for _, e := range l.Table.Entries {
		t := s.byName[e.Name]
		switch {
		case t == nil && slices.Contains(o.OtherTables, e.Name):
		case t == nil && e.Value.Kind == doc.TableKind:
			report(e.Pos, "%s", finding.UnknownName("table", e.Name, append(s.tableNames(), o.OtherTables...)))
		case t == nil:
			if in := s.tableOfKey(e.Name); in != "" {
				report(e.Pos, "%s belongs under [%s]", e.Name, in)
				continue
			}
			report(e.Pos, "%s", finding.UnknownName("key", e.Name, append(s.tableNames(), s.keyNames()...)))
		case e.Value.Kind != doc.TableKind:
			report(e.Pos, "%s is a table: write [%s] and each of its keys in a line below", e.Name, t.headerName())
		case !t.Named:
			t.read(f, report, l, []string{t.Name}, e.Value.Table)
		default:
			f.tables[t.Name] = l.location(e.Pos)
			for _, n := range e.Value.Table.Entries {
				if n.Value.Kind != doc.TableKind {
					report(n.Pos, "%s is to stand in a table of its own, [%s]", n.Name, t.headerName())
					continue
				}
				if t.nameFault != nil {
					if fault := t.nameFault(n.Name); fault != "" {
						report(n.Pos, "%s: %s", doc.DottedPath([]string{t.Name, n.Name}), fault)
					}
				}
				if !slices.Contains(f.names[t.Name], n.Name) {
					f.names[t.Name] = append(f.names[t.Name], n.Name)
				}
				t.read(f, report, l, []string{t.Name, n.Name}, n.Value.Table)
			}
		}
	}
}

// read fills the value of one table.
func (t *Table) read(f *File, report finding.Reporter, l Layer, path []string, table *doc.Table) {
	id := strings.Join(path, "\x00")
	v := f.values[id]
	if v == nil {
		v = t.newValue()
		f.values[id] = v
	}
	f.tables[doc.DottedPath(path)] = l.location(table.Pos)
	for _, e := range table.Entries {
		k := t.byName[e.Name]
		if k == nil {
			if in := f.schema.tableOfKey(e.Name); in != "" {
				report(e.Pos, "%s has no key %s; it belongs under [%s]", tableHeader(path), e.Name, in)
				continue
			}
			report(e.Pos, "%s", finding.UnknownName("key", e.Name, t.keyNames())+" in "+tableHeader(path))
			continue
		}
		full := append(path[:len(path):len(path)], e.Name)
		canonical, fault := k.decode(v, e.Value)
		if fault != "" {
			report(e.Value.Pos, "%s%s", messagePrefix(full), fault)
		}
		raw := ""
		if e.Value.End > e.Value.Start {
			raw = string(l.Doc.Text[e.Value.Start:e.Value.End])
		}
		// Kept with a fault too: it is no missing key.
		f.settings[doc.DottedPath(full)] = &Setting{Path: full, Key: k, Location: l.location(e.Pos), Raw: raw, Canonical: canonical}
	}
}

func tableHeader(path []string) string { return "[" + doc.DottedPath(path) + "]" }

// reportMissing reports required keys that no layer has.
func (s *Schema) reportMissing(f *File, found *finding.List, o Options) {
	for _, t := range s.Tables {
		if slices.Contains(o.RequiredElsewhere, t.Name) {
			continue
		}
		if t.Required && len(f.names[t.Name]) == 0 {
			found.Add(f.root.File, f.root.Pos, "there is no [%s]: at least one is needed", t.headerName())
		}
		look := func(name string) {
			path := t.path(name)
			for _, k := range t.Keys {
				full := append(path[:len(path):len(path)], k.Name)
				if !k.Required || k.optionalWhen != nil && k.optionalWhen(f) || f.settings[doc.DottedPath(full)] != nil {
					continue
				}
				at, ok := f.tables[doc.DottedPath(path)]
				if !ok {
					at = f.root
					found.Add(at.File, at.Pos, "there is no [%s], whose key %s is needed, like %s = %s", doc.DottedPath(path), k.Name, k.Name, k.Example)
					continue
				}
				found.Add(at.File, at.Pos, "[%s] lacks the key %s, like %s = %s", doc.DottedPath(path), k.Name, k.Name, k.Example)
			}
		}
		if !t.Named {
			look("")
			continue
		}
		for _, name := range f.names[t.Name] {
			look(name)
		}
	}
}

func (t *Table) headerName() string {
	if t.Named {
		return t.Name + "." + strings.ToUpper(t.NameKind)
	}
	return t.Name
}

func (t *Table) keyNames() []string {
	names := make([]string, len(t.Keys))
	for i, k := range t.Keys {
		names[i] = k.Name
	}
	return names
}

func (s *Schema) tableNames() []string {
	names := make([]string, len(s.Tables))
	for i, t := range s.Tables {
		names[i] = t.Name
	}
	return names
}

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

// Location is where a key is set, or else its table, or else the file.
func (f *File) Location(path ...string) Location {
	if s := f.settings[doc.DottedPath(path)]; s != nil {
		return s.Location
	}
	for n := len(path) - 1; n > 0; n-- {
		if p, ok := f.tables[doc.DottedPath(path[:n])]; ok {
			return p
		}
	}
	return f.root
}

// Setting is what a file says of a key, or nil where it says nothing.
func (f *File) Setting(path ...string) *Setting { return f.settings[doc.DottedPath(path)] }

// Settings are all keys that a file sets, in the schema's order and, of named tables, in the file's.
func (f *File) Settings() []*Setting {
	var all []*Setting
	add := func(t *Table, path []string) {
		for _, k := range t.Keys {
			if s := f.settings[doc.DottedPath(append(path[:len(path):len(path)], k.Name))]; s != nil {
				all = append(all, s)
			}
		}
	}
	for _, t := range f.schema.Tables {
		if !t.Named {
			add(t, []string{t.Name})
			continue
		}
		for _, name := range f.names[t.Name] {
			add(t, []string{t.Name, name})
		}
	}
	return all
}

// Table is a table of the schema by its name, or nil.
func (s *Schema) Table(name string) *Table { return s.byName[name] }

// Changed lists the settings in which a file differs from the one before: those of the new file where it
// sets them, and those of the old one where the new one has them no more.
func Changed(before, after *File) []*Setting {
	var changed []*Setting
	for _, s := range after.Settings() {
		if old := before.settings[s.ID()]; old == nil && s.Canonical != s.Key.Default || old != nil && old.Canonical != s.Canonical {
			changed = append(changed, s)
		}
	}
	for _, s := range before.Settings() {
		if after.settings[s.ID()] == nil && s.Canonical != s.Key.Default {
			gone := *s
			gone.Location = after.Location(s.Path...)
			changed = append(changed, &gone)
		}
	}
	return changed
}
