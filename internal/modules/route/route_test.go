package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// routesOf returns a route for each pattern, with the index of the pattern as its name. It omits patterns that clash with an earlier one.
func routesOf(tb testing.TB, patterns ...PatternText) (routes []*Route) {
	tb.Helper()
	for i, text := range patterns {
		pattern, faults := newPattern(text)
		if len(faults) > 0 {
			tb.Fatalf("pattern %+v is rejected: %v", text, faults)
		}
		clashes := slices.ContainsFunc(routes, func(other *Route) bool {
			rel := pattern.compare(other.pattern)
			return rel == equal || rel == overlaps
		})
		if !clashes {
			routes = append(routes, &Route{Name: strconv.Itoa(i), Settings: &Settings{Serve: true}, State: &State{}, pattern: pattern})
		}
	}
	return routes
}

// specificityPatterns are the patterns of specificityCases, which refer to them by index.
var specificityPatterns = []PatternText{
	{},
	{Path: "/{rest...}", Classes: "book-trip"},
	{Path: "/trips/{rest...}"},
	{Path: "/trips/{id}"},
	{Path: "/trips/new"},
	{Path: "/trips/{id}/seats"},
	{Path: "/trips/new", Methods: "POST"},
	{Path: "/trips/new", Methods: "POST", Tenants: "north"},
	{Path: "/trips/new", Methods: "POST", Tenants: "north", Headers: "X-Canary: 1"},
	{Host: "*.example.org", Path: "/trips/{rest...}"},
	{Host: "a.example.org", Path: "/trips/{rest...}"},
	{Path: "/"},
	{Path: "/süd/{id}"},
}

// specificityCases are requests, each with the routes of a table and the route that is selected for it.
var specificityCases = []struct {
	use     []int // indices of the patterns in the table
	request Request
	want    int // index of the pattern whose route is selected; -1 for none
}{
	{
		[]int{0, 2, 3, 4, 5, 6, 7, 8},
		Request{Path: "/trips/new", Method: "POST", Tenant: "north", Header: map[string][]string{"X-Canary": {"1"}}},
		8,
	},
	{
		[]int{0, 2, 3, 4, 5, 6, 7, 8},
		Request{Path: "/trips/new", Method: "POST", Tenant: "north", Header: map[string][]string{"X-Canary": {"1", "1"}}},
		7,
	},
	{[]int{0, 2, 3, 4, 5, 6, 7, 8}, Request{Path: "/trips/new", Method: "POST", Tenant: "south"}, 6},
	{[]int{0, 2, 3, 4, 5, 6, 7, 8}, Request{Path: "/trips/new", Method: "GET"}, 4},
	{[]int{0, 2, 3, 4}, Request{Path: "/trips/n%65w/", Method: "GET"}, 4},
	{[]int{0, 2, 3, 4}, Request{Path: "/trips/NEW"}, 3},
	{[]int{0, 2, 3, 4, 5}, Request{Path: "/trips/7/seats"}, 5},
	{[]int{0, 2, 3, 4, 5}, Request{Path: "/trips/7/seats/2"}, 2},
	{[]int{0, 2, 3}, Request{Path: "/trips"}, 2},
	{[]int{0, 2, 3}, Request{Path: "/trips/"}, 2},
	{[]int{0, 2, 3}, Request{Path: "/trip"}, 0},
	{[]int{0, 2, 11}, Request{Path: "/"}, 11},
	{[]int{2, 3}, Request{Path: "/other"}, -1},
	{[]int{0, 2, 9, 10}, Request{Host: "A.Example.org.:80", Path: "/trips/1"}, 10},
	{[]int{0, 2, 9, 10}, Request{Host: "b.c.example.org", Path: "/trips/1"}, 9},
	{[]int{0, 2, 9, 10}, Request{Host: "example.org", Path: "/trips/1"}, 2},
	{[]int{0, 2, 9, 10}, Request{Host: "[::1]:80", Path: "/trips/1"}, 2},
	{[]int{0, 12}, Request{Path: "/s%C3%BCd/1"}, 12},
	{[]int{0, 12}, Request{Path: "/süd/1"}, 12},
	{[]int{0, 1}, Request{Path: "/x", Class: "book-trip"}, 1},
}

// The most specific route is selected whatever the order of the routes, and other spellings of a path select the same route.
func TestMostSpecific(t *testing.T) {
	for seed := range uint64(20) {
		order := rand.New(rand.NewPCG(seed, 1)).Perm(len(specificityPatterns))
		for _, test := range specificityCases {
			var use []int // indices of the patterns in a random order
			for _, i := range order {
				if slices.Contains(test.use, i) {
					use = append(use, i)
				}
			}
			if got := findPattern(t, use, &test.request); got != test.want {
				t.Errorf("request %+v among patterns %v: got pattern %d, want %d", test.request, use, got, test.want)
			}
		}
	}
}

// findPattern returns the index of the pattern whose route is selected for a request from a table of the patterns in use, or -1 if none
// is.
func findPattern(t *testing.T, use []int, request *Request) int {
	t.Helper()
	var texts []PatternText
	for _, i := range use {
		texts = append(texts, specificityPatterns[i])
	}
	table := newTable(routesOf(t, texts...))
	if len(table.Routes) != len(use) {
		t.Fatalf("some of the patterns %v clash", use)
	}
	r, ok := table.Find(request)
	if !ok {
		t.Fatalf("request %+v is not routed", request)
	}
	if r == nil {
		return -1
	}
	index, err := strconv.Atoi(r.Name)
	if err != nil {
		t.Fatal(err)
	}
	return use[index]
}

// Requests with an ambiguous path are not routed. Unambiguous spellings of a path are.
func TestAmbiguousPaths(t *testing.T) {
	table := newTable(routesOf(t, PatternText{Path: "/{rest...}"}, PatternText{Path: "/pay/{id}"}))
	for _, path := range []string{
		"", "pay/1", "//pay/1", "/pay//1", "/pay/1//", "/./pay/1", "/x/../pay/1", "/x/%2e%2e/pay/1", "/x/.%2E/pay/1", "/%2e/pay",
		"/pay%2F1", "/pay%2f1", "/pay%5c1", "/pay\\1", "/pay/%", "/pay/%1", "/pay/%zz", "/pay/%00", "/pay/%0a", "/pay/1#x",
		"/pay/%252e", "/pay/..", "/..",
	} {
		if _, ok := table.Find(&Request{Path: path}); ok {
			t.Errorf("ambiguous path %q is routed", path)
		}
	}
	for _, path := range []string{
		"/pay/1", "/pay/1/", "/p%61y/1", "/pay/...", "/pay/a..b", "/pay/%C3%BC", "/pay/.x", "/pay/" + strings.Repeat("a", 60_000),
	} {
		if r, ok := table.Find(&Request{Path: path}); !ok || r == nil || r.Name != "1" {
			t.Errorf("path %.40q: got route %v (routed %v), want route 1", path, r, ok)
		}
	}
	// If no route has a path, no request is rejected for its path.
	table = newTable(routesOf(t, PatternText{Classes: "a"}))
	if r, ok := table.Find(&Request{Path: "//x/..", Class: "a"}); !ok || r == nil {
		t.Errorf("no route has a path, but a request with an ambiguous path is not routed: got route %v (routed %v)", r, ok)
	}
}

// draws draws random patterns and requests. They have few different values, so that many requests match.
type draws struct{ *rand.Rand }

// path draws a path of at most maxSegments of the given segments, also with wildcards if wildcards is set.
func (d draws) path(segments []string, maxSegments int, wildcards bool) string {
	var b strings.Builder
	for i := range d.IntN(maxSegments + 1) {
		switch {
		case wildcards && d.IntN(4) == 0:
			fmt.Fprintf(&b, "/{w%d}", i)
		default:
			b.WriteString("/" + segments[d.IntN(len(segments))])
		}
	}
	if wildcards && d.IntN(3) == 0 {
		b.WriteString("/{rest...}")
	}
	return b.String()
}

// subset draws a subset, each item with a probability of a quarter, and joins it with commas.
func (d draws) subset(items ...string) string {
	var set []string
	for _, x := range items {
		if d.IntN(4) == 0 {
			set = append(set, x)
		}
	}
	return strings.Join(set, ",")
}

// pattern draws the text of a pattern.
func (d draws) pattern() PatternText {
	return PatternText{
		Host:    []string{"", "", "", "a.org", "*.org", "*.a.org", "b.a.org"}[d.IntN(7)],
		Path:    d.path([]string{"a", "b", "c"}, 3, true),
		Methods: d.subset("GET", "POST"),
		Classes: d.subset("x", "y", "z"),
		Tenants: d.subset("n", "s"),
		Headers: d.subset("A: 1", "B", "C: 2"),
	}
}

// request draws a request.
func (d draws) request() Request {
	drawn := Request{
		Host:   []string{"a.org", "c.org", "b.a.org", "a.com", "x.b.a.org"}[d.IntN(5)],
		Path:   d.path([]string{"a", "b", "c", "%61", "d"}, 4, false),
		Method: []string{"GET", "POST"}[d.IntN(2)],
		Class:  []string{"x", "y", "z"}[d.IntN(3)],
		Tenant: []string{"n", "s"}[d.IntN(2)],
		Header: map[string][]string{},
	}
	if drawn.Path == "" || d.IntN(5) == 0 {
		drawn.Path += "/"
	}
	for _, name := range []string{"A", "B", "C"} {
		for range d.IntN(3) {
			drawn.Header[name] = append(drawn.Header[name], fmt.Sprint(1+d.IntN(2)))
		}
	}
	return drawn
}

// matches reports whether a pattern matches a request. It does not use the table, which is compared with it.
func (p *Pattern) matches(request *Request) bool {
	host := strings.ToLower(request.Host)
	if p.host != "" && p.host != host && (!strings.HasPrefix(p.host, "*") || !strings.HasSuffix(host, p.host[1:])) {
		return false
	}
	var path []string
	if trimmed := strings.Trim(request.Path, "/"); trimmed != "" {
		path = strings.Split(strings.ReplaceAll(trimmed, "%61", "a"), "/")
	}
	if len(path) < len(p.segments) || len(path) > len(p.segments) && !p.rest {
		return false
	}
	for i, s := range p.segments {
		if !s.wildcard && s.text != path[i] {
			return false
		}
	}
	return allows(p.methods, request.Method) && allows(p.classes, request.Class) && allows(p.tenants, request.Tenant) &&
		p.hasHeaders(request.Header)
}

// With random routes and requests, the table finds the same route as a comparison of the request with all routes. Disjoint patterns match
// no common request, a narrower pattern matches only requests that the wider one matches, and no two routes that match a request overlap.
func TestFindAgainstAllRoutes(t *testing.T) {
	found, contested := 0, 0 // requests with a route, and with more than two that match
	for seed := range uint64(300) {
		random := draws{rand.New(rand.NewPCG(seed, 2))}
		var all []PatternText
		for range 40 {
			all = append(all, random.pattern())
		}
		table := newTable(routesOf(t, all...))
		for range 200 {
			request := random.request()
			best, matching := narrowestOf(t, table.Routes, &request)
			if got, ok := table.Find(&request); !ok || got != best {
				t.Fatalf("seed %d: request %+v: got route %v (routed %v), want %v", seed, request, got, ok, best)
			}
			if best != nil {
				found++
			}
			if matching > 2 {
				contested++
			}
		}
		for range 100 {
			checkRelation(t, random)
		}
	}
	if found < 10000 || contested < 200 {
		t.Errorf("%d requests were matched, %d by more than two routes; want at least 10000 and 200", found, contested)
	}
}

// narrowestOf returns the narrowest route that matches a request, and how many routes match.
func narrowestOf(t *testing.T, routes []*Route, request *Request) (best *Route, matching int) {
	t.Helper()
	for _, route := range routes {
		if !route.pattern.matches(request) {
			continue
		}
		matching++
		if best == nil {
			best = route
			continue
		}
		switch rel := route.pattern.compare(best.pattern); rel {
		case narrower:
			best = route
		case wider:
		default:
			t.Fatalf("request %+v is matched by the patterns %v and %v, whose relation is %d, want narrower or wider", request, route.pattern,
				best.pattern, rel)
		}
	}
	return best, matching
}

// inverse has for each relation of p to q the relation of q to p.
var inverse = map[relation]relation{equal: equal, narrower: wider, wider: narrower, disjoint: disjoint, overlaps: overlaps}

// checkRelation draws two patterns, and checks their relation against which random requests they match.
func checkRelation(t *testing.T, d draws) {
	t.Helper()
	first, _ := newPattern(d.pattern())
	second, _ := newPattern(d.pattern())
	rel := first.compare(second)
	if back := second.compare(first); back != inverse[rel] {
		t.Fatalf("the relation of %v to %v is %d, and the reverse one is %d, want %d", first, second, rel, back, inverse[rel])
	}
	for range 30 {
		request := d.request()
		x := first.matches(&request)
		y := second.matches(&request)
		if rel == equal && x != y || rel == narrower && x && !y || rel == wider && y && !x || rel == disjoint && x && y {
			t.Fatalf("the relation of %v to %v is %d, but whether they match %+v is %v and %v", first, second, rel, request, x, y)
		}
	}
	if rel == disjoint {
		return
	}
	if text := exampleRequest(first, second); !strings.Contains(text, " http://") {
		t.Fatalf("example request of %v and %v: got %q, want one with a URL", first, second, text)
	}
}

// A route rejects requests above MaxOpen and denies retries that the budget does not cover. Routes with the same State, as after a reload,
// have common counts.
func TestLimits(t *testing.T) {
	route := &Route{Settings: &Settings{Serve: true, MaxOpen: 2, RetryShare: 0.5, RetryReserve: 2}, State: &State{}}
	for i := range 3 {
		if got := route.Admit(); got != (i < 2) {
			t.Errorf("request %d with MaxOpen 2: got admitted %v, want %v", i+1, got, i < 2)
		}
	}
	if route.Done(); !route.Admit() {
		t.Error("no request is admitted after one of two has ended")
	}
	for range 2 {
		if !route.TakeRetry() {
			t.Error("a retry is denied while the initial budget of 2 is not used up")
		}
	}
	if route.TakeRetry() {
		t.Error("a retry is allowed after the budget was used up")
	}
	if route.ReturnRetry(); !route.TakeRetry() {
		t.Error("a retry is denied after one was returned")
	}
	route.Answered()
	if route.TakeRetry() {
		t.Error("a retry is allowed after one answer, which adds only half a retry")
	}
	route.Answered()
	if !route.TakeRetry() {
		t.Error("a retry is denied after two answers, which add one")
	}
	later := &Route{Settings: &Settings{Serve: false}, State: route.State}
	if later.Admit() {
		t.Error("a route with Serve false admits a request")
	}
	if route.Done(); later.State.Open != 1 || later.State.Rejected != 2 || route.State.Denied != 2 {
		t.Errorf("got state %+v, want Open 1, Rejected 2 and Denied 2", *later.State)
	}
}

// No path makes Find panic, or select a route that does not match the path.
func FuzzFind(f *testing.F) {
	d := draws{rand.New(rand.NewPCG(1, 2))}
	var all []PatternText
	for range 60 {
		all = append(all, d.pattern())
	}
	table := newTable(routesOf(f, all...))
	for _, path := range []string{"/a/b", "//", "/a/%2e%2e/b", "/%61/b/", "/a/../b", "/%", "/a%2Fb"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, path string) {
		q := Request{Path: path, Method: "GET", Class: "x", Tenant: "n", Host: "a.org"}
		r, ok := table.Find(&q)
		if ok != (AmbiguousPath(path) == "") {
			t.Errorf("path %q: got routed %v, though AmbiguousPath returns %q", path, ok, AmbiguousPath(path))
		}
		if r == nil || strings.ContainsAny(path, "%") {
			return
		}
		if !r.pattern.matches(&q) {
			t.Errorf("path %q selects route %v, which does not match it", path, r.pattern)
		}
	})
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{1, 100, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var routes []*Route
			for i := range n {
				text := PatternText{Path: fmt.Sprintf("/svc%d/trips/{id}/seats", i/4), Methods: []string{"GET", "POST"}[i%2]}
				if i%4 >= 2 {
					text.Classes = "book-trip"
				}
				p, _ := newPattern(text)
				routes = append(routes, &Route{Settings: &Settings{}, State: &State{}, pattern: p})
			}
			table := newTable(routes)
			q := Request{Host: "booking.example.org:8080", Path: fmt.Sprintf("/svc%d/trips/81723/seats", n/8), Method: "GET", Class: "book-trip"}
			if r, _ := table.Find(&q); r == nil {
				b.Fatalf("no route is found for %+v", q)
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Find(&q)
			}
		})
	}
}
