// Package apps reads apps.toml, which describes all applications of an
// installation, derives the file of each, and checks them against one another:
// who calls whom, with which times and attempts. It also tells what was edited
// by hand in a derived file, merges such edits and takes them back. It does no
// I/O: texts go in, texts and findings come out.
package apps

import (
	"slices"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

const (
	// MaxBytes bounds apps.toml: some tens of thousands of applications.
	MaxBytes = 64 << 20
	// MaxFileBytes bounds the file of one application.
	MaxFileBytes = 1 << 20
)

// Chain bounds what a request may cost on its way through the tiers.
type Chain struct {
	MaxAttempts int
	MaxTiers    int
}

// ChainTable is [chain].
var ChainTable = schema.NewTable("chain", "What bounds a request's way through all applications.",
	schema.Int("most_attempts_in_chain", func(c *Chain) *int { return &c.MaxAttempts },
		schema.Bounds[int]{Default: 12, Min: 1, Max: 100000}, schema.AtStart,
		"How many attempts one request may at worst become at any application, over all tiers above it."),
	schema.Int("most_tiers", func(c *Chain) *int { return &c.MaxTiers },
		schema.Bounds[int]{Default: 8, Min: 1, Max: 100000}, schema.AtStart,
		"How many applications a request may pass one after another, each counted once."),
)

// Host is a machine that sidecars run on.
type Host struct {
	Cores   float64
	Memory  int64
	Sockets int
}

// HostTable is [hosts.NAME].
var HostTable = schema.NewNamed("hosts", "host", "box-a", "A machine that sidecars run on, named by sidecar.host.",
	schema.Float("host_cores", func(h *Host) *float64 { return &h.Cores },
		schema.Bounds[float64]{Min: 0.01, Max: 4096, Required: true, Example: "4"}, schema.AtStart,
		"Its processor cores for sidecars."),
	schema.Size("host_memory", func(h *Host) *int64 { return &h.Memory },
		schema.Bounds[int64]{Min: 16 << 20, Max: 1 << 44, Required: true, Example: `"2GiB"`}, schema.AtStart,
		"Its memory for sidecars."),
	schema.Int("host_sockets", func(h *Host) *int { return &h.Sockets },
		schema.Bounds[int]{Min: 64, Max: 1 << 24, Required: true, Example: "8192"}, schema.AtStart,
		"Its file descriptors for sidecars."),
)

// Installation are the tables that apps.toml has beside [defaults] and [apps.NAME].
var InstallationSchema = schema.New(ChainTable.Table, HostTable.Table)

var layerNames = []string{"defaults", "apps"}

// App is one application.
type App struct {
	Name     string
	File     *schema.File
	Location schema.Location
}

// Model is what apps.toml says.
type Model struct {
	Schema       *schema.Schema
	FileName     string // of the file
	Doc          *doc.Document
	Installation *schema.File
	Apps         []*App
}

// IsInstallation tells whether a document is apps.toml, and not the file of one application.
func IsInstallation(d *doc.Document) bool {
	return slices.ContainsFunc(append(layerNames[:2:2], "chain", "hosts"), func(name string) bool { return d.Root.Get(name) != nil })
}

// Read reads apps.toml and checks each application by itself. It is nil where nothing could be read.
func Read(s *schema.Schema, file string, text []byte, found *finding.List) *Model {
	before := found.Len()
	d := doc.ReadTOML(text, MaxBytes, found.ForFile(file))
	return FromDocument(s, file, d, found.Len() == before, found)
}

// FromDocument is Read for a document that has been read, whole or in part. What is missing is looked for only in a
// whole one: it may stand in the lines that could not be read.
func FromDocument(s *schema.Schema, file string, d *doc.Document, whole bool, found *finding.List) *Model {
	if d == nil {
		return nil
	}
	m := &Model{Schema: s, FileName: file, Doc: d}
	m.Installation = InstallationSchema.Decode(found, schema.Options{OtherTables: layerNames, Partial: !whole}, schema.Layer{Doc: d, Table: d.Root, File: file})
	report := found.ForFile(file)
	for _, name := range layerNames {
		if e := d.Root.Get(name); e != nil && e.Value.Kind != doc.TableKind {
			report(e.Pos, "%s is a table", name)
		}
	}
	defaults := schema.Layer{Doc: d, Table: d.Root.Subtable("defaults"), File: file}
	s.Decode(found, schema.Options{Partial: true}, defaults)
	all := d.Root.Subtable("apps")
	if all == nil || len(all.Entries) == 0 {
		report(d.Root.Pos, "there is no application: at least one [apps.\"NAME\"] is needed")
		return m
	}
	for _, e := range all.Entries {
		if e.Value.Kind != doc.TableKind {
			report(e.Pos, "an application is a table: write [apps.%s.sidecar] and its keys below", doc.QuoteKey(e.Name))
			continue
		}
		if fault := appfile.HostNameFault(e.Name); fault != "" {
			report(e.Pos, "application %q %s", e.Name, fault)
			continue
		}
		table := e.Value.Table
		if at := table.Lookup("sidecar", "application"); at != nil && at.Value.Text != e.Name {
			report(at.Pos, "the application's name is %q, after its table; leave this key out", e.Name)
		}
		own := schema.Layer{Doc: d, Table: table, File: file}
		m.Apps = append(m.Apps, &App{
			Name: e.Name, Location: schema.Location{File: file, Pos: e.Pos},
			File: s.Decode(found, schema.Options{Partial: !whole}, appfile.NameLayer(e.Name, file, e.Pos), defaults, own),
		})
	}
	return m
}

// App is an application by its name, or nil.
func (m *Model) App(name string) *App {
	for _, a := range m.Apps {
		if a.Name == name {
			return a
		}
	}
	return nil
}
