// Command balancer-sim runs Balancer instances on the simulator's wire, from
// standard input to standard output.
package main

import (
	"fmt"
	"os"

	"quincegap/internal/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "balancer-sim: "+err.Error())
		os.Exit(1)
	}
}
