package apps

import (
	"bytes"
	"cmp"
	"fmt"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// Edit is a manual change of a key in a derived file.
type Edit struct {
	Path        []string
	Location    schema.Location
	Key         *schema.Key
	Raw         string // the value in the file; empty if the key was removed
	Previous    string // the value before the edit; empty if it is not known
	Current     string // the value in apps.toml now; empty if it has none
	Conflicting bool   // whether apps.toml has changed the key since as well, to another value
}

// ID returns the key's path as a dotted text.
func (e Edit) ID() string { return doc.DottedPath(e.Path) }

// String returns the edit's location and description.
func (e Edit) String() string { return fmt.Sprintf("%s: %s", e.Location, e.Describe()) }

// Describe returns a description of the edit for people.
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

// fileStart is the position of findings about a derived file as a whole.
var fileStart = finding.Pos{Line: 1, Col: 1}

// FileState is the state of a derived file compared with the file that would be generated now.
type FileState struct {
	App        *App   // the application as apps.toml describes it
	Path       string // the path of the file
	Text       []byte // the text of the file; nil if it does not exist
	Generated  []byte // the text that would be generated now
	Provenance *Provenance
	File       *schema.File // the decoded file; nil unless it has been edited and can be read
	Doc        *doc.Document
	Edits      []Edit
}

// Compare compares the text of an application's file with the text that would be generated, and finds the edits. It adds a finding if the
// file must not be overwritten or cannot be read. The text is nil if the file does not exist. source is the name of apps.toml.
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

// findEdits adds the keys that were set or removed by hand.
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

// addEdit adds an edit if a key was changed by hand. It compares the short digests of three values: the one that was generated, the one in
// the file (inFile, or nil for none) and the one that apps.toml has now.
func (f *FileState) addEdit(path []string, key *schema.Key, inFile *schema.Setting) {
	edit := Edit{Path: path, Key: key, Location: f.File.Location(path...)}
	fileDigest := ""
	if inFile != nil {
		edit.Raw = inFile.Raw
		edit.Location = inFile.Location
		fileDigest = shortDigest(inFile.Canonical)
	}
	currentDigest := ""
	if current := f.App.File.Setting(path...); current != nil {
		edit.Current = cmp.Or(current.Raw, current.Canonical)
		currentDigest = shortDigest(current.Canonical)
	}
	writtenDigest := f.Provenance.KeyDigests[edit.ID()]
	if fileDigest == writtenDigest || fileDigest == currentDigest {
		return // the key is unchanged, or changed to the value that would be generated
	}
	if currentDigest == writtenDigest {
		edit.Previous = edit.Current
	} else {
		edit.Conflicting = true
	}
	f.Edits = append(f.Edits, edit)
}

// Edited reports whether the file has changed since it was generated, even if only in comments or spacing.
func (f *FileState) Edited() bool {
	return f.Provenance != nil && (f.Provenance.Edited || f.Provenance.Truncated)
}

// Conflicts returns the edits of keys that apps.toml has changed as well, to other values.
func (f *FileState) Conflicts() (conflicts []Edit) {
	for _, e := range f.Edits {
		if e.Conflicting {
			conflicts = append(conflicts, e)
		}
	}
	return conflicts
}

// Merge returns the file with the changes of apps.toml applied and the edits retained. It applies the changes to the edited text, so that
// manual comments are retained too, and replaces its header and trailer by those of the generated file, so that the edits are still
// recognized as such. There must be no conflict.
func (f *FileState) Merge() []byte {
	if f.File == nil {
		return f.Generated // the file has not been edited
	}
	editedKeys := map[string]bool{}
	for _, e := range f.Edits {
		editedKeys[e.ID()] = true
	}
	merged := f.Doc
	for _, setting := range f.App.File.Settings() {
		if editedKeys[setting.ID()] {
			continue
		}
		if inFile := f.File.Setting(setting.Path...); inFile == nil || inFile.Canonical != setting.Canonical {
			merged = parseTOML(merged.Set(setting.Path, setting.OneLine(), setting.Key.Help))
		}
	}
	for _, setting := range f.File.Settings() {
		if !editedKeys[setting.ID()] && f.App.File.Setting(setting.Path...) == nil {
			merged = parseTOML(merged.Delete(setting.Path, setting.Key.Help))
		}
	}
	return replaceProvenance(merged.Text, f.Generated)
}
