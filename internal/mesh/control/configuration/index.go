package configuration

import "strings"

// prefixNode is a node of a host's tree of routes by path prefix. Prefixes are split after each slash: "/", "a/", "b/". The cost of a
// look-up grows with the length of the path, not with the number of routes.
type prefixNode struct {
	route         *Route // whose prefix ends here
	children      map[string]*prefixNode
	partialRoutes []*Route // whose prefix ends below this node without a slash, the longest first
	prefixBytes   int      // length of the prefix up to this node
}

// canonicalHost returns a host in the form in which hosts are compared: without port, in lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the host's route with the longest prefix of the path, nil if there is none.
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

// addToIndex adds a route to the index, or returns the route that already has its host and prefix.
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
		node = node.child(rest[:slash+1])
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

// child returns the node of the next segment of a prefix, which it makes if necessary.
func (p *prefixNode) child(segment string) *prefixNode {
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

// addPartial adds a route to partialRoutes, or returns the route that already has its prefix.
func (p *prefixNode) addPartial(route *Route) (other *Route) {
	at := 0
	for ; at < len(p.partialRoutes) && len(p.partialRoutes[at].Prefix) >= len(route.Prefix); at++ {
		if p.partialRoutes[at].Prefix == route.Prefix {
			return p.partialRoutes[at]
		}
	}
	p.partialRoutes = append(p.partialRoutes, nil)
	copy(p.partialRoutes[at+1:], p.partialRoutes[at:])
	p.partialRoutes[at] = route
	return nil
}
