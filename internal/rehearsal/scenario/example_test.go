package scenario_test

import (
	"fmt"
	"os"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/scenario"
)

// The plan of a script with the script's own seed.
func Example() {
	const script = `title "Two boxes"
length 10s
seed 3
tier one boxes 2
class ask
callers rate 10/s
at 2s: box 1 restarts taking 500ms
`
	var found finding.List
	scenario := scenario.Read("two.morning", []byte(script), &found)
	if scenario == nil {
		fmt.Println(found.Err())
		return
	}
	if err := scenario.Plan(0).WriteText(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// Two boxes: seed 3, 10s, 119 requests
	//   one: 2 boxes
	//      2.000 s  box 1 of one ends
	//      2.500 s  box 1 of one starts
	//      3.500 s  discovery hears that box 1 of one is Ready
}
