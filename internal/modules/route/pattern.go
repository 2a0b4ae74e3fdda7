package route

import (
	"cmp"
	"fmt"
	"slices"
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

// Pattern is the criteria of a route. The zero value matches the path / of any host.
type Pattern struct {
	host     string // "" for any; "*.x" for those under x
	segments []segment
	rest     bool     // any number of further segments may follow
	methods  []string // sorted; empty for any, like classes and tenants
	classes  []string
	tenants  []string
	headers  []condition // sorted by name
}

// segment is a segment of a path: a text, or any.
type segment struct {
	text string
	any  bool
}

// condition is the condition that a request has a header: once and with a value, or with any value.
type condition struct {
	name  string // canonical
	value string // "" for any
}

// PatternText is a pattern as a file has it. An empty field matches any request.
type PatternText struct {
	Host    string // "x.example.org", or "*.example.org"
	Path    string // "/a/b", "/a/{x}", "/a/{rest...}"
	Methods string // separated by commas, like Classes, Tenants and Headers
	Classes string
	Tenants string
	Headers string // "Name: value" or "Name"
}

// fault is the fault of one field of a PatternText.
type fault struct{ key, text string }

// newPattern parses a pattern. If there are faults the pattern must not be used.
func newPattern(source PatternText) (pattern *Pattern, faults []fault) {
	pattern = &Pattern{host: strings.ToLower(source.Host)}
	report := func(key, text string) {
		if text != "" {
			faults = append(faults, fault{key, text})
		}
	}
	report("host", badHost(source.Host))
	var text string
	pattern.segments, pattern.rest, text = readPath(source.Path)
	report("path", text)
	for _, field := range []struct {
		key, text string
		into      *[]string
	}{
		{"methods", source.Methods, &pattern.methods},
		{"classes", source.Classes, &pattern.classes},
		{"tenants", source.Tenants, &pattern.tenants},
	} {
		*field.into, text = readWords(field.text)
		report(field.key, text)
	}
	for _, method := range pattern.methods {
		if method != "GET" && method != "POST" {
			report("methods", fmt.Sprintf("%q is no method that is served: GET and POST are", method))
		}
	}
	pattern.headers, text = readHeaders(source.Headers)
	report("headers", text)
	return pattern, faults
}

// String returns the pattern for people.
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

// pathText returns the path for people; "" for any.
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

// allows reports whether a set of words, of which an empty one has all, has a word.
func allows(set []string, word string) bool {
	return len(set) == 0 || slices.Contains(set, word)
}
