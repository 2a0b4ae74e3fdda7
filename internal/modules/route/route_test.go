package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// routesOf returns routes whose names are their numbers. Patterns that clash with one before are left out.
func routesOf(tb testing.TB, all ...PatternText) (routes []*Route) {
	tb.Helper()
	for i, text := range all {
		p, faults := newPattern(text)
		if len(faults) > 0 {
			tb.Fatalf("%+v: %v", text, faults)
		}
		clashes := slices.ContainsFunc(routes, func(other *Route) bool {
			r := p.compare(other.pattern)
			return r == equal || r == overlaps
		})
		if !clashes {
			routes = append(routes, &Route{Name: strconv.Itoa(i), Settings: &Settings{Serve: true}, State: &State{}, pattern: p})
		}
	}
	return routes
}

// somePatterns are the patterns of specificityCases, which use them by their numbers.
var somePatterns = []PatternText{
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

// specificityCases are patterns that do not clash, a request, and the pattern whose route is taken for it; -1 for none.
var specificityCases = []struct {
	use     []int
	request Request
	want    int
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

// The most specific route is taken, whatever the order of the file, and other spellings of a path take the same route.
func TestMostSpecific(t *testing.T) {
	for seed := range uint64(20) {
		order := rand.New(rand.NewPCG(seed, 1)).Perm(len(somePatterns))
		for _, c := range specificityCases {
			var use []int // in the order of this seed
			for _, i := range order {
				if slices.Contains(c.use, i) {
					use = append(use, i)
				}
			}
			if got := findPattern(t, use, &c.request); got != c.want {
				t.Errorf("%+v: route %d, should be %d", c.request, got, c.want)
			}
		}
	}
}

// findPattern returns the number of the pattern whose route is taken for a request, of those in use; -1 for none.
func findPattern(t *testing.T, use []int, q *Request) int {
	t.Helper()
	var texts []PatternText
	for _, i := range use {
		texts = append(texts, somePatterns[i])
	}
	table := newTable(routesOf(t, texts...))
	if len(table.Routes) != len(use) {
		t.Fatalf("%v: some clash", use)
	}
	r, ok := table.Find(q)
	if !ok {
		t.Fatalf("%+v is not routed", q)
	}
	if r == nil {
		return -1
	}
	number, err := strconv.Atoi(r.Name)
	if err != nil {
		t.Fatal(err)
	}
	return use[number]
}

// Requests with an ambiguous path are not routed; other spellings of a path are.
func TestAmbiguousPaths(t *testing.T) {
	table := newTable(routesOf(t, PatternText{Path: "/{rest...}"}, PatternText{Path: "/pay/{id}"}))
	for _, path := range []string{
		"", "pay/1", "//pay/1", "/pay//1", "/pay/1//", "/./pay/1", "/x/../pay/1", "/x/%2e%2e/pay/1", "/x/.%2E/pay/1", "/%2e/pay",
		"/pay%2F1", "/pay%2f1", "/pay%5c1", "/pay\\1", "/pay/%", "/pay/%1", "/pay/%zz", "/pay/%00", "/pay/%0a", "/pay/1#x",
		"/pay/%252e", "/pay/..", "/..",
	} {
		if _, ok := table.Find(&Request{Path: path}); ok {
			t.Errorf("%q is routed", path)
		}
	}
	for _, path := range []string{
		"/pay/1", "/pay/1/", "/p%61y/1", "/pay/...", "/pay/a..b", "/pay/%C3%BC", "/pay/.x", "/pay/" + strings.Repeat("a", 60_000),
	} {
		if r, ok := table.Find(&Request{Path: path}); !ok || r == nil || r.Name != "1" {
			t.Errorf("%.40q takes route %v, %v", path, r, ok)
		}
	}
	// If no route has a path, no request is rejected for its path.
	table = newTable(routesOf(t, PatternText{Classes: "a"}))
	if r, ok := table.Find(&Request{Path: "//x/..", Class: "a"}); !ok || r == nil {
		t.Error("a path was checked though no route has one")
	}
}

// draws draws patterns and requests with few different values, so that many match.
type draws struct{ *rand.Rand }

// path draws a path of at most so many segments, with wildcards if it is that of a pattern.
func (d draws) path(of []string, most int, wild bool) string {
	var b strings.Builder
	for i := range d.IntN(most + 1) {
		switch {
		case wild && d.IntN(4) == 0:
			fmt.Fprintf(&b, "/{w%d}", i)
		default:
			b.WriteString("/" + of[d.IntN(len(of))])
		}
	}
	if wild && d.IntN(3) == 0 {
		b.WriteString("/{rest...}")
	}
	return b.String()
}

// some draws a subset.
func (d draws) some(of ...string) string {
	var set []string
	for _, x := range of {
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
		Methods: d.some("GET", "POST"),
		Classes: d.some("x", "y", "z"),
		Tenants: d.some("n", "s"),
		Headers: d.some("A: 1", "B", "C: 2"),
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

// matches reports whether a pattern matches a request, without the table.
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
		if !s.any && s.text != path[i] {
			return false
		}
	}
	return allows(p.methods, request.Method) && allows(p.classes, request.Class) && allows(p.tenants, request.Tenant) &&
		p.hasHeaders(request.Header)
}

// With random routes and requests the table finds the same route as a comparison with all of them. Disjoint patterns match no request
// in common, a narrower one only requests that the wider one matches, and no two routes that match a request overlap.
func TestFindAgainstAllRoutes(t *testing.T) {
	found, deep := 0, 0
	for seed := range uint64(300) {
		random := draws{rand.New(rand.NewPCG(seed, 2))}
		var all []PatternText
		for range 40 {
			all = append(all, random.pattern())
		}
		table := newTable(routesOf(t, all...))
		for range 200 {
			q := random.request()
			best, matching := narrowestOf(t, table.Routes, &q)
			if got, ok := table.Find(&q); !ok || got != best {
				t.Fatalf("seed %d: %+v: %v, should be %v", seed, q, got, best)
			}
			if best != nil {
				found++
			}
			if matching > 2 {
				deep++
			}
		}
		for range 100 {
			checkRelation(t, random)
		}
	}
	if found < 10000 || deep < 200 {
		t.Errorf("%d requests were matched, %d by more than two routes: too few", found, deep)
	}
}

// narrowestOf returns the narrowest of the routes that match a request, and how many match.
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
			t.Fatalf("%+v is matched by %v and %v, which are %d to each other", request, route.pattern, best.pattern, rel)
		}
	}
	return best, matching
}

// inverse has for each relation of p to q that of q to p.
var inverse = map[relation]relation{equal: equal, narrower: wider, wider: narrower, disjoint: disjoint, overlaps: overlaps}

// checkRelation draws two patterns, and checks their relation with random requests.
func checkRelation(t *testing.T, d draws) {
	t.Helper()
	first, _ := newPattern(d.pattern())
	second, _ := newPattern(d.pattern())
	rel := first.compare(second)
	if back := second.compare(first); back != inverse[rel] {
		t.Fatalf("%v to %v: %d, and back %d", first, second, rel, back)
	}
	for range 30 {
		q := d.request()
		x := first.matches(&q)
		y := second.matches(&q)
		if rel == equal && x != y || rel == narrower && x && !y || rel == wider && y && !x || rel == disjoint && x && y {
			t.Fatalf("%v to %v: %d, but %+v is matched %v and %v", first, second, rel, q, x, y)
		}
	}
	if rel == disjoint {
		return
	}
	if text := exampleRequest(first, second); !strings.Contains(text, " http://") {
		t.Fatal(text)
	}
}

// The limits of a route: which requests are rejected, which may be retried, and that a reload keeps the state.
func TestLimits(t *testing.T) {
	route := &Route{Settings: &Settings{Serve: true, MaxOpen: 2, RetryShare: 0.5, RetryReserve: 2}, State: &State{}}
	for i := range 3 {
		if got := route.Admit(); got != (i < 2) {
			t.Errorf("two are admitted, and no third: the %dth %v", i+1, got)
		}
	}
	if route.Done(); !route.Admit() {
		t.Error("one has ended")
	}
	for range 2 {
		if !route.TakeRetry() {
			t.Error("the budget is full at the start")
		}
	}
	if route.TakeRetry() {
		t.Error("the budget is empty")
	}
	if route.ReturnRetry(); !route.TakeRetry() {
		t.Error("one retry was returned")
	}
	route.Answered()
	if route.TakeRetry() {
		t.Error("one answer earns half a retry")
	}
	route.Answered()
	if !route.TakeRetry() {
		t.Error("two answers earn a retry")
	}
	later := &Route{Settings: &Settings{Serve: false}, State: route.State}
	if later.Admit() {
		t.Error("a route that is off admits a request")
	}
	if route.Done(); later.State.Open != 1 || later.State.Rejected != 2 || route.State.Denied != 2 {
		t.Errorf("%+v", *later.State)
	}
}

// No path makes the table fail, or find a route that does not match it.
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
			t.Errorf("%q: %v, %q", path, ok, AmbiguousPath(path))
		}
		if r == nil || strings.ContainsAny(path, "%") {
			return
		}
		if !r.pattern.matches(&q) {
			t.Errorf("%q takes %v", path, r.pattern)
		}
	})
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{1, 100, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var routes []*Route
			for i := range n {
				w := PatternText{Path: fmt.Sprintf("/svc%d/trips/{id}/seats", i/4), Methods: []string{"GET", "POST"}[i%2]}
				if i%4 >= 2 {
					w.Classes = "book-trip"
				}
				p, _ := newPattern(w)
				routes = append(routes, &Route{Settings: &Settings{}, State: &State{}, pattern: p})
			}
			table := newTable(routes)
			q := Request{Host: "booking.example.org:8080", Path: fmt.Sprintf("/svc%d/trips/81723/seats", n/8), Method: "GET", Class: "book-trip"}
			if r, _ := table.Find(&q); r == nil {
				b.Fatal("none")
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Find(&q)
			}
		})
	}
}
