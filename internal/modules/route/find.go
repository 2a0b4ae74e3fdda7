package route

import "strings"

// Request is what patterns match.
type Request struct {
	Host   string // as it was received, with or without a port
	Path   string // as it was received, escaped, without the query
	Method string
	Class  string
	Tenant string              // "" for none
	Header map[string][]string // by canonical names
}

// Find returns the most specific route that matches a request, nil for none. It returns false if the path is ambiguous and a route has
// a path: the request must not be forwarded.
func (t *Table) Find(q *Request) (r *Route, ok bool) {
	if t == nil || len(t.Routes) == 0 {
		return nil, true
	}
	if t.checksPaths && AmbiguousPath(q.Path) != "" {
		return nil, false
	}
	s := search{request: q}
	path := trimPath(q.Path)
	if len(t.hosts) > 0 || len(t.subdomains) > 0 {
		s.walkHosts(t, path)
	}
	if t.anyHost != nil {
		s.walk(t.anyHost, path, path == "")
	}
	return s.best, true
}

// search finds the deepest route that matches a request. Of two routes that match the same request one is always wider than the other,
// so the deepest is the narrowest.
type search struct {
	request *Request
	best    *Route                // so far
	buffer  [maxSegmentBytes]byte // for an unescaped segment
}

// canImprove reports whether a route of a depth would be narrower than the best one so far.
func (s *search) canImprove(depth int) bool { return s.best == nil || depth > s.best.depth }

// walkHosts walks the trees of the request's host, and of the wildcards that match it.
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

// walk visits a node and those below it with the segments that are left; end is set if there are none.
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
	text, left, more := strings.Cut(path, "/")
	if len(at.children) > 0 {
		var next *node
		if strings.IndexByte(text, '%') < 0 {
			next = at.children[text]
		} else if b, ok := unescape(text, s.buffer[:0]); ok {
			next = at.children[string(b)]
		}
		if next != nil {
			s.walk(next, left, !more)
		}
	}
	if at.wildcard != nil {
		s.walk(at.wildcard, left, !more)
	}
}

// visit finds the best route of a leaf, by the criteria that its routes have.
func (s *search) visit(leaf *leaf) {
	if !s.canImprove(leaf.maxDepth) {
		return
	}
	for mask, used := range leaf.used {
		if !used {
			continue
		}
		var k criteria
		if mask&asksMethod > 0 {
			k.method = s.request.Method
		}
		if mask&asksClass > 0 {
			k.class = s.request.Class
		}
		if mask&asksTenant > 0 {
			k.tenant = s.request.Tenant
		}
		for _, r := range leaf.routes[k] {
			if !s.canImprove(r.depth) {
				break // the deepest routes are first
			}
			if r.pattern.hasHeaders(s.request.Header) {
				s.best = r
				break
			}
		}
	}
}

// hasHeaders reports whether a request has the headers of the pattern.
func (p *Pattern) hasHeaders(header map[string][]string) bool {
	for i := range p.headers {
		if !p.headers[i].holds(header) {
			return false
		}
	}
	return true
}

// holds reports whether the headers of a request satisfy the condition. A header with a value must not be repeated: an endpoint might
// read another value than the sidecar.
func (c *condition) holds(header map[string][]string) bool {
	got := header[c.name]
	if len(got) == 0 {
		return false
	}
	return c.value == "" || len(got) == 1 && got[0] == c.value
}
