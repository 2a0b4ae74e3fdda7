package assembly

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/operations/settings"
)

// extraSignals are signals that a process may get while it shuts down. Some platforms repeat SIGTERM, tools send SIGHUP to all processes
// after a change of settings, and several signals may arrive at once.
var extraSignals = []os.Signal{
	syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGQUIT, syscall.SIGPIPE,
	syscall.SIGUSR2, syscall.SIGHUP, syscall.SIGTERM,
}

// signal sends signals to a machine's process, immediately one after the other.
func (t *testMesh) signal(machine *testMachine, signals ...os.Signal) {
	for _, s := range signals {
		_ = machine.cmd.Process.Signal(s) // an error means that the process has ended, which waitForExit reports
	}
}

// waitForSignalHandlers waits until a machine's process that was just started catches signals.
func (t *testMesh) waitForSignalHandlers(machine *testMachine) {
	t.waitFor(machine.name+" catches signals", func() bool {
		_, err := os.Stat(t.signalsFile(machine))
		return err == nil
	})
}

// waitForExit waits until a machine's process has exited, and returns the error of its exit. It fails the test after 20 s.
func (t *testMesh) waitForExit(machine *testMachine) error {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- machine.cmd.Wait() }()
	select {
	case err := <-ended:
		machine.cmd = nil
		return err
	case <-time.After(20 * time.Second):
		t.Fatalf("%s has not exited within 20 s", machine.name)
		return nil
	}
}

// A sidecar gets SIGTERM while requests are in flight, and extra signals during its shutdown, first one by one and then all at once. Each
// request that it has read is answered by an endpoint.
func TestSignalsDuringShutdownLoseNoRequest(t *testing.T) {
	mesh := newMesh(t, 5)
	mesh.waitFirstConfiguration(longRoute, "k1")
	mesh.waitServedByAll("access-2", "/book/x", "access-0", "access-1")
	releases := []func(){mesh.applications["access-0"].Hold(), mesh.applications["access-1"].Hold()}
	before := len(mesh.applications["access-0"].Executions()) + len(mesh.applications["access-1"].Executions())
	answers := make(chan clientExchange, 4)
	for range 4 {
		go func() {
			c := &testClient{mesh: mesh, machine: "access-2"}
			defer c.close()
			a, _ := c.do("POST", "/book/long/x")
			answers <- a
		}()
	}
	mesh.waitFor("the requests are in flight", func() bool {
		return len(mesh.applications["access-0"].Executions())+len(mesh.applications["access-1"].Executions()) == before+4
	})
	sidecar := mesh.machines["access-2"]
	mesh.signal(sidecar, syscall.SIGTERM)
	for _, s := range extraSignals {
		mesh.signal(sidecar, s)
		time.Sleep(30 * time.Millisecond)
	}
	mesh.signal(sidecar, extraSignals...)
	time.Sleep(200 * time.Millisecond)
	for _, release := range releases {
		release()
	}
	for range 4 {
		a := <-answers
		mesh.Check(a.answered && a.status == http.StatusOK, qt.IsTrue, qt.Commentf("want an answer with status 200, got %+v", a))
	}
	mesh.Assert(mesh.waitForExit(sidecar), qt.IsNil)
}

// occupyLinkPort listens on the link port of a machine's process, so that the process can't start.
func (t *testMesh) occupyLinkPort(machine *testMachine) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", machine.ip+":7640")
	t.Assert(err, qt.IsNil)
	return listener
}

// A process gets signals during its start, while it waits for its link port, which is in use. It survives SIGHUP and SIGUSR1, and shuts
// down in order after SIGTERM.
func TestSignalsDuringStart(t *testing.T) {
	mesh := newMesh(t, 6)
	mesh.waitReady()
	for _, name := range []string{"access-3", "core-c"} {
		machine := mesh.machines[name]
		mesh.kill(machine)
		occupied := mesh.occupyLinkPort(machine)
		mesh.start(machine)
		mesh.waitForSignalHandlers(machine)
		mesh.signal(machine, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		mesh.Assert(occupied.Close(), qt.IsNil)
		mesh.waitFor(name+" has started", func() bool {
			port, path := "8105", "/mesh/state"
			if machine.role == "access" {
				port, path = "8100", "/readiness"
			}
			status, _, err := mesh.get(machine, port, path)
			return err == nil && status == http.StatusOK
		})
		mesh.kill(machine)
		occupied = mesh.occupyLinkPort(machine)
		mesh.start(machine)
		mesh.waitForSignalHandlers(machine)
		mesh.signal(machine, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
		mesh.Assert(occupied.Close(), qt.IsNil)
		mesh.Check(mesh.waitForExit(machine), qt.IsNil, qt.Commentf("exit of %s after SIGTERM", name))
		mesh.start(machine)
	}
}

// A control-plane process gets extra signals while it hands over its vote. The hand-over completes, and no acknowledged change is lost.
func TestSignalsDuringHandOver(t *testing.T) {
	mesh := newMesh(t, 7)
	mesh.waitFirstConfiguration("", "k1")
	leaving, remaining := mesh.machines["core-a"], mesh.machines["core-b"]
	successor := mesh.startStandby("core-d", ".4", "a")
	mesh.waitFor("the successor is ready", func() bool {
		s, ok := mesh.controlState(successor)
		return ok && s.Ready
	})
	mesh.waitFor("configuration r2 is accepted", func() bool {
		return mesh.replaceConfiguration(1, mesh.configuration(2, "", "k2")) == http.StatusOK
	})
	mesh.signal(leaving, syscall.SIGTERM)
	mesh.signal(leaving, extraSignals...)
	time.Sleep(20 * time.Millisecond)
	mesh.signal(leaving, extraSignals...)
	mesh.Assert(mesh.waitForExit(leaving), qt.IsNil)
	mesh.waitForVoter(remaining, leaving, false)
	mesh.waitForVoter(remaining, successor, true)
	mesh.waitFor("the successor returns configuration r2", func() bool {
		return bytes.Equal(mesh.retrieveConfiguration(successor), mesh.configuration(2, "", "k2"))
	})
}

// If a server of a process fails, here because its listener is closed, while another server is serving a request, the process shuts down in
// order, so that the request is answered, and returns the error of the failed server.
func TestAServerThatFailsEndsTheProcessInOrder(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	failing := &process{settings: &settings.Settings{MemoryMB: 128}, log: log, serverErrors: make(chan error, 8)}
	listeners, err := failing.listenAll(t.Context(), anyPort(), anyPort())
	c.Assert(err, qt.IsNil)
	inFlight, release := make(chan struct{}), make(chan struct{})
	failing.serveHTTP(http.NotFoundHandler(), listeners[0])
	failing.serveHTTP(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(inFlight)
		<-release
	}), listeners[1])
	status := make(chan int, 1)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listeners[1].Addr().String(), nil)
	c.Assert(err, qt.IsNil)
	go func() {
		code, _, err := exchangeHTTP(http.DefaultClient, request)
		if err != nil {
			code = 0
		}
		status <- code
	}()
	<-inFlight
	c.Assert(listeners[0].Close(), qt.IsNil)
	c.Assert(failing.awaitTermination(), qt.ErrorMatches, `(?s).*serve 127\.0\.0\.1:.*`)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		failing.shutDownHTTPServers(ctx)
	}()
	close(release)
	c.Check(<-status, qt.Equals, http.StatusOK)
	<-ended
}
