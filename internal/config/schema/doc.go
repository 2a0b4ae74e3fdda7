// Package schema declares the keys of a configuration file, each once, with its type, default, bounds, help, and when a change of it
// takes effect. Decoding, checks, the reference page, the sample file and the comments in derived files all use these declarations.
// The package does no I/O and has no state: a Schema is created when a program starts, and does not change afterwards.
//
// A subsystem declares a table with the struct that it fills:
//
//	type Callers struct{ IdleTimeout time.Duration }
//
//	var CallersTable = schema.NewTable("callers", "Connections from callers.",
//		schema.Duration("idle_timeout", func(c *Callers) *time.Duration { return &c.IdleTimeout },
//			schema.Bounds[time.Duration]{Default: 30 * time.Second, Min: time.Second, Max: time.Hour},
//			schema.AtStart, "How long a connection may be idle."))
//
// and after file := s.Decode(...) reads the struct with CallersTable.In(file). A file has layers; later ones take precedence, key by key:
//
//	documents --> Decode: each layer's keys --> missing keys --> checks over several keys --> File
//	                         |                      |                     |
//	                      findings               findings       findings, if there are none yet
package schema
