package assembly

import (
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// occupation is the time for which the tests keep a process from starting; above listenTimeout.
const occupation = listenTimeout + 500*time.Millisecond

// waitStarted waits until a machine's process serves.
func (t *testMesh) waitStarted(machine *testMachine) {
	t.Helper()
	port, path := "8105", "/mesh/state"
	if machine.role == "access" {
		port, path = "8100", "/readiness"
	}
	t.waitFor(machine.name+" has started", func() bool {
		status, _, err := t.get(machine, port, path)
		return err == nil && status == http.StatusOK
	})
}

// startWithSettings starts a machine's process with a settings file of the given content, and completes the file a moment later.
func (t *testMesh) startWithSettings(machine *testMachine, content string) {
	t.Helper()
	path := filepath.Join(t.folder, machine.name+".toml")
	t.settingsOverride = &content
	t.start(machine)
	t.settingsOverride = nil
	time.Sleep(300 * time.Millisecond)
	t.Assert(os.WriteFile(path, []byte(t.settingsText(machine)), 0o644), qt.IsNil)
}

// A process whose address was in use for longer than listenTimeout exited, and so did each of its restarts.
func TestStartWaitsForAnAddressInUse(t *testing.T) {
	mesh := newMesh(t, 12)
	mesh.waitFirstConfiguration("", "k1")
	for _, name := range []string{"access-3", "core-c"} {
		machine := mesh.machines[name]
		mesh.kill(machine)
		occupied := mesh.occupyLinkPort(machine)
		mesh.start(machine)
		time.Sleep(occupation)
		mesh.Assert(occupied.Close(), qt.IsNil)
		mesh.waitStarted(machine)
	}
}

// A process that found its settings file empty or cut, because the platform was writing it, exited.
func TestStartWaitsForCompleteSettings(t *testing.T) {
	mesh := newMesh(t, 13)
	mesh.waitFirstConfiguration("", "k1")
	for _, name := range []string{"access-3", "core-c"} {
		machine := mesh.machines[name]
		complete := mesh.settingsText(machine)
		beforeAddresses, _, _ := strings.Cut(complete, "seedNodes") // valid, without the addresses to listen on
		for _, content := range []string{"", complete[:len(complete)/3], complete[:len(complete)/2], beforeAddresses} {
			mesh.kill(machine)
			mesh.startWithSettings(machine, content)
			mesh.waitStarted(machine)
		}
	}
}

// A start that waits ends in order on SIGTERM, and one whose settings stay invalid fails.
func TestWaitsOfAStartEnd(t *testing.T) {
	mesh := newMesh(t, 14)
	mesh.waitFirstConfiguration("", "k1")
	waiting, failing := mesh.machines["access-3"], mesh.machines["access-2"]
	mesh.kill(waiting)
	mesh.kill(failing)
	empty := ""
	mesh.settingsOverride = &empty
	mesh.start(waiting)
	mesh.start(failing)
	mesh.settingsOverride = nil
	mesh.waitForSignalHandlers(waiting)
	mesh.signal(waiting, syscall.SIGTERM)
	mesh.Assert(mesh.waitForExit(waiting), qt.IsNil)
	mesh.Assert(mesh.waitForExit(failing), qt.ErrorMatches, "exit status 1")
}

// Only an address in use, and one that the machine does not have yet, are waited for without a limit: the process exited in the second case.
func TestListeningIsRetried(t *testing.T) {
	inUse := error(syscall.EADDRINUSE)
	qt.Check(t, mayRetryListening(inUse, time.Hour), qt.IsTrue)
	qt.Check(t, mayRetryListening(syscall.EADDRNOTAVAIL, time.Hour), qt.IsTrue)
	qt.Check(t, mayRetryListening(syscall.EACCES, time.Second), qt.IsTrue)
	qt.Check(t, mayRetryListening(syscall.EACCES, listenTimeout+1), qt.IsFalse)
	qt.Check(t, startResult(errTerminated), qt.IsNil)
	qt.Check(t, startResult(errors.Join(errTerminated)), qt.IsNil)
	qt.Check(t, startResult(inUse), qt.Equals, inUse)
}
