package appfile

import (
	"time"

	"quincegap/internal/config/schema"
)

// Attempts limits the attempts of a call, and says which techniques they may use.
type Attempts struct {
	Max            int // the most attempts of one call, including the first
	ConnectTimeout time.Duration
	Cancel         bool          // whether an attempt may be cancelled by closing its connection
	HealthChecks   bool          // whether endpoints may be sent GET /health
	HedgedRequests bool          // whether two attempts of one call may be in flight at once
	MaxRetryAfter  time.Duration // the longest Retry-After in a rejection; 0 if rejections have none
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

// SlowStart describes how the capacity of an endpoint grows after its start.
type SlowStart struct {
	MinShare         float64       // the share of its capacity that an endpoint has at its start
	Window           time.Duration // the time until an endpoint has its full capacity
	OverloadMultiple float64       // the load at which an endpoint fails, as a multiple of its current capacity
	OverloadDuration time.Duration // how long that load has to last until the endpoint fails
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
