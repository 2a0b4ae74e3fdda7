package route

import "strings"

// Request has the properties of a request that patterns match.
type Request struct {
	Host   string // Host header as received, with or without a port
	Path   string // escaped path as received, without the query
	Method string
	Class  string
	Tenant string              // "" for a request without a tenant
	Header map[string][]string // values by canonical header name
}

// Find returns the most specific route that matches a request, or nil if none does. It returns false if the path is ambiguous and any
// route has a path: then the request must not be forwarded.
func (t *Table) Find(request *Request) (r *Route, ok bool) {
	if t == nil || len(t.Routes) == 0 {
		return nil, true
	}
	if t.checksPaths && AmbiguousPath(request.Path) != "" {
		return nil, false
	}
	s := search{request: request}
	path := trimPath(request.Path)
	if len(t.hosts) > 0 || len(t.subdomains) > 0 {
		s.walkHosts(t, path)
	}
	if t.anyHost != nil {
		s.walk(t.anyHost, path, path == "")
	}
	return s.best, true
}

// search finds the route with the greatest depth that matches a request. Of two routes that match the same request, one is always wider
// than the other, so the route with the greatest depth is the most specific one.
type search struct {
	request *Request
	best    *Route                // most specific match so far; nil if there is none
	buffer  [maxSegmentBytes]byte // memory for an unescaped segment
}

// canImprove reports whether a matching route of this depth would be more specific than the best one so far.
func (s *search) canImprove(depth int) bool { return s.best == nil || depth > s.best.depth }

// walkHosts walks the tree of the request's host, and those of the host wildcards that match it.
func (s *search) walkHosts(t *Table, path string) {
	var buffer [256]byte
	host := hostName(s.request.Host, buffer[:0])
	if n := t.hosts[string(host)]; n != nil {
		s.walk(n, path, path == "")
	}
	for i := range host {
		if host[i] != '.' {
			continue
		}
		if n := t.subdomains[string(host[i+1:])]; n != nil {
			s.walk(n, path, path == "")
		}
	}
}

// walk visits a node and the nodes below it that match the remaining segments of the path; end is set if no segments remain.
func (s *search) walk(at *node, path string, end bool) {
	if !s.canImprove(at.maxDepth) {
		return
	}
	if at.rest != nil {
		s.visit(at.rest)
	}
	if end {
		if at.exact != nil {
			s.visit(at.exact)
		}
		return
	}
	text, remaining, more := strings.Cut(path, "/")
	if len(at.children) > 0 {
		var next *node
		if strings.IndexByte(text, '%') < 0 {
			next = at.children[text]
		} else if b, ok := unescape(text, s.buffer[:0]); ok {
			next = at.children[string(b)]
		}
		if next != nil {
			s.walk(next, remaining, !more)
		}
	}
	if at.wildcard != nil {
		s.walk(at.wildcard, remaining, !more)
	}
}

// visit looks for a more specific match in a leaf. It looks up each combination of criteria that a route of the leaf has.
func (s *search) visit(leaf *leaf) {
	if !s.canImprove(leaf.maxDepth) {
		return
	}
	for mask, used := range leaf.used {
		if !used {
			continue
		}
		var key criteria
		if mask&methodBit > 0 {
			key.method = s.request.Method
		}
		if mask&classBit > 0 {
			key.class = s.request.Class
		}
		if mask&tenantBit > 0 {
			key.tenant = s.request.Tenant
		}
		for _, r := range leaf.routes[key] {
			if !s.canImprove(r.depth) {
				break // the routes are in descending order of depth
			}
			if r.pattern.hasHeaders(s.request.Header) {
				s.best = r
				break
			}
		}
	}
}

// hasHeaders reports whether the headers of a request satisfy all conditions of the pattern.
func (p *Pattern) hasHeaders(header map[string][]string) bool {
	for i := range p.headers {
		if !p.headers[i].matches(header) {
			return false
		}
	}
	return true
}

// matches reports whether the headers of a request satisfy the condition. If the condition has a value, the header must not be repeated:
// an endpoint might read another of the values than the sidecar.
func (c *condition) matches(header map[string][]string) bool {
	got := header[c.name]
	if len(got) == 0 {
		return false
	}
	return c.value == "" || len(got) == 1 && got[0] == c.value
}
