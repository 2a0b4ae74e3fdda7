package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals has a channel for each request that a process gets as a signal. A channel holds one signal. Further signals of its kind that
// arrive before it is read are dropped, as they ask for the same. Signals of other kinds don't affect it.
type Signals struct {
	Terminate <-chan os.Signal // SIGTERM, SIGINT or SIGQUIT: shut down gracefully; only the first signal matters
	Reload    <-chan os.Signal // SIGHUP: read the settings again
	Dump      <-chan os.Signal // SIGUSR1: dump the log
}

// Catch catches the signals from now on until the process exits. It also ignores SIGPIPE, so that a broken pipe on standard output or error
// fails the write and does not end the process. SIGABRT still ends the process and prints the stacks of all goroutines.
func Catch() Signals {
	signal.Ignore(syscall.SIGPIPE)
	return Signals{
		Terminate: notify(syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT),
		Reload:    notify(syscall.SIGHUP),
		Dump:      notify(syscall.SIGUSR1),
	}
}

// notify returns a channel that receives the signals of the given kinds, at most one at a time.
func notify(kinds ...os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, kinds...)
	return signals
}
