package tool

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// routedFile is the file of an application with three routes.
const routedFile = `[sidecar]
application = "front.example.org"
listen = "127.0.0.1:8080"
[discovery]
address = "127.0.0.1:9000"
[limits]
cores = 1
memory = "64MiB"
[class.find]
aim = "1s"
deadline = "3s"
effect = "safe"
[class.book]
aim = "2500ms"
deadline = "6s"
effect = "keyed"
key_scope = "cell"
key_window = "10s"
[attempts]
most_attempts = 4
[route.trips]
match_path = "/trips/{rest...}"
whole_time = "2s"
route_attempts = 2
[route.new]
match_path = "/trips/new"
attempt_time = "500ms"
retry_share = 0.1
[route.closed]
match_path = "/closed"
serve = false
`

// The command route prints the route of a request, why the other routes do not match, and each setting with the line that sets it.
func TestRouteCommand(t *testing.T) {
	file := filepath.Join(t.TempDir(), "sidecar.toml")
	if err := os.WriteFile(file, []byte(routedFile), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"POST", "http://a.org/trips/new", "-H", "X-Lane: book"}, ExitOK, []string{
			"route new (" + file + ":25): path /trips/new",
			"trips        " + file + ":21  matches too; new is more specific",
			"segment 1 of the path is \"trips\", not \"closed\"",
			"whole time                  6s                                " + file + ":15 class.book.deadline",
			"one attempt                 500ms",
			"attempts                    4",
			file + ":20 attempts.most_attempts",
			"0.1 for each answer, 10 saved up",
			"in its cell",
		}},
		{[]string{"get", "/trips/7/seats", "-H", "X-Lane: find"}, ExitOK, []string{
			"route trips",
			"whole time                  2s",
			":23 route.trips.whole_time",
			":24 route.trips.route_attempts",
			"anywhere",
		}},
		{[]string{"GET", "/other", "-H", "X-Lane: find"}, ExitOK, []string{"no route; its class's values hold", "3s"}},
		{[]string{"GET", "/closed/", "-H", "X-Lane: find"}, ExitFindings, []string{"served  no: refused with Retry-After 1s", ":31 route.closed.serve"}},
		{[]string{"GET", "/a/../closed", "-H", "X-Lane: find"}, ExitFindings, []string{"answered 400, and sent nowhere: it has a segment of dots"}},
		{[]string{"GET", "/x"}, ExitUsage, []string{"unknown class"}},
		{[]string{"GET", "/x", "-H", "X-Lane"}, ExitUsage, []string{"write \"Name: value\""}},
	} {
		code, out, errs := run(append([]string{"route", "--config", file}, test.args...)...)
		if code != test.code {
			t.Errorf("route %v: exit %d, want %d:\n%s%s", test.args, code, test.code, out, errs)
		}
		for _, want := range test.want {
			if !strings.Contains(out+errs, want) {
				t.Errorf("route %v: output lacks %q:\n%s%s", test.args, want, out, errs)
			}
		}
	}
	if code, _, errs := run("route", "GET", "/x"); code != ExitUsage || !strings.Contains(errs, "which file?") {
		t.Errorf("route without --config: exit %d, message %q, want exit %d and a question for the file", code, errs, ExitUsage)
	}
}
