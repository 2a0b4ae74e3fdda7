// Package route says which route of the product's file a request takes, what
// that route sets for it, and whether it may come in or go out again. It does no
// I/O; times are arguments.
//
// A route matches on host, path, method, class, tenant and headers. One is more
// specific than another if it matches fewer requests: each of its requests is
// matched by the other too, and not the other way round. Of the routes that match
// a request the most specific is taken, so the order in the file means nothing;
// two that match a request in common, neither of them more specific, are refused
// at load.
package route

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"strings"
)

// The bounds of a pattern.
const (
	MaxSegments     = 32
	maxSegmentBytes = 256 // bytes of a segment
	maxWords        = 64  // methods, classes, tenants or headers
)

// Pattern is what a route matches. The zero value matches everything.
type Pattern struct {
	host     string // "": any; "*.x": those under x
	segments []segment
	rest     bool // any number of further segments, none too
	methods  []string
	classes  []string
	tenants  []string
	headers  []condition
}

// segment is one of a path: a text, or any.
type segment struct {
	text string
	any  bool
}

// condition is that a header is there, once and with a value, or any.
type condition struct {
	name  string // canonical
	value string // "" for any
}

// PatternText are a pattern as a file has it; an empty one is any.
type PatternText struct {
	Host    string // "x.example.org", or "*.example.org"
	Path    string // "/a/b", "/a/{x}", "/a/{rest...}"
	Methods string // with commas between
	Classes string
	Tenants string
	Headers string // "Name: value" or "Name"
}

// fault is what is wrong with one of the words.
type fault struct{ key, text string }

// newPattern reads words.
func newPattern(w PatternText) (p *Pattern, faults []fault) {
	p = &Pattern{}
	bad := func(key, format string, args ...any) {
		faults = append(faults, fault{key, fmt.Sprintf(format, args...)})
	}
	if text := badHost(w.Host); text != "" {
		bad("host", "%s", text)
	}
	p.host = strings.ToLower(w.Host)
	var text string
	if p.segments, p.rest, text = readPath(w.Path); text != "" {
		bad("path", "%s", text)
	}
	for _, x := range []struct {
		key, text string
		to        *[]string
	}{{"methods", w.Methods, &p.methods}, {"classes", w.Classes, &p.classes}, {"tenants", w.Tenants, &p.tenants}} {
		words, text := readWords(x.text)
		if text != "" {
			bad(x.key, "%s", text)
		}
		*x.to = words
	}
	for _, m := range p.methods {
		if m != "GET" && m != "POST" {
			bad("methods", "%q is no method that is served: GET and POST are", m)
		}
	}
	if p.headers, text = readHeaders(w.Headers); text != "" {
		bad("headers", "%s", text)
	}
	return p, faults
}

func badHost(host string) string {
	if host == "" {
		return ""
	}
	name := strings.TrimPrefix(host, "*.")
	switch {
	case len(host) > 253:
		return "has more than 253 bytes"
	case strings.Contains(name, "*"):
		return "a * stands for the first labels alone, as in \"*.example.org\""
	case strings.ContainsAny(host, "/:[]@ ") || strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".") || strings.Contains(name, ".."):
		return "is no host name; write it without scheme, port or path"
	}
	return ""
}

func readPath(path string) (segments []segment, rest bool, fault string) {
	if path == "" {
		return nil, true, ""
	}
	if path[0] != '/' {
		return nil, false, "does not begin with /"
	}
	if path == "/" {
		return nil, false, ""
	}
	parts := strings.Split(path[1:], "/")
	if len(parts) > MaxSegments {
		return nil, false, fmt.Sprintf("has more than %d segments", MaxSegments)
	}
	names := map[string]bool{}
	for i, part := range parts {
		name, wild := strings.CutPrefix(part, "{")
		if wild {
			var closed, many bool
			if name, closed = strings.CutSuffix(name, "}"); !closed {
				return nil, false, fmt.Sprintf("%q: a wildcard is a whole segment, like {id}", part)
			}
			if name, many = strings.CutSuffix(name, "..."); many && i < len(parts)-1 {
				return nil, false, fmt.Sprintf("%q stands for the rest of a path, and has to be its end", part)
			}
			if name == "" || strings.ContainsAny(name, "{}.*") {
				return nil, false, fmt.Sprintf("%q: a wildcard has a name, like {id} or {rest...}", part)
			}
			if names[name] {
				return nil, false, fmt.Sprintf("two wildcards have the name %q", name)
			}
			names[name] = true
			if many {
				return segments, true, ""
			}
			segments = append(segments, segment{any: true})
			continue
		}
		switch {
		case part == "" && i == len(parts)-1:
			return nil, false, "ends in /: write it without (it matches both), or end it in /{rest...}"
		case part == "" || part == "." || part == "..":
			return nil, false, fmt.Sprintf("has the segment %q, which no path that is routed has", part)
		case len(part) > maxSegmentBytes:
			return nil, false, fmt.Sprintf("has a segment of more than %d bytes", maxSegmentBytes)
		case strings.ContainsAny(part, "{}*?#%\\") || strings.ContainsFunc(part, func(r rune) bool { return r <= ' ' || r == 0x7f }):
			return nil, false, fmt.Sprintf("%q: write characters as they are, not escaped; { } * ? # %% and \\ cannot be in it", part)
		}
		segments = append(segments, segment{text: part})
	}
	return segments, false, ""
}

func readWords(text string) (words []string, fault string) {
	if text == "" {
		return nil, ""
	}
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part == "" {
			return nil, "has an empty word between commas"
		}
		if slices.Contains(words, part) {
			return nil, fmt.Sprintf("has %q twice", part)
		}
		words = append(words, part)
	}
	if len(words) > maxWords {
		return nil, fmt.Sprintf("has more than %d words", maxWords)
	}
	slices.Sort(words)
	return words, ""
}

func readHeaders(text string) (all []condition, fault string) {
	words, fault := readWords(text)
	for _, word := range words {
		name, value, _ := strings.Cut(word, ":")
		name, value = canonical(strings.TrimSpace(name)), strings.TrimSpace(value)
		if name == "" || strings.ContainsFunc(name, func(r rune) bool {
			return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r))
		}) {
			return nil, fmt.Sprintf("%q is no header: write \"Name: value\", or \"Name\" for any value", word)
		}
		if slices.ContainsFunc(all, func(c condition) bool { return c.name == name }) {
			return nil, fmt.Sprintf("has %q twice", name)
		}
		all = append(all, condition{name, value})
	}
	slices.SortFunc(all, func(a, b condition) int { return cmp.Compare(a.name, b.name) })
	return all, fault
}

// canonical is a header's name as net/http keeps it: RFC 9110 names have no case.
func canonical(name string) string {
	b := []byte(name)
	upper := true
	for i, c := range b {
		if upper && 'a' <= c && c <= 'z' {
			b[i] = c - 'a' + 'A'
		} else if !upper && 'A' <= c && c <= 'Z' {
			b[i] = c - 'A' + 'a'
		}
		upper = c == '-'
	}
	return string(b)
}

// relation is how the requests of one pattern lie to those of another.
type relation int

const (
	equal    relation = iota
	narrower          // some of the other's
	wider             // the other's, and more
	disjoint          // none in common
	overlaps          // some in common, and each has others
)

// and is the relation of two conditions that both have to hold.
func (r relation) and(s relation) relation {
	switch {
	case r == disjoint || s == disjoint:
		return disjoint
	case r == equal || r == s:
		return s
	case s == equal:
		return r
	}
	return overlaps
}

// compare is how p's requests lie to q's.
func (p *Pattern) compare(q *Pattern) relation {
	r := comparePaths(p, q)
	if r == disjoint {
		return r
	}
	if r = r.and(compareSets(p.classes, q.classes)); r == disjoint {
		return r
	}
	return r.and(compareSets(p.methods, q.methods)).and(compareSets(p.tenants, q.tenants)).
		and(compareHosts(p.host, q.host)).and(compareHeaders(p.headers, q.headers))
}

func compareHosts(a, b string) relation {
	under := func(a, b string) bool { // what matches a matches b too
		return b == "" || strings.HasPrefix(b, "*") && strings.HasSuffix(strings.TrimPrefix(a, "*"), b[1:])
	}
	switch {
	case a == b:
		return equal
	case under(a, b):
		return narrower
	case under(b, a):
		return wider
	}
	return disjoint
}

func comparePaths(p, q *Pattern) (r relation) {
	for i := range min(len(p.segments), len(q.segments)) {
		switch a, b := p.segments[i], q.segments[i]; {
		case a.any && b.any:
		case a.any:
			r = r.and(wider)
		case b.any:
			r = r.and(narrower)
		case a.text != b.text:
			return disjoint
		}
	}
	switch a, b := len(p.segments), len(q.segments); {
	case a > b && !q.rest || a < b && !p.rest:
		return disjoint
	case a > b, a == b && q.rest && !p.rest:
		return r.and(narrower)
	case a < b, a == b && p.rest && !q.rest:
		return r.and(wider)
	}
	return r
}

// compareSets compares sorted sets; an empty one is everything.
func compareSets(a, b []string) relation {
	common := 0
	for _, x := range a {
		if _, ok := slices.BinarySearch(b, x); ok {
			common++
		}
	}
	switch {
	case len(a) == 0 && len(b) == 0:
		return equal
	case len(a) == 0:
		return wider
	case len(b) == 0:
		return narrower
	case common == 0:
		return disjoint
	case common == len(a) && common == len(b):
		return equal
	case common == len(a):
		return narrower
	case common == len(b):
		return wider
	}
	return overlaps
}

func compareHeaders(a, b []condition) (r relation) {
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].name < b[0].name:
			r, a = r.and(narrower), a[1:]
			continue
		case len(a) == 0 || b[0].name < a[0].name:
			r, b = r.and(wider), b[1:]
			continue
		case a[0].value == b[0].value:
		case a[0].value == "":
			r = r.and(wider)
		case b[0].value == "":
			r = r.and(narrower)
		default:
			return disjoint
		}
		a, b = a[1:], b[1:]
	}
	return r
}

// firstSegment is the text that a path of the pattern begins with; false where it can begin with any.
func (p *Pattern) firstSegment() (text string, ok bool) {
	switch {
	case len(p.segments) > 0:
		return p.segments[0].text, !p.segments[0].any
	case p.rest:
		return "", false
	}
	return "/", true
}

// prefixIndex holds things by what the paths of their patterns begin with, so that those that have nothing in common are not
// compared.
type prefixIndex[T any] struct {
	texts map[string][]T
	wild  []T
}

func (s *prefixIndex[T]) add(p *Pattern, x T) {
	if text, ok := p.firstSegment(); ok {
		if s.texts == nil {
			s.texts = map[string][]T{}
		}
		s.texts[text] = append(s.texts[text], x)
	} else {
		s.wild = append(s.wild, x)
	}
}

// candidates gives those that a pattern may have requests in common with, and all that may be wider.
func (s *prefixIndex[T]) candidates(p *Pattern) iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, x := range s.wild {
			if !yield(x) {
				return
			}
		}
		text, ok := p.firstSegment()
		if ok {
			for _, x := range s.texts[text] {
				if !yield(x) {
					return
				}
			}
			return
		}
		for _, list := range s.texts {
			for _, x := range list {
				if !yield(x) {
					return
				}
			}
		}
	}
}

// exampleRequest is a request, in words, that both patterns match; they must not be disjoint.
func exampleRequest(p, q *Pattern) string {
	one := func(a, b []string, preset string) string {
		switch {
		case len(a) > 0 && len(b) > 0:
			for _, x := range a {
				if slices.Contains(b, x) {
					return x
				}
			}
		case len(a) > 0:
			return a[0]
		case len(b) > 0:
			return b[0]
		}
		return preset
	}
	host := p.host
	if host == "" || strings.HasPrefix(host, "*") && q.host != "" && compareHosts(q.host, host) == narrower {
		host = q.host
	}
	if strings.HasPrefix(host, "*") {
		host = "x" + host[1:]
	}
	path := ""
	for i := range max(len(p.segments), len(q.segments)) {
		text := "x"
		for _, o := range []*Pattern{p, q} {
			if i < len(o.segments) && !o.segments[i].any {
				text = o.segments[i].text
			}
		}
		path += "/" + text
	}
	text := one(p.methods, q.methods, "GET") + " http://" + cmp.Or(host, "any.example.org") + cmp.Or(path, "/")
	if class := one(p.classes, q.classes, ""); class != "" {
		text += ", X-Lane: " + class
	}
	if tenant := one(p.tenants, q.tenants, ""); tenant != "" {
		text += ", X-Org: " + tenant
	}
	values := map[string]string{}
	for _, c := range slices.Concat(p.headers, q.headers) {
		values[c.name] = cmp.Or(c.value, values[c.name])
	}
	var names []string
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		text += ", " + name + ": " + cmp.Or(values[name], "x")
	}
	return text
}

// String is the pattern as people write it.
func (p *Pattern) String() string {
	var b strings.Builder
	add := func(key, value string) {
		if value != "" {
			if b.Len() > 0 {
				b.WriteString(", ")
			}
			b.WriteString(key + " " + value)
		}
	}
	add("host", p.host)
	path := ""
	for _, s := range p.segments {
		if s.any {
			path += "/{}"
		} else {
			path += "/" + s.text
		}
	}
	switch {
	case p.rest && path != "":
		path += "/{...}"
	case !p.rest && path == "":
		path = "/"
	}
	add("path", path)
	add("methods", strings.Join(p.methods, " "))
	add("classes", strings.Join(p.classes, " "))
	add("tenants", strings.Join(p.tenants, " "))
	for _, c := range p.headers {
		add("header", strings.TrimSuffix(c.name+": "+c.value, ": "))
	}
	return cmp.Or(b.String(), "everything")
}
