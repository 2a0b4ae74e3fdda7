package meshctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/agent"
)

// goldenState returns the state that a core process reports, with a value in each field.
func goldenState(confirmed bool) agent.State {
	return agent.State{
		Node: "core-1", Version: "r12", Confirmed: confirmed, Voters: []string{"10.1.0.44:8105", "10.2.0.35:8105"}, Ready: true,
		Roles: []agent.RoleState{{Name: "allocator", Holder: "10.1.0.44:7640", FencingToken: 9, RemainingMs: 1500}},
		Members: []agent.MemberState{
			{Address: "10.1.0.40:7640", Zone: "north-a", Role: "access", Service: "orders", AgeMs: 1040},
			{Address: "10.1.0.44:7640", Zone: "north-a", Role: "core"},
		},
		Endpoints: []agent.EndpointState{
			{
				ID: "ep-1", Service: "orders", Zone: "north-a", State: "in_service",
				Address: "10.1.0.40:8103", Sidecar: "10.1.0.40:7640", Slots: 12, LeaseMs: 9000,
			},
			{
				ID: "ep-2", Service: "orders", Zone: "south-b", State: "draining",
				Address: "10.1.0.41:8103", Sidecar: "10.1.0.41:7640", Slots: 4, LeaseMs: 500,
			},
			{
				ID: "ep-3", Service: "carts", Zone: "south-b", State: "crashed",
				Address: "10.1.0.42:8103", Sidecar: "10.1.0.42:7640", Slots: 4,
			},
		},
	}
}

// goldenCore starts a server that stands in for a core process, and returns its address. The server answers with a fixed state, with the
// configuration in a file under testdata and the status retrieveStatus, and with the status replaceStatus to each change.
func goldenCore(t *testing.T, confirmed bool, retrieveStatus, replaceStatus int) string {
	t.Helper()
	config, err := os.ReadFile("testdata/before.json")
	qt.Assert(t, err, qt.IsNil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /configuration/retrieve":
			w.WriteHeader(retrieveStatus)
			_, _ = w.Write(config)
		case "GET /mesh/state":
			_ = json.NewEncoder(w).Encode(goldenState(confirmed))
		case "POST /configuration/replace":
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(replaceStatus)
			_, _ = fmt.Fprintf(w, "base %s\n", r.Header.Get("Base-Version"))
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// The golden files have the output of each command for people and for programs, with its error and exit code.
func TestGoldenOutput(t *testing.T) {
	for name, test := range map[string]struct {
		confirmed                     bool
		retrieveStatus, replaceStatus int
		commands                      []string
	}{
		"commands": {true, 200, 200, []string{
			"members", "--json members", "endpoints", "endpoints --service carts", "--json endpoints --service carts",
			"duties", "--json duties", "config get", "config check testdata/after.json", "config check testdata/bad.json",
			"config diff testdata/after.json", "config apply testdata/after.json", "config apply --base r2 testdata/after.json",
			"config apply --base 2 testdata/after.json", "why h.example /none/", "why h.example /a/x --key secret1",
			"why h.example /a/x --key wrong", "why h.example /open/x", "why h.example /split/ --key secret2",
		}},
		"conflict":    {true, 200, 412, []string{"config apply testdata/after.json"}},
		"refused":     {true, 200, 400, []string{"config apply testdata/after.json"}},
		"unclear":     {true, 200, 408, []string{"config apply testdata/after.json"}},
		"none":        {true, 404, 200, []string{"config get", "config diff testdata/after.json", "why h.example /a/x"}},
		"unconfirmed": {false, 200, 200, []string{"members", "--json members", "duties"}},
		"unreachable": {true, 503, 200, []string{"config get"}},
	} {
		t.Run(name, func(t *testing.T) {
			address := goldenCore(t, test.confirmed, test.retrieveStatus, test.replaceStatus)
			folder, err := filepath.Abs(".")
			qt.Assert(t, err, qt.IsNil)
			var lines strings.Builder
			for _, command := range test.commands {
				var line CommandLine
				parser, err := kong.New(&line, kong.Name("meshctl"), kong.BindTo(t.Context(), (*context.Context)(nil)))
				qt.Assert(t, err, qt.IsNil)
				parsed, err := parser.Parse(append([]string{"--core", address}, strings.Fields(command)...))
				qt.Assert(t, err, qt.IsNil)
				var out strings.Builder
				err = parsed.Run(line.Client(&out))
				fmt.Fprintf(&lines, "$ meshctl %s\n%s", command, out.String())
				if err != nil {
					fmt.Fprintf(&lines, "error: %s\n", strings.ReplaceAll(trace.UserMessage(err), address, "ADDRESS"))
				}
				fmt.Fprintf(&lines, "exit code %d\n", ExitCode(err))
			}
			golden.Text(t, filepath.Join("output", name+".txt"), []byte(strings.ReplaceAll(lines.String(), folder+"/", "")))
		})
	}
}

// A command line that cannot be parsed is an invalid one; help is no error.
func TestUsageExitCode(t *testing.T) {
	for arguments, want := range map[string]int{
		"--core a --unknown members": ExitInvalid, "--core a": ExitInvalid, "--core a config apply /no/such/file": ExitInvalid, "--help": 0,
	} {
		var line CommandLine
		code := 0
		parser, err := kong.New(&line, kong.Name("meshctl"), kong.Writers(io.Discard, io.Discard),
			kong.Exit(func(kongCode int) { code = UsageExitCode(kongCode) }))
		qt.Assert(t, err, qt.IsNil)
		_, err = parser.Parse(strings.Fields(arguments))
		if arguments != "--help" { // it ends the program amid Parse
			parser.FatalIfErrorf(err)
		}
		qt.Check(t, code, qt.Equals, want, qt.Commentf("exit code of meshctl %s", arguments))
	}
}

// The golden file has the commands, flags and environment variables that people and scripts use.
func TestGoldenUsage(t *testing.T) {
	t.Setenv("COLUMNS", "80") // kong wraps lines at this width
	var lines strings.Builder
	for _, command := range []string{
		"", "config", "config get", "config check", "config diff", "config apply", "members", "endpoints", "duties", "why",
	} {
		var line CommandLine
		parser, err := kong.New(&line, kong.Name("meshctl"), kong.Writers(&lines, &lines), kong.Exit(func(int) {}))
		qt.Assert(t, err, qt.IsNil)
		fmt.Fprintf(&lines, "$ meshctl %s --help\n", command)
		_, _ = parser.Parse(append(strings.Fields(command), "--help")) // with --help, missing arguments are no failure of the command line
	}
	golden.Text(t, "usage.txt", []byte(lines.String()))
	qt.Assert(t, []int{ExitInvalid, ExitConflict, ExitUnavailable}, qt.DeepEquals, []int{2, 3, 4})
}
