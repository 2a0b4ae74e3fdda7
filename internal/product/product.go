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

// Schema is the product's file: the tables that say what a sidecar is, and those of its parts.
var Schema = schema.New(slices.Concat(appfile.Tables(), standalone.Tables(),
	[]*schema.Table{endpointsource.SettingsTable.Table, route.Rules.Table, consul.Table.Table, gossip.Table.Table, admin.Table.Table})...)

// versionDigits is how much of a commit's hash a version has.
const versionDigits = 12

// Version returns the program's: the commit that it was built of, or "" where the build does not say.
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
