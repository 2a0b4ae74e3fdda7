package route

import (
	"slices"
	"strings"
)

// relation is the relation of the set of requests that a pattern matches to that of another pattern.
type relation int

// The relations.
const (
	equal    relation = iota
	narrower          // a subset
	wider             // a superset
	disjoint          // no request in common
	overlaps          // some requests in common, and each has others
)

// and returns the relation of the intersection of two criteria, of which r and s are the relations.
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

// compare returns the relation of p to q.
func (p *Pattern) compare(q *Pattern) relation {
	r := comparePaths(p, q)
	if r == disjoint {
		return r
	}
	r = r.and(compareSets(p.classes, q.classes))
	if r == disjoint {
		return r
	}
	return r.and(compareSets(p.methods, q.methods)).and(compareSets(p.tenants, q.tenants)).
		and(compareHosts(p.host, q.host)).and(compareHeaders(p.headers, q.headers))
}

// compareHosts returns the relation of two hosts of patterns.
func compareHosts(a, b string) relation {
	under := func(a, b string) bool { // each host that a matches is matched by b
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

// comparePaths returns the relation of the paths of two patterns.
func comparePaths(first, second *Pattern) (rel relation) {
	for i := range min(len(first.segments), len(second.segments)) {
		switch a, b := first.segments[i], second.segments[i]; {
		case a.any && b.any:
		case a.any:
			rel = rel.and(wider)
		case b.any:
			rel = rel.and(narrower)
		case a.text != b.text:
			return disjoint
		}
	}
	switch a, b := len(first.segments), len(second.segments); {
	case a > b && !second.rest || a < b && !first.rest:
		return disjoint
	case a > b, a == b && second.rest && !first.rest:
		return rel.and(narrower)
	case a < b, a == b && first.rest && !second.rest:
		return rel.and(wider)
	}
	return rel
}

// compareSets returns the relation of two sorted sets, of which an empty one has all words.
func compareSets(first, second []string) relation {
	common := 0
	for _, x := range first {
		if _, ok := slices.BinarySearch(second, x); ok {
			common++
		}
	}
	switch {
	case len(first) == 0 && len(second) == 0:
		return equal
	case len(first) == 0:
		return wider
	case len(second) == 0:
		return narrower
	case common == 0:
		return disjoint
	case common == len(first) && common == len(second):
		return equal
	case common == len(first):
		return narrower
	case common == len(second):
		return wider
	}
	return overlaps
}

// compareHeaders returns the relation of two lists of conditions, which are sorted by name.
func compareHeaders(first, second []condition) (rel relation) {
	for len(first) > 0 || len(second) > 0 {
		switch {
		case len(second) == 0 || len(first) > 0 && first[0].name < second[0].name:
			rel = rel.and(narrower)
			first = first[1:]
			continue
		case len(first) == 0 || second[0].name < first[0].name:
			rel = rel.and(wider)
			second = second[1:]
			continue
		case first[0].value == second[0].value:
		case first[0].value == "":
			rel = rel.and(wider)
		case second[0].value == "":
			rel = rel.and(narrower)
		default:
			return disjoint
		}
		first = first[1:]
		second = second[1:]
	}
	return rel
}
