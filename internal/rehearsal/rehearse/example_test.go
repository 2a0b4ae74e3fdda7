package rehearse_test

import (
	"fmt"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/rehearse"
	"quincegap/internal/rehearsal/scenario"
)

// CheckSockets rejects a scenario that can be played only in virtual time.
func ExampleCheckSockets() {
	var found finding.List
	scenario := scenario.Read("many", []byte("tier one boxes 3\nclass ask\ncallers rate 1/s\nsidecars count 100\n"), &found)
	fmt.Println(rehearse.CheckSockets(scenario.Plan(1)))
	// Output: 100 sidecars are more than the 64 that are played on sockets
}
