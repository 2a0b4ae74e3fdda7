package route

import (
	"cmp"
	"slices"
	"strings"
)

// Route is a route of a Table.
type Route struct {
	Name     string
	Settings *Settings
	State    *State

	pattern *Pattern
	depth   int // the length of the longest chain of ever wider routes that begins with this one
}

// Pattern returns the criteria of the route.
func (r *Route) Pattern() *Pattern { return r.pattern }

// Table finds the route of a request. It has a tree of path segments for each host, and does not change.
type Table struct {
	Routes      []*Route // in the order of the file
	hosts       map[string]*node
	subdomains  map[string]*node // of "*.x", by x
	anyHost     *node            // nil for none
	checksPaths bool             // a route has a path, so ambiguous paths are rejected
}

// node is a node of a tree of path segments.
type node struct {
	children map[string]*node // by the next segment
	wildcard *node            // for any next segment
	exact    *leaf            // of patterns that end here
	rest     *leaf            // of patterns that continue with any segments
	maxDepth int              // of the routes at the node and below it
}

// leaf has the routes of one host and path, by their other criteria.
type leaf struct {
	routes   map[criteria][]*Route // the deepest first
	used     [criteriaMasks]bool   // the masks of the criteria that a route has
	maxDepth int
}

// criteria are a method, a class and a tenant; "" for any.
type criteria struct{ method, class, tenant string }

// The bits of a mask of criteria.
const (
	asksMethod = 1 << iota
	asksClass
	asksTenant
	criteriaMasks
)

// newTable returns a table of routes, which must not clash.
func newTable(routes []*Route) *Table {
	t := &Table{Routes: routes, hosts: map[string]*node{}, subdomains: map[string]*node{}}
	setDepths(routes)
	for _, r := range routes {
		t.add(r)
	}
	return t
}

// setDepths sets the depth of each route, which is one more than the greatest depth of all wider routes. A route is never wider than one
// with a lower specificity, so all wider routes come before it in that order.
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

// specificity returns a number that is higher for a pattern than for any that is wider.
func (p *Pattern) specificity() (score int) {
	const oneHost = 1000 // above the value for any wildcard, which grows with its length
	switch {
	case strings.HasPrefix(p.host, "*"):
		score += 1 + len(p.host)
	case p.host != "":
		score += oneHost
	}
	for _, s := range p.segments {
		score += 2
		if !s.any {
			score++
		}
	}
	if !p.rest {
		score++
	}
	for _, allowed := range [][]string{p.methods, p.classes, p.tenants} {
		if len(allowed) > 0 {
			score += maxWords + 1 - len(allowed)
		}
	}
	for _, c := range p.headers {
		score++
		if c.value != "" {
			score++
		}
	}
	return score
}

// add adds a route to the tree of its host.
func (t *Table) add(route *Route) {
	p := route.pattern
	if !p.rest || len(p.segments) > 0 {
		t.checksPaths = true
	}
	n := t.root(p.host)
	n.maxDepth = max(n.maxDepth, route.depth)
	for _, s := range p.segments {
		n = n.next(s)
		n.maxDepth = max(n.maxDepth, route.depth)
	}
	at := &n.exact
	if p.rest {
		at = &n.rest
	}
	if *at == nil {
		*at = &leaf{routes: map[criteria][]*Route{}}
	}
	(*at).add(route)
}

// root returns the root of the tree of a pattern's host, a new one if there is none.
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

// next returns the node of a next segment, a new one if there is none.
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

// child returns the node with a name, a new one if there is none.
func child(nodes map[string]*node, name string) *node {
	if nodes[name] == nil {
		nodes[name] = &node{}
	}
	return nodes[name]
}

// add adds a route under each combination of its methods, classes and tenants.
func (l *leaf) add(route *Route) {
	p := route.pattern
	mask := 0
	for i, allowed := range [][]string{p.methods, p.classes, p.tenants} {
		if len(allowed) > 0 {
			mask |= 1 << i
		}
	}
	l.used[mask] = true
	l.maxDepth = max(l.maxDepth, route.depth)
	for _, method := range orAny(p.methods) {
		for _, class := range orAny(p.classes) {
			for _, tenant := range orAny(p.tenants) {
				k := criteria{method, class, tenant}
				l.routes[k] = append(l.routes[k], route)
				slices.SortStableFunc(l.routes[k], func(a, b *Route) int { return b.depth - a.depth })
			}
		}
	}
}

// orAny returns a set of words, or "", for any, if it is empty.
func orAny(words []string) []string {
	if len(words) == 0 {
		return []string{""}
	}
	return words
}

// KeepStates takes over the states of the routes of a table before, by name, when a file is read again. It has to be called before the
// table is used.
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
