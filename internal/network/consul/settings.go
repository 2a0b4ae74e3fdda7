package consul

import (
	"time"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
	"quincegap/internal/modules/endpointsource"
)

// Consistency is a consistency mode of reads (Consul's API, Consistency Modes).
type Consistency string

// The consistency modes.
const (
	Stale      Consistency = "stale"      // any server answers, even if it knows no leader
	Default    Consistency = "default"    // the leader answers
	Consistent Consistency = "consistent" // the leader answers after its peers have confirmed that it is the leader
)

// Settings is the table [consul] of a settings file. Table describes the meaning of each setting.
type Settings struct {
	Agents       string // addresses of the agents, each host:port, separated by commas
	Service      string
	Tag          string
	Datacenter   string
	Namespace    string
	Partition    string
	TokenFile    string
	Consistency  Consistency
	MaxStaleness time.Duration
	Wait         time.Duration
	MinInterval  time.Duration
	TLS          bool
	CAFile       string
	CertFile     string
	KeyFile      string
	ServerName   string
	ZoneMeta     string
	ModelMeta    string
	CellMeta     string
	StartMeta    string
	UIDMeta      string
}

// agents returns the addresses of the agents, in the order of the settings.
func (s *Settings) agents() []string { return appfile.SplitList(s.Agents) }

const maxAgents = 16

// nameOptions returns the options of a setting whose value is a name in Consul.
func nameOptions(example string) schema.StringOptions {
	return schema.StringOptions{Example: example, Fault: appfile.ServiceNameFault}
}

// Table is the table [consul] of a settings file.
var Table = schema.NewTable("consul", "Where Consul is, and what is asked of it; used unless membership.source is platform.",
	schema.String("agents", func(s *Settings) *string { return &s.Agents },
		schema.StringOptions{
			Example: "127.0.0.1:8500",
			Type:    "addresses",
			Bounds:  "host:port, divided by commas, 16 at most",
			Fault:   appfile.AddressListFault(maxAgents),
		}, schema.OnReload,
		"Agents to ask, in order: the next one is asked where one does not answer, and the first again a minute later."),
	schema.String("service", func(s *Settings) *string { return &s.Service }, nameOptions("slot-keeper"), schema.OnReload,
		"The service whose instances are the endpoints."),
	schema.String("service_tag", func(s *Settings) *string { return &s.Tag }, nameOptions("v2"), schema.OnReload,
		"Only instances with this tag."),
	schema.String("datacenter", func(s *Settings) *string { return &s.Datacenter }, nameOptions("dc1"), schema.OnReload,
		"The datacentre; the agent's own where it is left out."),
	schema.String("namespace", func(s *Settings) *string { return &s.Namespace }, nameOptions("transport"), schema.OnReload,
		"The namespace (Consul Enterprise)."),
	schema.String("partition", func(s *Settings) *string { return &s.Partition }, nameOptions("default"), schema.OnReload,
		"The admin partition (Consul Enterprise)."),
	schema.SecretFile("consul_token_file", func(s *Settings) *string { return &s.TokenFile },
		schema.Token, "/etc/quincegap/consul.token", schema.OnReload,
		"A file with the ACL token (service:read and node:read); it is read again before each query."),
	schema.Choice("consistency", func(s *Settings) *Consistency { return &s.Consistency },
		[]Consistency{Stale, Default, Consistent}, Stale, false, schema.OnReload,
		"stale: any server answers, also while there is no leader; default: the leader; consistent: the leader after it asked its peers."),
	schema.Duration("longest_stale", func(s *Settings) *time.Duration { return &s.MaxStaleness },
		schema.Bounds[time.Duration]{Default: 10 * time.Second, Min: 0, Max: time.Hour}, schema.OnReload,
		"An answer of a server that has not heard of the leader for longer is doubted, and the next question goes to the leader."),
	schema.Duration("wait", func(s *Settings) *time.Duration { return &s.Wait },
		schema.Bounds[time.Duration]{Default: 30 * time.Second, Min: time.Second, Max: 10 * time.Minute}, schema.OnReload,
		"How long Consul may hold a question while nothing changes; an agent that hangs is noticed a little later."),
	schema.Duration("pace", func(s *Settings) *time.Duration { return &s.MinInterval },
		schema.Bounds[time.Duration]{Default: 100 * time.Millisecond, Min: 10 * time.Millisecond, Max: time.Minute}, schema.OnReload,
		"The least time between two answers, however many changes come."),
	schema.Bool("consul_tls", func(s *Settings) *bool { return &s.TLS }, false, schema.OnReload,
		"Whether agents are asked over TLS."),
	schema.String("tls_ca_file", func(s *Settings) *string { return &s.CAFile },
		schema.StringOptions{Example: "/etc/quincegap/consul-ca.pem"}, schema.OnReload,
		"Certificates that sign the agents'; the system's where it is left out."),
	schema.String("tls_cert_file", func(s *Settings) *string { return &s.CertFile },
		schema.StringOptions{Example: "/etc/quincegap/consul-client.pem"}, schema.OnReload,
		"This sidecar's certificate, where agents ask for one."),
	schema.SecretFile("tls_key_file", func(s *Settings) *string { return &s.KeyFile },
		schema.PrivateKey, "/etc/quincegap/consul-client.key", schema.OnReload,
		"The key of that certificate."),
	schema.String("tls_server_name", func(s *Settings) *string { return &s.ServerName },
		schema.StringOptions{Example: "server.dc1.consul"}, schema.OnReload,
		"The name in the agents' certificates, where it is not their address."),
	schema.String("zone_meta", func(s *Settings) *string { return &s.ZoneMeta },
		schema.StringOptions{Default: "zone", Example: "zone"}, schema.OnReload,
		"The field of the service's metadata that names its zone; its datacentre where there is no such field."),
	schema.String("model_meta", func(s *Settings) *string { return &s.ModelMeta },
		schema.StringOptions{Default: "model", Example: "model"}, schema.OnReload,
		"The field that names the model of its machine."),
	schema.String("cell_meta", func(s *Settings) *string { return &s.CellMeta },
		schema.StringOptions{Default: "cell", Example: "cell"}, schema.OnReload,
		"The field with the number of its cell, which drops repeats of one key."),
	schema.String("start_meta", func(s *Settings) *string { return &s.StartMeta },
		schema.StringOptions{Default: "started_ms", Example: "started_ms"}, schema.OnReload,
		"The field with its latest start, Unix time in milliseconds; without it a new instance counts as cold."),
	schema.String("uid_meta", func(s *Settings) *string { return &s.UIDMeta }, schema.StringOptions{Example: "uid"}, schema.OnReload,
		"The field with the name that discovery has for it; its service ID where it is left out."),
).Check(func(f *schema.File, _ string, s *Settings, report schema.Reporter) {
	source := endpointsource.SettingsTable.In(f).Mode
	switch {
	case source != endpointsource.ModePlatform && s.Agents == "":
		report("agents", "missing: membership.source is %s (%s)", source, f.Location("membership", "source"))
	case source != endpointsource.ModePlatform && s.Service == "":
		report("service", "missing: membership.source is %s (%s)", source, f.Location("membership", "source"))
	case (s.CertFile == "") != (s.KeyFile == ""):
		report("tls_cert_file", "a certificate and its key go together: tls_cert_file and tls_key_file")
	case !s.TLS && (s.CAFile != "" || s.CertFile != "" || s.ServerName != ""):
		report("consul_tls", "false, but there are settings for TLS")
	}
})
