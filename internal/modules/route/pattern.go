package route

import (
	"cmp"
	"fmt"
	"strings"
)

// The bounds of a pattern.
const (
	// MaxSegments bounds the segments of a path.
	MaxSegments     = 32
	maxSegmentBytes = 256
	maxWords        = 64 // methods, classes, tenants or headers
	maxHostBytes    = 253
)

// Pattern is what a route matches. The zero value matches the path / of any host.
type Pattern struct {
	host     string // "": any; "*.x": those under x
	segments []segment
	rest     bool     // any number of further segments, none too
	methods  []string // sorted; none for any, like classes and tenants
	classes  []string
	tenants  []string
	headers  []condition // sorted by name
}

// segment is one of a path: a text, or any.
type segment struct {
	text string
	any  bool
}

// condition is that a header is there: once and with a value, or with any.
type condition struct {
	name  string // canonical
	value string // "" for any
}

// PatternText is a pattern as a file has it; an empty field is any.
type PatternText struct {
	Host    string // "x.example.org", or "*.example.org"
	Path    string // "/a/b", "/a/{x}", "/a/{rest...}"
	Methods string // with commas between
	Classes string
	Tenants string
	Headers string // "Name: value" or "Name"
}

// fault is what is wrong with one field of a text.
type fault struct{ key, text string }

// newPattern reads a text. With faults the pattern is of no use.
func newPattern(w PatternText) (p *Pattern, faults []fault) {
	p = &Pattern{host: strings.ToLower(w.Host)}
	report := func(key, text string) {
		if text != "" {
			faults = append(faults, fault{key, text})
		}
	}
	report("host", badHost(w.Host))
	var text string
	p.segments, p.rest, text = readPath(w.Path)
	report("path", text)
	for _, field := range []struct {
		key, text string
		into      *[]string
	}{{"methods", w.Methods, &p.methods}, {"classes", w.Classes, &p.classes}, {"tenants", w.Tenants, &p.tenants}} {
		*field.into, text = readWords(field.text)
		report(field.key, text)
	}
	for _, method := range p.methods {
		if method != "GET" && method != "POST" {
			report("methods", fmt.Sprintf("%q is no method that is served: GET and POST are", method))
		}
	}
	p.headers, text = readHeaders(w.Headers)
	report("headers", text)
	return p, faults
}

// String is the pattern as people write it.
func (p *Pattern) String() string {
	var parts []string
	add := func(key, value string) {
		if value != "" {
			parts = append(parts, key+" "+value)
		}
	}
	add("host", p.host)
	add("path", p.pathText())
	add("methods", strings.Join(p.methods, " "))
	add("classes", strings.Join(p.classes, " "))
	add("tenants", strings.Join(p.tenants, " "))
	for _, c := range p.headers {
		add("header", strings.TrimSuffix(c.name+": "+c.value, ": "))
	}
	return cmp.Or(strings.Join(parts, ", "), "everything")
}

// pathText is the path as people write it; "" for any.
func (p *Pattern) pathText() string {
	var path strings.Builder
	for _, s := range p.segments {
		if s.any {
			path.WriteString("/{}")
		} else {
			path.WriteString("/" + s.text)
		}
	}
	switch {
	case p.rest && len(p.segments) > 0:
		path.WriteString("/{...}")
	case !p.rest && len(p.segments) == 0:
		return "/"
	}
	return path.String()
}
