package assembly

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/agent"
	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/controlplane"
	"quincegap/internal/mesh/operations/settings"
)

// httpCall is an HTTP request of the platform, an operator, an endpoint or a tool.
type httpCall struct {
	method, path string
	headers      []string // "Name: value"
	body         string
}

// transcribe makes calls, and returns a text of the calls and their answers: the status, the headers that callers read, and the body.
func transcribe(t *testing.T, handler http.Handler, calls ...httpCall) []byte {
	t.Helper()
	var text bytes.Buffer
	for _, call := range calls {
		fmt.Fprintf(&text, "> %s %s\n", call.method, call.path)
		request := httptest.NewRequestWithContext(t.Context(), call.method, call.path, strings.NewReader(call.body))
		for _, header := range call.headers {
			fmt.Fprintf(&text, "> %s\n", header)
			name, value, _ := strings.Cut(header, ": ")
			request.Header.Set(name, value)
		}
		switch {
		case len(call.body) > 4<<10:
			fmt.Fprintf(&text, "> (%d bytes)\n", len(call.body))
		case call.body != "":
			fmt.Fprintf(&text, "> %s\n", call.body)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, request)
		fmt.Fprintf(&text, "< %d\n", w.Code)
		for _, name := range []string{"Allow", "Content-Type", "Retry-After"} {
			if value := w.Header().Get(name); value != "" {
				fmt.Fprintf(&text, "< %s: %s\n", name, value)
			}
		}
		if body := strings.TrimSuffix(w.Body.String(), "\n"); body != "" {
			fmt.Fprintf(&text, "< %s\n", strings.ReplaceAll(body, "\n", "\n< "))
		}
		text.WriteByte('\n')
	}
	return text.Bytes()
}

const (
	// goldenConfig is a configuration with one service, one route and one tenant.
	goldenConfig = `{"configVersion":"r1","routeTable":[{"name":"read","hostName":"shop.example","pathPrefix":"/read/",` +
		`"routeKind":"idempotent","timeout":"2000ms","target":"500ms","priority":1,"serviceName":"desk","maxAttempts":2,` +
		`"publicAccess":false}],` +
		`"serviceTable":[{"name":"desk","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false}],` +
		`"limitSet":{"headerMaxBytes":16384,"bodyMaxBytes":100000,"headerTimeout":"3000ms","idleTimeout":"15000ms"},` +
		`"tenantTable":[{"name":"north","accessKeys":["k1"],"priority":1,"ratePerS":500,"burstSize":500}]}`
	goldenKeepalive = `{"serviceName":"s","address":"127.9.1.1:8103","zone":"z","slotCount":4,"state":"in_service","callSequence":1}`
)

func TestGoldenReadiness(t *testing.T) {
	sidecar := newTestSidecar(t)
	call := httpCall{method: "GET", path: "/readiness"}
	handler := http.HandlerFunc(sidecar.serveReadiness)
	text := append([]byte("without a configuration\n"), transcribe(t, handler, call)...)
	config, err := configuration.Parse([]byte(goldenConfig))
	qt.Assert(t, err, qt.IsNil)
	sidecar.outbound.Configure(config)
	calls := []httpCall{call, {method: "HEAD", path: "/"}, {method: "POST", path: "/other"}}
	text = append(append(text, "with a configuration\n"...), transcribe(t, handler, calls...)...)
	sidecar.local.shutDown()
	text = append(append(text, "about to end\n"...), transcribe(t, handler, call)...)
	golden.Text(t, "readiness.txt", text)
}

// The golden file has the answers of a sidecar's control address to the endpoint beside it, and to invalid input.
func TestGoldenAccessControl(t *testing.T) {
	sidecar := newTestSidecar(t)
	post := func(path, body string) httpCall { return httpCall{method: "POST", path: path, body: body} }
	golden.Text(t, "access-control.txt", transcribe(t, sidecar.agent.KeepaliveHandler(sidecar.local),
		post("/endpoints/i-1/keepalive", goldenKeepalive),
		post("/endpoints/i-1/keepalive", strings.Replace(goldenKeepalive, "8103", "9999", 1)),
		post("/endpoints/i-1/keepalive",
			`{"serviceName":"","address":"nowhere","slotCount":-1,"state":"elsewhere","coldRemaining":"long"}`),
		post("/endpoints/i-1/keepalive", `{`),
		post("/endpoints/i-1/keepalive", strings.Repeat(" ", 16<<10+1)),
		post("/endpoints/i-1/other", ""),
		httpCall{method: "GET", path: "/endpoints/i-1/keepalive"},
		httpCall{method: "GET", path: "/mesh/state"},
	))
}

// startControlPlane starts a control-plane process that is the only voter, and that listens on no address. Unlike controlPlane.open, it
// does not set controlplane.Options.Cores: the server would then wait for the number of voters that a first start requires.
func startControlPlane(t *testing.T) *controlPlane {
	t.Helper()
	core := newControlPlane(newTestProcess(t, &settings.Settings{
		Name:           "core-a",
		IP:             "127.9.2.1",
		Zone:           "z",
		InternalPorts:  [2]int{7401, 7401},
		ControlAddress: "127.9.2.1:8105",
		Seeds:          []string{"127.9.2.1:8105"},
		InitialStart:   true,
		DataDirectory:  t.TempDir(),
	}))
	var err error
	core.server, err = controlplane.Open(controlplane.Options{
		Self:         core.settings.ControlAddress,
		Seeds:        core.settings.Seeds,
		InitialStart: true,
		Folder:       core.settings.DataDirectory,
		Transport:    core.agent.ConsensusTransport(),
		Log:          core.log,
		OnCommit:     func(v consensus.Value) { core.agent.ApplyCommitted(uint64(v.Version), v.Body) },
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(core.server.Close)
	core.roles = core.agent.NewSingletonRoles(core.server, true)
	close(core.opened)
	core.run(core.agent.Run)
	core.run(core.roles.Run)
	return core
}

// awaitPage waits until a handler answers GET requests for a path with a body for which ok returns true.
func awaitPage(t *testing.T, handler http.Handler, path string, ok func(body []byte) bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
		if ok(w.Body.Bytes()) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("GET %s has no expected answer within 20 s; the last one was: %s", path, w.Body)
		}
	}
}

// awaitState waits until a core process has confirmed its state, holds the lease of the singleton role, and knows the given version of
// the configuration.
func awaitState(t *testing.T, handler http.Handler, version string) {
	t.Helper()
	awaitPage(t, handler, agent.StatePath, func(body []byte) bool {
		var s agent.State
		qt.Assert(t, json.Unmarshal(body, &s), qt.IsNil)
		return s.Confirmed && s.Ready && s.Version == version && len(s.Roles) == 1 && s.Roles[0].FencingToken > 0
	})
}

// awaitEvent waits until the event feed of a core process has an event of a kind.
func awaitEvent(t *testing.T, handler http.Handler, kind string) {
	t.Helper()
	awaitPage(t, handler, eventsPath, func(body []byte) bool {
		return bytes.Contains(body, []byte(`"kind":"`+kind+`"`))
	})
}

// varyingValues matches the values in answers that are different in each run: ages, remaining leases, epochs and times of day.
var varyingValues = regexp.MustCompile(`("(?:ageMs|leftMs|epoch)":)\d+|("time":)"[^"]*"`)

// replaceVaryingValues replaces the values that varyingValues matches by a constant.
func replaceVaryingValues(text []byte) []byte {
	return varyingValues.ReplaceAll(text, []byte(`${1}${2}"varies"`))
}

// eventCursor matches the cursor of an event in the feed of the process that startControlPlane starts.
var eventCursor = regexp.MustCompile(`"cursor":"2-\d+"`)

// removeMemberEvent removes the event that the process itself has become reachable, which is in the feed only if the machine is slow. It
// renumbers the cursors of the other events as if that event had not occurred.
func removeMemberEvent(text []byte) []byte {
	var lines [][]byte
	for _, line := range bytes.SplitAfter(text, []byte("\n")) {
		if !bytes.Contains(line, []byte(`"kind":"machine_in_touch"`)) {
			lines = append(lines, line)
		}
	}
	number := 0
	return eventCursor.ReplaceAllFunc(bytes.Join(lines, nil), func([]byte) []byte {
		number++
		return fmt.Appendf(nil, `"cursor":"2-%d"`, number)
	})
}

// The golden file has the answers of a core process's control address to operators, endpoints and tools, and to invalid input.
func TestGoldenCoreControl(t *testing.T) {
	core := startControlPlane(t)
	handler := core.handler()
	awaitState(t, handler, "0")
	replace := func(base, body string) httpCall {
		return httpCall{
			method:  "POST",
			path:    "/configuration/replace",
			headers: []string{"Base-Version: " + base},
			body:    body,
		}
	}
	get := func(path string) httpCall { return httpCall{method: "GET", path: path} }
	text := transcribe(t, handler,
		get("/configuration/retrieve"),
		replace("", goldenConfig),
		replace("1", goldenConfig),
		replace("r0", `{`),
		replace("r0", `{"configVersion":"r0"}`),
		replace("r0", strings.Replace(goldenConfig, `"desk","maxAttempts"`, `"board","maxAttempts"`, 1)),
		replace("r0", goldenConfig),
		replace("r0", goldenConfig),
		replace("r0", strings.Replace(goldenConfig, `"r1"`, `"r2"`, 1)),
	)
	awaitState(t, handler, "r1")
	awaitEvent(t, handler, "configuration_in_force")
	text = append(text, transcribe(t, handler,
		get("/configuration/retrieve"),
		get("/configuration/replace"),
		httpCall{method: "POST", path: "/configuration/retrieve"},
		get("/configuration/other"),
		get("/mesh/other"),
		httpCall{method: "POST", path: "/mesh/state"},
		httpCall{method: "POST", path: "/events"},
		get("/events?after=nothing"),
		get("/events"),
		httpCall{method: "GET", path: "/events?service=none", headers: []string{"Last-Event-ID: 0-x"}},
		httpCall{method: "POST", path: "/endpoints/i-9/keepalive", body: `{`},
		httpCall{method: "POST", path: "/endpoints/i-9/deregister"},
		get("/other"),
	)...)
	golden.Text(t, "core-control.txt", removeMemberEvent(replaceVaryingValues(text)))
}

// The golden file has the keys of a core process's state, which tools read.
func TestGoldenState(t *testing.T) {
	const file = "mesh-state.json"
	state := agent.State{
		Node:      "core-a",
		Version:   "r7",
		Confirmed: true,
		Voters:    []string{"127.0.0.1:8105"},
		Ready:     true,
		Roles: []agent.RoleState{{
			Name:         "allocator",
			Holder:       "127.0.0.1:7640",
			FencingToken: 3,
			RemainingMs:  1500,
		}, {Name: "idle"}},
		Members: []agent.MemberState{{
			Address: "127.0.0.1:7640",
			Zone:    "a",
			Role:    "access",
			Service: "desk",
			AgeMs:   20,
		}, {Role: "core"}},
		Endpoints: []agent.EndpointState{{
			ID:      "i-1",
			Service: "desk",
			Zone:    "a",
			State:   "in_service",
			Address: "127.0.0.1:8103",
			Sidecar: "127.0.0.1:7640",
			Slots:   4,
			LeaseMs: 9000,
		}},
	}
	text, err := json.MarshalIndent(state, "", "\t")
	qt.Assert(t, err, qt.IsNil)
	golden.Text(t, file, append(text, '\n'))
	written, err := os.ReadFile(filepath.Join("testdata", "golden", file))
	qt.Assert(t, err, qt.IsNil)
	var got agent.State
	qt.Assert(t, json.Unmarshal(written, &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, state)
}

// Other processes and the platform depend on these limits of size and time, so that a change of one must be intended.
func TestBoundsOfAProcess(t *testing.T) {
	qt.Assert(t, []int{largestRequestBytes, gcPercent, maxEndedIDs}, qt.DeepEquals, []int{71303168, 150, 16})
	qt.Assert(t, []float64{requestMemoryFraction, allRequestsMemoryFraction, answerMemoryFraction, heapFraction}, qt.DeepEquals,
		[]float64{0.3, 0.7, 0.06, 0.88})
	times := []time.Duration{
		settingsTimeout, listenTimeout, reloadInterval, releaseTimeout, handOverTimeout, httpTimeout, closeTimeout, drainTimeout,
		readinessNotice, answerMargin, exitMargin, shutdownPollInterval,
	}
	qt.Assert(t, times, qt.DeepEquals, slices.Concat([]time.Duration{5 * time.Second, 2 * time.Second, 5 * time.Second},
		[]time.Duration{300 * time.Millisecond, 2500 * time.Millisecond, time.Second, 500 * time.Millisecond, 400 * time.Millisecond},
		[]time.Duration{2400 * time.Millisecond, 900 * time.Millisecond, 250 * time.Millisecond, 20 * time.Millisecond}))
}
