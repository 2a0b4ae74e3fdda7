// Command quincegapctl writes and checks the configuration of the standalone sidecars; see package tool.
package main

import (
	"os"

	"quincegap/internal/tool"
)

func main() { os.Exit(tool.Run(os.Args[1:], os.Stdout, os.Stderr)) }
