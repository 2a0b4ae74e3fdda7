package route

import (
	"fmt"
	"slices"
	"strings"
)

// Reason is why a route is taken for a request, or not.
type Reason struct {
	*Route
	Taken bool
	Text  string
}

// Explain says of each route, in the order of the file, why it is taken or not. It looks at all of them: it is for people.
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

// mismatch is what of a pattern a request does not match first, or "".
func (p *Pattern) mismatch(q *Request) string {
	if text := p.hostMismatch(q); text != "" {
		return text
	}
	if text := p.pathMismatch(q); text != "" {
		return text
	}
	for _, c := range []struct {
		name, value string
		allowed     []string
	}{{"method", q.Method, p.methods}, {"class", q.Class, p.classes}, {"tenant", q.Tenant, p.tenants}} {
		if len(c.allowed) > 0 && !slices.Contains(c.allowed, c.value) {
			return fmt.Sprintf("%s %q is not %s", c.name, c.value, strings.Join(c.allowed, " or "))
		}
	}
	for _, c := range p.headers {
		if text := c.mismatch(q.Header); text != "" {
			return text
		}
	}
	return ""
}

func (p *Pattern) hostMismatch(q *Request) string {
	var buffer [256]byte
	host := string(hostName(q.Host, buffer[:0]))
	underWildcard := strings.HasPrefix(p.host, "*") && strings.HasSuffix(host, strings.TrimPrefix(p.host, "*"))
	if p.host == "" || p.host == host || underWildcard {
		return ""
	}
	return fmt.Sprintf("host %s is not %s", q.Host, p.host)
}

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
