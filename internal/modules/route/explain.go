package route

import (
	"fmt"
	"strings"
)

// Reason says why a route is selected for a request or not.
type Reason struct {
	*Route
	Taken bool   // whether the route is selected
	Text  string // explanation for people
}

// Explain returns for each route, in the order of the file, why it is selected for a request or not. It compares the request with all
// routes, so it is much slower than Find.
func (t *Table) Explain(request *Request) (reasons []Reason) {
	best, _ := t.Find(request)
	for _, r := range t.Routes {
		reason := Reason{Route: r}
		switch mismatch := r.pattern.mismatch(request); {
		case r == best:
			reason.Taken = true
			reason.Text = "taken"
		case mismatch != "":
			reason.Text = mismatch
		case best == nil:
			reason.Text = "the path goes nowhere: " + AmbiguousPath(request.Path)
		default:
			reason.Text = "matches too; " + best.Name + " is more specific"
		}
		reasons = append(reasons, reason)
	}
	return reasons
}

// mismatch describes the first criterion of the pattern that a request does not satisfy, or returns "" if it satisfies all.
func (p *Pattern) mismatch(request *Request) string {
	if text := p.hostMismatch(request); text != "" {
		return text
	}
	if text := p.pathMismatch(request); text != "" {
		return text
	}
	for _, criterion := range []struct {
		name, value string
		allowed     []string
	}{{"method", request.Method, p.methods}, {"class", request.Class, p.classes}, {"tenant", request.Tenant, p.tenants}} {
		if !allows(criterion.allowed, criterion.value) {
			return fmt.Sprintf("%s %q is not %s", criterion.name, criterion.value, strings.Join(criterion.allowed, " or "))
		}
	}
	for _, c := range p.headers {
		if text := c.mismatch(request.Header); text != "" {
			return text
		}
	}
	return ""
}

// hostMismatch describes why the host of a request does not match, or returns "" if it matches.
func (p *Pattern) hostMismatch(q *Request) string {
	var buffer [256]byte
	host := string(hostName(q.Host, buffer[:0]))
	underWildcard := strings.HasPrefix(p.host, "*") && strings.HasSuffix(host, strings.TrimPrefix(p.host, "*"))
	if p.host == "" || p.host == host || underWildcard {
		return ""
	}
	return fmt.Sprintf("host %s is not %s", q.Host, p.host)
}

// pathMismatch describes why the path of a request does not match, or returns "" if it matches.
func (p *Pattern) pathMismatch(request *Request) string {
	var path []string
	if trimmed := trimPath(request.Path); trimmed != "" {
		path = strings.Split(trimmed, "/")
	}
	var buffer [256]byte
	for i, s := range p.segments {
		if i >= len(path) {
			return fmt.Sprintf("the path has %d segments, at least %d are asked for", len(path), len(p.segments))
		}
		if text, ok := unescape(path[i], buffer[:0]); !s.wildcard && (!ok || string(text) != s.text) {
			return fmt.Sprintf("segment %d of the path is %q, not %q", i+1, path[i], s.text)
		}
	}
	if len(path) > len(p.segments) && !p.rest {
		return fmt.Sprintf("the path has %d segments, %d are asked for", len(path), len(p.segments))
	}
	return ""
}

// mismatch describes why the headers of a request do not satisfy the condition, or returns "" if they do.
func (c *condition) mismatch(header map[string][]string) string {
	if c.matches(header) {
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
