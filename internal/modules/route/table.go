package route

import (
	"cmp"
	"slices"
	"strings"
)

// Route is a route of a Table, with its settings and its state.
type Route struct {
	Name     string
	Settings *Settings
	State    *State

	pattern *Pattern
	depth   int // length of the longest chain of routes that begins with this one and in which each next route is wider
}

// Pattern returns the criteria of the route.
func (r *Route) Pattern() *Pattern { return r.pattern }

// Table finds the route of a request. It has a tree of path segments for each host, and is immutable after KeepStates.
type Table struct {
	Routes      []*Route         // all routes in the order of the file
	hosts       map[string]*node // trees by the host of the patterns
	subdomains  map[string]*node // trees of patterns with a host like "*.x", by x
	anyHost     *node            // tree of patterns without a host; nil if there are none
	checksPaths bool             // ambiguous paths are rejected, because a route has a path
}

// node is a node of a tree of path segments.
type node struct {
	children map[string]*node // child nodes by the text of the next segment
	wildcard *node            // child node for any next segment
	exact    *leaf            // routes whose path ends at this node
	rest     *leaf            // routes whose path allows any number of further segments
	maxDepth int              // greatest depth of the routes at this node and below it
}

// leaf has the routes of one host and path, by their method, class and tenant.
type leaf struct {
	routes   map[criteria][]*Route   // the routes of each combination of criteria, in descending order of depth
	used     [criteriaMaskCount]bool // masks of the criteria that at least one route has
	maxDepth int                     // greatest depth of the routes
}

// criteria are a method, a class and a tenant, each "" for any.
type criteria struct{ method, class, tenant string }

// The bits of a mask that says which criteria a route has, and the number of such masks.
const (
	methodBit = 1 << iota
	classBit
	tenantBit
	criteriaMaskCount
)

// newTable returns a table of routes. No two of them may be equal or overlap.
func newTable(routes []*Route) *Table {
	t := &Table{Routes: routes, hosts: map[string]*node{}, subdomains: map[string]*node{}}
	setDepths(routes)
	for _, r := range routes {
		t.add(r)
	}
	return t
}

// setDepths sets the depth of each route, which is one more than the greatest depth of all wider routes. A route is never wider than one
// with a lower specificity, so sorting by specificity puts all routes that are wider than a route before it.
func setDepths(routes []*Route) {
	order := slices.Clone(routes)
	slices.SortStableFunc(order, func(a, b *Route) int { return a.pattern.specificity() - b.pattern.specificity() })
	var previous prefixIndex[*Route]
	for _, r := range order {
		r.depth = 1
		for other := range previous.candidates(r.pattern) {
			if other.depth >= r.depth && r.pattern.compare(other.pattern) == narrower {
				r.depth = other.depth + 1
			}
		}
		previous.add(r.pattern, r)
	}
}

// specificity returns a number that is higher for a pattern than for any wider pattern.
func (p *Pattern) specificity() (score int) {
	const exactHost = 1000 // higher than the score of any host with a wildcard, which grows with its length
	switch {
	case strings.HasPrefix(p.host, "*"):
		score += 1 + len(p.host)
	case p.host != "":
		score += exactHost
	}
	for _, s := range p.segments {
		score += 2
		if !s.wildcard {
			score++
		}
	}
	if !p.rest {
		score++
	}
	for _, allowed := range [][]string{p.methods, p.classes, p.tenants} {
		if len(allowed) > 0 {
			score += maxListItems + 1 - len(allowed)
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
	pattern := route.pattern
	if !pattern.rest || len(pattern.segments) > 0 {
		t.checksPaths = true
	}
	at := t.rootFor(pattern.host)
	at.maxDepth = max(at.maxDepth, route.depth)
	for _, s := range pattern.segments {
		at = at.childFor(s)
		at.maxDepth = max(at.maxDepth, route.depth)
	}
	routes := &at.exact
	if pattern.rest {
		routes = &at.rest
	}
	if *routes == nil {
		*routes = &leaf{routes: map[criteria][]*Route{}}
	}
	(*routes).add(route)
}

// rootFor returns the root of the tree for a pattern's host, and adds it if there is none.
func (t *Table) rootFor(host string) *node {
	if host == "" {
		if t.anyHost == nil {
			t.anyHost = &node{}
		}
		return t.anyHost
	}
	if name, wildcard := strings.CutPrefix(host, "*."); wildcard {
		return getOrAddNode(t.subdomains, name)
	}
	return getOrAddNode(t.hosts, host)
}

// childFor returns the child node for a segment, and adds it if there is none.
func (n *node) childFor(s segment) *node {
	if s.wildcard {
		if n.wildcard == nil {
			n.wildcard = &node{}
		}
		return n.wildcard
	}
	if n.children == nil {
		n.children = map[string]*node{}
	}
	return getOrAddNode(n.children, s.text)
}

// getOrAddNode returns the node with a name, and adds it if there is none.
func getOrAddNode(nodes map[string]*node, name string) *node {
	if nodes[name] == nil {
		nodes[name] = &node{}
	}
	return nodes[name]
}

// add adds a route under each combination of its methods, classes and tenants.
func (l *leaf) add(route *Route) {
	pattern := route.pattern
	mask := 0
	for i, allowed := range [][]string{pattern.methods, pattern.classes, pattern.tenants} {
		if len(allowed) > 0 {
			mask |= 1 << i
		}
	}
	l.used[mask] = true
	l.maxDepth = max(l.maxDepth, route.depth)
	for _, method := range valuesOrAny(pattern.methods) {
		for _, class := range valuesOrAny(pattern.classes) {
			for _, tenant := range valuesOrAny(pattern.tenants) {
				key := criteria{method, class, tenant}
				l.routes[key] = append(l.routes[key], route)
				slices.SortStableFunc(l.routes[key], func(a, b *Route) int { return b.depth - a.depth })
			}
		}
	}
}

// valuesOrAny returns the values of a set, or only "", which stands for any value, if the set is empty.
func valuesOrAny(set []string) []string {
	if len(set) == 0 {
		return []string{""}
	}
	return set
}

// KeepStates takes over the states of the routes with the same names from the previous table, when the file is reloaded. It must be called
// before the table is used.
func (t *Table) KeepStates(previous *Table) {
	if t == nil || previous == nil {
		return
	}
	states := map[string]*State{}
	for _, r := range previous.Routes {
		states[r.Name] = r.State
	}
	for _, r := range t.Routes {
		r.State = cmp.Or(states[r.Name], r.State)
	}
}
