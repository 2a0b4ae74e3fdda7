// Command controlplane is the mesh's core process: it keeps the operator's word on disk with its peers, and takes it to every part.
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
	kong.Parse(&options, kong.Name("controlplane"), kong.Description("The mesh's core process, which keeps the configuration."),
		kong.Vars{"variable": settings.EnvironmentVariable})
	if err := assembly.RunControlPlane(options.Settings, signals); err != nil {
		fmt.Fprintln(os.Stderr, "controlplane:", err)
		os.Exit(1)
	}
}
