package route_test

import (
	"fmt"
	"strings"
	"testing"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
	"quincegap/internal/modules/route"
)

// baseSettings is the beginning of the files in these tests. It has 20 lines, so the first route of a file begins at line 21.
const baseSettings = `[sidecar]
application = "front.example.org"
listen = "127.0.0.1:8080"
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
[class.pay]
aim = "2500ms"
deadline = "6s"
effect = "unsafe"
[tenant.north]
quota_per_s = 50

`

// fileSchema has the tables of a sidecar's file and the routes.
var fileSchema = schema.New(append(appfile.Tables(), route.Rules.Table)...)

// decodeFile decodes and checks a file, and returns its findings as a text, which is "" for a valid file.
func decodeFile(text string) (*schema.File, string) {
	var found finding.List
	d := doc.ReadTOML([]byte(text), 8<<20, found.ForFile("f"))
	if d == nil {
		return nil, found.Err().Error()
	}
	options := schema.Options{RequiredElsewhere: []string{"sidecar", "discovery", "limits"}}
	file := fileSchema.Decode(&found, options, schema.Layer{Doc: d, Table: d.Root, File: "f"})
	if err := found.Err(); err != nil {
		return file, err.Error()
	}
	return file, ""
}

// rejectedRoutes are invalid settings of [route.a], each with a part of the expected findings.
var rejectedRoutes = []struct{ text, want string }{
	// Timeouts.
	{
		"match_classes = \"find\"\nwhole_time = \"4s\"",
		"23:1: route.a.whole_time: 4s is longer than the deadline of class find, 3s (f:6)",
	},
	{"match_classes = \"book, find\"\nwhole_time = \"5s\"", "is longer than the deadline of class find"},
	{"whole_time = \"6s\"", "is longer than the deadline of class find"},
	{"match_path = \"/a\"\nwhole_time = \"6100ms\"", "is longer than the deadline of class"},
	{"match_methods = \"POST\"\nmatch_classes = \"book\"\nwhole_time = \"7s\"", "is longer than the deadline of class book, 6s (f:10)"},
	{"whole_time = \"1s\"\nattempt_time = \"2s\"", "attempt_time: 2s is longer than the request timeout of class find, 1s (whole_time)"},
	{"match_classes = \"find\"\nattempt_time = \"4s\"", "longer than the request timeout of class find, 3s (its deadline)"},
	{
		"match_classes = \"find\"\nattempt_time = \"2s\"\nroute_attempts = 2",
		"2 attempts of 2s each take longer than the request timeout of class find, 3s",
	},
	{
		"match_classes = \"book\"\nwhole_time = \"2s\"\nattempt_time = \"900ms\"\nroute_attempts = 3",
		"3 attempts of 900ms each take longer than the request timeout of class book, 2s (whole_time)",
	},
	{"match_classes = \"pay\"\nattempt_time = \"1s\"", "class pay is unsafe: an attempt that times out may have run and cannot be retried"},
	{"match_classes = \"pay, book\"\nattempt_time = \"1s\"", "class pay is unsafe"},
	{"whole_time = \"1ms\"", "whole_time"},
	{"whole_time = \"2h\"", "whole_time"},
	{"whole_time = \"-1s\"", "whole_time"},
	{"whole_time = 2", "whole_time"},
	{"whole_time = \"2 parsecs\"", "whole_time"},
	{"attempt_time = \"0s\"", "attempt_time"},
	// Attempts and budgets.
	{"route_attempts = 0", "route_attempts"},
	{"route_attempts = 21", "route_attempts"},
	{"route_attempts = -3", "route_attempts"},
	{"route_attempts = 1.5", "route_attempts"},
	{"retry_share = 1.1", "retry_share"},
	{"retry_share = -2", "retry_share"},
	{"retry_share = nan", "retry_share"},
	{"retry_share = inf", "retry_share"},
	{"retry_reserve = 5", "retry_reserve: means nothing without retry_share"},
	{"retry_share = 0.1\nretry_reserve = -1", "retry_reserve"},
	{"retry_share = 0.1\nroute_attempts = 1", "retry_share: means nothing: route_attempts is 1"},
	// Limits.
	{"most_open = 0", "most_open"},
	{"most_open = -1", "most_open"},
	{"most_open = 100000", "most_open: 100000 open requests exceed limits.sockets, which is 1024"},
	{"come_back = \"2m\"", "come_back"},
	{"serve = false\nwhole_time = \"1s\"", "whole_time: means nothing: serve is false"},
	{"serve = false\nmost_open = 1", "most_open: means nothing: serve is false"},
	{"serve = false\nretry_share = 0.1", "retry_share: means nothing: serve is false"},
	{"serve = \"no\"", "serve"},
	{
		"retry_on = \"always\"",
		"f:22:1: route.a.retry_on: \"always\" is not an outcome; the outcomes are turned-away, unconnected, failed, broken, late",
	},
	{"retry_on = \"late,, late\"", "retry_on: has an empty item"},
	{"retry_on = \"late\"\nroute_attempts = 1", "retry_on: means nothing: route_attempts is 1"},
	{"retry_pause = \"10ms\"\nroute_attempts = 1", "retry_pause: means nothing"},
	{"match_classes = \"find\"\nretry_pause = \"3s\"", "retry_pause: 3s is not shorter than the request timeout of class find, 3s"},
	{"whole_time = \"100ms\"\nretry_pause = \"200ms\"", "200ms is not shorter than the request timeout of class find, 100ms (whole_time)"},
	{"route_worth = 0", "route_worth"},
	{"route_worth = -1", "route_worth"},
	{"serve = false\nroute_worth = 2", "route_worth: means nothing: serve is false"},
	// Hedged requests.
	{"copy_after = 0.95", "copy_after: two attempts of a request may not be in flight at once unless attempts.second_copies is true"},
	{"copy_after = 0.95\n[attempts]\nsecond_copies = false", "attempts.second_copies is false (f:24)"},
	{"copy_after = 0.4\n[attempts]\nsecond_copies = true", "copy_after"},
	{"copy_after = 1\n[attempts]\nsecond_copies = true", "copy_after"},
	{"copy_share = 0.1", "copy_share: means nothing without copy_after"},
	{"copy_after = 0.9\ncopy_share = 0.5\n[attempts]\nsecond_copies = true", "copy_share"},
	{"copy_after = 0.9\nroute_attempts = 1\n[attempts]\nsecond_copies = true", "copy_after: means nothing: route_attempts is 1"},
	{"match_classes = \"pay\"\ncopy_after = 0.9\n[attempts]\nsecond_copies = true", "class pay is unsafe: its effect would happen twice"},
	{"serve = false\ncopy_after = 0.9\n[attempts]\nsecond_copies = true", "copy_after: means nothing: serve is false"},
	// Criteria that no request can satisfy.
	{"match_classes = \"fnid\"", "there is no class \"fnid\""},
	{"match_tenants = \"south\"", "there is no tenant \"south\""},
	{
		"match_classes = \"find\"\nmatch_methods = \"POST\"",
		"no request can match it: requests of safe classes use GET, those of other classes POST",
	},
	{"match_classes = \"book\"\nmatch_methods = \"GET\"", "no request can match it"},
	{"match_methods = \"PUT\"", "method \"PUT\" is not supported"},
	{"match_methods = \"get\"", "method \"get\" is not supported"},
	{"match_headers = \"X-Txn: 1\"", "X-Txn cannot be matched"},
	{"match_headers = \"content-length: 5\"", "Content-Length cannot be matched"},
	// Malformed patterns.
	{"match_path = \"trips\"", "does not begin with /"},
	{"match_path = \"/trips/\"", "ends in /"},
	{"match_path = \"/trips//new\"", "has the segment \"\""},
	{"match_path = \"/trips/../pay\"", "has the segment \"..\""},
	{"match_path = \"/./pay\"", "has the segment \".\""},
	{"match_path = \"/trips%2Fnew\"", "write characters unescaped"},
	{"match_path = \"/trips/*\"", "are not allowed"},
	{"match_path = \"/trips?x=1\"", "are not allowed"},
	{"match_path = \"/trips/{id\"", "a wildcard must be a whole segment"},
	{"match_path = \"/trips/a{id}\"", "are not allowed"},
	{"match_path = \"/trips/{}\"", "a wildcard must have a name"},
	{"match_path = \"/{rest...}/x\"", "must be the last segment"},
	{"match_path = \"/{a}/{a}\"", "two wildcards have the name \"a\""},
	{"match_path = \"" + strings.Repeat("/a", 33) + "\"", "more than 32 segments"},
	{"match_path = \"/" + strings.Repeat("a", 300) + "\"", "more than 256 bytes"},
	{"match_path = \"/a b\"", "are not allowed"},
	{"match_host = \"https://a.org\"", "is not a host name"},
	{"match_host = \"a.org:80\"", "is not a host name"},
	{"match_host = \"a.*.org\"", "a * may only replace the first labels"},
	{"match_host = \"*\"", "a * may only replace"},
	{"match_host = \"a..org\"", "is not a host name"},
	{"match_classes = \"find,,book\"", "has an empty item"},
	{"match_classes = \"find, find\"", "twice"},
	{"match_headers = \"a b: c\"", "is not a header"},
	{"match_headers = \"X-A: 1, x-a: 2\"", "\"X-A\" twice"},
	// Routes that clash with another one.
	{
		"match_path = \"/x/{id}\"\n[route.b]\nmatch_path = \"/{any}/new\"",
		"24:1: route.b.match_path: overlaps with [route.a] (f:21), and neither is more specific: " +
			"both match GET http://any.example.org/x/new",
	},
	{"match_path = \"/x\"\n[route.b]\nmatch_classes = \"book\"", "both match GET http://any.example.org/x, X-Lane: book"},
	{"match_path = \"/x\"\n[route.b]\nmatch_path = \"/x\"", "route.b.match_path: matches the same requests as [route.a] (f:21)"},
	{"match_path = \"/x/{id}\"\n[route.b]\nmatch_path = \"/x/{number}\"", "matches the same requests as [route.a]"},
	{"most_open = 1\n[route.b]\nmost_open = 2", "matches the same requests as [route.a]"},
	{"match_host = \"*.org\"\nmatch_path = \"/x\"\n[route.b]\nmatch_host = \"a.org\"", "overlaps with [route.a]"},
	{
		"match_tenants = \"north\"\n[route.b]\nmatch_headers = \"X-Canary\"",
		"both match GET http://any.example.org/, X-Org: north, X-Canary: x",
	},
	{"match_classes = \"find, book\"\n[route.b]\nmatch_classes = \"book, pay\"", "both match GET http://any.example.org/, X-Lane: book"},
	{"match_headers = \"A: 1\"\n[route.b]\nmatch_headers = \"B: 2\"", "A: 1, B: 2"},
	{"match_pth = \"/x\"", "did you mean \"match_path\"?"},
	{"match_path = \"/x\"\nmatch_path = \"/y\"", "match_path"},
}

// acceptedRoutes are valid settings of [route.a], and further routes.
var acceptedRoutes = []string{
	"match_path = \"/x\"\n[route.b]\nmatch_path = \"/x\"\nmatch_classes = \"book\"",
	"match_path = \"/x/{id}\"\n[route.b]\nmatch_path = \"/x/new\"\n[route.c]\nmatch_path = \"/{rest...}\"",
	"match_classes = \"find\"\n[route.b]\nmatch_classes = \"book, pay\"\nwhole_time = \"6s\"",
	"match_host = \"a.org\"\n[route.b]\nmatch_host = \"*.a.org\"",
	"match_headers = \"A: 1\"\n[route.b]\nmatch_headers = \"A: 2\"",
}

// Settings that contradict others, have no effect or are ambiguous are rejected, and the finding has the line and a reason.
func TestRejectedRoutes(t *testing.T) {
	const valid = "[route.a]\nmatch_path = \"/a\"\nwhole_time = \"1s\"\nattempt_time = \"300ms\"\nroute_attempts = 3\n" +
		"most_open = 5\nretry_share = 0.1\n"
	if _, fault := decodeFile(baseSettings + valid); fault != "" {
		t.Fatalf("a valid route is rejected: %s", fault)
	}
	rejected := 0
	for _, test := range rejectedRoutes {
		_, fault := decodeFile(baseSettings + "[route.a]\n" + test.text + "\n")
		if !strings.Contains(fault, test.want) || !strings.Contains(fault, "f:") {
			t.Errorf("%s\nis rejected with %q, want a text with %q and a line", test.text, fault, test.want)
			continue
		}
		rejected++
	}
	if rejected < 60 {
		t.Errorf("%d routes are rejected as expected, want at least 60", rejected)
	}
	for _, text := range acceptedRoutes {
		if _, fault := decodeFile(baseSettings + "[route.a]\n" + text + "\n"); fault != "" {
			t.Errorf("%s\nis rejected, want it accepted: %s", text, fault)
		}
	}
}

// A file with 5,000 routes is accepted, and one with 5,001 is rejected.
func TestMaxRoutes(t *testing.T) {
	var text strings.Builder
	text.WriteString(baseSettings)
	for i := range route.MaxRoutes {
		fmt.Fprintf(&text, "[route.r%d]\nmatch_path = \"/svc%d/{id}\"\n", i, i)
	}
	file, fault := decodeFile(text.String())
	if fault != "" {
		t.Fatalf("a file with %d routes is rejected: %s", route.MaxRoutes, fault)
	}
	table := route.Compile(file)
	for _, i := range []int{0, 17, route.MaxRoutes - 1} {
		if r, ok := table.Find(&route.Request{Path: fmt.Sprintf("/svc%d/8", i)}); !ok || r == nil || r.Name != fmt.Sprint("r", i) {
			t.Errorf("a request for path /svc%d/8 got route %v (routed %v), want r%d", i, r, ok, i)
		}
	}
	text.WriteString("[route.more]\nmatch_path = \"/more\"\n")
	if _, fault := decodeFile(text.String()); !strings.Contains(fault, "the file has 5001 routes, the maximum is 5000") {
		t.Errorf("with one route too many the finding is %.200q, want one about 5001 routes", fault)
	}
}
