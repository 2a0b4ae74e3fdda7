package experiment_test

import (
	"context"
	"fmt"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/experiment"
	"quincegap/internal/rehearsal/scenario"
)

// Play one scenario at half its load and at ten times its load, with two seeds each.
func Example() {
	var found finding.List
	played := scenario.Read("example", []byte("length 3s\ntier one boxes 2 cores 1 slots 1 work 50ms\nclass ask\ncallers rate 10/s\n"), &found)
	design := experiment.Design{Scenarios: []*scenario.Scenario{played}, Loads: []float64{0.5, 10}, Seeds: 2, Workers: 2}
	runs, err := design.Play(context.Background(), nil)
	points := experiment.Summarize(runs)
	fmt.Println(err, len(runs), len(points), points[0].Service.Mean > points[1].Service.Mean)
	// Output: <nil> 4 2 true
}
