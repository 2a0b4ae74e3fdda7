package schema

import (
	"fmt"
	"strings"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
)

// Location is a position in a file.
type Location struct {
	File string
	finding.Pos
}

// String returns FILE:LINE.
func (l Location) String() string { return fmt.Sprintf("%s:%d", l.File, l.Line) }

// Setting is a key that a file sets.
type Setting struct {
	Path      []string // the table, the name if the table is a named one, and the key
	Key       *Key
	Location  Location
	Raw       string // the value as the file has it; empty if it is not from a text
	Canonical string // the value as TOML in a normalized notation; empty if the value is invalid
}

// ID returns the setting's path as text.
func (s Setting) ID() string { return doc.DottedPath(s.Path) }

// File has the settings of a configuration file, combined from all its layers.
type File struct {
	schema   *Schema
	values   map[string]any      // pointers to the structs of the tables, by valueID
	names    map[string][]string // names of named tables, in the order of the file, by the table's name
	settings map[string]*Setting // settings by ID
	tables   map[string]Location // locations of the tables that the file has, by dotted path
	root     Location
}

// valueID returns the key of a table's struct in File.values, from the table's path. Names cannot contain the separator, a NUL byte.
func valueID(path ...string) string { return strings.Join(path, "\x00") }

// Location returns the location of a key; if the file does not set it, that of its table, or else of the start of the file.
func (f *File) Location(path ...string) Location {
	if s := f.settings[doc.DottedPath(path)]; s != nil {
		return s.Location
	}
	for n := len(path) - 1; n > 0; n-- {
		if location, ok := f.tables[doc.DottedPath(path[:n])]; ok {
			return location
		}
	}
	return f.root
}

// Setting returns the setting of the key with a path, or nil if the file does not set it.
func (f *File) Setting(path ...string) *Setting { return f.settings[doc.DottedPath(path)] }

// Settings returns all settings in the order of the schema. Named tables are in the order of the file.
func (f *File) Settings() []*Setting {
	var all []*Setting
	for _, t := range f.schema.Tables {
		for _, path := range f.pathsOf(t) {
			for _, k := range t.Keys {
				if s := f.settings[keyID(path, k)]; s != nil {
					all = append(all, s)
				}
			}
		}
	}
	return all
}

// pathsOf returns the path of a table; for a named table, the paths of all that the file has.
func (f *File) pathsOf(t *Table) [][]string {
	if !t.Named {
		return [][]string{t.path("")}
	}
	var paths [][]string
	for _, name := range f.names[t.Name] {
		paths = append(paths, t.path(name))
	}
	return paths
}

// keyPath returns the path of a key in the table with a path.
func keyPath(table []string, key string) []string { return append(table[:len(table):len(table)], key) }

// keyID returns the ID of a key in the table with a path.
func keyID(table []string, k *Key) string { return doc.DottedPath(keyPath(table, k.Name)) }

// Changed returns the settings in which a file differs from its previous version: those that it adds or sets to other values, and those of
// the previous version that it no longer sets. Whether a key is absent or set to its default makes no difference.
func Changed(before, after *File) []*Setting {
	var changed []*Setting
	for _, s := range after.Settings() {
		if old := before.settings[s.ID()]; old == nil && s.Canonical != s.Key.Default || old != nil && old.Canonical != s.Canonical {
			changed = append(changed, s)
		}
	}
	for _, s := range before.Settings() {
		if after.settings[s.ID()] == nil && s.Canonical != s.Key.Default {
			removed := *s
			removed.Location = after.Location(s.Path...)
			changed = append(changed, &removed)
		}
	}
	return changed
}
