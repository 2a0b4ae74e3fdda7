package lifecycle

import (
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// raise sends signals to the test process.
func raise(t *testing.T, signals ...syscall.Signal) {
	t.Helper()
	for _, s := range signals {
		qt.Assert(t, syscall.Kill(os.Getpid(), s), qt.IsNil)
	}
}

// await returns the next signal of a channel. It fails the test if none arrives within 10 s.
func await(t *testing.T, signals <-chan os.Signal) os.Signal {
	t.Helper()
	select {
	case s := <-signals:
		return s
	case <-time.After(10 * time.Second):
		t.Fatal("no signal arrived within 10 s")
		return nil
	}
}

// Each signal arrives on its channel alone, and SIGPIPE is ignored.
func TestCatch(t *testing.T) {
	signals := Catch()
	for _, test := range []struct {
		name    string
		signal  syscall.Signal
		channel <-chan os.Signal
	}{
		{"SIGTERM", syscall.SIGTERM, signals.Terminate},
		{"SIGINT", syscall.SIGINT, signals.Terminate},
		{"SIGQUIT", syscall.SIGQUIT, signals.Terminate},
		{"SIGHUP", syscall.SIGHUP, signals.Reload},
		{"SIGUSR1", syscall.SIGUSR1, signals.Dump},
	} {
		t.Run(test.name, func(t *testing.T) {
			raise(t, syscall.SIGPIPE, test.signal)
			qt.Assert(t, await(t, test.channel), qt.Equals, os.Signal(test.signal))
			for _, other := range []<-chan os.Signal{signals.Terminate, signals.Reload, signals.Dump} {
				qt.Assert(t, other, qt.HasLen, 0)
			}
		})
	}
}

// A channel that nobody reads holds one signal of its kind, and does not block signals of other kinds.
func TestSignalsOfAKindAreMerged(t *testing.T) {
	signals := Catch()
	raise(t, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGUSR1)
	qt.Assert(t, await(t, signals.Dump), qt.Equals, os.Signal(syscall.SIGUSR1))
	qt.Assert(t, await(t, signals.Reload), qt.Equals, os.Signal(syscall.SIGHUP))
	qt.Assert(t, cap(signals.Reload), qt.Equals, 1)
}
