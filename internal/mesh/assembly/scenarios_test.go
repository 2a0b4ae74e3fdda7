package assembly

import (
	"bytes"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Clients see the effects of a configuration, of access keys and of added routes, of an endpoint that drains and one that crashes, and of
// a new endpoint ID at the address of an earlier one.
func TestMeshServes(t *testing.T) {
	mesh := newMesh(t, 1)
	mesh.waitReady()
	a, id := mesh.send("access-2", "POST", "/book/one?x=1", "k2", []byte("booking"))
	mesh.Assert(a.status, qt.Equals, 200)
	mesh.Assert(a.body, qt.Matches, `i-access-[01] desk POST /book/one\?x=1 from board for "north": 7 bytes`)
	mesh.Assert(a.header.Get("Endpoint-Seal"), qt.Contains, id)
	for _, test := range []struct {
		path, key string
		status    int
	}{{"/read/x", "", 401}, {"/read/x", "nobody", 401}, {"/none/", "k1", 404}} {
		a, _ := mesh.send("access-0", "GET", test.path, test.key, nil)
		mesh.Assert(a.status, qt.Equals, test.status, qt.Commentf("test case %+v", test))
	}
	tooLarge, _ := mesh.send("access-0", "POST", "/book/x", "k1", make([]byte, 100001))
	mesh.Assert(tooLarge.status, qt.Equals, 413)
	largest, _ := mesh.send("access-0", "POST", "/book/x", "k1", make([]byte, 100000))
	mesh.Assert(largest.body, qt.Matches, ".*: 100000 bytes")
	mesh.Assert(largest.header.Get("Keep-Alive"), qt.Equals, "timeout=14")
	// One change removes an access key and adds a route. A configuration that can't be parsed, or whose base version is outdated, is never
	// applied.
	added := `,{"name":"new","hostName":"shop.example","pathPrefix":"/read/new/","routeKind":"idempotent",` +
		`"timeout":"1000ms","target":"300ms","priority":1,"serviceName":"desk","maxAttempts":1,"publicAccess":true}`
	mesh.Assert(mesh.replaceConfiguration(1, []byte(`{"configVersion":"r2","routeTable":[{`)), qt.Equals, 400)
	mesh.Assert(mesh.replaceConfiguration(1, mesh.configuration(3, added, "k1")), qt.Equals, 200)
	mesh.Assert(mesh.replaceConfiguration(1, mesh.configuration(4, "", "k2")), qt.Equals, 412)
	mesh.Assert(mesh.replaceConfiguration(1, mesh.configuration(3, added, "k1")), qt.Equals, 200) // an identical call is repeated
	acknowledged := time.Now()
	for name, x := range mesh.machines {
		if x.role == "access" {
			mesh.waitFor(name+" has applied the change", func() bool {
				a, _ := mesh.send(name, "GET", "/read/new/x", "", nil)
				b, _ := mesh.send(name, "GET", "/read/x", "k2", nil)
				return a.status == 200 && b.status == 401
			})
		}
	}
	mesh.Assert(time.Since(acknowledged) < 2500*time.Millisecond, qt.IsTrue,
		qt.Commentf("sidecars applied the change only %v after it was acknowledged", time.Since(acknowledged)))
	mesh.replaceEndpointsOfBoard()
}

// replaceEndpointsOfBoard drains and deregisters one of the two endpoints of the service board, and crashes the other. It then starts an
// endpoint with a new ID at the address of the first, and checks that it serves.
func (t *testMesh) replaceEndpointsOfBoard() {
	t.Helper()
	// While one endpoint is draining, callers use only the other one.
	t.Assert(t.applications["access-2"].Drain(), qt.IsTrue)
	t.waitFor("callers avoid the draining endpoint", func() bool {
		for range 20 {
			if a, _ := t.send("access-0", "GET", "/read/x", "k1", nil); a.status != 200 || strings.HasPrefix(a.body, "i-access-2 ") {
				return false
			}
		}
		return true
	})
	t.Assert(t.applications["access-2"].Deregister(), qt.IsTrue)
	// The other endpoint crashes, and an endpoint with a new ID starts at the address of the first.
	t.applications["access-3"].Crash()
	t.startApplication(t.machines["access-2"], "i-new")
	var last response
	defer func() {
		if t.Failed() {
			t.Logf("the last answer has status %d and body %s", last.status, last.body)
		}
	}()
	// A late keepalive of an ID that has ended has no effect.
	ip := t.machines["access-2"].ip
	late, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+ip+":8105/endpoints/i-access-2/keepalive",
		strings.NewReader(`{"serviceName":"board","address":"`+ip+`:8103","zone":"c","slotCount":4,"state":"in_service",`+
			`"callSequence":99}`))
	t.Assert(err, qt.IsNil)
	late.Header.Set("Content-Type", "application/json")
	_, _, err = exchangeHTTP(http.DefaultClient, late)
	t.Assert(err, qt.IsNil)
	t.waitFor("the new endpoint serves", func() bool {
		last, _ = t.send("access-1", "GET", "/read/x", "k1", nil)
		return strings.HasPrefix(last.body, "i-new ")
	})
}

// bookingClient is a client that sends non-idempotent requests, one after the other, to two sidecars in turn.
type bookingClient struct {
	mesh     *testMesh
	stop     chan struct{}  // closed by finish
	done     chan struct{}  // closed when run has ended
	statuses map[string]int // statuses of the answers by request ID; read only after done is closed
}

// startBookings starts a bookingClient.
func startBookings(mesh *testMesh) *bookingClient {
	b := &bookingClient{mesh: mesh, stop: make(chan struct{}), done: make(chan struct{}), statuses: map[string]int{}}
	go b.run()
	return b
}

// run sends requests until stop is closed.
func (b *bookingClient) run() {
	defer close(b.done)
	for i := 0; ; i++ {
		select {
		case <-b.stop:
			return
		default:
		}
		a, id := b.mesh.send([]string{"access-2", "access-3"}[i%2], "POST", "/book/x", "k1", []byte("b"))
		b.statuses[id] = a.status
	}
}

// finish stops the client, and checks that each request ran at most once, that each request with status 200 ran, and that no rejected
// request ran.
func (b *bookingClient) finish() {
	close(b.stop)
	<-b.done
	mesh := b.mesh
	mesh.Helper()
	runs := map[string]int{}
	for _, a := range mesh.applications {
		for id, n := range a.Executions() {
			runs[id] += n
		}
	}
	rejected, served := 0, 0
	for id, status := range b.statuses {
		mesh.Check(runs[id] <= 1, qt.IsTrue, qt.Commentf("booking %s ran %d times", id, runs[id]))
		switch status {
		case http.StatusOK:
			served++
			mesh.Check(runs[id], qt.Equals, 1)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			rejected++
			mesh.Check(runs[id], qt.Equals, 0, qt.Commentf("booking %s was rejected, but ran", id))
		}
	}
	mesh.Assert(served > 0, qt.IsTrue)
	mesh.Logf("%d bookings: %d served, %d rejected", len(b.statuses), served, rejected)
}

// Processes are killed and suspended under load. No non-idempotent request runs twice, and after each event requests are served again.
func TestMeshSurvivesCrashesOfItsProcesses(t *testing.T) {
	mesh := newMesh(t, 2)
	mesh.waitReady()
	load := startBookings(mesh)
	// The sidecar beside one of the two endpoints of the service desk is killed. After it has restarted, the other one is suspended.
	mesh.kill(mesh.machines["access-0"])
	mesh.waitServed("access-2", "/book/y")
	mesh.start(mesh.machines["access-0"])
	mesh.waitServed("access-0", "/read/y")
	mesh.signal(mesh.machines["access-1"], syscall.SIGSTOP)
	mesh.waitServed("access-2", "/book/z")
	mesh.signal(mesh.machines["access-1"], syscall.SIGCONT)
	// One control-plane process is killed, and a change is still accepted. Then all of them are killed, and their disks retain the change.
	mesh.kill(mesh.machines["core-b"])
	mesh.waitFor("a change is accepted without core-b", func() bool {
		return mesh.replaceConfiguration(1, mesh.configuration(5, "", "k1", "k3")) == http.StatusOK
	})
	for _, zone := range []string{"a", "c"} {
		mesh.kill(mesh.machines["core-"+zone])
	}
	mesh.waitServed("access-3", "/read/z")
	for _, zone := range coreZones {
		mesh.start(mesh.machines["core-"+zone])
	}
	mesh.waitFor("core-b returns the change", func() bool {
		return bytes.Equal(mesh.retrieveConfiguration(mesh.machines["core-b"]), mesh.configuration(5, "", "k1", "k3"))
	})
	// A disk is lost: the process has lost its promises as a voter, but the other processes retain theirs.
	mesh.kill(mesh.machines["core-a"])
	mesh.Assert(os.RemoveAll(mesh.dataDirectory(mesh.machines["core-a"])), qt.IsNil)
	mesh.start(mesh.machines["core-a"])
	mesh.waitFor("a change is accepted after core-a has lost its disk", func() bool {
		return mesh.replaceConfiguration(5, mesh.configuration(8, "", "k1", "k4")) == http.StatusOK
	})
	mesh.waitServed("access-2", "/book/w")
	mesh.waitFor("the new key is applied", func() bool {
		a, _ := mesh.send("access-2", "GET", "/read/x", "k4", nil)
		return a.status == http.StatusOK
	})
	load.finish()
}

// A sidecar that gets SIGTERM while requests are in flight answers all of them, and exits within the grace time.
func TestSidecarShutsDownGracefully(t *testing.T) {
	mesh := newMesh(t, 3)
	mesh.waitReady()
	before := len(mesh.applications["access-0"].Executions()) + len(mesh.applications["access-1"].Executions())
	release0 := mesh.applications["access-0"].Hold()
	release1 := mesh.applications["access-1"].Hold()
	answers := make(chan response, 4)
	for range 4 {
		go func() {
			a, _ := mesh.send("access-2", "GET", "/book/slow", "k1", nil)
			answers <- a
		}()
	}
	mesh.waitFor("the requests are in flight", func() bool {
		select {
		case a := <-answers:
			mesh.Fatalf("a request was answered too early, with status %d and body %s", a.status, a.body)
		default:
		}
		return len(mesh.applications["access-0"].Executions())+len(mesh.applications["access-1"].Executions()) == before+4
	})
	sidecar := mesh.machines["access-2"]
	mesh.Assert(sidecar.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	mesh.waitFor("access-2 reports that it is not ready", func() bool {
		status, _, err := mesh.get(sidecar, "8100", "/readiness")
		return err == nil && status == http.StatusServiceUnavailable
	})
	release0()
	release1()
	for range 4 {
		mesh.Assert((<-answers).status, qt.Equals, 200)
	}
	began := time.Now()
	mesh.Assert(mesh.waitForExit(sidecar), qt.IsNil)
	mesh.Assert(time.Since(began) < 6*time.Second, qt.IsTrue, qt.Commentf("the sidecar has not exited within the grace time"))
}
