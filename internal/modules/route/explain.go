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

// Explain says of each route, in the order of the file, why it is taken or not. It looks at all of them: it is for
// people.
func (t *Table) Explain(q *Request) (all []Reason) {
	best, _ := t.Find(q)
	for _, r := range t.Routes {
		switch why := r.pattern.mismatch(q); {
		case r == best:
			all = append(all, Reason{r, true, "taken"})
		case why != "":
			all = append(all, Reason{r, false, why})
		case best == nil:
			all = append(all, Reason{r, false, "the path goes nowhere: " + AmbiguousPath(q.Path)})
		default:
			all = append(all, Reason{r, false, "matches too; " + best.Name + " is more specific"})
		}
	}
	return all
}

// mismatch is what of a pattern a request does not match first, or "".
func (p *Pattern) mismatch(q *Request) string {
	var room [256]byte
	host := string(hostName(q.Host, room[:0]))
	if p.host != "" && p.host != host && !(strings.HasPrefix(p.host, "*") && strings.HasSuffix(host, p.host[1:])) {
		return fmt.Sprintf("host %s is not %s", q.Host, p.host)
	}
	var path []string
	if trimmed := strings.TrimSuffix(strings.TrimPrefix(q.Path, "/"), "/"); trimmed != "" {
		path = strings.Split(trimmed, "/")
	}
	for i, s := range p.segments {
		if i >= len(path) {
			return fmt.Sprintf("the path has %d segments, at least %d are asked for", len(path), len(p.segments))
		}
		if text, ok := unescape(path[i], room[:0]); !s.any && (!ok || string(text) != s.text) {
			return fmt.Sprintf("segment %d of the path is %q, not %q", i+1, path[i], s.text)
		}
	}
	if len(path) > len(p.segments) && !p.rest {
		return fmt.Sprintf("the path has %d segments, %d are asked for", len(path), len(p.segments))
	}
	for _, x := range []struct {
		what, word string
		set        []string
	}{{"method", q.Method, p.methods}, {"class", q.Class, p.classes}, {"tenant", q.Tenant, p.tenants}} {
		if len(x.set) > 0 && !slices.Contains(x.set, x.word) {
			return fmt.Sprintf("%s %q is not %s", x.what, x.word, strings.Join(x.set, " or "))
		}
	}
	for _, c := range p.headers {
		if !p.only(c).hasHeaders(q.Header) {
			switch got := q.Header[c.name]; {
			case len(got) == 0:
				return "there is no header " + c.name
			case len(got) > 1:
				return fmt.Sprintf("header %s is there %d times", c.name, len(got))
			default:
				return fmt.Sprintf("header %s is %q, not %q", c.name, got[0], c.value)
			}
		}
	}
	return ""
}

// only is a pattern that asks for one header.
func (p *Pattern) only(c condition) *Pattern { return &Pattern{headers: []condition{c}} }
