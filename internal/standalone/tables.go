package standalone

import (
	"time"

	"quincegap/internal/config/schema"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/route"
	"quincegap/internal/network/exchange"
	"quincegap/internal/network/http3"
)

// Callers are the limits of callers' connections and requests. CallersTable has the defaults.
type Callers struct {
	IdleTimeout     time.Duration // maximum time that a connection stays open without a request
	RequestTimeout  time.Duration // maximum time for a complete request to arrive
	MaxHeader       int64         // maximum bytes of one request's headers
	MaxBody         int64         // maximum bytes of one request's body
	SocketShare     float64       // share of limits.sockets for callers' connections
	BodyShare       float64       // share of limits.memory for all bodies together
	RejectEarlyData bool          // requests that are not idempotent and reached a proxy in early data are answered 425
}

// CallersTable defines the settings in [callers].
var CallersTable = schema.NewTable("callers", "Connections and requests from callers.",
	schema.Duration("idle_timeout", func(c *Callers) *time.Duration { return &c.IdleTimeout },
		schema.Bounds[time.Duration]{Default: 30 * time.Second, Min: time.Second, Max: time.Hour}, schema.AtStart,
		"How long a caller's connection may stand idle."),
	schema.Duration("request_timeout", func(c *Callers) *time.Duration { return &c.RequestTimeout },
		schema.Bounds[time.Duration]{Default: 2500 * time.Millisecond, Min: 100 * time.Millisecond, Max: time.Minute}, schema.AtStart,
		"How long a whole request may take to come, from its first byte, or from connecting."),
	schema.Size("max_header", func(c *Callers) *int64 { return &c.MaxHeader },
		schema.Bounds[int64]{Default: 8 << 10, Min: 1 << 10, Max: 64 << 10}, schema.AtStart,
		"The headers of one request."),
	schema.Size("max_body", func(c *Callers) *int64 { return &c.MaxBody },
		schema.Bounds[int64]{Default: exchange.MaxBody, Min: 0, Max: exchange.MaxBody}, schema.OnReload,
		"The body of one request; a larger one is answered 413."),
	schema.Float("caller_share", func(c *Callers) *float64 { return &c.SocketShare },
		schema.Bounds[float64]{Default: 0.6, Min: 0.05, Max: 0.95}, schema.AtStart,
		"The share of limits.sockets, less the 32 reserved, that callers' connections may use."),
	schema.Float("body_share", func(c *Callers) *float64 { return &c.BodyShare },
		schema.Bounds[float64]{Default: 0.25, Min: 0.01, Max: 0.5}, schema.AtStart,
		"The share of limits.memory that bodies of requests and answers may hold together."),
	schema.Bool("too_early", func(c *Callers) *bool { return &c.RejectEarlyData }, false, schema.OnReload,
		"Whether a request with Early-Data: 1 from a proxy in front is answered 425 (RFC 8470) unless its class is safe."),
).Check(func(f *schema.File, _ string, c *Callers, report schema.Reporter) {
	if e := EndpointsTable.In(f); c.SocketShare+e.SocketShare > 1+1e-9 {
		report("caller_share", "%g and endpoints.endpoint_share, %g (%s), are more than all sockets", c.SocketShare, e.SocketShare,
			f.Location("endpoints", "endpoint_share"))
	}
})

// Endpoints are the limits of connections to endpoints. EndpointsTable has the defaults.
type Endpoints struct {
	SocketShare   float64       // share of limits.sockets for connections to endpoints
	KeepIdle      time.Duration // time after which an idle connection is closed; 0 to derive it from the platform's settings
	MaxSubsetSize int           // maximum number of endpoints that this sidecar uses; 0 for all
}

// EndpointsTable defines the settings in [endpoints].
var EndpointsTable = schema.NewTable("endpoints", "Connections to endpoints.",
	schema.Float("endpoint_share", func(e *Endpoints) *float64 { return &e.SocketShare },
		schema.Bounds[float64]{Default: 0.4, Min: 0.05, Max: 0.95}, schema.AtStart,
		"The share of limits.sockets, less the 32 reserved, that connections to endpoints may use."),
	schema.Duration("keep_idle", func(e *Endpoints) *time.Duration { return &e.KeepIdle },
		schema.Bounds[time.Duration]{Min: 10 * time.Millisecond, Max: time.Hour, Optional: true, Example: `"10s"`}, schema.OnReload,
		"How long an idle connection to an endpoint is kept; it has to be well below the time after which the endpoint closes it. "+
			"Where it is left out, half of what the platform tells, or 10s."),
	schema.Int("subset_most", func(e *Endpoints) *int { return &e.MaxSubsetSize },
		schema.Bounds[int]{Min: 2, Max: 100_000, Optional: true, Example: "100"}, schema.AtStart,
		"The most endpoints that this sidecar keeps to, so that its connections to them stay open; about seven tenths of the "+
			"connections that endpoint_share gives is a good figure (docs/operate/fleet.md). All sidecars of an application together have to reach "+
			"every endpoint: subset_most times their number has to be above the number of endpoints, else the others get no calls."),
)

// Stop configures how a sidecar shuts down. SIGKILL is expected after SIGTERM by the sum of the longest deadline of a class, but at most
// MaxDeadline, and KillGrace. StopTable has the defaults.
type Stop struct {
	MaxDeadline time.Duration
	KillGrace   time.Duration
	KillMargin  time.Duration // how long before SIGKILL all answers are written
	HandOver    time.Duration // how long before the end idle connections are closed if there are other sidecars
}

// StopTable defines the settings in [stop].
var StopTable = schema.NewTable("stop", "How the sidecar ends on SIGTERM; it goes on serving until shortly before SIGKILL.",
	schema.Duration("stop_longest", func(s *Stop) *time.Duration { return &s.MaxDeadline },
		schema.Bounds[time.Duration]{Default: 3 * time.Second, Min: 0, Max: time.Hour}, schema.OnReload,
		"SIGKILL comes no sooner than the longest deadline, or this if it is shorter, and kill_grace after SIGTERM."),
	schema.Duration("kill_grace", func(s *Stop) *time.Duration { return &s.KillGrace },
		schema.Bounds[time.Duration]{Default: 700 * time.Millisecond, Min: 50 * time.Millisecond, Max: time.Hour}, schema.OnReload,
		"What is added to that."),
	schema.Duration("kill_margin", func(s *Stop) *time.Duration { return &s.KillMargin },
		schema.Bounds[time.Duration]{Default: 200 * time.Millisecond, Min: 10 * time.Millisecond, Max: time.Minute}, schema.OnReload,
		"How long before SIGKILL all answers are out."),
	schema.Duration("hand_over", func(s *Stop) *time.Duration { return &s.HandOver },
		schema.Bounds[time.Duration]{Default: 700 * time.Millisecond, Min: 0, Max: time.Minute}, schema.OnReload,
		"How long before its end a sidecar among several closes its idle connections, so that callers move on."),
).Check(func(f *schema.File, _ string, s *Stop, report schema.Reporter) {
	if s.KillMargin >= s.KillGrace {
		report("kill_margin", "%s is no shorter than kill_grace, %s (%s): nothing would be served after SIGTERM",
			schema.FormatDuration(s.KillMargin), schema.FormatDuration(s.KillGrace), f.Location("stop", "kill_grace"))
	}
})

// Memory configures what a sidecar stores on disk for its next process. MemoryTable has the defaults.
type Memory struct {
	Dir           string        // directory of the store; empty to store nothing
	MaxRequests   int           // maximum number of entries in the request table
	MaxBytes      int64         // maximum bytes of all records
	WriteTimeout  time.Duration // maximum time that an attempt waits for its record to be on the disk
	ListRetention time.Duration // time after which the saved list of endpoints expires; 0 to save no list
}

// MemoryTable defines the settings in [memory].
var MemoryTable = schema.NewTable("memory", "What is remembered on a disk across a death of the sidecar. Off unless memory_dir is set.",
	schema.String("memory_dir", func(m *Memory) *string { return &m.Dir },
		schema.StringOptions{Example: "/var/lib/quincegap/front", Type: "path"}, schema.AtStart,
		"A directory of this sidecar alone, on a disk that lasts."),
	schema.Int("remembered_requests", func(m *Memory) *int { return &m.MaxRequests },
		schema.Bounds[int]{Default: 100_000, Min: 100, Max: 10_000_000}, schema.AtStart,
		"Requests that may be remembered at once; each takes about 400 bytes of memory."),
	schema.Size("memory_size", func(m *Memory) *int64 { return &m.MaxBytes },
		schema.Bounds[int64]{Default: 64 << 20, Min: 1 << 20, Max: 64 << 30}, schema.AtStart,
		"What may be remembered, in bytes; the files take up to twice this and 12 MiB."),
	schema.Duration("memory_wait", func(m *Memory) *time.Duration { return &m.WriteTimeout },
		schema.Bounds[time.Duration]{Default: 250 * time.Millisecond, Min: time.Millisecond, Max: time.Minute}, schema.AtStart,
		"How long an attempt waits at most until it is remembered; then without_memory of its class says what follows."),
	schema.Duration("list_keep", func(m *Memory) *time.Duration { return &m.ListRetention },
		schema.Bounds[time.Duration]{Default: time.Hour, Min: 0, Max: 30 * 24 * time.Hour}, schema.AtStart,
		"How old the list of endpoints may be that a start goes on with until discovery answers."),
)

// Tables returns the tables of settings of this package and of its HTTP/3 front and transport, in the order in which a file lists them.
func Tables() []*schema.Table {
	return []*schema.Table{
		CallersTable.Table, EndpointsTable.Table, StopTable.Table, MemoryTable.Table, http3.FrontTable.Table, http3.TransportTable.Table,
	}
}

// tuning has the settings of the tables in this file, of endpointsource and of the routes.
type tuning struct {
	endpointSource endpointsource.Settings
	callers        Callers
	endpoints      Endpoints
	stop           Stop
	http3Callers   http3.FrontSettings
	http3Endpoints http3.TransportSettings
	memory         Memory
	routes         *route.Table // nil for none
}

// tuningOf returns the settings in a file, or the defaults if the file is nil.
func tuningOf(file *schema.File) *tuning {
	if file == nil {
		return &tuning{
			endpointSource: *endpointsource.SettingsTable.Default(),
			callers:        *CallersTable.Default(),
			endpoints:      *EndpointsTable.Default(),
			stop:           *StopTable.Default(),
			http3Callers:   *http3.FrontTable.Default(),
			http3Endpoints: *http3.TransportTable.Default(),
			memory:         *MemoryTable.Default(),
		}
	}
	return &tuning{
		endpointSource: *endpointsource.SettingsTable.In(file),
		callers:        *CallersTable.In(file),
		endpoints:      *EndpointsTable.In(file),
		stop:           *StopTable.In(file),
		http3Callers:   *http3.FrontTable.In(file),
		http3Endpoints: *http3.TransportTable.In(file),
		memory:         *MemoryTable.In(file),
		routes:         route.Compile(file),
	}
}
