package dryrun_test

import (
	"fmt"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/dryrun"
	"quincegap/internal/rehearsal/scenario"
)

// In a scenario without faults, every request is served in time and no rule is broken.
func Example() {
	var found finding.List
	scenario := scenario.Read("calm", []byte("length 5s\ntier one boxes 4 work 10ms\nclass ask\ncallers rate 20/s\n"), &found)
	result, err := dryrun.Run(scenario.Plan(1))
	if err != nil {
		panic(err)
	}
	fmt.Println(result.Verdict.Service, len(result.Verdict.Breaches))
	// Output: 1 0
}
