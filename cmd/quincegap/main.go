// Command quincegap is a sidecar: it balances the calls of one service, or of
// clients, over the endpoints of the next tier.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"

	"quincegap/internal/lifecycle"
	"quincegap/internal/product"
	"quincegap/internal/standalone"
)

func main() {
	signals := lifecycle.Catch()
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	file := flag.String("config", "", "the product's file (TOML); without it, all comes from the environment")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "quincegap: unknown argument %q; settings come from -config FILE and the environment\n", flag.Arg(0))
		os.Exit(2)
	}
	config, err := product.SidecarConfig(*file, os.Getenv)
	if err == nil {
		err = standalone.Run(config, signals.Terminate, signals.Reload)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "quincegap: "+err.Error())
		os.Exit(1)
	}
}
