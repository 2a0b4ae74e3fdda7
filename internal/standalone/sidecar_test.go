package standalone

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qh3 "github.com/quic-go/quic-go/http3"

	"quincegap/internal/network/http1"
)

// eventTimeout is how long a test waits for an event before it fails.
const eventTimeout = 20 * time.Second

// settingsText has the settings of a platform with three classes: read is idempotent, book is idempotent with a key, and once is not
// idempotent.
const settingsText = `{"allowed":{"cancel":true,"connIdle":30000000,"connectTimeout":2000000,"maxRetryAfter":2000000,
	"mayProbe":true,"openCap":1000,"peers":false,"retryAfter":true,"secondCopies":false,"sendCap":5},
	"clientHabits":{"marksRetry":false},"discovery":"push","instances":1,"ordinal":0,"quantum":5000,"stage":0,
	"rules":{"cold":1000000,"coldFrom":0.3,"drainGrace":250000,"fall":1000000,"graceToAnswer":20000,"tipMultiple":3},
	"services":[
	{"name":"read","aim":9000000,"deadline":10000000,"effect":"read_like","gain":1,"window":0},
	{"name":"book","aim":9000000,"deadline":10000000,"effect":"idempotency_key","keyScope":"cell","gain":1,"window":10000000},
	{"name":"once","aim":9000000,"deadline":10000000,"effect":"non_idempotent","gain":1,"window":0}],
	"tenants":[],"tiers":["front"],"zones":["z"],"models":["m"]}`

// testSidecar is a sidecar on loopback sockets, with a discovery server that the test controls.
type testSidecar struct {
	t         *testing.T
	file      string // path of its configuration file
	server    *server
	url       string
	discovery *httptest.Server
	lists     chan string    // lines that the discovery server sends on the watch
	signals   chan os.Signal // signals that begin the shutdown
	reloads   chan os.Signal // signals that reload the configuration
	ended     chan error     // receives the result of server.run
	txn       atomic.Int64   // number in the latest request id
	h3        *qh3.Transport // caller's transport over HTTP/3; nil until client creates it
}

// startSidecar starts a sidecar without replicas that knows the given endpoints, and waits until it is ready. The sidecar ends with
// the test.
func startSidecar(t *testing.T, sockets int, targets ...listedEndpoint) *testSidecar {
	t.Helper()
	return startReplica(t, 1, sockets, targets...)
}

// startReplica starts a sidecar like startSidecar, as one of several replicas.
func startReplica(t *testing.T, instances, sockets int, targets ...listedEndpoint) *testSidecar {
	t.Helper()
	sidecar := &testSidecar{
		t: t, lists: make(chan string, 16), signals: make(chan os.Signal, 1),
		reloads: make(chan os.Signal, 1), ended: make(chan error, 1),
	}
	sidecar.discovery = httptest.NewServer(http.HandlerFunc(sidecar.serveLists))
	config := sidecar.configure(instances, sockets, targets)
	loop, err := newLoop(config)
	if err != nil {
		t.Fatal(err)
	}
	var listen net.ListenConfig
	listener, err := listen.Listen(t.Context(), "tcp", config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	if sidecar.server, err = newServer(config, loop, listener); err != nil {
		t.Fatal(err)
	}
	sidecar.url = "http://" + listener.Addr().String()
	go func() { sidecar.ended <- sidecar.server.run(listener.Addr(), sidecar.signals, sidecar.reloads) }()
	t.Cleanup(sidecar.close)
	sidecar.waitUntil("the sidecar is ready", func() bool { return sidecar.readiness() == http.StatusOK })
	return sidecar
}

// serveLists is the handler of the discovery server. It answers each request with a watch that sends the lines of s.lists.
func (s *testSidecar) serveLists(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	for {
		flush(w)
		select {
		case line := <-s.lists:
			write(w, line+"\n")
		case <-r.Context().Done():
			return
		}
	}
}

// configure writes the configuration file of the sidecar and loads it, with the protocols of the test that runs.
func (s *testSidecar) configure(instances, sockets int, targets []listedEndpoint) *Config {
	s.t.Helper()
	known, err := json.Marshal(endpointList{Rev: 1, All: true, Targets: targets})
	if err != nil {
		s.t.Fatal(err)
	}
	address := s.discovery.Listener.Addr().String()
	s.file = filepath.Join(s.t.TempDir(), "config.json")
	s.writeConfig(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		address, sockets, known,
		strings.Replace(settingsText, `"instances":1,`, fmt.Sprintf(`"instances":%d,`, instances), 1)))
	config, err := LoadConfig(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": s.file, "BALANCER_DISCOVERY": address}[name]
	})
	if err != nil {
		s.t.Fatal(err)
	}
	currentProtocols.apply(s.t, config)
	return config
}

// writeConfig replaces the sidecar's configuration file.
func (s *testSidecar) writeConfig(text string) {
	s.t.Helper()
	if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// close stops the sidecar and the discovery server.
func (s *testSidecar) close() {
	s.onLoop(func() { s.server.loop.watcher.stop() })
	close(s.reloads)
	for _, front := range s.server.fronts {
		closeQuietly(front)
	}
	s.discovery.CloseClientConnections()
	s.discovery.Close()
}

// http1Front returns the front for HTTP/1.1.
func (s *testSidecar) http1Front() *http1.Front { return s.server.fronts[0].(*http1.Front) }

// maxConnections returns how many connections the front for HTTP/1.1 accepts.
func (s *testSidecar) maxConnections() int {
	_, _, _, limit := s.http1Front().Counts()
	return limit
}

// waitUntil polls a condition until it holds, and fails the test if it does not within eventTimeout.
func (s *testSidecar) waitUntil(what string, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(eventTimeout); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("condition not met within %v: %s", eventTimeout, what)
		}
	}
}

// setShutdown sets how long the sidecar serves after SIGTERM, and how long before its end it closes idle connections.
func (s *testSidecar) setShutdown(serveFor, handOver time.Duration) {
	tuning := *s.server.tuning.Load()
	tuning.stop = Stop{KillGrace: serveFor + tuning.stop.KillMargin, KillMargin: tuning.stop.KillMargin, HandOver: handOver}
	s.server.tuning.Store(&tuning)
}

// onLoop runs a function in the loop's goroutine, which owns most state, and waits until it has returned.
func (s *testSidecar) onLoop(f func()) {
	done := make(chan bool)
	s.server.loop.post(func() { f(); close(done) })
	<-done
}

// announce sends a list, complete or a delta, on the watch.
func (s *testSidecar) announce(list endpointList) {
	s.t.Helper()
	line, err := json.Marshal(list)
	if err != nil {
		s.t.Fatal(err)
	}
	s.lists <- string(line)
}

// beginShutdown sends SIGTERM and waits until the shutdown has begun.
func (s *testSidecar) beginShutdown() {
	s.t.Helper()
	s.signals <- syscall.SIGTERM
	s.waitUntil("the shutdown has begun", func() bool { return s.server.shutdownAt.Load() != nil })
}

// waitForEnd waits for the sidecar to end without an error.
func (s *testSidecar) waitForEnd() {
	s.t.Helper()
	select {
	case err := <-s.ended:
		if err != nil {
			s.t.Errorf("the sidecar ended with an error: %v", err)
		}
	case <-time.After(eventTimeout):
		s.t.Errorf("the sidecar did not end within %v", eventTimeout)
	}
}
