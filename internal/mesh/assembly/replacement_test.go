package assembly

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/agent"
)

// controlState reads the state of a control-plane process. ok is false if that fails.
func (t *testMesh) controlState(machine *testMachine) (s agent.State, ok bool) {
	status, page, err := t.get(machine, "8105", "/mesh/state")
	ok = err == nil && status == http.StatusOK && json.Unmarshal(page, &s) == nil
	return s, ok
}

// retrieveConfiguration reads the newest configuration from a control-plane process; nil if that fails.
func (t *testMesh) retrieveConfiguration(machine *testMachine) []byte {
	status, body, err := t.get(machine, "8105", "/configuration/retrieve")
	if err != nil || status != http.StatusOK {
		return nil
	}
	return body
}

// waitForVoter waits until the process asked reports three voters, with or without the process on machine, as want says.
func (t *testMesh) waitForVoter(asked, machine *testMachine, want bool) {
	t.Helper()
	t.waitFor("three voters are reported, with or without "+machine.name, func() bool {
		s, ok := t.controlState(asked)
		return ok && s.Confirmed && len(s.Voters) == 3 && slices.Contains(s.Voters, machine.ip+":8105") == want
	})
}

// restartWithEmptyDisk kills a control-plane process, starts it with an empty disk, and waits until it may vote again.
func (t *testMesh) restartWithEmptyDisk(machine *testMachine) {
	t.Helper()
	t.kill(machine)
	t.Assert(os.RemoveAll(t.dataDirectory(machine)), qt.IsNil)
	t.start(machine)
	t.waitFor(machine.name+" is ready", func() bool {
		s, ok := t.controlState(machine)
		return ok && s.Ready
	})
}

// startStandby starts a control-plane process with an empty disk. ip is the last number of its address, preceded by the dot.
func (t *testMesh) startStandby(name, ip, zone string) *testMachine {
	t.Helper()
	machine := &testMachine{name: name, role: "core", ip: t.subnet + ip, zone: zone}
	t.machines[name] = machine
	t.start(machine)
	return machine
}

// A control-plane process shuts down while a standby runs, and later another one is lost permanently and replaced. After each of these
// events one of the remaining processes loses its disk. Each time the acknowledged configuration is read back, and the next change is
// accepted.
func TestControlMachinesAreReplaced(t *testing.T) {
	mesh := newMesh(t, 4)
	mesh.waitFirstConfiguration("", "k1")
	coreA, coreB, coreC := mesh.machines["core-a"], mesh.machines["core-b"], mesh.machines["core-c"]
	coreD := mesh.startStandby("core-d", ".4", "a")
	mesh.waitFor("core-a reports core-d as a member", func() bool {
		s, ok := mesh.controlState(coreA)
		isCoreD := func(member agent.MemberState) bool { return member.Address == coreD.ip+":7640" }
		return ok && s.Confirmed && slices.ContainsFunc(s.Members, isCoreD)
	})
	mesh.waitForVoter(coreB, coreA, true)
	began := time.Now()
	mesh.Assert(coreA.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	mesh.Assert(coreA.cmd.Wait(), qt.IsNil)
	mesh.Check(time.Since(began) < 5*time.Second, qt.IsTrue)
	coreA.cmd = nil
	s, ok := mesh.controlState(coreB) // core-a has handed over its vote before it exited
	mesh.Assert(ok && s.Confirmed, qt.IsTrue)
	mesh.Check(slices.Contains(s.Voters, coreA.ip+":8105"), qt.IsFalse)
	mesh.Check(slices.Contains(s.Voters, coreD.ip+":8105"), qt.IsTrue)
	mesh.restartWithEmptyDisk(coreC)
	mesh.waitFor("configuration r2 is accepted", func() bool {
		return mesh.replaceConfiguration(1, mesh.configuration(2, "", "k2")) == http.StatusOK
	})
	mesh.waitFor("core-c returns configuration r2", func() bool {
		return bytes.Equal(mesh.retrieveConfiguration(coreC), mesh.configuration(2, "", "k2"))
	})

	mesh.kill(coreB)
	mesh.Assert(os.RemoveAll(mesh.dataDirectory(coreB)), qt.IsNil)
	coreE := mesh.startStandby("core-e", ".5", "b")
	mesh.waitForVoter(coreD, coreE, true)
	mesh.waitForVoter(coreD, coreB, false)
	mesh.waitFor("configuration r3 is accepted", func() bool {
		return mesh.replaceConfiguration(2, mesh.configuration(3, "", "k3")) == http.StatusOK
	})
	mesh.restartWithEmptyDisk(coreD)
	mesh.waitFor("core-d returns configuration r3 after the loss of its disk", func() bool {
		return bytes.Equal(mesh.retrieveConfiguration(coreD), mesh.configuration(3, "", "k3"))
	})
	mesh.waitFor("configuration r4 is accepted", func() bool {
		return mesh.replaceConfiguration(3, mesh.configuration(4, "", "k4")) == http.StatusOK
	})
	t.Logf("the replacements took %v", time.Since(began).Round(time.Millisecond))
}
