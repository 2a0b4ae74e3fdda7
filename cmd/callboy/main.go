// Command callboy is the operators' client of the mesh.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"gingerlead/internal/mesh/callboy"
)

func main() {
	var l callboy.Line
	k := kong.Parse(&l, kong.Name("callboy"), kong.Description("The operators' client of the mesh."))
	if err := k.Run(l.Client(os.Stdout)); err != nil {
		fmt.Fprintln(os.Stderr, "callboy:", trace.UserMessage(err))
		os.Exit(callboy.Code(err))
	}
}
