package schema

import (
	"fmt"
	"strings"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
)

// Location is where something is set.
type Location struct {
	File string
	finding.Pos
}

// String is FILE:LINE.
func (l Location) String() string { return fmt.Sprintf("%s:%d", l.File, l.Line) }

// Setting is a key that a file sets.
type Setting struct {
	Path      []string // table, name where there are several of it, key
	Key       *Key
	Location  Location
	Raw       string // as it is written; empty where it has no text of its own
	Canonical string // as TOML, the same for all ways to write a value; empty where it could not be read
}

// ID is the setting's path as text.
func (s Setting) ID() string { return doc.DottedPath(s.Path) }

// File is what the layers of a configuration file say.
type File struct {
	schema   *Schema
	values   map[string]any      // a pointer to the struct of each table, by valueID
	names    map[string][]string // of tables of which there are several, in the order of the file, by the table's name
	settings map[string]*Setting // by ID
	tables   map[string]Location // of the tables that are there, by dotted path
	root     Location
}

// valueID identifies the value of a table by its path. No name has a NUL byte.
func valueID(path ...string) string { return strings.Join(path, "\x00") }

// Location is where a key is set, or else its table, or else the file.
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

// Setting is what a file says of a key, or nil where it says nothing.
func (f *File) Setting(path ...string) *Setting { return f.settings[doc.DottedPath(path)] }

// Settings are all keys that a file sets, in the schema's order and, of tables of which there are several, in the file's.
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

// pathsOf are the paths of a table: its own, or one for each name that the file has of it.
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

// keyPath is the path of a key of the table at a path.
func keyPath(table []string, key string) []string { return append(table[:len(table):len(table)], key) }

// keyID is the ID of a setting of the table at a path.
func keyID(table []string, k *Key) string { return doc.DottedPath(keyPath(table, k.Name)) }

// Changed lists the settings in which a file differs from the one before: those of the new file where it sets them, and those of the
// old one where the new one does not set them any more. A setting of the default is the same as none.
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
