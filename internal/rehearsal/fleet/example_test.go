package fleet_test

import (
	"fmt"

	"quincegap/internal/rehearsal/fleet"
)

// After the loss of a third of 300 endpoints, which 12 instances share evenly, at least 3 instances call each remaining endpoint.
func Example() {
	figures, err := fleet.MeasureSubsets("tiles", fleet.Churns[1], 300, 12, 1)
	fmt.Println(figures.Change, figures.MinInstances, err)
	// Output: a third lost at once 3 <nil>
}
