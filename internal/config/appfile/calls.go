package appfile

import (
	"time"

	"quincegap/internal/config/schema"
)

// Call is a call that the application's endpoints make while they serve a class.
type Call struct {
	To          string        // the application that is called
	Class       string        // the class of this application that makes the call
	AsClass     string        // the class that the called application serves it as; empty if it has the same name as Class
	PerRequest  int           // the number of sequential calls that one request makes
	Timeout     time.Duration // how long the caller waits for one call
	MutualDepth int           // how often an application may occur in a chain of calls; 0 for a call that is not part of a cycle
}

// CallsTable is [calls.NAME].
var CallsTable = schema.NewNamed("calls", "call", "take-slot",
	"A call that the application's endpoints make to another application while they serve a class.",
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
).CheckNames(nameFault).Check(func(f *schema.File, _ string, c *Call, report schema.Reporter) {
	own := ClassTable.Get(f, c.Class)
	switch {
	case own == nil:
		report("for_class", "%s", unknownClass(f, c.Class))
	case c.Timeout > own.Deadline:
		report("timeout", "%s is longer than the deadline of class %s, %s (%s): nobody would wait for the answer",
			schema.FormatDuration(c.Timeout), c.Class, schema.FormatDuration(own.Deadline), f.Location("class", c.Class, "deadline"))
	}
})
