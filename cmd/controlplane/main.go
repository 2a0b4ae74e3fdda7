// Command controlplane is the mesh's process on a core machine. Together with its peers it replicates the operators' configuration, stores
// it on disk and distributes it to every process of the mesh. Package assembly builds it.
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
	kong.Parse(&options, kong.Name("controlplane"), kong.Description("The mesh's core process, which keeps the configuration."),
		kong.Vars{"variable": settings.EnvironmentVariable})
	if err := assembly.RunControlPlane(options.Settings, signals); err != nil {
		fmt.Fprintln(os.Stderr, "controlplane:", err)
		os.Exit(1)
	}
}
