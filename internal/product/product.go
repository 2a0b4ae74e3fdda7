package product

import (
	"runtime/debug"
	"slices"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/route"
	"quincegap/internal/network/admin"
	"quincegap/internal/network/consul"
	"quincegap/internal/network/gossip"
	"quincegap/internal/standalone"
)

// Schema is the schema of a sidecar's file: the tables that describe the application, and those of the sidecar's subsystems.
var Schema = schema.New(slices.Concat(appfile.Tables(), standalone.Tables(),
	[]*schema.Table{endpointsource.SettingsTable.Table, route.Rules.Table, consul.Table.Table, gossip.Table.Table, admin.Table.Table})...)

// versionDigits is the number of hexadecimal digits of the commit's hash in a version.
const versionDigits = 12

// Version returns the abbreviated hash of the commit from which the program was built, or "" if the build did not record it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(len(s.Value), versionDigits)]
		}
	}
	return ""
}
