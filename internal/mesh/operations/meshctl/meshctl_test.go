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

const before = `{"configVersion":"r3","routeTable":[{"name":"a","hostName":"h","pathPrefix":"/a/","routeKind":"idempotent","timeout":"1s","target":"300ms","priority":1,"serviceName":"s","maxAttempts":1}],
"serviceTable":[{"name":"s","healthPath":"/health","connectionCap":9}],"tenantTable":[{"name":"t","accessKeys":["secret1"],"ratePerS":5}]}`

func fakeCore(t *testing.T, replace func(base string, body string) int) *Client {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch q.URL.Path {
		case "/configuration/retrieve":
			io.WriteString(w, before)
		case "/mesh/state":
			io.WriteString(w, `{"node":"core-1","confirmed":true,"endpoints":[{"id":"i","service":"s","state":"in_service"}]}`)
		default:
			body, _ := io.ReadAll(q.Body)
			w.WriteHeader(replace(q.Header.Get("Base-Version"), string(body)))
		}
	}))
	t.Cleanup(s.Close)
	l := CommandLine{Core: []string{"127.0.0.1:1", s.Listener.Addr().String()}} // the first one is away
	return l.Client(&strings.Builder{})
}

func TestApply(t *testing.T) {
	after := strings.NewReplacer(`"r3"`, `"r4"`, `"1s"`, `"2s"`, "secret1", "secret2").Replace(before)
	for name, x := range map[string]struct {
		file, base string
		status     int
		code       int
	}{
		"taken":          {after, "", 200, 0},
		"lost its race":  {after, "r2", 412, ExitConflict},
		"no clear word":  {after, "", 503, ExitUnavailable},
		"can't be used":  {strings.Replace(after, `"2s"`, `"0s"`, 1), "", 200, ExitInvalid},
		"refused":        {after, "", 400, ExitInvalid},
		"no such number": {after, "12", 200, ExitInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(t.TempDir(), "c.json")
			c.Assert(os.WriteFile(file, []byte(x.file), 0o644), qt.IsNil)
			client := fakeCore(t, func(base, body string) int {
				c.Check(body, qt.Equals, x.file)
				if x.base == "" {
					c.Check(base, qt.Equals, "r3")
				}
				return x.status
			})
			err := ConfigApplyCommand{File: file, Base: x.base}.Run(client)
			c.Assert(ExitCode(err), qt.Equals, x.code, qt.Commentf("%v", err))
			out := client.Output.(*strings.Builder).String()
			if x.code == 0 {
				c.Assert(out, qt.Contains, "version r3 -> r4")
				c.Assert(out, qt.Contains, "~ route h/a/")
				c.Assert(out, qt.Contains, "tenant t: keys change")
			}
			c.Assert(strings.Contains(out, "secret"), qt.IsFalse)
		})
	}
}

func TestWhy(t *testing.T) {
	c := qt.New(t)
	client := fakeCore(t, nil)
	for path, want := range map[string]string{"/none/": "404", "/a/x": "100% to s: 1 endpoints in service"} {
		c.Assert(WhyCommand{Host: "h", Path: path, Key: "secret1"}.Run(client), qt.IsNil)
		c.Assert(client.Output.(*strings.Builder).String(), qt.Contains, want)
	}
	c.Assert(WhyCommand{Host: "h", Path: "/a/x", Key: "wrong"}.Run(client), qt.IsNil)
	c.Assert(client.Output.(*strings.Builder).String(), qt.Contains, "401")
}

// A core process that reaches no majority says so, and people are told; programs find it in the JSON.
func TestUnconfirmedState(t *testing.T) {
	c := qt.New(t)
	for confirmed, told := range map[string]bool{"true": false, "false": true} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, `{"node":"core-1","confirmed":`+confirmed+`,"members":[{"address":"10.0.0.1:1"}]}`)
		}))
		defer s.Close()
		out := &strings.Builder{}
		client := (&CommandLine{Core: []string{s.Listener.Addr().String()}}).Client(out)
		c.Assert(MembersCommand{}.Run(client), qt.IsNil)
		c.Assert(strings.Contains(out.String(), "core-1 reaches no majority"), qt.Equals, told)
		c.Assert(out.String(), qt.Contains, "10.0.0.1:1")
	}
}
