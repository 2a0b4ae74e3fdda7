package http3

import (
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
)

// EarlyData is the policy for requests in early data (RFC 8470).
type EarlyData string

// The policies for early data.
const (
	EarlyNever EarlyData = "never" // accepts no early data, so that resuming a session takes a full round trip
	EarlySafe  EarlyData = "safe"  // processes safe requests in early data immediately, and others after the handshake
)

// FrontSettings holds the values of the table [http3] of a settings file, for HTTP/3 from callers. FrontTable describes each of them.
type FrontSettings struct {
	Listen           string
	CertFile         string
	KeyFile          string
	SecretFile       string
	EarlyData        EarlyData
	AltSvcMaxAge     time.Duration
	MaxConnections   int
	MaxStreams       int
	MaxHandshakes    int
	HandshakeTimeout time.Duration
	ConnectionWindow int64
}

// FrontTable defines the table [http3] of a settings file.
var FrontTable = schema.NewTable("http3", "HTTP/3 from callers, beside HTTP/1.1. Off unless http3_listen is set.",
	schema.Address("http3_listen", func(c *FrontSettings) *string { return &c.Listen },
		schema.StringOptions{Example: "127.0.0.1:8443"}, true, schema.AtStart,
		"The UDP address. Clients look for it beside a TCP address with the same certificate."),
	schema.String("http3_cert_file", func(c *FrontSettings) *string { return &c.CertFile },
		schema.StringOptions{Example: "/etc/quincegap/front.pem"}, schema.AtStart,
		"The certificate and those that signed it, PEM. It may be replaced while running."),
	schema.SecretFile("http3_key_file", func(c *FrontSettings) *string { return &c.KeyFile },
		schema.PrivateKey, "/etc/quincegap/front.key", schema.AtStart,
		"Its key, likewise."),
	schema.SecretFile("http3_secret_file", func(c *FrontSettings) *string { return &c.SecretFile },
		schema.Token, "/etc/quincegap/http3.secret", schema.AtStart,
		"What stateless resets, Retry tokens and session tickets are made with, 32 characters or more; without it they end with the process."),
	schema.Choice("early_data", func(c *FrontSettings) *EarlyData { return &c.EarlyData },
		[]EarlyData{EarlyNever, EarlySafe}, EarlyNever, false, schema.AtStart,
		"never: no early data is accepted. safe: requests of safe classes are taken from it at once; all others wait until it cannot be a replay."),
	schema.Duration("alt_svc", func(c *FrontSettings) *time.Duration { return &c.AltSvcMaxAge },
		schema.Bounds[time.Duration]{Min: 0, Max: 30 * 24 * time.Hour}, schema.AtStart,
		"Answers over HTTP/1.1 tell of HTTP/3 for so long (Alt-Svc, RFC 7838); 0 for not at all."),
	schema.Int("http3_connections", func(c *FrontSettings) *int { return &c.MaxConnections },
		schema.Bounds[int]{Default: 256, Min: 1, Max: 100000}, schema.AtStart,
		"Connections at once; they share one socket, and cost memory."),
	schema.Int("http3_streams", func(c *FrontSettings) *int { return &c.MaxStreams },
		schema.Bounds[int]{Default: 64, Min: 1, Max: 10000}, schema.AtStart,
		"Requests at once on one connection."),
	schema.Int("http3_handshakes", func(c *FrontSettings) *int { return &c.MaxHandshakes },
		schema.Bounds[int]{Default: 64, Min: 2, Max: 10000}, schema.AtStart,
		"Handshakes under way; from half of it on addresses have to prove themselves (Retry), beyond it none begins."),
	schema.Duration("http3_handshake", func(c *FrontSettings) *time.Duration { return &c.HandshakeTimeout },
		schema.Bounds[time.Duration]{Default: 2 * time.Second, Min: 100 * time.Millisecond, Max: time.Minute}, schema.AtStart,
		"How long a handshake may stand still."),
	schema.Size("http3_window", func(c *FrontSettings) *int64 { return &c.ConnectionWindow },
		schema.Bounds[int64]{Default: 256 << 10, Min: 96 << 10, Max: 16 << 20}, schema.AtStart,
		"What one connection may have sent that has not been read."),
).Check(func(f *schema.File, _ string, c *FrontSettings, report schema.Reporter) {
	switch {
	case c.Listen == "" && (c.CertFile != "" || c.KeyFile != "" || c.SecretFile != "" || c.AltSvcMaxAge != 0):
		report("http3_listen", "missing, but there are settings for HTTP/3")
	case c.EarlyData == EarlySafe && noSafeClass(f):
		report("early_data", "safe, but no class is: nothing would be taken early")
	case c.Listen != "" && (c.CertFile == "" || c.KeyFile == ""):
		report("http3_cert_file", "HTTP/3 needs a certificate and its key: http3_cert_file and http3_key_file")
	}
})

// MinSecretChars is the minimum length of the secret in FrontSettings.SecretFile, in characters.
const MinSecretChars = 32

// noSafeClass reports whether a file defines request classes, but none whose requests are idempotent without a key.
func noSafeClass(f *schema.File) bool {
	classes := appfile.ClassTable.All(f)
	return len(classes) > 0 && !slices.ContainsFunc(classes, func(c schema.Named[appfile.Class]) bool {
		return c.Value.Idempotency == balancer.Idempotent
	})
}

// TransportSettings holds the values of the table [http3-endpoints] of a settings file. TransportTable describes each of them.
type TransportSettings struct {
	Use                 Use
	CAFile              string
	ServerName          string
	EarlyRequests       bool
	MaxStreams          int
	HandshakeTimeout    time.Duration
	UnresponsiveTimeout time.Duration
	MinPause            time.Duration
	MaxPause            time.Duration
}

// Use is the policy for HTTP/3 to endpoints.
type Use string

// The policies for HTTP/3 to endpoints.
const (
	Never  Use = "never"  // uses HTTP/1.1 only
	Prefer Use = "prefer" // uses HTTP/3, or HTTP/1.1 if no connection can be made over UDP
)

// TransportTable defines the table [http3-endpoints] of a settings file.
var TransportTable = schema.NewTable("http3-endpoints", "HTTP/3 to endpoints, at the UDP port with their address's number.",
	schema.Choice("http3_to_endpoints", func(e *TransportSettings) *Use { return &e.Use },
		[]Use{Never, Prefer}, Never, false, schema.AtStart,
		"never: HTTP/1.1. prefer: HTTP/3, and HTTP/1.1 where no connection over UDP comes about."),
	schema.String("http3_ca_file", func(e *TransportSettings) *string { return &e.CAFile },
		schema.StringOptions{Example: "/etc/quincegap/endpoints-ca.pem"}, schema.AtStart,
		"Certificates that sign the endpoints'; the system's where it is left out."),
	schema.String("http3_server_name", func(e *TransportSettings) *string { return &e.ServerName },
		schema.StringOptions{Example: "slot-keeper.example.org"}, schema.AtStart,
		"The name in the endpoints' certificates, where it is not their address."),
	schema.Bool("http3_early_requests", func(e *TransportSettings) *bool { return &e.EarlyRequests }, false, schema.AtStart,
		"Whether requests of safe classes may go out in early data, where a session is resumed."),
	schema.Int("http3_endpoint_streams", func(e *TransportSettings) *int { return &e.MaxStreams },
		schema.Bounds[int]{Default: 32, Min: 1, Max: 1000}, schema.AtStart,
		"Attempts at once on one connection."),
	schema.Duration("http3_endpoint_handshake", func(e *TransportSettings) *time.Duration { return &e.HandshakeTimeout },
		schema.Bounds[time.Duration]{Default: 300 * time.Millisecond, Min: 10 * time.Millisecond, Max: 10 * time.Second}, schema.AtStart,
		"How long a connection may take to come about before the attempt goes over HTTP/1.1."),
	schema.Duration("http3_silence", func(e *TransportSettings) *time.Duration { return &e.UnresponsiveTimeout },
		schema.Bounds[time.Duration]{Default: 3 * time.Second, Min: 500 * time.Millisecond, Max: time.Minute}, schema.AtStart,
		"An endpoint that has not been heard of for so long is dead for its connection; it is asked three times meanwhile."),
	schema.Duration("http3_pause", func(e *TransportSettings) *time.Duration { return &e.MinPause },
		schema.Bounds[time.Duration]{Default: time.Minute, Min: time.Second, Max: 24 * time.Hour}, schema.AtStart,
		"How long HTTP/3 is not tried with an endpoint after that; twice as long each time in a row."),
	schema.Duration("http3_longest_pause", func(e *TransportSettings) *time.Duration { return &e.MaxPause },
		schema.Bounds[time.Duration]{Default: time.Hour, Min: time.Second, Max: 24 * time.Hour}, schema.AtStart,
		"The longest such pause."),
).Check(func(_ *schema.File, _ string, e *TransportSettings, report schema.Reporter) {
	if e.MaxPause < e.MinPause {
		report("http3_longest_pause", "%s is shorter than http3_pause, %s",
			schema.FormatDuration(e.MaxPause), schema.FormatDuration(e.MinPause))
	}
})
