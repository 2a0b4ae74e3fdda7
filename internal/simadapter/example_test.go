package simadapter_test

import (
	"fmt"
	"os"
	"strings"

	"quincegap/internal/simadapter"
)

// An unknown event is reported and ignored. A malformed line ends the run.
func ExampleRun() {
	input := strings.NewReader("begin_batch 1000000\nsurprise 1\nover_to_you\nwake 3 7\n")
	err := simadapter.Run(input, os.Stdout, os.Stdout)
	fmt.Println(err)
	// Output:
	// balancer-sim: unknown event surprise ignored
	// eor
	// line 4: wake: field begin_batch: expected at the start of a batch
}
