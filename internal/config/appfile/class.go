package appfile

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// Class is a class of request that the application serves.
type Class struct {
	LatencyTarget   time.Duration        // a response within this time has the full value
	Deadline        time.Duration        // how long a client waits, over all its attempts
	Value           float64              // the value of a response within the latency target, relative to other classes
	LateValueShare  float64              // the share of Value that a later response has
	Idempotency     balancer.Idempotency // whether a call may be executed more than once
	KeyScope        balancer.KeyScope    // the endpoints that drop repeats of an idempotency key; empty if the class has no keys
	KeyWindow       time.Duration        // how long endpoints drop repeats of a key, counted from the first attempt
	OnMemoryFailure MemoryFailurePolicy  // the policy if an attempt of a call that is not idempotent cannot be recorded on disk
}

// MemoryFailurePolicy decides what happens to requests of a class whose attempts cannot be recorded in memory.memory_dir.
type MemoryFailurePolicy string

// The values of MemoryFailurePolicy.
const (
	ContinueWithoutMemory MemoryFailurePolicy = "go-on"  // serve them and log a warning
	RejectWithoutMemory   MemoryFailurePolicy = "refuse" // reject them until the disk works again
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
	schema.Choice("without_memory", func(c *Class) *MemoryFailurePolicy { return &c.OnMemoryFailure },
		[]MemoryFailurePolicy{ContinueWithoutMemory, RejectWithoutMemory}, ContinueWithoutMemory, false, schema.AtStart,
		"Of a class that is not safe, where memory.memory_dir is set and the disk does not take what has to be remembered: "+
			"go-on: its attempts go out all the same, and the log says so; refuse: it is refused until the disk is well."),
).RequireOne().CheckNames(nameFault).Check(checkClass)

// checkClass reports keys of one class that contradict one another.
func checkClass(f *schema.File, name string, class *Class, report schema.Reporter) {
	isSet := func(key string) bool { return f.Setting("class", name, key) != nil }
	keyed := class.Idempotency == balancer.IdempotentWithKey
	switch {
	case class.LatencyTarget > class.Deadline:
		report("aim", "%s is longer than the deadline of %s", schema.FormatDuration(class.LatencyTarget), schema.FormatDuration(class.Deadline))
	case keyed && class.KeyScope == "":
		report("key_scope", "missing: a keyed class has to say which endpoints drop repeats, cell, zone or all")
	case keyed && !isSet("key_window"):
		report("key_window", "missing: a keyed class has to say how long repeats are dropped")
	case !keyed && isSet("key_scope"):
		report("key_scope", "means nothing: the effect is %s, not keyed", class.Idempotency)
	case !keyed && isSet("key_window"):
		report("key_window", "means nothing: the effect is %s, not keyed", class.Idempotency)
	case keyed && class.KeyWindow < class.Deadline:
		report("key_window", "%s is shorter than the %s in which attempts may go out (the deadline): a late one would run twice",
			schema.FormatDuration(class.KeyWindow), schema.FormatDuration(class.Deadline))
	}
}

// Tenant is a customer that shares the application with others.
type Tenant struct {
	QuotaPerSecond float64 // the tenant's quota in requests per second, over all sidecars
}

// TenantTable is [tenant.NAME].
var TenantTable = schema.NewNamed("tenant", "tenant", "north-clinics",
	"A customer that shares the application with others, by the name in X-Org.",
	schema.Float("quota_per_s", func(t *Tenant) *float64 { return &t.QuotaPerSecond },
		schema.Bounds[float64]{Min: 0, Max: 1e9, Required: true, Example: "50"}, schema.AtStart,
		"Requests a second within its share, over all sidecars; what goes beyond is worth little."),
).CheckNames(nameFault)

// unknownClass returns the message for a class that a file does not declare.
func unknownClass(f *schema.File, class string) string {
	var names []string
	for _, c := range ClassTable.All(f) {
		names = append(names, c.Name)
	}
	return finding.UnknownName("class", class, names)
}
