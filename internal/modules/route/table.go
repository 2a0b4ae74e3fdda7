package route

import (
	"cmp"
	"slices"
	"strings"
)

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

// Table finds the route of a request: a tree of path segments for each host. It does not change.
type Table struct {
	Routes      []*Route // in the order of the file
	hosts       map[string]*node
	subdomains  map[string]*node // of "*.x", by x
	anyHost     *node            // nil for none
	checksPaths bool             // some route asks for a path
}

// node is a place in paths.
type node struct {
	children map[string]*node // by the next segment's text
	wildcard *node            // of any next segment
	exact    *leaf            // of patterns that end here
	rest     *leaf            // of those that go on with any segments
	maxDepth int              // of the routes at it or below
}

// leaf has the routes of one host and path, by what else they ask for.
type leaf struct {
	routes   map[criteria][]*Route // the deepest first
	used     [criteriaMasks]bool   // which criteria some route asks for
	maxDepth int
}

// criteria are a method, a class and a tenant; "" for any.
type criteria struct{ method, class, tenant string }

// The bits of a mask of criteria that are asked for.
const (
	asksMethod = 1 << iota
	asksClass
	asksTenant
	criteriaMasks
)

// newTable compiles routes; they must not clash.
func newTable(routes []*Route) *Table {
	t := &Table{Routes: routes, hosts: map[string]*node{}, subdomains: map[string]*node{}}
	setDepths(routes)
	for _, r := range routes {
		t.add(r)
	}
	return t
}

// setDepths sets the depth of each route. With the widest first, it is one more than the greatest of those that are wider than the
// route. A route that asks for more is never wider, so ordering by how much is asked is enough.
func setDepths(routes []*Route) {
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
}

// specificity is more for a pattern than for any that is wider than it.
func (p *Pattern) specificity() (n int) {
	const oneHost = 1000 // above that of any wildcard, which grows with its length
	switch {
	case strings.HasPrefix(p.host, "*"):
		n += 1 + len(p.host)
	case p.host != "":
		n += oneHost
	}
	for _, s := range p.segments {
		n += 2
		if !s.any {
			n++
		}
	}
	if !p.rest {
		n++
	}
	for _, allowed := range [][]string{p.methods, p.classes, p.tenants} {
		if len(allowed) > 0 {
			n += maxWords + 1 - len(allowed)
		}
	}
	for _, c := range p.headers {
		n++
		if c.value != "" {
			n++
		}
	}
	return n
}

func (t *Table) add(r *Route) {
	p := r.pattern
	if !p.rest || len(p.segments) > 0 {
		t.checksPaths = true
	}
	n := t.root(p.host)
	n.maxDepth = max(n.maxDepth, r.depth)
	for _, s := range p.segments {
		n = n.next(s)
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

// root is the node of a pattern's host, made if there is none.
func (t *Table) root(host string) *node {
	if host == "" {
		if t.anyHost == nil {
			t.anyHost = &node{}
		}
		return t.anyHost
	}
	if name, wildcard := strings.CutPrefix(host, "*."); wildcard {
		return child(t.subdomains, name)
	}
	return child(t.hosts, host)
}

// next is the node of a next segment, made if there is none.
func (n *node) next(s segment) *node {
	if s.any {
		if n.wildcard == nil {
			n.wildcard = &node{}
		}
		return n.wildcard
	}
	if n.children == nil {
		n.children = map[string]*node{}
	}
	return child(n.children, s.text)
}

func child(nodes map[string]*node, name string) *node {
	if nodes[name] == nil {
		nodes[name] = &node{}
	}
	return nodes[name]
}

func (l *leaf) add(r *Route) {
	p := r.pattern
	mask := 0
	for i, allowed := range [][]string{p.methods, p.classes, p.tenants} {
		if len(allowed) > 0 {
			mask |= 1 << i
		}
	}
	l.used[mask] = true
	l.maxDepth = max(l.maxDepth, r.depth)
	for _, method := range orAny(p.methods) {
		for _, class := range orAny(p.classes) {
			for _, tenant := range orAny(p.tenants) {
				k := criteria{method, class, tenant}
				l.routes[k] = append(l.routes[k], r)
				slices.SortStableFunc(l.routes[k], func(a, b *Route) int { return b.depth - a.depth })
			}
		}
	}
}

// orAny is a set of words, or "" for any.
func orAny(words []string) []string {
	if len(words) == 0 {
		return []string{""}
	}
	return words
}

// KeepStates has routes go on with the states of those of the same names before, when a file is read again. It has to be called
// before the table is used.
func (t *Table) KeepStates(before *Table) {
	if t == nil || before == nil {
		return
	}
	states := map[string]*State{}
	for _, r := range before.Routes {
		states[r.Name] = r.State
	}
	for _, r := range t.Routes {
		r.State = cmp.Or(states[r.Name], r.State)
	}
}
