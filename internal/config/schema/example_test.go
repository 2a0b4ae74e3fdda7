package schema_test

import (
	"fmt"
	"time"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

type callers struct{ IdleTimeout time.Duration }

var callersTable = schema.NewTable("callers", "Connections from callers.",
	schema.Duration("idle_timeout", func(c *callers) *time.Duration { return &c.IdleTimeout },
		schema.Bounds[time.Duration]{Default: 30 * time.Second, Min: time.Second, Max: time.Hour},
		schema.AtStart, "How long a connection may be idle."))

func Example() {
	s := schema.New(callersTable.Table)
	for _, text := range []string{"", "[callers]\nidle_timeout = \"90s\"\n", "[callers]\nidle_timeout = \"2h\"\n"} {
		var found finding.List
		d := doc.ReadTOML([]byte(text), 1<<20, found.ForFile("f.toml"))
		f := s.Decode(&found, schema.Options{}, schema.Layer{Doc: d, Table: d.Root, File: "f.toml"})
		if err := found.Err(); err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(callersTable.In(f).IdleTimeout)
	}
	// Output:
	// 30s
	// 1m30s
	// f.toml:2:16: callers.idle_timeout: "2h" is above "1h"
}
