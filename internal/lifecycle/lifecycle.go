// Package lifecycle catches a program's signals for as long as the process lives.
//
// A Go program gets the default action of a signal, which for SIGTERM, SIGINT, SIGQUIT and SIGHUP is the end of the process at once,
// before it asks for the signal and after it has given it up with signal.Stop. A server that ends in order needs neither: a second
// SIGTERM, or a SIGHUP meant for its settings, would end it amid the requests that it still has to answer. So a program calls Catch
// before it does anything else, and nothing here is ever given up.
package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are the requests that reach a process as signals. Each channel holds one: signals of a kind that come while one is waiting
// ask for the same, and are merged with it. Kinds never take each other's place.
type Signals struct {
	Terminate <-chan os.Signal // SIGTERM, SIGINT or SIGQUIT: end in order. The first one counts; later ones change nothing
	Reload    <-chan os.Signal // SIGHUP: the settings have changed
	Dump      <-chan os.Signal // SIGUSR1: write the log out
}

// Catch catches the signals from now on, until the process exits. A broken pipe on standard output or error is an error of the
// write from then on, not the end of the process. SIGABRT still ends it with the stacks of all goroutines.
func Catch() Signals {
	signal.Ignore(syscall.SIGPIPE)
	return Signals{
		Terminate: notify(syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT),
		Reload:    notify(syscall.SIGHUP),
		Dump:      notify(syscall.SIGUSR1),
	}
}

func notify(kinds ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, kinds...)
	return c
}
