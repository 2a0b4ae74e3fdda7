package appfile

import (
	"fmt"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// Tables returns the tables of this package, in the order in which generated files list them.
func Tables() []*schema.Table {
	return []*schema.Table{
		SidecarTable.Table, DiscoveryTable.Table, LimitsTable.Table, AttemptsTable.Table, SlowStartTable.Table,
		ClassTable.Table, TenantTable.Table, CallsTable.Table,
	}
}

// PlatformTables returns the names of the tables whose keys a platform's JSON configuration provides instead of the file.
func PlatformTables() []string {
	return []string{
		SidecarTable.Name, DiscoveryTable.Name, LimitsTable.Name, AttemptsTable.Name, SlowStartTable.Name, ClassTable.Name, TenantTable.Name,
	}
}

// NameLayer returns a layer that sets only sidecar.application. Its settings are located at the given position of the file.
// It panics if the generated text is not valid TOML.
func NameLayer(application, file string, at finding.Pos) schema.Layer {
	text := []byte("[sidecar]\napplication = " + doc.Quote(application) + "\n")
	d := doc.ReadTOML(text, len(text), func(_ finding.Pos, format string, args ...any) { panic(fmt.Sprintf(format, args...)) })
	return schema.Layer{Doc: d, Table: d.Root, File: file, Pos: &at}
}
