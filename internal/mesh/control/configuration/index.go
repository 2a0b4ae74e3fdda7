package configuration

import "strings"

// prefixNode is a node of the tree that holds a host's routes by path prefix. Prefixes are split into segments after each slash: "/",
// "a/", "b/". The cost of a lookup grows with the length of the path, not with the number of routes, except for prefixes that do not end
// with a slash.
type prefixNode struct {
	route         *Route                 // route whose prefix ends at this node; nil if there is none
	children      map[string]*prefixNode // child nodes by the next segment
	partialRoutes []*Route               // routes whose prefix continues after this node without a further slash, longest first
	prefixBytes   int                    // length of the prefix up to this node
}

// canonicalHost returns the form of a host in which hosts are compared: in lower case, without a port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of the host whose prefix is the longest that the path begins with, nil if there is none.
func (c *Config) Match(host, path string) *Route {
	node := c.routesByHost[canonicalHost(host)]
	var best *Route
	for node != nil {
		if node.route != nil {
			best = node.route
		}
		rest := path[node.prefixBytes:]
		for _, route := range node.partialRoutes {
			if strings.HasPrefix(rest, route.Prefix[node.prefixBytes:]) {
				best = route
				break
			}
		}
		slash := strings.IndexByte(rest, '/')
		if slash < 0 {
			break
		}
		node = node.children[rest[:slash+1]]
	}
	return best
}

// addToIndex adds a route to routesByHost. If another route already has the same host and prefix, it returns that route and adds nothing;
// otherwise it returns nil.
func (c *Config) addToIndex(route *Route) (other *Route) {
	host := canonicalHost(route.Host)
	node := c.routesByHost[host]
	if node == nil {
		node = &prefixNode{}
		c.routesByHost[host] = node
	}
	rest := route.Prefix
	for {
		slash := strings.IndexByte(rest, '/')
		if slash < 0 {
			break
		}
		node = node.findOrAddChild(rest[:slash+1])
		rest = rest[slash+1:]
	}
	if rest != "" {
		return node.addPartial(route)
	}
	if node.route != nil {
		return node.route
	}
	node.route = route
	return nil
}

// findOrAddChild returns the child node of a segment, and adds it if there is none.
func (p *prefixNode) findOrAddChild(segment string) *prefixNode {
	child := p.children[segment]
	if child == nil {
		child = &prefixNode{prefixBytes: p.prefixBytes + len(segment)}
		if p.children == nil {
			p.children = map[string]*prefixNode{}
		}
		p.children[segment] = child
	}
	return child
}

// addPartial adds a route to partialRoutes. If another route already has the same prefix, it returns that route and adds nothing;
// otherwise it returns nil.
func (p *prefixNode) addPartial(route *Route) (other *Route) {
	position := 0
	for ; position < len(p.partialRoutes) && len(p.partialRoutes[position].Prefix) >= len(route.Prefix); position++ {
		if p.partialRoutes[position].Prefix == route.Prefix {
			return p.partialRoutes[position]
		}
	}
	p.partialRoutes = append(p.partialRoutes, nil)
	copy(p.partialRoutes[position+1:], p.partialRoutes[position:])
	p.partialRoutes[position] = route
	return nil
}
