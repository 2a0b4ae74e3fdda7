package apps

import (
	"slices"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

const (
	// MaxBytes bounds the size of apps.toml, in bytes. That is enough for tens of thousands of applications.
	MaxBytes = 64 << 20
	// MaxFileBytes bounds the size of the file of one application, in bytes.
	MaxFileBytes = 1 << 20
)

// Chain bounds the attempts that a request causes and the applications that it passes.
type Chain struct {
	MaxAttempts int // the maximum number of attempts that one request may cause at any application
	MaxTiers    int // the maximum number of applications that a request may pass one after another
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
	Memory  int64 // the memory for sidecars, in bytes
	Sockets int   // the number of file descriptors for sidecars
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

// InstallationSchema is the schema of the tables of apps.toml other than [defaults] and [apps.NAME].
var InstallationSchema = schema.New(ChainTable.Table, HostTable.Table)

// The names of the tables of apps.toml that contain tables of applications.
const (
	layerDefaults = "defaults"
	layerApps     = "apps"
)

var layerNames = []string{layerDefaults, layerApps}

// App is one application of the installation, with its settings.
type App struct {
	Name     string
	File     *schema.File
	Location schema.Location
}

// Model is the content of apps.toml.
type Model struct {
	Schema       *schema.Schema
	FileName     string // the path of apps.toml
	Doc          *doc.Document
	Installation *schema.File // the settings of [chain] and [hosts.NAME]
	Apps         []*App
}

// IsInstallation reports whether a document has the tables of apps.toml, and so is not the file of one application.
func IsInstallation(d *doc.Document) bool {
	return slices.ContainsFunc(append(layerNames[:2:2], "chain", "hosts"), func(name string) bool { return d.Root.Get(name) != nil })
}

// Read reads apps.toml and checks each application separately. It returns nil if the text could not be read at all.
func Read(s *schema.Schema, file string, text []byte, found *finding.List) *Model {
	before := found.Len()
	d := doc.ReadTOML(text, MaxBytes, found.ForFile(file))
	return FromDocument(s, file, d, found.Len() == before, found)
}

// FromDocument is like Read for a document that has been read already. Missing keys are reported only if the document is complete, since
// they may be in lines that could not be read. It returns nil if the document is nil.
func FromDocument(tables *schema.Schema, file string, document *doc.Document, complete bool, found *finding.List) *Model {
	if document == nil {
		return nil
	}
	model := &Model{Schema: tables, FileName: file, Doc: document}
	model.Installation = InstallationSchema.Decode(found, schema.Options{OtherTables: layerNames, Partial: !complete},
		schema.Layer{Doc: document, Table: document.Root, File: file})
	report := found.ForFile(file)
	for _, name := range layerNames {
		if e := document.Root.Get(name); e != nil && e.Value.Kind != doc.TableKind {
			report(e.Pos, "%s is a table", name)
		}
	}
	defaults := schema.Layer{Doc: document, Table: document.Root.Subtable(layerDefaults), File: file}
	tables.Decode(found, schema.Options{Partial: true}, defaults)
	all := document.Root.Subtable(layerApps)
	if all == nil || len(all.Entries) == 0 {
		report(document.Root.Pos, "there is no application: at least one [apps.\"NAME\"] is needed")
		return model
	}
	for _, e := range all.Entries {
		if !isApplication(e, report) {
			continue
		}
		own := schema.Layer{Doc: document, Table: e.Value.Table, File: file}
		model.Apps = append(model.Apps, &App{
			Name:     e.Name,
			Location: schema.Location{File: file, Pos: e.Pos},
			File:     tables.Decode(found, schema.Options{Partial: !complete}, appfile.NameLayer(e.Name, file, e.Pos), defaults, own),
		})
	}
	return model
}

// isApplication reports whether an entry under [apps] is an application, and adds a finding if not. It also adds one if the key
// sidecar.application contradicts the name of the table.
func isApplication(e *doc.Entry, report finding.Reporter) bool {
	if e.Value.Kind != doc.TableKind {
		report(e.Pos, "an application is a table: write [apps.%s.sidecar] and its keys below", doc.QuoteKey(e.Name))
		return false
	}
	if fault := appfile.HostNameFault(e.Name); fault != "" {
		report(e.Pos, "application %q %s", e.Name, fault)
		return false
	}
	if own := e.Value.Table.Lookup("sidecar", "application"); own != nil && own.Value.Text != e.Name {
		report(own.Pos, "the application's name is %q, after its table; leave this key out", e.Name)
	}
	return true
}

// App returns the application with a name, or nil.
func (m *Model) App(name string) *App {
	for _, a := range m.Apps {
		if a.Name == name {
			return a
		}
	}
	return nil
}

// FromFiles returns the applications that files of single applications describe, so that Check can check them together.
func FromFiles(files []*schema.File) []*App {
	all := make([]*App, 0, len(files))
	for _, f := range files {
		all = append(all, &App{Name: appfile.SidecarTable.In(f).Application, File: f, Location: f.Location("sidecar", "application")})
	}
	return all
}
