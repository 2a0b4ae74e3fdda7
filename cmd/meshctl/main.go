// Command meshctl is the operators' client of the mesh.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"quincegap/internal/mesh/operations/meshctl"
)

func main() {
	var l meshctl.CommandLine
	k := kong.Parse(&l, kong.Name("meshctl"), kong.Description("The operators' client of the mesh."))
	if err := k.Run(l.Client(os.Stdout)); err != nil {
		fmt.Fprintln(os.Stderr, "meshctl:", trace.UserMessage(err))
		os.Exit(meshctl.ExitCode(err))
	}
}
