package apps

import (
	"strings"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
)

// Adopt applies the edits of derived files to apps.toml and returns its new text. It adds a finding for each edit that cannot be adopted;
// the text must not be used if there are findings.
func (m *Model) Adopt(states []*FileState, found *finding.List) []byte {
	d := m.Doc
	for _, state := range states {
		for _, e := range state.Edits {
			if m.isAdoptable(d, state.App, e, found) {
				d = adopt(d, state.App, e)
			}
		}
	}
	return d.Text
}

// inherited returns the entry of an edited key under [defaults], or nil if there is none.
func inherited(d *doc.Document, e Edit) *doc.Entry {
	return d.Root.Lookup(append([]string{layerDefaults}, e.Path...)...)
}

// ownPath returns the path of an edited key in the application's table of apps.toml.
func ownPath(app *App, e Edit) []string { return append([]string{layerApps, app.Name}, e.Path...) }

// isAdoptable reports whether an edit can be adopted, and adds a finding if not.
func (m *Model) isAdoptable(d *doc.Document, app *App, e Edit, found *finding.List) bool {
	byDefault := inherited(d, e)
	switch {
	case e.Conflicting:
		found.Add(e.Location.File, e.Location.Pos, "%s: edited by hand, and changed in %s since; settle it in one of the two", e.ID(), m.FileName)
	case e.ID() == "sidecar.application":
		found.Add(e.Location.File, e.Location.Pos, "the application's name cannot be adopted: it is set by the table's header in %s", m.FileName)
	case e.Raw == "" && d.Root.Lookup(ownPath(app, e)...) == nil && byDefault != nil:
		found.Add(e.Location.File, e.Location.Pos,
			"%s comes from [defaults] in line %d of %s and cannot be taken away for one application; set it to another value",
			e.ID(), byDefault.Pos.Line, m.FileName)
	default:
		return true
	}
	return false
}

// adopt returns apps.toml with one edit applied. If the edit sets a key to its value under [defaults], the key is removed from the
// application's table.
func adopt(d *doc.Document, app *App, e Edit) *doc.Document {
	path := ownPath(app, e)
	byDefault := inherited(d, e)
	isDefault := byDefault != nil && byDefault.Value.Text == unquoted(e.Raw)
	if e.Raw == "" || isDefault && d.Root.Lookup(path...) != nil {
		return parseTOML(d.Delete(path))
	}
	return parseTOML(d.Set(path, e.Raw))
}

// unquoted returns the source text of a TOML value without quotes around it.
func unquoted(raw string) string { return strings.Trim(raw, `"'`) }
