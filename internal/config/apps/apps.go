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
	// MostBytes bounds apps.toml: some tens of thousands of applications.
	MostBytes = 64 << 20
	// MostFileBytes bounds the file of one application.
	MostFileBytes = 1 << 20
)

// Chain bounds what a request may cost on its way through the tiers.
type Chain struct {
	Most  int
	Depth int
}

// ChainTable is [chain].
var ChainTable = schema.NewTable("chain", "What bounds a request's way through all applications.",
	schema.Int("most_attempts_in_chain", func(c *Chain) *int { return &c.Most },
		schema.Bounds[int]{Default: 12, Least: 1, Most: 100000}, schema.AtStart,
		"How many attempts one request may at worst become at any application, over all tiers above it."),
	schema.Int("most_tiers", func(c *Chain) *int { return &c.Depth },
		schema.Bounds[int]{Default: 8, Least: 1, Most: 100000}, schema.AtStart,
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
		schema.Bounds[float64]{Least: 0.01, Most: 4096, Required: true, Example: "4"}, schema.AtStart,
		"Its processor cores for sidecars."),
	schema.Size("host_memory", func(h *Host) *int64 { return &h.Memory },
		schema.Bounds[int64]{Least: 16 << 20, Most: 1 << 44, Required: true, Example: `"2GiB"`}, schema.AtStart,
		"Its memory for sidecars."),
	schema.Int("host_sockets", func(h *Host) *int { return &h.Sockets },
		schema.Bounds[int]{Least: 64, Most: 1 << 24, Required: true, Example: "8192"}, schema.AtStart,
		"Its file descriptors for sidecars."),
)

// Frame are the tables that apps.toml has beside [defaults] and [apps.NAME].
var Frame = schema.New(ChainTable.Table, HostTable.Table)

var layers = []string{"defaults", "apps"}

// App is one application.
type App struct {
	Name  string
	File  *schema.File
	Place schema.Place
}

// Model is what apps.toml says.
type Model struct {
	Schema *schema.Schema
	Name   string // of the file
	Doc    *doc.Doc
	Frame  *schema.File
	Apps   []*App
}

// Is tells whether a document is apps.toml, and not the file of one application.
func Is(d *doc.Doc) bool {
	return slices.ContainsFunc(append(layers[:2:2], "chain", "hosts"), func(name string) bool { return d.Root.Get(name) != nil })
}

// Read reads apps.toml and checks each application by itself. It is nil where nothing could be read.
func Read(s *schema.Schema, file string, text []byte, found *finding.List) *Model {
	before := found.Len()
	d := doc.ReadTOML(text, MostBytes, found.In(file))
	return Of(s, file, d, found.Len() == before, found)
}

// Of is Read for a document that has been read, whole or in part. What is missing is looked for only in a
// whole one: it may stand in the lines that could not be read.
func Of(s *schema.Schema, file string, d *doc.Doc, whole bool, found *finding.List) *Model {
	if d == nil {
		return nil
	}
	m := &Model{Schema: s, Name: file, Doc: d}
	m.Frame = Frame.Decode(found, schema.Options{Other: layers, Partial: !whole}, schema.Layer{Doc: d, Table: d.Root, File: file})
	report := found.In(file)
	for _, name := range layers {
		if e := d.Root.Get(name); e != nil && e.Value.Kind != doc.TableKind {
			report(e.At, "%s is a table", name)
		}
	}
	defaults := schema.Layer{Doc: d, Table: d.Root.Sub("defaults"), File: file}
	s.Decode(found, schema.Options{Partial: true}, defaults)
	all := d.Root.Sub("apps")
	if all == nil || len(all.Entries) == 0 {
		report(d.Root.At, "there is no application: at least one [apps.\"NAME\"] is needed")
		return m
	}
	for _, e := range all.Entries {
		if e.Value.Kind != doc.TableKind {
			report(e.At, "an application is a table: write [apps.%s.sidecar] and its keys below", doc.QuoteKey(e.Name))
			continue
		}
		if fault := appfile.BadName(e.Name); fault != "" {
			report(e.At, "application %q %s", e.Name, fault)
			continue
		}
		table := e.Value.Table
		if at := table.Lookup("sidecar", "application"); at != nil && at.Value.Text != e.Name {
			report(at.At, "the application's name is %q, after its table; leave this key out", e.Name)
		}
		own := schema.Layer{Doc: d, Table: table, File: file}
		m.Apps = append(m.Apps, &App{
			Name: e.Name, Place: schema.Place{File: file, Pos: e.At},
			File: s.Decode(found, schema.Options{Partial: !whole}, appfile.Named(e.Name, file, e.At), defaults, own),
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
