package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// routesOf makes routes, numbered in their order; those that clash with one before are left out.
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

// somePatterns are those that specificityCases take some of by their numbers.
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

// specificityCases are patterns that must hold together, a request, and the pattern that it takes; -1 for none.
var specificityCases = []struct {
	use     []int
	request Request
	want    int
}{
	{[]int{0, 2, 3, 4, 5, 6, 7, 8}, Request{Path: "/trips/new", Method: "POST", Tenant: "north", Header: map[string][]string{"X-Canary": {"1"}}}, 8},
	{[]int{0, 2, 3, 4, 5, 6, 7, 8}, Request{Path: "/trips/new", Method: "POST", Tenant: "north", Header: map[string][]string{"X-Canary": {"1", "1"}}}, 7},
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

// The most specific route is taken, whatever its place in the file, and paths that are written otherwise take the same.
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
			if got := takenOf(t, use, &c.request); got != c.want {
				t.Errorf("%+v: route %d, should be %d", c.request, got, c.want)
			}
		}
	}
}

// takenOf is the number of the pattern that a request takes, of those in use; -1 for none.
func takenOf(t *testing.T, use []int, q *Request) int {
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
		t.Fatalf("%+v goes nowhere", q)
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

// What two readers may take for different paths goes nowhere; what is merely written otherwise does.
func TestOddPaths(t *testing.T) {
	table := newTable(routesOf(t, PatternText{Path: "/{rest...}"}, PatternText{Path: "/pay/{id}"}))
	for _, path := range []string{
		"", "pay/1", "//pay/1", "/pay//1", "/pay/1//", "/./pay/1", "/x/../pay/1", "/x/%2e%2e/pay/1", "/x/.%2E/pay/1", "/%2e/pay",
		"/pay%2F1", "/pay%2f1", "/pay%5c1", "/pay\\1", "/pay/%", "/pay/%1", "/pay/%zz", "/pay/%00", "/pay/%0a", "/pay/1#x", "/pay/%252e", "/pay/..", "/..",
	} {
		if _, ok := table.Find(&Request{Path: path}); ok {
			t.Errorf("%q is routed", path)
		}
	}
	for _, path := range []string{"/pay/1", "/pay/1/", "/p%61y/1", "/pay/...", "/pay/a..b", "/pay/%C3%BC", "/pay/.x", "/pay/" + strings.Repeat("a", 60_000)} {
		if r, ok := table.Find(&Request{Path: path}); !ok || r == nil || r.Name != "1" {
			t.Errorf("%.40q takes route %v, %v", path, r, ok)
		}
	}
	// Where no route asks for a path, none is refused for its.
	table = newTable(routesOf(t, PatternText{Classes: "a"}))
	if r, ok := table.Find(&Request{Path: "//x/..", Class: "a"}); !ok || r == nil {
		t.Error("a path was looked at that no route asks for")
	}
}

// draws are words of few sorts, so that they meet.
type draws struct{ *rand.Rand }

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

func (d draws) some(of ...string) string {
	var set []string
	for _, x := range of {
		if d.IntN(4) == 0 {
			set = append(set, x)
		}
	}
	return strings.Join(set, ",")
}

func (d draws) words() PatternText {
	return PatternText{
		Host: []string{"", "", "", "a.org", "*.org", "*.a.org", "b.a.org"}[d.IntN(7)], Path: d.path([]string{"a", "b", "c"}, 3, true),
		Methods: d.some("GET", "POST"), Classes: d.some("x", "y", "z"), Tenants: d.some("n", "s"), Headers: d.some("A: 1", "B", "C: 2"),
	}
}

func (d draws) request() Request {
	q := Request{
		Host: []string{"a.org", "c.org", "b.a.org", "a.com", "x.b.a.org"}[d.IntN(5)], Path: d.path([]string{"a", "b", "c", "%61", "d"}, 4, false),
		Method: []string{"GET", "POST"}[d.IntN(2)], Class: []string{"x", "y", "z"}[d.IntN(3)], Tenant: []string{"n", "s"}[d.IntN(2)], Header: map[string][]string{},
	}
	if q.Path == "" || d.IntN(5) == 0 {
		q.Path += "/"
	}
	for _, name := range []string{"A", "B", "C"} {
		for range d.IntN(3) {
			q.Header[name] = append(q.Header[name], fmt.Sprint(1+d.IntN(2)))
		}
	}
	return q
}

// matches is whether a pattern matches, by looking at it alone.
func (p *Pattern) matches(q *Request) bool {
	host := strings.ToLower(q.Host)
	if p.host != "" && p.host != host && (!strings.HasPrefix(p.host, "*") || !strings.HasSuffix(host, p.host[1:])) {
		return false
	}
	var path []string
	if trimmed := strings.Trim(q.Path, "/"); trimmed != "" {
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
	return p.allows(p.methods, q.Method) && p.allows(p.classes, q.Class) && p.allows(p.tenants, q.Tenant) && p.hasHeaders(q.Header)
}

// With random routes and requests the table finds what a look at all of them does; two that are said to be disjoint match nothing in
// common, one that is narrower nothing that the wider does not, and of those that match a request none overlap.
func TestFindIsAsALookAtAll(t *testing.T) {
	found, deep := 0, 0
	for seed := range uint64(300) {
		d := draws{rand.New(rand.NewPCG(seed, 2))}
		var all []PatternText
		for range 40 {
			all = append(all, d.words())
		}
		table := newTable(routesOf(t, all...))
		for range 200 {
			q := d.request()
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
			checkRelation(t, d)
		}
	}
	if found < 10000 || deep < 200 {
		t.Errorf("%d were matched, %d by more than two: too few to tell", found, deep)
	}
}

// narrowestOf looks at all routes, and also counts those that match.
func narrowestOf(t *testing.T, routes []*Route, q *Request) (best *Route, matching int) {
	t.Helper()
	for _, r := range routes {
		if !r.pattern.matches(q) {
			continue
		}
		matching++
		if best == nil {
			best = r
			continue
		}
		switch rel := r.pattern.compare(best.pattern); rel {
		case narrower:
			best = r
		case wider:
		default:
			t.Fatalf("%+v is matched by %v and %v, which are %d to each other", q, r.pattern, best.pattern, rel)
		}
	}
	return best, matching
}

// inverse is the relation the other way round.
var inverse = map[relation]relation{equal: equal, narrower: wider, wider: narrower, disjoint: disjoint, overlaps: overlaps}

// checkRelation draws two patterns, and tries their relation by requests.
func checkRelation(t *testing.T, d draws) {
	t.Helper()
	p, _ := newPattern(d.words())
	o, _ := newPattern(d.words())
	rel := p.compare(o)
	if back := o.compare(p); back != inverse[rel] {
		t.Fatalf("%v to %v: %d, and back %d", p, o, rel, back)
	}
	for range 30 {
		q := d.request()
		x := p.matches(&q)
		y := o.matches(&q)
		if rel == equal && x != y || rel == narrower && x && !y || rel == wider && y && !x || rel == disjoint && x && y {
			t.Fatalf("%v to %v: %d, but %+v is matched %v and %v", p, o, rel, q, x, y)
		}
	}
	if rel == disjoint {
		return
	}
	if text := exampleRequest(p, o); !strings.Contains(text, " http://") {
		t.Fatal(text)
	}
}

// A route's limits: what is rejected, what may go out again, and that a reload leaves them as they stand.
func TestLimits(t *testing.T) {
	r := &Route{Settings: &Settings{Serve: true, MaxOpen: 2, RetryShare: 0.5, RetryReserve: 2}, State: &State{}}
	for i := range 3 {
		if got := r.Admit(); got != (i < 2) {
			t.Errorf("two may come in, and no third: the %dth %v", i+1, got)
		}
	}
	if r.Done(); !r.Admit() {
		t.Error("one has left")
	}
	for range 2 {
		if !r.TakeRetry() {
			t.Error("it begins with what may be saved")
		}
	}
	if r.TakeRetry() {
		t.Error("none is left")
	}
	if r.ReturnRetry(); !r.TakeRetry() {
		t.Error("one was given back")
	}
	r.Answered()
	if r.TakeRetry() {
		t.Error("one answer earns half of one")
	}
	r.Answered()
	if !r.TakeRetry() {
		t.Error("two answers earn one")
	}
	later := &Route{Settings: &Settings{Serve: false}, State: r.State}
	if later.Admit() {
		t.Error("a route that is off lets something in")
	}
	if r.Done(); later.State.Open != 1 || later.State.Rejected != 2 || r.State.Denied != 2 {
		t.Errorf("%+v", *later.State)
	}
}

// No path, however it is written, makes the table fail, take long, or find a route that matches it not.
func FuzzFind(f *testing.F) {
	d := draws{rand.New(rand.NewPCG(1, 2))}
	var all []PatternText
	for range 60 {
		all = append(all, d.words())
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
