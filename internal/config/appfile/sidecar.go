package appfile

import (
	"quincegap/internal/config/schema"
)

// Sidecar identifies a sidecar, and says where it listens.
type Sidecar struct {
	Application string // the application's host name
	Instance    string // the name of this sidecar; empty for the application's name
	Listen      string // the address for callers, host:port
	Host        string // the name of its machine in apps.toml; may be empty
	Instances   int    // the number of sidecars of the application
	Ordinal     int    // the number of this sidecar among them, counted from 0
	Seed        string // the seed of random numbers, hexadecimal, up to 64 bits; empty for a new one at each start
}

// SidecarTable is [sidecar].
var SidecarTable = schema.NewTable("sidecar", "Who this sidecar is.",
	schema.String("application", func(s *Sidecar) *string { return &s.Application },
		schema.StringOptions{Required: true, Example: "booking-front.example.org", Type: "host name", Fault: HostNameFault}, schema.AtStart,
		"The application whose calls it takes and balances over that application's endpoints."),
	schema.String("instance", func(s *Sidecar) *string { return &s.Instance },
		schema.StringOptions{Example: "booking-front-0", Fault: nameFault}, schema.AtStart,
		"The name of this sidecar among those of its application; the application's where it is left out."),
	schema.Address("listen", func(s *Sidecar) *string { return &s.Listen },
		schema.StringOptions{Required: true, Example: "127.0.0.1:8080"}, true, schema.AtStart,
		"Where callers connect; port 0 takes a free one."),
	schema.String("host", func(s *Sidecar) *string { return &s.Host },
		schema.StringOptions{Example: "box-a", Fault: nameFault}, schema.OnReload,
		"The machine that it runs on, by its name under [hosts] in apps.toml."),
	schema.Int("instances", func(s *Sidecar) *int { return &s.Instances },
		schema.Bounds[int]{Default: 1, Min: 1, Max: 10000}, schema.AtStart,
		"How many sidecars this application has."),
	schema.Int("ordinal", func(s *Sidecar) *int { return &s.Ordinal },
		schema.Bounds[int]{Default: 0, Min: 0, Max: 9999}, schema.AtStart,
		"This sidecar's number among them, from 0."),
	schema.String("seed", func(s *Sidecar) *string { return &s.Seed },
		schema.StringOptions{Example: "8c1f30d27a5be964", Type: "hexadecimal number of up to 64 bits", Fault: seedFault}, schema.AtStart,
		"Where its random numbers begin, for repeating a run; new at each start where it is left out."),
).Check(func(_ *schema.File, _ string, s *Sidecar, report schema.Reporter) {
	if s.Ordinal >= s.Instances {
		report("ordinal", "%d is no number among %d instances, counted from 0", s.Ordinal, s.Instances)
	}
})
