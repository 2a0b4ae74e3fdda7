package settings_test

import (
	"fmt"

	"quincegap/internal/config/settings"
)

func ExampleParse() {
	s, unknown, err := settings.Parse([]byte(`{
		"discovery": "push",
		"instances": 2,
		"services": [{"name": "book", "aim": 2500000, "deadline": 6000000, "effect": "read_like"}],
		"novelty": true
	}`))
	fmt.Println(err, unknown)
	fmt.Println(s.Instances, s.Classes[0].LatencyTarget, s.Classes[0].Deadline)
	// Output:
	// <nil> [novelty]
	// 2 2.5s 6s
}

func ExampleParseLoad() {
	load, err := settings.ParseLoad("inflight=7,latency_ms=20", "=")
	fmt.Println(load.InFlight, load.Queue, load.ServiceTime, err)
	// Output: 7 -1 20ms <nil>
}
