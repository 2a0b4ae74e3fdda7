package meshctl

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const initialConfig = `{"configVersion":"r3","routeTable":[{"name":"a","hostName":"h","pathPrefix":"/a/","routeKind":"idempotent",` +
	`"timeout":"1s","target":"300ms","priority":1,"serviceName":"s","maxAttempts":1}],
"serviceTable":[{"name":"s","healthPath":"/health","connectionCap":9}],"tenantTable":[{"name":"t","accessKeys":["secret1"],"ratePerS":5}]}`

// newTestClient returns a client and its output. The client calls a core process that can't be reached first, and then the given one.
func newTestClient(t *testing.T, core http.HandlerFunc) (*Client, *strings.Builder) {
	t.Helper()
	server := httptest.NewServer(core)
	t.Cleanup(server.Close)
	var out strings.Builder
	line := CommandLine{Core: []string{"127.0.0.1:1", server.Listener.Addr().String()}}
	return line.Client(&out), &out
}

// newConfiguredClient returns a client and its output. The client's core process has a configuration, and answers each submitted one with
// the status that replace returns.
func newConfiguredClient(t *testing.T, replace func(base, body string) (status int)) (*Client, *strings.Builder) {
	t.Helper()
	return newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/configuration/retrieve":
			_, _ = io.WriteString(w, initialConfig)
		case "/mesh/state":
			_, _ = io.WriteString(w, `{"node":"core-1","confirmed":true,"endpoints":[{"id":"i","service":"s","state":"in_service"}]}`)
		default:
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Error(err)
			}
			w.WriteHeader(replace(r.Header.Get("Base-Version"), string(body)))
		}
	})
}

func TestApply(t *testing.T) {
	nextConfig := strings.NewReplacer(`"r3"`, `"r4"`, `"1s"`, `"2s"`, "secret1", "secret2").Replace(initialConfig)
	for name, test := range map[string]struct {
		file, base string
		status     int // status of the core process's answer
		exitCode   int
	}{
		"applied":         {nextConfig, "", 200, 0},
		"conflict":        {nextConfig, "r2", 412, ExitConflict},
		"no clear answer": {nextConfig, "", 503, ExitUnavailable},
		"invalid":         {strings.Replace(nextConfig, `"2s"`, `"0s"`, 1), "", 200, ExitInvalid},
		"refused":         {nextConfig, "", 400, ExitInvalid},
		"invalid version": {nextConfig, "12", 200, ExitInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(t.TempDir(), "c.json")
			c.Assert(os.WriteFile(file, []byte(test.file), 0o644), qt.IsNil)
			client, out := newConfiguredClient(t, func(base, body string) int {
				c.Check(body, qt.Equals, test.file)
				if test.base == "" {
					c.Check(base, qt.Equals, "r3")
				}
				return test.status
			})
			err := ConfigApplyCommand{File: file, Base: test.base}.Run(t.Context(), client)
			c.Assert(ExitCode(err), qt.Equals, test.exitCode, qt.Commentf("exit code for the error %v", err))
			if test.exitCode == 0 {
				c.Assert(out.String(), qt.Contains, "version r3 -> r4")
				c.Assert(out.String(), qt.Contains, "~ route h/a/")
				c.Assert(out.String(), qt.Contains, "tenant t: keys change")
			}
			c.Assert(strings.Contains(out.String(), "secret"), qt.IsFalse, qt.Commentf("a tenant's key is printed: %s", out))
		})
	}
}

func TestWhy(t *testing.T) {
	for name, test := range map[string]struct{ path, key, want string }{
		"no route":    {"/none/", "secret1", "404"},
		"endpoints":   {"/a/x", "secret1", "100% to s: 1 endpoints in service"},
		"unknown key": {"/a/x", "wrong", "401"},
	} {
		t.Run(name, func(t *testing.T) {
			client, out := newConfiguredClient(t, nil)
			qt.Assert(t, WhyCommand{Host: "h", Path: test.path, Key: test.key}.Run(t.Context(), client), qt.IsNil)
			qt.Assert(t, out.String(), qt.Contains, test.want)
		})
	}
}

// If the core process reports that it reaches no majority of the voters, the output for people has a warning.
func TestUnconfirmedState(t *testing.T) {
	for confirmed, warned := range map[string]bool{"true": false, "false": true} {
		t.Run("confirmed "+confirmed, func(t *testing.T) {
			client, out := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"node":"core-1","confirmed":`+confirmed+`,"members":[{"address":"10.0.0.1:1"}]}`)
			})
			qt.Assert(t, MembersCommand{}.Run(t.Context(), client), qt.IsNil)
			qt.Assert(t, strings.Contains(out.String(), "core-1 reaches no majority"), qt.Equals, warned)
			qt.Assert(t, out.String(), qt.Contains, "10.0.0.1:1")
		})
	}
}
