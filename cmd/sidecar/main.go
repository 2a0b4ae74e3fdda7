// Command sidecar is the mesh's sidecar on an access machine: it takes the requests of the clients and of the endpoint there, and
// lets others' requests on to that endpoint.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"quincegap/internal/lifecycle"
	"quincegap/internal/mesh/assembly"
	"quincegap/internal/mesh/operations/settings"
)

var options struct {
	Settings string `help:"The settings file." env:"${variable}" required:"" type:"path"`
}

func main() {
	signals := lifecycle.Catch()
	kong.Parse(&options, kong.Name("sidecar"), kong.Description("The mesh's sidecar beside an endpoint."),
		kong.Vars{"variable": settings.EnvironmentVariable})
	if err := assembly.RunSidecar(options.Settings, signals); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}
