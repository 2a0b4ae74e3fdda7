package route

import (
	"fmt"
	"slices"
	"strings"
)

// Request is what of a request is matched.
type Request struct {
	Host   string // as it came, with or without a port
	Path   string // as it came, escaped, without the query
	Method string
	Class  string
	Tenant string              // "" for none
	Header map[string][]string // by canonical names
}

// Route is one of a Table.
type Route struct {
	Name     string
	Settings *Settings
	State    *State

	pattern *Pattern
	depth   int // the longest chain of wider routes
}

// Pattern is what the route matches.
func (r *Route) Pattern() *Pattern { return r.pattern }

// Table finds the route of a request. It does not change.
type Table struct {
	Routes      []*Route // in the order of the file
	hosts       map[string]*node
	subdomains  map[string]*node // of "*.x", by x
	anyHost     *node
	checksPaths bool // some route asks for a path
}

// node is a place in paths.
type node struct {
	children map[string]*node
	wildcard *node
	exact    *leaf // of patterns that end here,
	rest     *leaf // and of those that go on
	maxDepth int   // the deepest route at it or below
}

// leaf has the routes of one host and path, by what else they ask for.
type leaf struct {
	routes   map[criteria][]*Route // the deepest first
	used     [8]bool               // by which of the words some route asks for
	maxDepth int
}

// criteria are a method, a class and a tenant; "" for any.
type criteria struct{ method, class, tenant string }

// newTable compiles routes; they must not clash.
func newTable(routes []*Route) *Table {
	t := &Table{Routes: routes, hosts: map[string]*node{}, subdomains: map[string]*node{}}
	// With the widest first, a route's depth is one more than the greatest of those that are wider than it. A route
	// that asks for more is never wider, so ordering by how much is asked is enough.
	order := slices.Clone(routes)
	slices.SortStableFunc(order, func(a, b *Route) int { return a.pattern.specificity() - b.pattern.specificity() })
	var before prefixIndex[*Route]
	for _, r := range order {
		r.depth = 1
		for w := range before.candidates(r.pattern) {
			if w.depth >= r.depth && r.pattern.compare(w.pattern) == narrower {
				r.depth = w.depth + 1
			}
		}
		before.add(r.pattern, r)
	}
	for _, r := range routes {
		t.add(r)
	}
	return t
}

// specificity is more for a pattern than for any that is wider than it.
func (p *Pattern) specificity() (n int) {
	switch {
	case strings.HasPrefix(p.host, "*"):
		n += 1 + len(p.host)
	case p.host != "":
		n += 1000
	}
	for _, s := range p.segments {
		if n += 2; !s.any {
			n++
		}
	}
	if !p.rest {
		n++
	}
	for _, set := range [][]string{p.methods, p.classes, p.tenants} {
		if len(set) > 0 {
			n += maxWords + 1 - len(set)
		}
	}
	for _, c := range p.headers {
		if n++; c.value != "" {
			n++
		}
	}
	return n
}

func (t *Table) add(r *Route) {
	p := r.pattern
	var n *node
	switch name, under := strings.CutPrefix(p.host, "*."); {
	case p.host == "":
		if t.anyHost == nil {
			t.anyHost = &node{}
		}
		n = t.anyHost
	case under:
		n = child(t.subdomains, name)
	default:
		n = child(t.hosts, name)
	}
	if !p.rest || len(p.segments) > 0 {
		t.checksPaths = true
	}
	n.maxDepth = max(n.maxDepth, r.depth)
	for _, s := range p.segments {
		switch {
		case s.any && n.wildcard == nil:
			n.wildcard = &node{}
			fallthrough
		case s.any:
			n = n.wildcard
		default:
			if n.children == nil {
				n.children = map[string]*node{}
			}
			n = child(n.children, s.text)
		}
		n.maxDepth = max(n.maxDepth, r.depth)
	}
	at := &n.exact
	if p.rest {
		at = &n.rest
	}
	if *at == nil {
		*at = &leaf{routes: map[criteria][]*Route{}}
	}
	(*at).add(r)
}

func child(m map[string]*node, name string) *node {
	if m[name] == nil {
		m[name] = &node{}
	}
	return m[name]
}

func (l *leaf) add(r *Route) {
	p := r.pattern
	or := func(set []string) []string {
		if len(set) == 0 {
			return []string{""}
		}
		return set
	}
	asks := 0
	for i, set := range [][]string{p.methods, p.classes, p.tenants} {
		if len(set) > 0 {
			asks |= 1 << i
		}
	}
	l.used[asks], l.maxDepth = true, max(l.maxDepth, r.depth)
	for _, m := range or(p.methods) {
		for _, c := range or(p.classes) {
			for _, t := range or(p.tenants) {
				k := criteria{m, c, t}
				l.routes[k] = append(l.routes[k], r)
				slices.SortStableFunc(l.routes[k], func(a, b *Route) int { return b.depth - a.depth })
			}
		}
	}
}

// Find is the most specific route that matches a request, nil for none. It is false where the path is such that two
// readers may take it for different ones, and some route asks for a path: it must go nowhere.
func (t *Table) Find(q *Request) (r *Route, ok bool) {
	if t == nil || len(t.Routes) == 0 {
		return nil, true
	}
	if t.checksPaths && AmbiguousPath(q.Path) != "" {
		return nil, false
	}
	s := search{request: q}
	path := strings.TrimSuffix(strings.TrimPrefix(q.Path, "/"), "/")
	if len(t.hosts) > 0 || len(t.subdomains) > 0 {
		var room [256]byte
		host := hostName(q.Host, room[:0])
		if n := t.hosts[string(host)]; n != nil {
			s.walk(n, path, path == "")
		}
		for i := range host {
			if host[i] == '.' {
				if n := t.subdomains[string(host[i+1:])]; n != nil {
					s.walk(n, path, path == "")
				}
			}
		}
	}
	if t.anyHost != nil {
		s.walk(t.anyHost, path, path == "")
	}
	return s.best, true
}

// hostName is a Host without port, final dot and case, in room that is given; nothing where it is too long.
func hostName(host string, room []byte) []byte {
	if strings.HasPrefix(host, "[") {
		return nil // an address, which no pattern names
	}
	if i := strings.IndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if len(host) > cap(room) {
		return nil
	}
	for i := range len(host) {
		c := host[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		room = append(room, c)
	}
	return room
}

// search looks for the deepest route that matches: of those that match one request each is wider or narrower than
// each other, so the deepest is the narrowest.
type search struct {
	request *Request
	best    *Route
	room    [maxSegmentBytes]byte
}

func (s *search) canImprove(top int) bool { return s.best == nil || top > s.best.depth }

// walk looks at a node with the segments that are left; end says that there are none.
func (s *search) walk(n *node, path string, end bool) {
	if !s.canImprove(n.maxDepth) {
		return
	}
	if n.rest != nil {
		s.visit(n.rest)
	}
	if end {
		if n.exact != nil {
			s.visit(n.exact)
		}
		return
	}
	text, left, more := strings.Cut(path, "/")
	if len(n.children) > 0 {
		var next *node
		if strings.IndexByte(text, '%') < 0 {
			next = n.children[text]
		} else if b, ok := unescape(text, s.room[:0]); ok {
			next = n.children[string(b)]
		}
		if next != nil {
			s.walk(next, left, !more)
		}
	}
	if n.wildcard != nil {
		s.walk(n.wildcard, left, !more)
	}
}

func (s *search) visit(l *leaf) {
	if !s.canImprove(l.maxDepth) {
		return
	}
	for asks, some := range l.used {
		if !some {
			continue
		}
		var k criteria
		if asks&1 > 0 {
			k.method = s.request.Method
		}
		if asks&2 > 0 {
			k.class = s.request.Class
		}
		if asks&4 > 0 {
			k.tenant = s.request.Tenant
		}
		for _, r := range l.routes[k] {
			if !s.canImprove(r.depth) {
				break
			}
			if r.pattern.hasHeaders(s.request.Header) {
				s.best = r
				break
			}
		}
	}
}

// hasHeaders tells whether the headers that the pattern asks for are there. One with a value has to be there once: of
// two, an endpoint may read the other one.
func (p *Pattern) hasHeaders(h map[string][]string) bool {
	for _, c := range p.headers {
		got := h[c.name]
		if len(got) == 0 || c.value != "" && (len(got) != 1 || got[0] != c.value) {
			return false
		}
	}
	return true
}

// AmbiguousPath says why two readers may take an escaped path for different ones, or "". Such a path would be matched by one
// route here and served as that of another behind.
func AmbiguousPath(path string) string {
	if path == "" || path[0] != '/' {
		return "it does not begin with /"
	}
	from := 1 // of the segment
	for i := 1; i <= len(path); i++ {
		if i == len(path) || path[i] == '/' {
			if text := ambiguousSegment(path[from:i], i == len(path)); text != "" {
				return text
			}
			from = i + 1
		}
	}
	return ""
}

func ambiguousSegment(s string, last bool) string {
	if s == "" && !last {
		return "it has // in it"
	}
	dots := 0
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c == '%' {
			if i+2 >= len(s) || unhex(s[i+1]) < 0 || unhex(s[i+2]) < 0 {
				return "it has an escape that is none"
			}
			c = byte(unhex(s[i+1])<<4 | unhex(s[i+2]))
			i += 2
			if c == '/' || c == '\\' || c < ' ' || c == 0x7f || c == '%' {
				return fmt.Sprintf("it has %%%02X in it", c)
			}
		} else if c == '\\' || c == '#' || c <= ' ' || c == 0x7f {
			return fmt.Sprintf("it has %q in it", c)
		}
		if c == '.' {
			dots++
		} else {
			dots = 3
		}
	}
	if dots == 1 || dots == 2 {
		return "it has a segment of dots"
	}
	return ""
}

func unhex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// unescape undoes escapes, in room that is given; false where it is longer, and so no pattern's.
func unescape(s string, room []byte) ([]byte, bool) {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c == '%' && i+2 < len(s) {
			c = byte(unhex(s[i+1])<<4 | unhex(s[i+2]))
			i += 2
		}
		if len(room) == cap(room) {
			return nil, false
		}
		room = append(room, c)
	}
	return room, true
}
