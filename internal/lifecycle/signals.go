package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are the requests that reach a process as signals. Each channel holds one: signals of a kind that come while one is waiting
// ask for the same, and are merged with it. Kinds never displace each other.
type Signals struct {
	Terminate <-chan os.Signal // SIGTERM, SIGINT or SIGQUIT: shut down in order. The first one counts; later ones change nothing
	Reload    <-chan os.Signal // SIGHUP: the settings have changed
	Dump      <-chan os.Signal // SIGUSR1: dump the log
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

// notify is a channel that gets signals of some kinds.
func notify(kinds ...os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, kinds...)
	return signals
}
