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
	Path      []string // table, name if it is a named one, key
	Key       *Key
	Location  Location
	Raw       string // the value as it is written; empty if it is in no text
	Canonical string // the value as TOML, the same for all ways to write it; empty if it cannot be read
}

// ID returns the setting's path as text.
func (s Setting) ID() string { return doc.DottedPath(s.Path) }

// File has the settings of a configuration file, from all of its layers.
type File struct {
	schema   *Schema
	values   map[string]any      // a pointer to the struct of each table, by valueID
	names    map[string][]string // of named tables, in the order of the file, by the table's name
	settings map[string]*Setting // by ID
	tables   map[string]Location // of the tables that are there, by dotted path
	root     Location
}

// valueID identifies the value of a table by its path. No name has a NUL byte.
func valueID(path ...string) string { return strings.Join(path, "\x00") }

// Location returns the location of a key, or else of its table, or else of the file.
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

// Setting returns the setting of a key, or nil if the file does not set it.
func (f *File) Setting(path ...string) *Setting { return f.settings[doc.DottedPath(path)] }

// Settings returns all settings, in the order of the schema; those of named tables in the order of the file.
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

// pathsOf returns the path of a table, or those of the named tables that the file has.
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

// keyPath returns the path of a key of the table at a path.
func keyPath(table []string, key string) []string { return append(table[:len(table):len(table)], key) }

// keyID returns the ID of a setting of the table at a path.
func keyID(table []string, k *Key) string { return doc.DottedPath(keyPath(table, k.Name)) }

// Changed returns the settings in which a file differs from the one before: those that the new file sets, and those of the old file that
// the new one no longer sets. Setting a key to its default is no difference.
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
