package assembly

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/lifecycle"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/standin/application"
)

// The test program is also the two programs that it tests, by the role in its environment.
func TestMain(m *testing.M) {
	run := map[string]func(string, lifecycle.Signals) error{"access": RunSidecar, "core": RunControlPlane}[os.Getenv("MESH_TEST_ROLE")]
	if run == nil {
		http.DefaultClient.Timeout = 10 * time.Second // a process that never answers fails its test
		os.Exit(m.Run())
	}
	signals := lifecycle.Catch()
	if err := os.WriteFile(os.Getenv("MESH_TEST_CAUGHT"), nil, 0o644); err != nil {
		panic(err)
	}
	if err := run(os.Getenv(settings.EnvironmentVariable), signals); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// testMesh is a small system of real processes on loopback, each machine with an address of its own.
type testMesh struct {
	*qt.C
	folder       string
	subnet       string // the first three numbers of its addresses
	machines     map[string]*testMachine
	applications map[string]*application.Endpoint
	limits       string // further lines of limitSet
	bounds       string // lines of boundSet
	requestCount int
	mu           sync.Mutex
}

type testMachine struct {
	name, role, ip, zone, service string
	initial                       bool
	cmd                           *exec.Cmd
}

// newMesh starts one; its addresses are of this test process alone, so that several may run on a machine.
func newMesh(t *testing.T, n int) *testMesh { return newMeshWith(t, n, "", "") }

// newMeshWith is newMesh with further lines of the settings' limitSet and boundSet.
func newMeshWith(t *testing.T, n int, limits, bounds string) *testMesh {
	net := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%80*3+n)
	m := &testMesh{
		C: qt.New(t), folder: t.TempDir(), subnet: net, machines: map[string]*testMachine{}, applications: map[string]*application.Endpoint{},
		limits: limits, bounds: bounds,
	}
	t.Cleanup(func() {
		for _, x := range m.machines {
			m.kill(x)
		}
		for _, a := range m.applications {
			a.Crash()
		}
	})
	for i, zone := range []string{"a", "b", "c"} {
		m.addMachine("core-"+zone, "core", fmt.Sprintf("%s.%d", net, i+1), zone, "")
	}
	for i, service := range []string{"desk", "desk", "board", "board"} {
		m.addMachine(fmt.Sprintf("access-%d", i), "access", fmt.Sprintf("%s.%d", net, i+11), string(rune('a'+i%3)), service)
	}
	return m
}

func (t *testMesh) addMachine(name, role, ip, zone, service string) {
	x := &testMachine{name: name, role: role, ip: ip, zone: zone, service: service, initial: true}
	t.machines[name] = x
	t.start(x)
	if service != "" {
		t.startApplication(x, "i-"+name)
	}
}

// startApplication starts the endpoint on a machine.
func (t *testMesh) startApplication(x *testMachine, id string) {
	a, err := application.Start(application.Options{
		ID: id, Service: x.service, Zone: x.zone, Address: x.ip + ":8103", Slots: 4,
		Outbound: x.ip + ":8106", Control: []string{x.ip + ":8105", t.subnet + ".1:8105", t.subnet + ".2:8105"}, Every: 150 * time.Millisecond,
	})
	t.Assert(err, qt.IsNil)
	t.applications[x.name] = a
}

func (t *testMesh) start(x *testMachine) {
	data := ""
	if x.role == "core" {
		folder := filepath.Join(t.folder, x.name)
		t.Assert(os.MkdirAll(folder, 0o755), qt.IsNil)
		data = fmt.Sprintf("dataDirectory = %q\n", folder)
	}
	path := filepath.Join(t.folder, x.name+".toml")
	text := fmt.Sprintf("[ownNode]\nnodeName = %q\nrole = %q\nipAddress = %q\nzone = %q\nregion = \"r\"\ninitialStart = %v\n%s",
		x.name, x.role, x.ip, x.zone, x.initial, data)
	if x.role == "access" {
		text += fmt.Sprintf("applicationAddr = \"%s:8103\"\nserviceName = %q\n", x.ip, x.service)
	}
	text += fmt.Sprintf("[ownNode.limitSet]\nmemoryMb = 280\n%s[network]\ninternalPorts = [7640, 7655]\nseedNodes = [\"%s.1:8105\", \"%s.2:8105\", \"%s.3:8105\"]\n"+
		"[network.listenAddresses]\ncontrol = \"%s:8105\"\noutbound = \"%s:8106\"\nreadiness = \"%s:8100\"\n[network.zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n[termTable.boundSet]\n%s",
		t.limits, t.subnet, t.subnet, t.subnet, x.ip, x.ip, x.ip, t.bounds)
	t.Assert(os.WriteFile(path, []byte(text), 0o644), qt.IsNil)
	_ = os.Remove(t.signalsFile(x))
	x.cmd = exec.Command(os.Args[0])
	x.cmd.Env = append(os.Environ(), "MESH_TEST_ROLE="+x.role, settings.EnvironmentVariable+"="+path, "MESH_TEST_CAUGHT="+t.signalsFile(x))
	x.cmd.Stderr = os.Stderr
	t.Assert(x.cmd.Start(), qt.IsNil)
	x.initial = false
}

// signalsFile is made by a machine's process once it catches signals.
func (t *testMesh) signalsFile(x *testMachine) string {
	return filepath.Join(t.folder, x.name+".caught")
}

func (t *testMesh) kill(x *testMachine) {
	if x.cmd != nil {
		_ = x.cmd.Process.Kill()
		_ = x.cmd.Wait()
		x.cmd = nil
	}
}

// waitFor waits for something, at most twenty seconds.
func (t *testMesh) waitFor(what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); {
		if time.Now().After(end) {
			for _, zone := range []string{"a", "b", "c"} {
				if r, err := http.Get("http://" + t.machines["core-"+zone].ip + ":8105/mesh/state"); err == nil {
					state, _ := io.ReadAll(r.Body)
					r.Body.Close()
					t.Logf("core-%s: %s", zone, state)
				}
			}
			t.Fatalf("%s: not within twenty seconds", what)
		}
		select {
		case <-t.applications["access-0"].Acked():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

type response struct {
	status int
	body   string
	header http.Header
}

// send sends a request by a machine's sidecar, on a connection of its own.
func (t *testMesh) send(name, method, path, key string, body []byte) (a response, id string) {
	t.mu.Lock()
	t.requestCount++
	id = fmt.Sprintf("%016x", t.requestCount)
	t.mu.Unlock()
	q, err := http.NewRequest(method, "http://"+t.machines[name].ip+":8106"+path, bytes.NewReader(body))
	t.Check(err, qt.IsNil)
	q.Host = "shop.example"
	q.Close = true
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Time-Remaining", "2000")
	if key != "" {
		q.Header.Set("Key", key)
	}
	client := http.Client{Timeout: 5 * time.Second}
	r, err := client.Do(q)
	if err != nil {
		return response{status: -1, body: err.Error()}, id
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return response{status: -1, body: err.Error()}, id
	}
	return response{r.StatusCode, string(text), r.Header}, id
}

// configuration is a configuration with routes for reading and booking, and what a change adds.
func (t *testMesh) configuration(version int, extra string, keys ...string) []byte {
	k, _ := json.Marshal(keys)
	return []byte(fmt.Sprintf(`{"configVersion":"r%d","routeTable":[
		{"name":"read","hostName":"shop.example","pathPrefix":"/read/","routeKind":"idempotent","timeout":"2000ms","target":"500ms","priority":1,"serviceName":"board","maxAttempts":2,"publicAccess":false},
		{"name":"book","hostName":"shop.example","pathPrefix":"/book/","routeKind":"non_idempotent","timeout":"2000ms","target":"500ms","priority":1,"serviceName":"desk","maxAttempts":2,"publicAccess":false}%s],
		"serviceTable":[{"name":"desk","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false},{"name":"board","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false}],
		"limitSet":{"headerMaxBytes":16384,"bodyMaxBytes":100000,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
		"tenantTable":[{"name":"north","accessKeys":%s,"priority":1,"ratePerS":500,"burstSize":500}]}`, version, extra, k))
}

// longRoute is a further route, whose requests may take long.
const longRoute = `,{"name":"long","hostName":"shop.example","pathPrefix":"/book/long/","routeKind":"non_idempotent",` +
	`"timeout":"15000ms","target":"300ms","priority":1,"serviceName":"desk","maxAttempts":2,"publicAccess":false}`

// replaceConfiguration has an operator replace the configuration at any core process that answers; without a clear answer it is repeated unchanged,
// as operators do.
func (t *testMesh) replaceConfiguration(base int, config []byte) (status int) {
	client := http.Client{Timeout: 3 * time.Second}
	for range 10 {
		for _, zone := range []string{"a", "b", "c"} {
			x := t.machines["core-"+zone]
			if x.cmd == nil {
				continue
			}
			q, _ := http.NewRequest("POST", "http://"+x.ip+":8105/configuration/replace", bytes.NewReader(config))
			q.Header.Set("Base-Version", fmt.Sprintf("r%d", base))
			if r, err := client.Do(q); err == nil {
				r.Body.Close()
				if status = r.StatusCode; status < 500 && status != 408 && status != 429 {
					return status
				}
			}
		}
	}
	return status
}

func (t *testMesh) waitReady() {
	t.waitFor("the first configuration", func() bool { return t.replaceConfiguration(0, t.configuration(1, "", "k1", "k2")) == 200 })
	for name, x := range t.machines {
		if x.role != "access" {
			continue
		}
		for _, path := range []string{"/read/x", "/book/x"} {
			t.waitFor(name+" serves "+path, func() bool { a, _ := t.send(name, "GET", path, "k1", nil); return a.status == 200 })
		}
	}
}

// A configuration, beats, keys, routes that come and go, a drain, a crash and a new life at one address, as clients see them.
func TestMeshServes(t *testing.T) {
	m := newMesh(t, 1)
	m.waitReady()
	a, id := m.send("access-2", "POST", "/book/one?x=1", "k2", []byte("booking"))
	m.Assert(a.status, qt.Equals, 200)
	m.Assert(a.body, qt.Matches, `i-access-[01] desk POST /book/one\?x=1 from board for "north": 7 bytes`)
	m.Assert(a.header.Get("Endpoint-Seal"), qt.Contains, id)
	for _, x := range []struct {
		path, key string
		status    int
	}{{"/read/x", "", 401}, {"/read/x", "nobody", 401}, {"/none/", "k1", 404}} {
		a, _ := m.send("access-0", "GET", x.path, x.key, nil)
		m.Assert(a.status, qt.Equals, x.status, qt.Commentf("%+v", x))
	}
	big, _ := m.send("access-0", "POST", "/book/x", "k1", make([]byte, 100001))
	m.Assert(big.status, qt.Equals, 413)
	whole, _ := m.send("access-0", "POST", "/book/x", "k1", make([]byte, 100000))
	m.Assert(whole.body, qt.Matches, ".*: 100000 bytes")
	m.Assert(whole.header.Get("Keep-Alive"), qt.Equals, "timeout=14")
	// A key goes, a route comes; what is refused, lost its race or can't be used is never in force.
	added := `,{"name":"new","hostName":"shop.example","pathPrefix":"/read/new/","routeKind":"idempotent","timeout":"1000ms","target":"300ms","priority":1,"serviceName":"desk","maxAttempts":1,"publicAccess":true}`
	m.Assert(m.replaceConfiguration(1, []byte(`{"configVersion":"r2","routeTable":[{`)), qt.Equals, 400)
	m.Assert(m.replaceConfiguration(1, m.configuration(3, added, "k1")), qt.Equals, 200)
	m.Assert(m.replaceConfiguration(1, m.configuration(4, "", "k2")), qt.Equals, 412)
	m.Assert(m.replaceConfiguration(1, m.configuration(3, added, "k1")), qt.Equals, 200) // the same once more
	acked := time.Now()
	for name, x := range m.machines {
		if x.role == "access" {
			m.waitFor(name+" follows", func() bool {
				a, _ := m.send(name, "GET", "/read/new/x", "", nil)
				b, _ := m.send(name, "GET", "/read/x", "k2", nil)
				return a.status == 200 && b.status == 401
			})
		}
	}
	m.Assert(time.Since(acked) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(acked)))
	// One endpoint drains: callers turn to the other, and it gets nothing more.
	m.Assert(m.applications["access-2"].Drain(), qt.IsTrue)
	m.waitFor("callers turn away from what drains", func() bool {
		for range 20 {
			if a, _ := m.send("access-0", "GET", "/read/x", "k1", nil); a.status != 200 || strings.HasPrefix(a.body, "i-access-2 ") {
				return false
			}
		}
		return true
	})
	m.Assert(m.applications["access-2"].Leave(), qt.IsTrue)
	// The other crashes, and a new life begins at the first one's address.
	m.applications["access-3"].Crash()
	m.startApplication(m.machines["access-2"], "i-new")
	var last response
	defer func() {
		if t.Failed() {
			t.Logf("last %d %s", last.status, last.body)
		}
	}()
	// A late beat of the life that is over changes nothing.
	late, err := http.Post("http://"+m.machines["access-2"].ip+":8105/endpoints/i-access-2/keepalive", "application/json",
		strings.NewReader(`{"serviceName":"board","address":"`+m.machines["access-2"].ip+`:8103","zone":"c","slotCount":4,"state":"in_service","callSequence":99}`))
	m.Assert(err, qt.IsNil)
	late.Body.Close()
	m.waitFor("the new life serves", func() bool {
		last, _ = m.send("access-1", "GET", "/read/x", "k1", nil)
		return strings.HasPrefix(last.body, "i-new ")
	})
}

// Processes are killed and stand still while clients ask: what must not run twice never does, and the rest is served again
// within seconds.
func TestMeshSurvivesCrashesOfItsProcesses(t *testing.T) {
	m := newMesh(t, 2)
	m.waitReady()
	stop, done := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	ids := map[string]int{} // of bookings, with their status
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			a, id := m.send([]string{"access-2", "access-3"}[i%2], "POST", "/book/x", "k1", []byte("b"))
			mu.Lock()
			ids[id] = a.status
			mu.Unlock()
		}
	}()
	served := func(name, path string) {
		var last response
		defer func() {
			if t.Failed() {
				t.Logf("%s %s: last %d %s %v", name, path, last.status, last.body, last.header)
			}
		}()
		m.waitFor(name+" serves "+path, func() bool {
			last, _ = m.send(name, "GET", path, "k1", nil)
			return last.status == 200
		})
	}
	// The sidecar beside one of two desks is killed; then the other stands still while the first is back.
	m.kill(m.machines["access-0"])
	served("access-2", "/book/y")
	m.start(m.machines["access-0"])
	served("access-0", "/read/y")
	_ = m.machines["access-1"].cmd.Process.Signal(syscall.SIGSTOP)
	served("access-2", "/book/z")
	_ = m.machines["access-1"].cmd.Process.Signal(syscall.SIGCONT)
	// One of the core is killed, and a change still goes through; then all of it, at once, and its disks hold the change.
	m.kill(m.machines["core-b"])
	m.waitFor("a change with one of the core gone", func() bool { return m.replaceConfiguration(1, m.configuration(5, "", "k1", "k3")) == 200 })
	for _, zone := range []string{"a", "c"} {
		m.kill(m.machines["core-"+zone])
	}
	served("access-3", "/read/z")
	for _, zone := range []string{"a", "b", "c"} {
		m.start(m.machines["core-"+zone])
	}
	m.waitFor("the change is read back", func() bool {
		r, err := http.Get("http://" + m.machines["core-b"].ip + ":8105/configuration/retrieve")
		if err != nil {
			return false
		}
		defer r.Body.Close()
		body, _ := io.ReadAll(r.Body)
		return r.StatusCode == 200 && bytes.Equal(body, m.configuration(5, "", "k1", "k3"))
	})
	// A disk is lost: the process remembers nothing of what it promised, and the others' word stands.
	m.kill(m.machines["core-a"])
	m.Assert(os.RemoveAll(filepath.Join(m.folder, "core-a")), qt.IsNil)
	m.start(m.machines["core-a"])
	m.waitFor("a change with a lost disk", func() bool { return m.replaceConfiguration(5, m.configuration(8, "", "k1", "k4")) == 200 })
	served("access-2", "/book/w")
	m.waitFor("the new key is in force", func() bool { a, _ := m.send("access-2", "GET", "/read/x", "k4", nil); return a.status == 200 })
	close(stop)
	<-done
	runs := map[string]int{}
	for _, a := range m.applications {
		for id, n := range a.Runs() {
			runs[id] += n
		}
	}
	refused, ok := 0, 0
	for id, status := range ids {
		m.Check(runs[id] <= 1, qt.IsTrue, qt.Commentf("booking %s ran %d times", id, runs[id]))
		switch status {
		case 200:
			ok++
			m.Check(runs[id], qt.Equals, 1)
		case 503, 429:
			refused++
			m.Check(runs[id], qt.Equals, 0, qt.Commentf("booking %s was refused and ran", id))
		}
	}
	m.Assert(ok > 0, qt.IsTrue)
	t.Logf("%d bookings: %d served, %d refused", len(ids), ok, refused)
}

// SIGTERM with requests under way: all of them are answered, and the process ends by itself before the grace is over.
func TestSidecarShutsDownGracefully(t *testing.T) {
	m := newMesh(t, 3)
	m.waitReady()
	before := len(m.applications["access-0"].Runs()) + len(m.applications["access-1"].Runs())
	release := m.applications["access-0"].Hold()
	other := m.applications["access-1"].Hold()
	answers := make(chan response, 4)
	for range 4 {
		go func() {
			a, _ := m.send("access-2", "GET", "/book/slow", "k1", nil)
			answers <- a
		}()
	}
	m.waitFor("requests are under way", func() bool {
		select {
		case a := <-answers:
			m.Fatalf("a request was answered %d %s", a.status, a.body)
		default:
		}

		return len(m.applications["access-0"].Runs())+len(m.applications["access-1"].Runs()) == before+4
	})
	x := m.machines["access-2"]
	m.Assert(x.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	m.waitFor("it says that it is not ready", func() bool {
		r, err := http.Get("http://" + x.ip + ":8100/readiness")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == 503
	})
	release()
	other()
	for range 4 {
		m.Assert((<-answers).status, qt.Equals, 200)
	}
	ended := make(chan error, 1)
	go func() { ended <- x.cmd.Wait() }()
	select {
	case err := <-ended:
		m.Assert(err, qt.IsNil)
		x.cmd = nil
	case <-time.After(6 * time.Second):
		t.Fatal("it has not ended within the grace time")
	}
}
