package route

import (
	"fmt"
	"strings"
)

// Reason is why a route is taken for a request or not.
type Reason struct {
	*Route
	Taken bool
	Text  string // for people
}

// Explain returns for each route, in the order of the file, why it is taken for a request or not. It compares the request with all
// routes, so it is much slower than Find.
func (t *Table) Explain(q *Request) (all []Reason) {
	best, _ := t.Find(q)
	for _, r := range t.Routes {
		reason := Reason{Route: r}
		switch mismatch := r.pattern.mismatch(q); {
		case r == best:
			reason.Taken = true
			reason.Text = "taken"
		case mismatch != "":
			reason.Text = mismatch
		case best == nil:
			reason.Text = "the path goes nowhere: " + AmbiguousPath(q.Path)
		default:
			reason.Text = "matches too; " + best.Name + " is more specific"
		}
		all = append(all, reason)
	}
	return all
}

// mismatch describes the first criterion of the pattern that a request does not match; "" if it matches.
func (p *Pattern) mismatch(request *Request) string {
	if text := p.hostMismatch(request); text != "" {
		return text
	}
	if text := p.pathMismatch(request); text != "" {
		return text
	}
	for _, c := range []struct {
		name, value string
		allowed     []string
	}{{"method", request.Method, p.methods}, {"class", request.Class, p.classes}, {"tenant", request.Tenant, p.tenants}} {
		if !allows(c.allowed, c.value) {
			return fmt.Sprintf("%s %q is not %s", c.name, c.value, strings.Join(c.allowed, " or "))
		}
	}
	for _, c := range p.headers {
		if text := c.mismatch(request.Header); text != "" {
			return text
		}
	}
	return ""
}

// hostMismatch describes why the host of a request does not match, or "".
func (p *Pattern) hostMismatch(q *Request) string {
	var buffer [256]byte
	host := string(hostName(q.Host, buffer[:0]))
	underWildcard := strings.HasPrefix(p.host, "*") && strings.HasSuffix(host, strings.TrimPrefix(p.host, "*"))
	if p.host == "" || p.host == host || underWildcard {
		return ""
	}
	return fmt.Sprintf("host %s is not %s", q.Host, p.host)
}

// pathMismatch describes why the path of a request does not match, or "".
func (p *Pattern) pathMismatch(q *Request) string {
	var path []string
	if trimmed := trimPath(q.Path); trimmed != "" {
		path = strings.Split(trimmed, "/")
	}
	var buffer [256]byte
	for i, s := range p.segments {
		if i >= len(path) {
			return fmt.Sprintf("the path has %d segments, at least %d are asked for", len(path), len(p.segments))
		}
		if text, ok := unescape(path[i], buffer[:0]); !s.any && (!ok || string(text) != s.text) {
			return fmt.Sprintf("segment %d of the path is %q, not %q", i+1, path[i], s.text)
		}
	}
	if len(path) > len(p.segments) && !p.rest {
		return fmt.Sprintf("the path has %d segments, %d are asked for", len(path), len(p.segments))
	}
	return ""
}

// mismatch describes why the headers of a request do not satisfy the condition, or "".
func (c *condition) mismatch(header map[string][]string) string {
	if c.holds(header) {
		return ""
	}
	switch got := header[c.name]; len(got) {
	case 0:
		return "there is no header " + c.name
	case 1:
		return fmt.Sprintf("header %s is %q, not %q", c.name, got[0], c.value)
	default:
		return fmt.Sprintf("header %s is there %d times", c.name, len(got))
	}
}
