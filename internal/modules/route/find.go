package route

import "strings"

// Request is what of a request is matched.
type Request struct {
	Host   string // as it came, with or without a port
	Path   string // as it came, escaped, without the query
	Method string
	Class  string
	Tenant string              // "" for none
	Header map[string][]string // by canonical names
}

// Find is the most specific route that matches a request, nil for none. It is false if the path is ambiguous and some route asks for
// a path: it must go nowhere.
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

// search looks for the deepest route that matches: of those that match one request each is wider or narrower than each other, so the
// deepest is the narrowest.
type search struct {
	request *Request
	best    *Route
	buffer  [maxSegmentBytes]byte
}

// canImprove tells whether routes of a depth may be narrower than the best one so far.
func (s *search) canImprove(depth int) bool { return s.best == nil || depth > s.best.depth }

// walkHosts looks at the routes of the request's host and of those that it is under.
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
		} else if b, ok := unescape(text, s.buffer[:0]); ok {
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

// visit looks at the routes of a leaf.
func (s *search) visit(l *leaf) {
	if !s.canImprove(l.maxDepth) {
		return
	}
	for mask, used := range l.used {
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
		for _, r := range l.routes[k] {
			if !s.canImprove(r.depth) {
				break // the deepest are first
			}
			if r.pattern.hasHeaders(s.request.Header) {
				s.best = r
				break
			}
		}
	}
}

// hasHeaders tells whether the headers that the pattern asks for are there.
func (p *Pattern) hasHeaders(header map[string][]string) bool {
	for i := range p.headers {
		if !p.headers[i].holds(header) {
			return false
		}
	}
	return true
}

// holds tells whether a header is there as the condition asks. One with a value has to be there once: of two, an endpoint may read the
// other one.
func (c *condition) holds(header map[string][]string) bool {
	got := header[c.name]
	if len(got) == 0 {
		return false
	}
	return c.value == "" || len(got) == 1 && got[0] == c.value
}
