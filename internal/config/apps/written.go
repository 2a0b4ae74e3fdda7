package apps

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// The header and the trailer of a written file. Their lines are comments to everybody else.
const (
	headerBy     = "# Written by quincegapctl for "
	headerFrom   = " from "
	headerDigest = "# digest: "
	trailer      = "# What was written, by which an edit is found (end of the file as it was written):"
	keyPrefix    = "#: "
)

var headerText = []string{
	"# Change it there and write again. An edit made here is never lost: quincegapctl diff shows it,",
	"# write --keep-edits keeps it, and adopt takes it back.",
}

// Generate writes an application's file: the keys that apps.toml sets for it, each with its help, between a
// header with a digest and a trailer with a short digest of each key. The same model gives the same bytes.
func Generate(app *App, source string) []byte {
	body := app.File.Text() + "\n" + trailerOf(app.File)
	return []byte(header(app.Name, source, digest([]byte(body))) + body)
}

func header(name, source, digest string) string {
	return headerBy + name + headerFrom + source + ".\n" + strings.Join(headerText, "\n") + "\n" + headerDigest + digest + "\n"
}

func trailerOf(f *schema.File) string {
	var b strings.Builder
	b.WriteString(trailer + "\n")
	for _, s := range f.Settings() {
		fmt.Fprintf(&b, "%s%s %s\n", keyPrefix, shortDigest(s.Canonical), s.ID())
	}
	return b.String()
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// shortDigest is enough to tell two values of one key apart by mistake, not by malice.
func shortDigest(canonical string) string { return digest([]byte(canonical))[:12] }

// Provenance is what a file says of how it was written.
type Provenance struct {
	App        string
	Source     string
	KeyDigests map[string]string // the short digest of each key that was written
	Keys       []string          // those keys, in order
	Edited     bool              // the text has changed since, be it in comments only
	Truncated  bool              // its end is missing
}

// ParseProvenance reads the header and the trailer; it is nil where there is no header of the tool's.
func ParseProvenance(text []byte) *Provenance {
	lines := strings.Split(strings.ReplaceAll(string(text), "\r\n", "\n"), "\n")
	if len(lines) < 4 || !strings.HasPrefix(lines[0], headerBy) {
		return nil
	}
	w := &Provenance{KeyDigests: map[string]string{}, Truncated: true}
	var ok bool
	w.App, w.Source, ok = strings.Cut(strings.TrimPrefix(lines[0], headerBy), headerFrom)
	if !ok {
		return nil
	}
	w.Source = strings.TrimSuffix(w.Source, ".")
	want, at := "", 0
	for i, line := range lines {
		switch {
		case want == "" && strings.HasPrefix(line, headerDigest):
			want, at = strings.TrimPrefix(line, headerDigest), i+1
		case line == trailer:
			w.Truncated = false
		case !w.Truncated && strings.HasPrefix(line, keyPrefix):
			if sum, key, ok := strings.Cut(strings.TrimPrefix(line, keyPrefix), " "); ok {
				w.KeyDigests[key] = sum
				w.Keys = append(w.Keys, key)
			}
		}
	}
	// By the text itself, not by the lines above: a change of line ends is an edit too.
	var rest []byte
	for n := 0; n < at; n++ {
		_, after, _ := bytes.Cut(text, []byte("\n"))
		text = after
	}
	rest = text
	w.Edited = want == "" || digest(rest) != want
	return w
}

// Edit is a key that was changed by hand in a written file.
type Edit struct {
	Path        []string
	Location    schema.Location
	Key         *schema.Key
	Raw         string // as the file has it now; empty where it was taken away
	Previous    string // as apps.toml has it, where that is known to be what was written
	Current     string // what apps.toml has now, empty where it has none
	Conflicting bool   // apps.toml has changed it too, otherwise
}

// ID is the key's path as text.
func (e Edit) ID() string { return doc.DottedPath(e.Path) }

// String tells the edit and where it is.
func (e Edit) String() string { return fmt.Sprintf("%s: %s", e.Location, e.Describe()) }

// Describe tells the edit.
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

// FileState is a written file beside what would be written now.
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

// Compare reads an application's file as it is and tells what stands against writing it: findings where it
// cannot be read, and edits. A text of nil stands for no file.
func Compare(s *schema.Schema, app *App, source, path string, text []byte, found *finding.List) *FileState {
	st := &FileState{App: app, Path: path, Text: text, Generated: Generate(app, source)}
	if text == nil || bytes.Equal(text, st.Generated) {
		return st
	}
	st.Provenance = ParseProvenance(text)
	switch {
	case st.Provenance == nil:
		found.Add(path, finding.Pos{Line: 1, Col: 1}, "was not written by quincegapctl (its header is missing), so it is left alone; move it away first")
		return st
	case st.Provenance.App != app.Name:
		found.Add(path, finding.Pos{Line: 1, Col: 1}, "was written for %s, not for %s; move it away first", st.Provenance.App, app.Name)
		return st
	case st.Provenance.Truncated:
		found.Add(path, finding.Pos{Line: 1, Col: 1}, "its end is missing: it was cut after it was written; write --discard-edits makes it whole")
		return st
	case !st.Provenance.Edited:
		return st
	}
	before := found.Len()
	st.Doc = doc.ReadTOML(text, MaxFileBytes, found.ForFile(path))
	if st.Doc == nil || found.Len() > before {
		return st
	}
	st.File = s.Decode(found, schema.Options{}, schema.Layer{Doc: st.Doc, Table: st.Doc.Root, File: path})
	st.findEdits()
	return st
}

// findEdits finds the keys that were changed by hand.
func (s *FileState) findEdits() {
	base := func(id string) string { return s.Provenance.KeyDigests[id] }
	add := func(path []string, key *schema.Key, here *schema.Setting) {
		id := doc.DottedPath(path)
		e := Edit{Path: path, Key: key, Location: schema.Location{File: s.Path, Pos: finding.Pos{Line: 1, Col: 1}}}
		hereSum, nowSum := "", ""
		if here != nil {
			e.Raw, e.Location, hereSum = here.Raw, here.Location, shortDigest(here.Canonical)
		} else {
			e.Location = s.File.Location(path...)
		}
		if now := s.App.File.Setting(path...); now != nil {
			e.Current, nowSum = now.Raw, shortDigest(now.Canonical)
			if e.Current == "" {
				e.Current = now.Canonical
			}
		}
		if hereSum == base(id) || hereSum == nowSum {
			return // not changed here, or to what is written anyhow
		}
		if nowSum == base(id) {
			e.Previous = e.Current
		} else {
			e.Conflicting = true
		}
		s.Edits = append(s.Edits, e)
	}
	for _, setting := range s.File.Settings() {
		add(setting.Path, setting.Key, setting)
	}
	for _, id := range s.Provenance.Keys {
		if path := splitID(id); path != nil && s.File.Setting(path...) == nil {
			add(path, nil, nil)
		}
	}
}

// splitID is the path that Dotted made the text of.
func splitID(id string) (path []string) {
	d := doc.ReadTOML([]byte(id+" = 0\n"), len(id)+5, func(finding.Pos, string, ...any) {})
	if d == nil {
		return nil
	}
	for t := d.Root; t != nil && len(t.Entries) == 1; t = t.Entries[0].Value.Table {
		path = append(path, t.Entries[0].Name)
	}
	return path
}

// Edited tells whether the file was changed since it was written, be it in comments or spacing only.
func (s *FileState) Edited() bool {
	return s.Provenance != nil && (s.Provenance.Edited || s.Provenance.Truncated)
}

// Conflicting are the edits to keys that apps.toml has changed otherwise.
func (s *FileState) Conflicts() (clashes []Edit) {
	for _, e := range s.Edits {
		if e.Conflicting {
			clashes = append(clashes, e)
		}
	}
	return clashes
}

// Merge is the file with all that write changes, and the edits kept. It starts from the edited text, so that
// comments by hand stay. The header goes on telling what apps.toml says, so that edits are known as such.
// There must be no clash.
func (s *FileState) Merge() []byte {
	if s.File == nil {
		return s.Generated // it was not edited
	}
	d := s.Doc
	again := func(text []byte) {
		d = doc.ReadTOML(text, len(text), func(finding.Pos, string, ...any) {})
	}
	kept := map[string]bool{}
	for _, e := range s.Edits {
		kept[e.ID()] = true
	}
	for _, setting := range s.App.File.Settings() {
		if here := s.File.Setting(setting.Path...); !kept[setting.ID()] && (here == nil || here.Canonical != setting.Canonical) {
			raw := setting.Raw
			if raw == "" || strings.ContainsAny(raw, "\r\n") {
				raw = setting.Canonical
			}
			again(d.Set(setting.Path, raw, setting.Key.Help))
		}
	}
	for _, setting := range s.File.Settings() {
		if !kept[setting.ID()] && s.App.File.Setting(setting.Path...) == nil {
			again(d.Delete(setting.Path, setting.Key.Help))
		}
	}
	return replaceProvenance(d.Text, s.Generated)
}

// replaceProvenance gives an edited text the header and the trailer of a generated one.
func replaceProvenance(text, generated []byte) []byte {
	nl := doc.Newline(text)
	lines := strings.Split(string(text), "\n")
	fresh := strings.Split(string(generated), "\n")
	of := func(lines []string, marked func(string) bool) (all []string) {
		for _, l := range lines {
			if marked(strings.TrimSuffix(l, "\r")) {
				all = append(all, strings.TrimSuffix(l, "\r"))
			}
		}
		return all
	}
	isKey := func(l string) bool { return strings.HasPrefix(l, keyPrefix) }
	keys := of(fresh, isKey)
	var out []string
	for _, l := range lines {
		bare := strings.TrimSuffix(l, "\r")
		switch {
		case isKey(bare):
		case strings.HasPrefix(bare, headerBy):
			out = append(out, fresh[0])
		case strings.HasPrefix(bare, headerDigest):
			out = append(out, of(fresh, func(l string) bool { return strings.HasPrefix(l, headerDigest) })[0])
		case bare == trailer:
			out = append(append(out, bare), keys...)
		default:
			out = append(out, bare)
		}
	}
	return []byte(strings.Join(out, nl))
}

// CheckLostKeys are the keys that were written and that the file has no more. Such a key has fallen back to its
// default without a word, which a changed one has not.
func CheckLostKeys(w *Provenance, f *schema.File, path string, found *finding.List) {
	for _, id := range w.Keys {
		if p := splitID(id); p != nil && f.Setting(p...) == nil {
			at := f.Location(p...)
			found.Add(path, at.Pos, "%s was written here and is gone; put it back, or take it out of %s and write again", id, w.Source)
		}
	}
}

// Adopt takes the edits of written files back into apps.toml. It gives the new text of apps.toml; with
// findings it is not to be used.
func (m *Model) Adopt(states []*FileState, found *finding.List) []byte {
	d := m.Doc
	for _, st := range states {
		for _, e := range st.Edits {
			path := append([]string{"apps", st.App.Name}, e.Path...)
			inherited := d.Root.Lookup(append([]string{"defaults"}, e.Path...)...)
			switch {
			case e.Conflicting:
				found.Add(e.Location.File, e.Location.Pos, "%s: edited by hand, and changed in %s since; settle it in one of the two", e.ID(), m.FileName)
				continue
			case e.ID() == "sidecar.application":
				found.Add(e.Location.File, e.Location.Pos, "the application's name cannot be adopted: it is its table's in %s", m.FileName)
				continue
			case e.Raw == "" && d.Root.Lookup(path...) == nil && inherited != nil:
				found.Add(e.Location.File, e.Location.Pos, "%s comes from [defaults] in line %d of %s and cannot be taken away for one application; set it to another value",
					e.ID(), inherited.Pos.Line, m.FileName)
				continue
			case e.Raw == "":
				d = readAgain(d.Delete(path))
			case inherited != nil && d.Root.Lookup(path...) != nil && inherited.Value.Text == unquoted(e.Raw):
				d = readAgain(d.Delete(path)) // the default again
			default:
				d = readAgain(d.Set(path, e.Raw))
			}
		}
	}
	return d.Text
}

func unquoted(raw string) string { return strings.Trim(raw, `"'`) }

func readAgain(text []byte) *doc.Document {
	return doc.ReadTOML(text, len(text), func(finding.Pos, string, ...any) {})
}

// FromFiles is a model of the files of single applications, for checking them together.
func FromFiles(files []*schema.File) (all []*App) {
	for _, f := range files {
		name := appfile.SidecarTable.In(f).Application
		all = append(all, &App{Name: name, File: f, Location: f.Location("sidecar", "application")})
	}
	return slices.Clip(all)
}
