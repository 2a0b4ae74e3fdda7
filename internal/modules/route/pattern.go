package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Limits on the size of a pattern.
const (
	// MaxSegments is the maximum number of segments of a path.
	MaxSegments     = 32
	maxSegmentBytes = 256
	maxListItems    = 64 // maximum length of each list of methods, classes, tenants or headers
	maxHostBytes    = 253
)

// Pattern has the criteria by which a route matches requests. The zero value matches the path / of any host.
type Pattern struct {
	host     string // "" for any host; "*.x" for all hosts under x
	segments []segment
	rest     bool        // any number of further segments may follow
	methods  []string    // sorted; empty for any method
	classes  []string    // sorted; empty for any class
	tenants  []string    // sorted; empty for any tenant
	headers  []condition // sorted by name
}

// segment is a segment of a pattern's path: a text, or a wildcard that matches any text.
type segment struct {
	text     string
	wildcard bool
}

// condition requires that a request has a header: exactly once with a given value, or any number of times with any values.
type condition struct {
	name  string // see canonicalHeaderName
	value string // "" for any value
}

// PatternText is a pattern as it is written in a settings file. An empty field matches any request.
type PatternText struct {
	Host    string // like "x.example.org" or "*.example.org"
	Path    string // like "/a/b", "/a/{x}" or "/a/{rest...}"
	Methods string // a list separated by commas
	Classes string // a list separated by commas
	Tenants string // a list separated by commas
	Headers string // a list of "Name: value" or "Name", separated by commas
}

// fault says why a setting of a route is invalid. Its key is that of a match_ setting without the prefix, or of another setting.
type fault struct{ key, text string }

// newPattern parses a pattern. The pattern must not be used if there are faults.
func newPattern(source PatternText) (pattern *Pattern, faults []fault) {
	pattern = &Pattern{host: strings.ToLower(source.Host)}
	report := func(key, text string) {
		if text != "" {
			faults = append(faults, fault{key, text})
		}
	}
	report("host", hostFault(source.Host))
	var text string
	pattern.segments, pattern.rest, text = parsePath(source.Path)
	report("path", text)
	for _, field := range []struct {
		key, text string
		into      *[]string
	}{
		{"methods", source.Methods, &pattern.methods},
		{"classes", source.Classes, &pattern.classes},
		{"tenants", source.Tenants, &pattern.tenants},
	} {
		*field.into, text = parseList(field.text)
		report(field.key, text)
	}
	for _, method := range pattern.methods {
		if method != "GET" && method != "POST" {
			report("methods", fmt.Sprintf("method %q is not supported: only GET and POST are", method))
		}
	}
	pattern.headers, text = parseHeaders(source.Headers)
	report("headers", text)
	return pattern, faults
}

// String describes the pattern for people.
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

// pathText describes the path for people; it returns "" if the pattern matches any path.
func (p *Pattern) pathText() string {
	var path strings.Builder
	for _, s := range p.segments {
		if s.wildcard {
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

// allows reports whether a set contains a value. An empty set allows all values.
func allows(set []string, value string) bool {
	return len(set) == 0 || slices.Contains(set, value)
}
