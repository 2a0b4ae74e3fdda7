// Command quincegap is the standalone sidecar: it balances the calls of one application, or of its clients, over the endpoints of
// the next tier, without a control plane.
//
// Settings come from a settings file (-config FILE, in TOML), from the platform's configuration (BALANCER_CONFIG) or from both; see package
// standalone. The program reads them again on SIGHUP and shuts down on SIGTERM. It exits with status 1 if it cannot start or serve, and
// with status 2 if its arguments are unknown.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"

	"quincegap/internal/lifecycle"
	_ "quincegap/internal/lifecycle/earlysignals" // ignores SIGHUP until Catch
	"quincegap/internal/product"
	"quincegap/internal/standalone"
)

func main() {
	signals := lifecycle.Catch()
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	file := flag.String("config", "", "settings file (TOML); without it, all settings come from the environment")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "quincegap: unknown argument %q; settings come from -config FILE and from the environment\n", flag.Arg(0))
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
