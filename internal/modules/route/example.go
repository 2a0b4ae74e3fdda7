package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// exampleRequest describes a request that two patterns both match. The patterns must not be disjoint.
func exampleRequest(first, second *Pattern) string {
	host := cmp.Or(exampleHost(first, second), "any.example.org")
	path := cmp.Or(examplePath(first, second), "/")
	text := commonValue(first.methods, second.methods, "GET") + " http://" + host + path
	if class := commonValue(first.classes, second.classes, ""); class != "" {
		text += ", X-Lane: " + class
	}
	if tenant := commonValue(first.tenants, second.tenants, ""); tenant != "" {
		text += ", X-Org: " + tenant
	}
	values := map[string]string{}
	for _, c := range slices.Concat(first.headers, second.headers) {
		values[c.name] = cmp.Or(c.value, values[c.name])
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text += ", " + name + ": " + cmp.Or(values[name], "x")
	}
	return text
}

// commonValue returns the first value that two sets have in common. An empty set stands for all values; if both are empty, the result is
// fallback.
func commonValue(a, b []string, fallback string) string {
	switch {
	case len(a) > 0 && len(b) > 0:
		for _, value := range a {
			if slices.Contains(b, value) {
				return value
			}
		}
	case len(a) > 0:
		return a[0]
	case len(b) > 0:
		return b[0]
	}
	return fallback
}

// exampleHost returns a host that both patterns match, or "" if both match any host.
func exampleHost(p, q *Pattern) string {
	host := p.host
	if host == "" || strings.HasPrefix(host, "*") && q.host != "" && compareHosts(q.host, host) == narrower {
		host = q.host
	}
	if strings.HasPrefix(host, "*") {
		return "x" + host[1:]
	}
	return host
}

// examplePath returns a path that both patterns match; it is "" for the root.
func examplePath(first, second *Pattern) string {
	var path strings.Builder
	for i := range max(len(first.segments), len(second.segments)) {
		text := "x"
		for _, pattern := range []*Pattern{first, second} {
			if i < len(pattern.segments) && !pattern.segments[i].wildcard {
				text = pattern.segments[i].text
			}
		}
		path.WriteString("/" + text)
	}
	return path.String()
}
