// Command balancer-sim runs instances of the load balancer for the simulator. It reads the simulator's protocol (package simadapter) from
// standard input and answers on standard output.
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
