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

// base is the beginning of a file whose routes are checked. It has 20 lines, so the first line of a route is the 21st.
const base = `[sidecar]
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

// fileSchema is the schema of the files in these tests.
var fileSchema = schema.New(append(appfile.Tables(), route.Rules.Table)...)

// read decodes and checks a file, and returns its faults as a text.
func read(text string) (*schema.File, string) {
	var found finding.List
	d := doc.ReadTOML([]byte(text), 8<<20, found.ForFile("f"))
	if d == nil {
		return nil, found.Err().Error()
	}
	options := schema.Options{RequiredElsewhere: []string{"sidecar", "discovery", "limits"}}
	f := fileSchema.Decode(&found, options, schema.Layer{Doc: d, Table: d.Root, File: "f"})
	if err := found.Err(); err != nil {
		return f, err.Error()
	}
	return f, ""
}

// rejectedRoutes are settings of [route.a], and a part of the text of the faults that they have.
var rejectedRoutes = []struct{ text, want string }{
	// Times.
	{
		"match_classes = \"find\"\nwhole_time = \"4s\"",
		"23:1: route.a.whole_time: 4s is longer than callers of find wait: its deadline is 3s (f:6)",
	},
	{"match_classes = \"book, find\"\nwhole_time = \"5s\"", "callers of find wait"},
	{"whole_time = \"6s\"", "callers of find wait"},
	{"match_path = \"/a\"\nwhole_time = \"6100ms\"", "is longer than callers of"},
	{"match_methods = \"POST\"\nmatch_classes = \"book\"\nwhole_time = \"7s\"", "callers of book wait: its deadline is 6s (f:10)"},
	{"whole_time = \"1s\"\nattempt_time = \"2s\"", "attempt_time: 2s is longer than the whole time of find, 1s (whole_time)"},
	{"match_classes = \"find\"\nattempt_time = \"4s\"", "longer than the whole time of find, 3s (its deadline)"},
	{
		"match_classes = \"find\"\nattempt_time = \"2s\"\nroute_attempts = 2",
		"2 attempts of 2s each take longer than the whole time of find, 3s",
	},
	{
		"match_classes = \"book\"\nwhole_time = \"2s\"\nattempt_time = \"900ms\"\nroute_attempts = 3",
		"3 attempts of 900ms each take longer than the whole time of book, 2s (whole_time)",
	},
	{"match_classes = \"pay\"\nattempt_time = \"1s\"", "pay is unsafe: an attempt that is given up may have run and cannot go out again"},
	{"match_classes = \"pay, book\"\nattempt_time = \"1s\"", "pay is unsafe"},
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
	{"most_open = 100000", "most_open: 100000 cannot be held: limits.sockets is 1024"},
	{"come_back = \"2m\"", "come_back"},
	{"serve = false\nwhole_time = \"1s\"", "whole_time: means nothing: serve is false"},
	{"serve = false\nmost_open = 1", "most_open: means nothing: serve is false"},
	{"serve = false\nretry_share = 0.1", "retry_share: means nothing: serve is false"},
	{"serve = \"no\"", "serve"},
	{"retry_on = \"always\"", "f:22:1: route.a.retry_on: \"always\" is no outcome: turned-away, unconnected, failed, broken, late are"},
	{"retry_on = \"late,, late\"", "retry_on: has an empty word"},
	{"retry_on = \"late\"\nroute_attempts = 1", "retry_on: means nothing: route_attempts is 1"},
	{"retry_pause = \"10ms\"\nroute_attempts = 1", "retry_pause: means nothing"},
	{"match_classes = \"find\"\nretry_pause = \"3s\"", "retry_pause: 3s is no shorter than the whole time of find, 3s"},
	{"whole_time = \"100ms\"\nretry_pause = \"200ms\"", "200ms is no shorter than the whole time of find, 100ms (whole_time)"},
	{"route_worth = 0", "route_worth"},
	{"route_worth = -1", "route_worth"},
	{"serve = false\nroute_worth = 2", "route_worth: means nothing: serve is false"},
	// Hedged requests.
	{"copy_after = 0.95", "copy_after: two attempts of a request may not be out at once unless attempts.second_copies is true"},
	{"copy_after = 0.95\n[attempts]\nsecond_copies = false", "attempts.second_copies is false (f:24)"},
	{"copy_after = 0.4\n[attempts]\nsecond_copies = true", "copy_after"},
	{"copy_after = 1\n[attempts]\nsecond_copies = true", "copy_after"},
	{"copy_share = 0.1", "copy_share: means nothing without copy_after"},
	{"copy_after = 0.9\ncopy_share = 0.5\n[attempts]\nsecond_copies = true", "copy_share"},
	{"copy_after = 0.9\nroute_attempts = 1\n[attempts]\nsecond_copies = true", "copy_after: means nothing: route_attempts is 1"},
	{"match_classes = \"pay\"\ncopy_after = 0.9\n[attempts]\nsecond_copies = true", "pay is unsafe: its effect would happen twice"},
	{"serve = false\ncopy_after = 0.9\n[attempts]\nsecond_copies = true", "copy_after: means nothing: serve is false"},
	// Criteria that no request matches.
	{"match_classes = \"fnid\"", "there is no class \"fnid\""},
	{"match_tenants = \"south\"", "there is no tenant \"south\""},
	{"match_classes = \"find\"\nmatch_methods = \"POST\"", "nothing can match it: safe classes come with GET, others with POST"},
	{"match_classes = \"book\"\nmatch_methods = \"GET\"", "nothing can match it"},
	{"match_methods = \"PUT\"", "\"PUT\" is no method that is served"},
	{"match_methods = \"get\"", "\"get\" is no method"},
	{"match_headers = \"X-Txn: 1\"", "X-Txn is not matched"},
	{"match_headers = \"content-length: 5\"", "Content-Length is not matched"},
	// Malformed patterns.
	{"match_path = \"trips\"", "does not begin with /"},
	{"match_path = \"/trips/\"", "ends in /"},
	{"match_path = \"/trips//new\"", "has the segment \"\""},
	{"match_path = \"/trips/../pay\"", "has the segment \"..\""},
	{"match_path = \"/./pay\"", "has the segment \".\""},
	{"match_path = \"/trips%2Fnew\"", "not escaped"},
	{"match_path = \"/trips/*\"", "cannot be in it"},
	{"match_path = \"/trips?x=1\"", "cannot be in it"},
	{"match_path = \"/trips/{id\"", "a wildcard is a whole segment"},
	{"match_path = \"/trips/a{id}\"", "cannot be in it"},
	{"match_path = \"/trips/{}\"", "a wildcard has a name"},
	{"match_path = \"/{rest...}/x\"", "has to be its end"},
	{"match_path = \"/{a}/{a}\"", "two wildcards have the name \"a\""},
	{"match_path = \"" + strings.Repeat("/a", 33) + "\"", "more than 32 segments"},
	{"match_path = \"/" + strings.Repeat("a", 300) + "\"", "more than 256 bytes"},
	{"match_path = \"/a b\"", "cannot be in it"},
	{"match_host = \"https://a.org\"", "is no host name"},
	{"match_host = \"a.org:80\"", "is no host name"},
	{"match_host = \"a.*.org\"", "a * stands for the first labels alone"},
	{"match_host = \"*\"", "a * stands"},
	{"match_host = \"a..org\"", "is no host name"},
	{"match_classes = \"find,,book\"", "empty word"},
	{"match_classes = \"find, find\"", "twice"},
	{"match_headers = \"a b: c\"", "is no header"},
	{"match_headers = \"X-A: 1, x-a: 2\"", "\"X-A\" twice"},
	// Two routes.
	{
		"match_path = \"/x/{id}\"\n[route.b]\nmatch_path = \"/{any}/new\"",
		"24:1: route.b.match_path: overlaps with [route.a] (f:21), and neither is more specific: " +
			"both match GET http://any.example.org/x/new",
	},
	{"match_path = \"/x\"\n[route.b]\nmatch_classes = \"book\"", "both match GET http://any.example.org/x, X-Lane: book"},
	{"match_path = \"/x\"\n[route.b]\nmatch_path = \"/x\"", "route.b.match_path: matches just what [route.a] does (f:21)"},
	{"match_path = \"/x/{id}\"\n[route.b]\nmatch_path = \"/x/{number}\"", "matches just what [route.a] does"},
	{"most_open = 1\n[route.b]\nmost_open = 2", "matches just what [route.a] does"},
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

// acceptedRoutes are settings of [route.a] without a fault.
var acceptedRoutes = []string{
	"match_path = \"/x\"\n[route.b]\nmatch_path = \"/x\"\nmatch_classes = \"book\"",
	"match_path = \"/x/{id}\"\n[route.b]\nmatch_path = \"/x/new\"\n[route.c]\nmatch_path = \"/{rest...}\"",
	"match_classes = \"find\"\n[route.b]\nmatch_classes = \"book, pay\"\nwhole_time = \"6s\"",
	"match_host = \"a.org\"\n[route.b]\nmatch_host = \"*.a.org\"",
	"match_headers = \"A: 1\"\n[route.b]\nmatch_headers = \"A: 2\"",
}

// Settings that could break a rule, have no effect or are ambiguous are rejected, with their line and a reason.
func TestRejectedRoutes(t *testing.T) {
	const good = "[route.a]\nmatch_path = \"/a\"\nwhole_time = \"1s\"\nattempt_time = \"300ms\"\nroute_attempts = 3\n" +
		"most_open = 5\nretry_share = 0.1\n"
	if _, fault := read(base + good); fault != "" {
		t.Fatal(fault)
	}
	rejected := 0
	for _, c := range rejectedRoutes {
		_, fault := read(base + "[route.a]\n" + c.text + "\n")
		if !strings.Contains(fault, c.want) || !strings.Contains(fault, "f:") {
			t.Errorf("%s\nis rejected with %q, wanted %q", c.text, fault, c.want)
			continue
		}
		rejected++
	}
	if rejected < 60 {
		t.Errorf("%d are rejected", rejected)
	}
	for _, text := range acceptedRoutes {
		if _, fault := read(base + "[route.a]\n" + text + "\n"); fault != "" {
			t.Errorf("%s\nis rejected: %s", text, fault)
		}
	}
}

// A file may have 5,000 routes, and no more.
func TestMaxRoutes(t *testing.T) {
	var text strings.Builder
	text.WriteString(base)
	for i := range route.MaxRoutes {
		fmt.Fprintf(&text, "[route.r%d]\nmatch_path = \"/svc%d/{id}\"\n", i, i)
	}
	f, fault := read(text.String())
	if fault != "" {
		t.Fatal(fault)
	}
	table := route.Compile(f)
	for _, i := range []int{0, 17, route.MaxRoutes - 1} {
		if r, ok := table.Find(&route.Request{Path: fmt.Sprintf("/svc%d/8", i)}); !ok || r == nil || r.Name != fmt.Sprint("r", i) {
			t.Errorf("%d: %v", i, r)
		}
	}
	text.WriteString("[route.more]\nmatch_path = \"/more\"\n")
	if _, fault := read(text.String()); !strings.Contains(fault, "5001 routes are more than 5000") {
		t.Errorf("%.200q", fault)
	}
}
