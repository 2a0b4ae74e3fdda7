package schema

import (
	"fmt"
	"slices"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
)

// Layer is a table of a document that contains tables of the schema. If several layers are decoded together, the later ones take
// precedence, key by key.
type Layer struct {
	Doc   *doc.Document
	Table *doc.Table
	File  string
	Pos   *finding.Pos // if not nil, the position of all settings of a layer whose text is not in the file
}

// location returns the location that is reported for a position in the layer.
func (l Layer) location(pos finding.Pos) Location {
	if l.Pos != nil {
		pos = *l.Pos
	}
	return Location{l.File, pos}
}

// Options configures Decode.
type Options struct {
	// Partial skips the checks for missing keys and over several keys. It is set for a layer that is decoded alone, and for a document
	// that could not be read completely.
	Partial bool
	// RequiredElsewhere has the names of tables whose required keys may be missing, since another source provides them.
	RequiredElsewhere []string
	// OtherTables has the names of tables that are allowed but not part of the schema.
	OtherTables []string
}

// decoding is the state of one call of Decode.
type decoding struct {
	*File
	options Options
	found   *finding.List
}

// Decode decodes layers, in order of increasing precedence, and adds a finding for each fault. If it has added any, the file must only be
// used to look for further faults. Layers without a table are ignored.
func (s *Schema) Decode(found *finding.List, options Options, layers ...Layer) *File {
	run := decoding{
		File: &File{
			schema:   s,
			values:   map[string]any{},
			names:    map[string][]string{},
			settings: map[string]*Setting{},
			tables:   map[string]Location{},
		},
		options: options,
		found:   found,
	}
	before := found.Len()
	for _, l := range layers {
		if l.Table != nil {
			run.root = l.location(l.Table.Pos)
			run.layer(l)
		}
	}
	if options.Partial {
		return run.File
	}
	for _, t := range s.Tables {
		if !slices.Contains(options.RequiredElsewhere, t.Name) {
			run.reportMissing(t)
		}
	}
	if found.Len() > before {
		return run.File // checks over keys that could not be read would report misleading findings
	}
	for _, t := range s.Tables {
		if t.check != nil {
			run.check(t)
		}
	}
	return run.File
}

// layer decodes the tables of one layer.
func (d *decoding) layer(layer Layer) {
	report := d.found.ForFile(layer.File)
	for _, e := range layer.Table.Entries {
		t := d.schema.byName[e.Name]
		switch {
		case t == nil:
			d.reportUnknown(e, report)
		case e.Value.Kind != doc.TableKind:
			report(e.Pos, "%s is a table: write [%s] and each of its keys in a line below", e.Name, t.headerName())
		case t.Named:
			d.tables[t.Name] = layer.location(e.Pos)
			d.namedTables(layer, t, e.Value.Table, report)
		default:
			d.table(layer, t, t.path(""), e.Value.Table, report)
		}
	}
}

// reportUnknown reports a top-level entry of a layer that is not a table of the schema, unless it is in OtherTables.
func (d *decoding) reportUnknown(e *doc.Entry, report finding.Reporter) {
	if slices.Contains(d.options.OtherTables, e.Name) {
		return
	}
	if e.Value.Kind == doc.TableKind {
		report(e.Pos, "%s", finding.UnknownName("table", e.Name, append(d.schema.tableNames(), d.options.OtherTables...)))
		return
	}
	if header := d.schema.tableOfKey(e.Name); header != "" {
		report(e.Pos, "%s belongs under [%s]", e.Name, header)
		return
	}
	report(e.Pos, "%s", finding.UnknownName("key", e.Name, append(d.schema.tableNames(), d.schema.keyNames()...)))
}

// namedTables decodes the tables [NAME.ANY] of one layer.
func (d *decoding) namedTables(layer Layer, t *Table, all *doc.Table, report finding.Reporter) {
	for _, entry := range all.Entries {
		if entry.Value.Kind != doc.TableKind {
			report(entry.Pos, "%s is to stand in a table of its own, [%s]", entry.Name, t.headerName())
			continue
		}
		path := t.path(entry.Name)
		if t.nameFault != nil {
			if fault := t.nameFault(entry.Name); fault != "" {
				report(entry.Pos, "%s%s", messagePrefix(path), fault)
			}
		}
		if !slices.Contains(d.names[t.Name], entry.Name) {
			d.names[t.Name] = append(d.names[t.Name], entry.Name)
		}
		d.table(layer, t, path, entry.Value.Table, report)
	}
}

// table decodes one table of a layer into the struct of that table.
func (d *decoding) table(layer Layer, t *Table, path []string, table *doc.Table, report finding.Reporter) {
	id := valueID(path...)
	value := d.values[id]
	if value == nil {
		value = t.newValue()
		d.values[id] = value
	}
	d.tables[doc.DottedPath(path)] = layer.location(table.Pos)
	for _, entry := range table.Entries {
		k := t.byName[entry.Name]
		if k == nil {
			d.reportUnknownKey(t, path, entry, report)
			continue
		}
		setting := &Setting{Path: keyPath(path, entry.Name), Key: k, Location: layer.location(entry.Pos)}
		var fault string
		setting.Canonical, fault = k.decode(value, entry.Value)
		if fault != "" {
			report(entry.Value.Pos, "%s%s", messagePrefix(setting.Path), fault)
		}
		if entry.Value.End > entry.Value.Start {
			setting.Raw = string(layer.Doc.Text[entry.Value.Start:entry.Value.End])
		}
		// A key with a fault is recorded too, so that it is not reported as missing.
		d.settings[setting.ID()] = setting
	}
}

// reportUnknownKey reports a key that the table does not declare.
func (d *decoding) reportUnknownKey(t *Table, path []string, e *doc.Entry, report finding.Reporter) {
	if header := d.schema.tableOfKey(e.Name); header != "" {
		report(e.Pos, "%s has no key %s; it belongs under [%s]", tableHeader(path), e.Name, header)
		return
	}
	report(e.Pos, "%s", finding.UnknownName("key", e.Name, t.keyNames())+" in "+tableHeader(path))
}

// reportMissing reports required keys of a table that no layer sets, and a required named table that no layer has.
func (d *decoding) reportMissing(t *Table) {
	if t.Required && len(d.names[t.Name]) == 0 {
		d.found.Add(d.root.File, d.root.Pos, "there is no [%s]: at least one is needed", t.headerName())
	}
	for _, path := range d.pathsOf(t) {
		for _, k := range t.Keys {
			if d.isMissing(path, k) {
				d.reportMissingKey(doc.DottedPath(path), k)
			}
		}
	}
}

// isMissing reports whether a key is required and no layer sets it.
func (d *decoding) isMissing(table []string, k *Key) bool {
	if !k.Required || d.settings[keyID(table, k)] != nil {
		return false
	}
	return k.optionalWhen == nil || !k.optionalWhen(d.File)
}

// reportMissingKey reports a missing key at the header of its table, or at the start of the file if there is no header.
func (d *decoding) reportMissingKey(table string, k *Key) {
	location, ok := d.tables[table]
	if !ok {
		d.found.Add(d.root.File, d.root.Pos, "there is no [%s], whose key %s is needed, like %s = %s", table, k.Name, k.Name, k.Example)
		return
	}
	d.found.Add(location.File, location.Pos, "[%s] lacks the key %s, like %s = %s", table, k.Name, k.Name, k.Example)
}

// check runs a table's check over several keys. A table that is not named is checked even if the file does not have it.
func (d *decoding) check(t *Table) {
	if !t.Named {
		value, ok := d.values[valueID(t.Name)]
		if !ok {
			value = t.newValue()
		}
		t.check(d.File, "", value, d.keyReporter(t.path("")))
		return
	}
	for _, name := range d.names[t.Name] {
		path := t.path(name)
		t.check(d.File, name, d.values[valueID(path...)], d.keyReporter(path))
	}
}

// keyReporter returns a Reporter for the keys of the table at a path.
func (d *decoding) keyReporter(table []string) Reporter {
	return func(key, format string, args ...any) {
		path := keyPath(table, key)
		location := d.Location(path...)
		d.found.Add(location.File, location.Pos, "%s%s", messagePrefix(path), fmt.Sprintf(format, args...))
	}
}

// messagePrefix returns the beginning of a message about a setting.
func messagePrefix(path []string) string { return doc.DottedPath(path) + ": " }

// tableHeader returns the header of a table.
func tableHeader(path []string) string { return "[" + doc.DottedPath(path) + "]" }
