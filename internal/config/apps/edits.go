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
	Raw         string // as the file has it now; empty where it was removed
	Previous    string // as apps.toml has it, where that is known to be what was written
	Current     string // what apps.toml has now, empty where it has none
	Conflicting bool   // apps.toml has changed it too, to another value
}

// ID is the key's path as text.
func (e Edit) ID() string { return doc.DottedPath(e.Path) }

// String is the edit with its location.
func (e Edit) String() string { return fmt.Sprintf("%s: %s", e.Location, e.Describe()) }

// Describe is the edit for people.
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

// fileStart is where findings on a file as a whole point to.
var fileStart = finding.Pos{Line: 1, Col: 1}

// FileState is a derived file beside what would be written now.
type FileState struct {
	App        *App   // as apps.toml has it
	Path       string // of the file
	Text       []byte // of the file; nil where there is none
	Generated  []byte // what would be written
	Provenance *Provenance
	File       *schema.File // the file, decoded
	Doc        *doc.Document
	Edits      []Edit
}

// Compare reads an application's file as it is and finds what stands against writing it: findings where it
// cannot be read, and edits. A text of nil stands for no file.
func Compare(s *schema.Schema, app *App, source, path string, text []byte, found *finding.List) *FileState {
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
	state.File = s.Decode(found, schema.Options{}, schema.Layer{Doc: state.Doc, Table: state.Doc.Root, File: path})
	state.findEdits()
	return state
}

// findEdits finds the keys that were changed by hand.
func (s *FileState) findEdits() {
	for _, setting := range s.File.Settings() {
		s.addEdit(setting.Path, setting.Key, setting)
	}
	for _, id := range s.Provenance.Keys {
		if path := splitID(id); path != nil && s.File.Setting(path...) == nil {
			s.addEdit(path, nil, nil)
		}
	}
}

// addEdit compares three states of a key, each by its short digest: what was written, what the file has (here, nil for nothing) and
// what apps.toml has now.
func (s *FileState) addEdit(path []string, key *schema.Key, here *schema.Setting) {
	e := Edit{Path: path, Key: key, Location: s.File.Location(path...)}
	hereDigest := ""
	if here != nil {
		e.Raw = here.Raw
		e.Location = here.Location
		hereDigest = shortDigest(here.Canonical)
	}
	currentDigest := ""
	if current := s.App.File.Setting(path...); current != nil {
		e.Current = cmp.Or(current.Raw, current.Canonical)
		currentDigest = shortDigest(current.Canonical)
	}
	writtenDigest := s.Provenance.KeyDigests[e.ID()]
	if hereDigest == writtenDigest || hereDigest == currentDigest {
		return // not changed here, or to what is written anyhow
	}
	if currentDigest == writtenDigest {
		e.Previous = e.Current
	} else {
		e.Conflicting = true
	}
	s.Edits = append(s.Edits, e)
}

// Edited tells whether the file was changed since it was written, be it in comments or spacing only.
func (s *FileState) Edited() bool {
	return s.Provenance != nil && (s.Provenance.Edited || s.Provenance.Truncated)
}

// Conflicts are the edits of keys that apps.toml has changed too, to another value.
func (s *FileState) Conflicts() (conflicts []Edit) {
	for _, e := range s.Edits {
		if e.Conflicting {
			conflicts = append(conflicts, e)
		}
	}
	return conflicts
}

// Merge is the file with all that write changes, and the edits kept. It starts from the edited text, so that comments by hand stay. The
// header and trailer are those of the generated file, so that edits are known as such. There must be no conflict.
func (s *FileState) Merge() []byte {
	if s.File == nil {
		return s.Generated // it was not edited
	}
	kept := map[string]bool{}
	for _, e := range s.Edits {
		kept[e.ID()] = true
	}
	d := s.Doc
	for _, setting := range s.App.File.Settings() {
		if kept[setting.ID()] {
			continue
		}
		if here := s.File.Setting(setting.Path...); here == nil || here.Canonical != setting.Canonical {
			d = readAgain(d.Set(setting.Path, setting.OneLine(), setting.Key.Help))
		}
	}
	for _, setting := range s.File.Settings() {
		if !kept[setting.ID()] && s.App.File.Setting(setting.Path...) == nil {
			d = readAgain(d.Delete(setting.Path, setting.Key.Help))
		}
	}
	return replaceProvenance(d.Text, s.Generated)
}
