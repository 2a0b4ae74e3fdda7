// Command quincegap is a sidecar: it balances the calls of one service, or of
// clients, over the endpoints of the next tier.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"gingerlead/internal/product"
	"gingerlead/internal/sidecar"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP) // first of all: uncaught, it ends the process
	file := flag.String("config", "", "the product's file (TOML); without it, all comes from the environment")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "quincegap: unknown argument %q; settings come from -config FILE and the environment\n", flag.Arg(0))
		os.Exit(2)
	}
	config, err := product.Sidecar(*file, os.Getenv)
	if err == nil {
		err = sidecar.Run(config, stop, reload)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "quincegap: "+err.Error())
		os.Exit(1)
	}
}
