// Command usher is the mesh's sidecar on an access machine: it takes the requests of the clients and of the endpoint there, and
// lets others' requests on to that endpoint.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"gingerlead/internal/mesh/callsheet"
	"gingerlead/internal/mesh/house"
)

var line struct {
	Settings string `help:"The settings file." env:"${variable}" required:"" type:"path"`
}

func main() {
	kong.Parse(&line, kong.Name("usher"), kong.Description("The mesh's sidecar beside an endpoint."),
		kong.Vars{"variable": callsheet.Variable})
	if err := house.Access(line.Settings); err != nil {
		fmt.Fprintln(os.Stderr, "usher:", err)
		os.Exit(1)
	}
}
