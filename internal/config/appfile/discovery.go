package appfile

import (
	"time"

	"quincegap/internal/config/schema"
)

// Mode says whether changes of the list of endpoints are pushed to the sidecar or polled by it.
type Mode string

// The modes of discovery.
const (
	ModePush Mode = "push" // discovery sends changes to the sidecar
	ModePoll Mode = "ask"  // the sidecar polls discovery
)

// Discovery describes the service that provides the list of endpoints.
type Discovery struct {
	Address      string // host:port
	Mode         Mode
	PollInterval time.Duration // the interval between polls with ModePoll
	TokenFile    string        // the path of a file with a bearer token; empty sends none
}

// DiscoveryTable is [discovery].
var DiscoveryTable = schema.NewTable("discovery", "Where the list of endpoints comes from.",
	schema.Address("address", func(d *Discovery) *string { return &d.Address },
		schema.StringOptions{Required: true, Example: "127.0.0.1:8500"}, false, schema.OnReload,
		"Where discovery answers GET /v1/endpoints."),
	schema.Choice("mode", func(d *Discovery) *Mode { return &d.Mode }, []Mode{ModePush, ModePoll}, ModePush, false, schema.AtStart,
		"push: an agent on this machine, where asking costs nothing; ask: one service for all, asked sparingly."),
	schema.Duration("ask_every", func(d *Discovery) *time.Duration { return &d.PollInterval },
		schema.Bounds[time.Duration]{Default: 10 * time.Second, Min: time.Second, Max: time.Hour}, schema.AtStart,
		"With mode ask: how long the list may be left unasked for."),
	schema.SecretFile("token_file", func(d *Discovery) *string { return &d.TokenFile },
		schema.Token, "/etc/quincegap/discovery.token", schema.OnReload,
		"A file with a token that goes to discovery as Authorization: Bearer (RFC 6750); it is read again on SIGHUP."),
).OptionalWhen("address", func(f *schema.File) bool {
	s := f.Setting("membership", "source") // discovery is not used if Consul is the only source
	return s != nil && s.Unquoted() == "consul"
})
