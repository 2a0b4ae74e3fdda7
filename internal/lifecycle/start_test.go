package lifecycle_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// starts is how often the test starts each program: a SIGHUP that is not ignored ends most of them.
const starts = 20

// A SIGHUP that comes while a daemon's packages are initialized ended it.
func TestHangupDuringInitializationDoesNotEndADaemon(t *testing.T) {
	folder := t.TempDir()
	programs := []string{"sidecar", "controlplane", "eventlog", "quincegap"}
	arguments := []string{"build", "-buildvcs=false", "-o", folder + "/"}
	for _, program := range programs {
		arguments = append(arguments, "quincegap/cmd/"+program)
	}
	build := exec.CommandContext(t.Context(), "go", arguments...)
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	output, err := build.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	for _, program := range programs {
		t.Run(program, func(t *testing.T) {
			for range starts {
				status := hangUp(t, filepath.Join(folder, program))
				qt.Assert(t, status.Signaled(), qt.IsFalse, qt.Commentf("ended by %v", status.Signal()))
			}
		})
	}
}

// hangUp starts a program without its settings, so that it exits by itself, sends SIGHUP as soon as the Go runtime runs, and returns how it
// has ended.
func hangUp(t *testing.T, program string) syscall.WaitStatus {
	t.Helper()
	process := exec.CommandContext(t.Context(), program, "--no-such-flag")
	process.Env = []string{}
	qt.Assert(t, process.Start(), qt.IsNil)
	for !catchesSignals(process.Process.Pid) { //nolint:revive // a pause would miss the few milliseconds that matter
	}
	_ = process.Process.Signal(syscall.SIGHUP) // an error means that the process has exited
	_ = process.Wait()                         // reports the exit status
	return process.ProcessState.Sys().(syscall.WaitStatus)
}

// catchesSignals reports whether the Go runtime of a process has set its signal handlers, or the process has exited.
func catchesSignals(pid int) bool {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return true
	}
	_, caught, found := strings.Cut(string(status), "SigCgt:\t")
	return !found || !strings.HasPrefix(caught, "0000000000000000")
}
