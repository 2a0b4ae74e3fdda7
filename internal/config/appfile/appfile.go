package appfile

import (
	"fmt"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// Tables returns the tables of this package, in the order in which a file has them.
func Tables() []*schema.Table {
	return []*schema.Table{
		SidecarTable.Table, DiscoveryTable.Table, LimitsTable.Table, AttemptsTable.Table, SlowStartTable.Table,
		ClassTable.Table, TenantTable.Table, CallsTable.Table,
	}
}

// PlatformTables returns the names of the tables that a platform's own configuration replaces.
func PlatformTables() []string {
	return []string{
		SidecarTable.Name, DiscoveryTable.Name, LimitsTable.Name, AttemptsTable.Name, SlowStartTable.Name, ClassTable.Name, TenantTable.Name,
	}
}

// NameLayer returns a layer that sets the name of an application. Everything in it has the given position.
func NameLayer(application, file string, at finding.Pos) schema.Layer {
	text := []byte("[sidecar]\napplication = " + doc.Quote(application) + "\n")
	d := doc.ReadTOML(text, len(text), func(_ finding.Pos, format string, args ...any) { panic(fmt.Sprintf(format, args...)) })
	return schema.Layer{Doc: d, Table: d.Root, File: file, Pos: &at}
}
