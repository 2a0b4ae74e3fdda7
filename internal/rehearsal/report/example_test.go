package report_test

import (
	"os"

	"quincegap/internal/rehearsal/experiment"
	"quincegap/internal/rehearsal/report"
	"quincegap/internal/rehearsal/scenario"
)

// WriteTable shows one point of an experiment as a text table.
func ExampleWriteTable() {
	scenarios := []*scenario.Scenario{{Name: "rehearsals/calm.morning"}}
	points := []experiment.Point{{Load: 1, Runs: 3, Service: experiment.Figure{Mean: 0.99, HalfInterval: 0.01, Min: 0.98}}}
	if err := report.WriteTable(os.Stdout, scenarios, points); err != nil {
		panic(err)
	}
	// Output:
	// morning                    load  runs           service        worst 10 s           refused            failed   attempts a call            p99, s     least  breaches
	// calm                          1     3    0.9900 ±0.0100    0.0000 ±0.0000    0.0000 ±0.0000    0.0000 ±0.0000    0.0000 ±0.0000    0.0000 ±0.0000    0.9800         0
}
