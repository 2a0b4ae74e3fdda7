// Command meshctl is the operators' client of the mesh (package operations/meshctl).
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"quincegap/internal/mesh/operations/meshctl"
)

func main() {
	var line meshctl.CommandLine
	command := kong.Parse(&line, kong.Name("meshctl"), kong.Description("The operators' client of the mesh."),
		kong.BindTo(context.Background(), (*context.Context)(nil)),
		kong.Exit(func(code int) { os.Exit(meshctl.UsageExitCode(code)) }))
	if err := command.Run(line.Client(os.Stdout)); err != nil {
		fmt.Fprintln(os.Stderr, "meshctl:", trace.UserMessage(err))
		os.Exit(meshctl.ExitCode(err))
	}
}
