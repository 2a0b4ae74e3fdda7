// Command sidecar is the mesh's sidecar on an access machine. It forwards requests from clients and from the local endpoint to endpoints of
// the mesh, and admits requests from other sidecars to the local endpoint. Package assembly builds it.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"quincegap/internal/lifecycle"
	_ "quincegap/internal/lifecycle/earlysignals" // ignores SIGHUP until Catch
	"quincegap/internal/mesh/assembly"
	"quincegap/internal/mesh/operations/settings"
)

// options holds the parsed command line.
var options struct {
	Settings string `help:"The settings file." env:"${variable}" required:"" type:"path"`
}

func main() {
	signals := lifecycle.Catch() // comes first: an earlier SIGTERM ends the process at once
	kong.Parse(&options, kong.Name("sidecar"), kong.Description("The mesh's sidecar beside an endpoint."),
		kong.Vars{"variable": settings.EnvironmentVariable})
	if err := assembly.RunSidecar(options.Settings, signals); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}
