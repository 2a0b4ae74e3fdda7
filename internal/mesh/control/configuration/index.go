package configuration

import "strings"

// prefixNode is a node of a host's index of routes by path prefix. Prefixes are cut after each slash: "/", "a/", "b/". What a look-up
// costs depends on the length of the path only.
type prefixNode struct {
	route         *Route // whose prefix ends here
	children      map[string]*prefixNode
	partialRoutes []*Route // whose prefix ends in a piece without a slash, the longest first
	prefixBytes   int      // length of the prefix so far
}

// canonicalHost is a host as routes are compared: without port, in lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match finds the route for a host and a path: among the host's routes the one with the longest prefix of the path, nil if there is
// none.
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

// addToIndex adds a route, or returns the one that has its host and prefix already.
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

// child is the node for the next piece of a prefix, which it makes.
func (p *prefixNode) child(piece string) *prefixNode {
	child := p.children[piece]
	if child == nil {
		child = &prefixNode{prefixBytes: p.prefixBytes + len(piece)}
		if p.children == nil {
			p.children = map[string]*prefixNode{}
		}
		p.children[piece] = child
	}
	return child
}

// addPartial adds a route to partialRoutes, or returns the one with the same prefix.
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
