// Package appfile declares the tables of the product's file that say what a
// sidecar is: whose calls it takes, where its endpoints come from, its limits,
// the classes it serves and the calls its endpoints make. Tables of the
// programs' parts stand with those. The package does no I/O.
package appfile

import (
	"fmt"
	"strings"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// Sidecar says who a sidecar is.
type Sidecar struct {
	Application string
	Instance    string // the application's name where it is not set
	Listen      string
	Host        string
	Instances   int
	Ordinal     int
	Seed        string
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

// HostNameFault says why a text is no host name (RFC 1123, section 2.1), or "".
func HostNameFault(s string) string {
	if len(s) > 253 {
		return "is longer than the 253 characters of a host name"
	}
	for label := range strings.SplitSeq(s, ".") {
		if label == "" || len(label) > 63 || strings.HasPrefix(label, "-") || strings.HasSuffix(label, "-") ||
			strings.Trim(label, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
			return "is no host name in small letters, like slot-keeper.example.org"
		}
	}
	return ""
}

// nameFault says why a text is no name of a class, call, host or the like, or "".
func nameFault(s string) string {
	if len(s) > 128 || strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.-") != "" || s == "" {
		return "is no name of up to 128 letters, digits, dots, - and _"
	}
	return ""
}

func seedFault(s string) string {
	if len(s) > 16 || strings.Trim(s, "0123456789abcdefABCDEF") != "" {
		return "is no hexadecimal number of up to 16 digits"
	}
	return ""
}

// How discovery is followed.
type Mode string

// The modes of discovery.
const (
	ModePush Mode = "push"
	ModePoll Mode = "ask"
)

// Discovery says where the list of endpoints comes from.
type Discovery struct {
	Address      string
	Mode         Mode
	PollInterval time.Duration
	TokenFile    string
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
	schema.SecretFile("token_file", func(d *Discovery) *string { return &d.TokenFile }, schema.Token, "/etc/quincegap/discovery.token", schema.OnReload,
		"A file with a token that goes to discovery as Authorization: Bearer (RFC 6750); it is read again on SIGHUP."),
).OptionalWhen("address", func(f *schema.File) bool {
	s := f.Setting("membership", "source") // Consul may be all there is
	return s != nil && s.Unquoted() == "consul"
})

// Limits are those of the machine a sidecar runs on.
type Limits struct {
	Cores   float64
	Memory  int64 // bytes
	Sockets int
}

// MinSockets leaves room for some connections beside those that are reserved.
const MinSockets = 64

// bytesPerSocket is the memory that a connection takes with its buffers and its goroutine.
const bytesPerSocket = 16 << 10

// LimitsTable is [limits].
var LimitsTable = schema.NewTable("limits", "What of its machine the sidecar may use.",
	schema.Float("cores", func(l *Limits) *float64 { return &l.Cores },
		schema.Bounds[float64]{Default: 1, Min: 0.01, Max: 1024}, schema.AtStart,
		"Processor cores."),
	schema.Size("memory", func(l *Limits) *int64 { return &l.Memory },
		schema.Bounds[int64]{Default: 192 << 20, Min: 16 << 20, Max: 1 << 40}, schema.AtStart,
		"Memory; the collector works harder from three quarters of it on."),
	schema.Int("sockets", func(l *Limits) *int { return &l.Sockets },
		schema.Bounds[int]{Default: 1024, Min: MinSockets, Max: 1 << 20}, schema.AtStart,
		"File descriptors; 32 are reserved, the rest is shared out between callers and endpoints."),
).Check(func(_ *schema.File, _ string, l *Limits, report schema.Reporter) {
	if need := int64(l.Sockets) * bytesPerSocket; need > l.Memory/2 {
		report("sockets", "%d connections of %d KiB each take more than half of limits.memory (%d MiB)", l.Sockets, bytesPerSocket>>10, l.Memory>>20)
	}
})

// Attempts say how often and how a call goes out.
type Attempts struct {
	Max            int
	ConnectTimeout time.Duration
	Cancel         bool
	HealthChecks   bool
	HedgedRequests bool
	MaxRetryAfter  time.Duration
}

// AttemptsTable is [attempts].
var AttemptsTable = schema.NewTable("attempts", "How often and how a call goes out to endpoints.",
	schema.Int("most_attempts", func(a *Attempts) *int { return &a.Max },
		schema.Bounds[int]{Default: 3, Min: 1, Max: 100}, schema.AtStart,
		"Attempts of one call, the first included."),
	schema.Duration("connect_timeout", func(a *Attempts) *time.Duration { return &a.ConnectTimeout },
		schema.Bounds[time.Duration]{Default: 250 * time.Millisecond, Min: time.Millisecond, Max: time.Minute}, schema.AtStart,
		"A connection that is not up by then counts as failed."),
	schema.Bool("cancel", func(a *Attempts) *bool { return &a.Cancel }, true, schema.AtStart,
		"Whether attempts may be called off by closing their connection."),
	schema.Bool("probes", func(a *Attempts) *bool { return &a.HealthChecks }, false, schema.AtStart,
		"Whether endpoints may be asked GET /health beside calls."),
	schema.Bool("second_copies", func(a *Attempts) *bool { return &a.HedgedRequests }, false, schema.AtStart,
		"Whether two attempts of one call may be out at once, where a route asks for it (copy_after)."),
	schema.Duration("max_retry_after", func(a *Attempts) *time.Duration { return &a.MaxRetryAfter },
		schema.Bounds[time.Duration]{Default: 2 * time.Second, Min: 0, Max: time.Hour}, schema.AtStart,
		"The longest Retry-After of a refusal; 0s for none."),
)

// SlowStart says how endpoints behave after their start.
type SlowStart struct {
	MinShare         float64
	Window           time.Duration
	OverloadMultiple float64
	OverloadDuration time.Duration
}

// SlowStartTable is [warmup].
var SlowStartTable = schema.NewTable("warmup", "How endpoints that have just started are spared.",
	schema.Float("cold_share", func(w *SlowStart) *float64 { return &w.MinShare },
		schema.Bounds[float64]{Default: 0.3, Min: 0.01, Max: 1}, schema.AtStart,
		"The share of its capacity that an endpoint has at its start."),
	schema.Duration("warm_after", func(w *SlowStart) *time.Duration { return &w.Window },
		schema.Bounds[time.Duration]{Default: 10 * time.Second, Min: 0, Max: time.Hour}, schema.AtStart,
		"After this time it has all of it."),
	schema.Float("tip_multiple", func(w *SlowStart) *float64 { return &w.OverloadMultiple },
		schema.Bounds[float64]{Default: 3, Min: 1, Max: 100}, schema.AtStart,
		"Under this multiple of its present capacity it falls over."),
	schema.Duration("tip_window", func(w *SlowStart) *time.Duration { return &w.OverloadDuration },
		schema.Bounds[time.Duration]{Default: time.Second, Min: 10 * time.Millisecond, Max: time.Minute}, schema.AtStart,
		"When that lasts so long."),
)

// Class is a class of request that the application serves.
type Class struct {
	LatencyTarget   time.Duration
	Deadline        time.Duration
	Value           float64
	LateValueShare  float64
	Idempotency     balancer.Idempotency
	KeyScope        balancer.KeyScope
	KeyWindow       time.Duration
	OnMemoryFailure MemoryFailurePolicy
}

// MemoryFailurePolicy says what becomes of a class that cannot be remembered.
type MemoryFailurePolicy string

// The choices.
const (
	ContinueWithoutMemory MemoryFailurePolicy = "go-on"
	RejectWithoutMemory   MemoryFailurePolicy = "refuse"
)

// ClassTable is [class.NAME].
var ClassTable = schema.NewNamed("class", "class", "find-trip", "A class of request that the application serves, by the name in X-Lane.",
	schema.Duration("aim", func(c *Class) *time.Duration { return &c.LatencyTarget },
		schema.Bounds[time.Duration]{Min: time.Millisecond, Max: time.Hour, Required: true, Example: `"2500ms"`}, schema.AtStart,
		"An answer within this time is worth all."),
	schema.Duration("deadline", func(c *Class) *time.Duration { return &c.Deadline },
		schema.Bounds[time.Duration]{Min: 50 * time.Millisecond, Max: time.Hour, Required: true, Example: `"6s"`}, schema.AtStart,
		"How long a client waits, over all its tries."),
	schema.Choice("effect", func(c *Class) *balancer.Idempotency { return &c.Idempotency },
		[]balancer.Idempotency{balancer.Idempotent, balancer.IdempotentWithKey, balancer.NonIdempotent}, "", true, schema.AtStart,
		"safe: may run any number of times; keyed: endpoints drop repeats of an Idempotency-Key; unsafe: must not run twice."),
	schema.Choice("key_scope", func(c *Class) *balancer.KeyScope { return &c.KeyScope },
		[]balancer.KeyScope{balancer.KeyScopeCell, balancer.KeyScopeZone, balancer.KeyScopeAll}, "", false, schema.AtStart,
		"Of a keyed class: which endpoints drop the repeats, those of one cell, of one zone, or all."),
	schema.Duration("key_window", func(c *Class) *time.Duration { return &c.KeyWindow },
		schema.Bounds[time.Duration]{Min: 0, Max: 24 * time.Hour, Optional: true, Example: `"10s"`}, schema.AtStart,
		"Of a keyed class: how long after the first attempt repeats are dropped."),
	schema.Float("worth", func(c *Class) *float64 { return &c.Value },
		schema.Bounds[float64]{Default: 1, Min: 0, Max: 1e6}, schema.AtStart,
		"What an answer is worth beside one of another class, when not all can be served."),
	schema.Float("late_worth", func(c *Class) *float64 { return &c.LateValueShare },
		schema.Bounds[float64]{Default: 0, Min: 0, Max: 1}, schema.AtStart,
		"The share of that which an answer after the aim still has."),
	schema.Choice("without_memory", func(c *Class) *MemoryFailurePolicy { return &c.OnMemoryFailure }, []MemoryFailurePolicy{ContinueWithoutMemory, RejectWithoutMemory}, ContinueWithoutMemory, false, schema.AtStart,
		"Of a class that is not safe, where memory.memory_dir is set and the disk does not take what has to be remembered: go-on: its attempts go out all the same, and the log says so; refuse: it is refused until the disk is well."),
).RequireOne().CheckNames(nameFault).Check(func(f *schema.File, name string, c *Class, report schema.Reporter) {
	set := func(key string) bool { return f.Setting("class", name, key) != nil }
	switch {
	case c.LatencyTarget > c.Deadline:
		report("aim", "%s is longer than the deadline of %s", schema.FormatDuration(c.LatencyTarget), schema.FormatDuration(c.Deadline))
	case c.Idempotency == balancer.IdempotentWithKey && c.KeyScope == "":
		report("key_scope", "missing: a keyed class has to say which endpoints drop repeats, cell, zone or all")
	case c.Idempotency == balancer.IdempotentWithKey && !set("key_window"):
		report("key_window", "missing: a keyed class has to say how long repeats are dropped")
	case c.Idempotency != balancer.IdempotentWithKey && set("key_scope"):
		report("key_scope", "means nothing: the effect is %s, not keyed", c.Idempotency)
	case c.Idempotency != balancer.IdempotentWithKey && set("key_window"):
		report("key_window", "means nothing: the effect is %s, not keyed", c.Idempotency)
	case c.Idempotency == balancer.IdempotentWithKey && c.KeyWindow < c.Deadline:
		report("key_window", "%s is shorter than the %s in which attempts may go out (the deadline): a late one would run twice",
			schema.FormatDuration(c.KeyWindow), schema.FormatDuration(c.Deadline))
	}
})

// Tenant is one of several customers that share the application.
type Tenant struct{ QuotaPerSecond float64 }

// TenantTable is [tenant.NAME].
var TenantTable = schema.NewNamed("tenant", "tenant", "north-clinics", "A customer that shares the application with others, by the name in X-Org.",
	schema.Float("quota_per_s", func(t *Tenant) *float64 { return &t.QuotaPerSecond },
		schema.Bounds[float64]{Min: 0, Max: 1e9, Required: true, Example: "50"}, schema.AtStart,
		"Requests a second within its share, over all sidecars; what goes beyond is worth little."),
).CheckNames(nameFault)

// Call is what the application's endpoints call while they serve a class.
type Call struct {
	To          string
	Class       string
	AsClass     string
	PerRequest  int
	Timeout     time.Duration
	MutualDepth int
}

// CallsTable is [calls.NAME].
var CallsTable = schema.NewNamed("calls", "call", "take-slot", "A call that the application's endpoints make to another application while they serve a class.",
	schema.String("to", func(c *Call) *string { return &c.To },
		schema.StringOptions{Required: true, Example: "slot-keeper.example.org", Type: "host name", Fault: HostNameFault}, schema.OnReload,
		"The application that is called."),
	schema.String("for_class", func(c *Call) *string { return &c.Class },
		schema.StringOptions{Required: true, Example: "book-trip", Fault: nameFault}, schema.OnReload,
		"The class of this application that makes the call."),
	schema.String("as_class", func(c *Call) *string { return &c.AsClass },
		schema.StringOptions{Example: "book-trip", Fault: nameFault}, schema.OnReload,
		"The class that the call has there; the same name where it is left out."),
	schema.Int("per_request", func(c *Call) *int { return &c.PerRequest },
		schema.Bounds[int]{Default: 1, Min: 1, Max: 1000}, schema.OnReload,
		"How many such calls one request makes, one after another."),
	schema.Duration("timeout", func(c *Call) *time.Duration { return &c.Timeout },
		schema.Bounds[time.Duration]{Min: 50 * time.Millisecond, Max: time.Hour, Required: true, Example: `"5s"`}, schema.OnReload,
		"How long the caller waits for one."),
	schema.Int("mutual_depth", func(c *Call) *int { return &c.MutualDepth },
		schema.Bounds[int]{Min: 1, Max: 32, Optional: true, Example: "2"}, schema.OnReload,
		"Where applications call each other: how often one of them may stand in a chain of calls. Every call of the ring states it."),
).CheckNames(nameFault).Check(func(f *schema.File, name string, c *Call, report schema.Reporter) {
	own := ClassTable.Get(f, c.Class)
	switch {
	case own == nil:
		report("for_class", "%s", unknownClass(f, c.Class))
	case c.Timeout > own.Deadline:
		report("timeout", "%s is longer than the deadline of class %s, %s (%s): nobody would wait for the answer",
			schema.FormatDuration(c.Timeout), c.Class, schema.FormatDuration(own.Deadline), f.Location("class", c.Class, "deadline"))
	}
})

// Tables are all of them, in the order in which a file has them.
func Tables() []*schema.Table {
	return []*schema.Table{
		SidecarTable.Table, DiscoveryTable.Table, LimitsTable.Table, AttemptsTable.Table, SlowStartTable.Table,
		ClassTable.Table, TenantTable.Table, CallsTable.Table,
	}
}

// PlatformTables are the tables that a platform's own configuration takes the place of.
func PlatformTables() []string {
	return []string{SidecarTable.Name, DiscoveryTable.Name, LimitsTable.Name, AttemptsTable.Name, SlowStartTable.Name, ClassTable.Name, TenantTable.Name}
}

// NameLayer says who an application is, as a layer below what a file says of it from some place on.
func NameLayer(application, file string, at finding.Pos) schema.Layer {
	text := []byte("[sidecar]\napplication = " + doc.Quote(application) + "\n")
	d := doc.ReadTOML(text, len(text), func(_ finding.Pos, format string, args ...any) { panic(fmt.Sprintf(format, args...)) })
	return schema.Layer{Doc: d, Table: d.Root, File: file, Pos: &at}
}

// unknownClass words that a file serves no such class.
func unknownClass(f *schema.File, class string) string {
	var names []string
	for _, c := range ClassTable.All(f) {
		names = append(names, c.Name)
	}
	return finding.UnknownName("class", class, names)
}
