package fleet_test

import (
	"fmt"

	"quincegap/internal/rehearsal/fleet"
)

// A third of 300 endpoints is lost, with 12 instances that share them out evenly: each that is left has two or more callers.
func Example() {
	figures, err := fleet.MeasureSubsets("tiles", fleet.Churns[1], 300, 12, 1)
	fmt.Println(figures.Change, figures.MinInstances, err)
	// Output: a third lost at once 3 <nil>
}
