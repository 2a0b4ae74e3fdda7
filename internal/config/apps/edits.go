package apps

import (
	"bytes"
	"cmp"
	"fmt"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// Edit is a key that was changed by hand in a derived file.
type Edit struct {
	Path        []string
	Location    schema.Location
	Key         *schema.Key
	Raw         string // the value in the file; empty if the key was removed
	Previous    string // the value before the edit; empty if it is not known
	Current     string // the value in apps.toml now; empty if it has none
	Conflicting bool   // apps.toml has changed since as well, to another value
}

// ID returns the key's path as text.
func (e Edit) ID() string { return doc.DottedPath(e.Path) }

// String returns the edit with its location.
func (e Edit) String() string { return fmt.Sprintf("%s: %s", e.Location, e.Describe()) }

// Describe returns the edit in words.
func (e Edit) Describe() string {
	switch now := cmp.Or(e.Current, "nothing"); {
	case e.Conflicting && e.Raw == "":
		return fmt.Sprintf("%s was taken away by hand, and apps.toml now says %s", e.ID(), now)
	case e.Conflicting:
		return fmt.Sprintf("%s = %s was set by hand, and apps.toml now says %s", e.ID(), e.Raw, now)
	case e.Raw == "":
		return fmt.Sprintf("%s was taken away by hand (it was %s)", e.ID(), e.Previous)
	case e.Previous == "":
		return fmt.Sprintf("%s = %s was added by hand", e.ID(), e.Raw)
	}
	return fmt.Sprintf("%s = %s was set by hand (it was %s)", e.ID(), e.Raw, e.Previous)
}

// fileStart is the position of findings on a file as a whole.
var fileStart = finding.Pos{Line: 1, Col: 1}

// FileState compares a derived file with what would be written now.
type FileState struct {
	App        *App   // as apps.toml has it
	Path       string // of the file
	Text       []byte // of the file; nil if there is none
	Generated  []byte // what would be written
	Provenance *Provenance
	File       *schema.File // the file, decoded
	Doc        *doc.Document
	Edits      []Edit
}

// Compare compares the present text of an application's file with what would be written. It adds a finding if the file must not be
// overwritten or cannot be read, and otherwise finds the edits. The text is nil if there is no file.
func Compare(tables *schema.Schema, app *App, source, path string, text []byte, found *finding.List) *FileState {
	state := &FileState{App: app, Path: path, Text: text, Generated: Generate(app, source)}
	if text == nil || bytes.Equal(text, state.Generated) {
		return state
	}
	state.Provenance = ParseProvenance(text)
	switch {
	case state.Provenance == nil:
		found.Add(path, fileStart, "was not written by quincegapctl (its header is missing), so it is left alone; move it away first")
		return state
	case state.Provenance.App != app.Name:
		found.Add(path, fileStart, "was written for %s, not for %s; move it away first", state.Provenance.App, app.Name)
		return state
	case state.Provenance.Truncated:
		found.Add(path, fileStart, "its end is missing: it was cut after it was written; write --discard-edits makes it whole")
		return state
	case !state.Provenance.Edited:
		return state
	}
	before := found.Len()
	state.Doc = doc.ReadTOML(text, MaxFileBytes, found.ForFile(path))
	if state.Doc == nil || found.Len() > before {
		return state
	}
	state.File = tables.Decode(found, schema.Options{}, schema.Layer{Doc: state.Doc, Table: state.Doc.Root, File: path})
	state.findEdits()
	return state
}

// findEdits finds the keys that were changed by hand.
func (f *FileState) findEdits() {
	for _, setting := range f.File.Settings() {
		f.addEdit(setting.Path, setting.Key, setting)
	}
	for _, id := range f.Provenance.Keys {
		if path := splitID(id); path != nil && f.File.Setting(path...) == nil {
			f.addEdit(path, nil, nil)
		}
	}
}

// addEdit adds an edit if a key was changed by hand. It compares the short digests of three values: the one that was written, the one that
// the file has (here; nil for none) and the one that apps.toml has now.
func (f *FileState) addEdit(path []string, key *schema.Key, here *schema.Setting) {
	edit := Edit{Path: path, Key: key, Location: f.File.Location(path...)}
	hereDigest := ""
	if here != nil {
		edit.Raw = here.Raw
		edit.Location = here.Location
		hereDigest = shortDigest(here.Canonical)
	}
	currentDigest := ""
	if current := f.App.File.Setting(path...); current != nil {
		edit.Current = cmp.Or(current.Raw, current.Canonical)
		currentDigest = shortDigest(current.Canonical)
	}
	writtenDigest := f.Provenance.KeyDigests[edit.ID()]
	if hereDigest == writtenDigest || hereDigest == currentDigest {
		return // unchanged, or changed to the value that would be written
	}
	if currentDigest == writtenDigest {
		edit.Previous = edit.Current
	} else {
		edit.Conflicting = true
	}
	f.Edits = append(f.Edits, edit)
}

// Edited reports whether the file has changed since it was written, if only in comments or spacing.
func (f *FileState) Edited() bool {
	return f.Provenance != nil && (f.Provenance.Edited || f.Provenance.Truncated)
}

// Conflicts returns the edits of keys that apps.toml has changed as well, to another value.
func (f *FileState) Conflicts() (conflicts []Edit) {
	for _, e := range f.Edits {
		if e.Conflicting {
			conflicts = append(conflicts, e)
		}
	}
	return conflicts
}

// Merge returns the file with the changes of apps.toml applied and the edits kept. It changes the edited text, so that comments by hand
// are kept, and sets the header and the trailer of the generated file, so that the edits are still recognized as such. There must be no
// conflict.
func (f *FileState) Merge() []byte {
	if f.File == nil {
		return f.Generated // the file has no edits
	}
	kept := map[string]bool{}
	for _, e := range f.Edits {
		kept[e.ID()] = true
	}
	merged := f.Doc
	for _, setting := range f.App.File.Settings() {
		if kept[setting.ID()] {
			continue
		}
		if here := f.File.Setting(setting.Path...); here == nil || here.Canonical != setting.Canonical {
			merged = readAgain(merged.Set(setting.Path, setting.OneLine(), setting.Key.Help))
		}
	}
	for _, setting := range f.File.Settings() {
		if !kept[setting.ID()] && f.App.File.Setting(setting.Path...) == nil {
			merged = readAgain(merged.Delete(setting.Path, setting.Key.Help))
		}
	}
	return replaceProvenance(merged.Text, f.Generated)
}
