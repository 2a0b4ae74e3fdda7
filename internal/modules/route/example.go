package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// exampleRequest describes a request that two patterns both match; they must not be disjoint.
func exampleRequest(p, q *Pattern) string {
	host := cmp.Or(exampleHost(p, q), "any.example.org")
	path := cmp.Or(examplePath(p, q), "/")
	text := commonWord(p.methods, q.methods, "GET") + " http://" + host + path
	if class := commonWord(p.classes, q.classes, ""); class != "" {
		text += ", X-Lane: " + class
	}
	if tenant := commonWord(p.tenants, q.tenants, ""); tenant != "" {
		text += ", X-Org: " + tenant
	}
	values := map[string]string{}
	for _, c := range slices.Concat(p.headers, q.headers) {
		values[c.name] = cmp.Or(c.value, values[c.name])
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text += ", " + name + ": " + cmp.Or(values[name], "x")
	}
	return text
}

// commonWord returns the first word that both sets allow, of which an empty one allows all; preset if both allow all.
func commonWord(a, b []string, preset string) string {
	switch {
	case len(a) > 0 && len(b) > 0:
		for _, word := range a {
			if slices.Contains(b, word) {
				return word
			}
		}
	case len(a) > 0:
		return a[0]
	case len(b) > 0:
		return b[0]
	}
	return preset
}

// exampleHost returns a host that both patterns match; "" for any.
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

// examplePath returns a path that both patterns match; "" for the root.
func examplePath(p, q *Pattern) string {
	var path strings.Builder
	for i := range max(len(p.segments), len(q.segments)) {
		text := "x"
		for _, o := range []*Pattern{p, q} {
			if i < len(o.segments) && !o.segments[i].any {
				text = o.segments[i].text
			}
		}
		path.WriteString("/" + text)
	}
	return path.String()
}
