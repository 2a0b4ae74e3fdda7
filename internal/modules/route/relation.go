package route

import (
	"slices"
	"strings"
)

// relation is the relation between two sets of requests: the set that one pattern matches, and the set that another pattern matches.
type relation int

// The relations of a first set to a second one.
const (
	equal    relation = iota
	narrower          // the first set is a proper subset of the second
	wider             // the first set is a proper superset of the second
	disjoint          // the sets have no request in common
	overlaps          // the sets have requests in common, and each has requests that the other lacks
)

// combine returns the relation of patterns with two criteria, where r is their relation by the first criterion alone and s by the second.
func (r relation) combine(s relation) relation {
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

// compare returns the relation of p to another pattern.
func (p *Pattern) compare(other *Pattern) relation {
	r := comparePaths(p, other)
	if r == disjoint {
		return r
	}
	r = r.combine(compareSets(p.classes, other.classes))
	if r == disjoint {
		return r
	}
	return r.combine(compareSets(p.methods, other.methods)).combine(compareSets(p.tenants, other.tenants)).
		combine(compareHosts(p.host, other.host)).combine(compareHeaders(p.headers, other.headers))
}

// compareHosts returns the relation of the hosts of two patterns.
func compareHosts(a, b string) relation {
	isSubset := func(a, b string) bool { // b matches each host that a matches
		return b == "" || strings.HasPrefix(b, "*") && strings.HasSuffix(strings.TrimPrefix(a, "*"), b[1:])
	}
	switch {
	case a == b:
		return equal
	case isSubset(a, b):
		return narrower
	case isSubset(b, a):
		return wider
	}
	return disjoint
}

// comparePaths returns the relation of the paths of two patterns.
func comparePaths(first, second *Pattern) (rel relation) {
	for i := range min(len(first.segments), len(second.segments)) {
		switch a, b := first.segments[i], second.segments[i]; {
		case a.wildcard && b.wildcard:
		case a.wildcard:
			rel = rel.combine(wider)
		case b.wildcard:
			rel = rel.combine(narrower)
		case a.text != b.text:
			return disjoint
		}
	}
	switch a, b := len(first.segments), len(second.segments); {
	case a > b && !second.rest || a < b && !first.rest:
		return disjoint
	case a > b, a == b && second.rest && !first.rest:
		return rel.combine(narrower)
	case a < b, a == b && first.rest && !second.rest:
		return rel.combine(wider)
	}
	return rel
}

// compareSets returns the relation of two sorted sets. An empty set stands for all values.
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

// compareHeaders returns the relation of two lists of conditions. Both are sorted by name.
func compareHeaders(first, second []condition) (rel relation) {
	for len(first) > 0 || len(second) > 0 {
		switch {
		case len(second) == 0 || len(first) > 0 && first[0].name < second[0].name:
			rel = rel.combine(narrower)
			first = first[1:]
			continue
		case len(first) == 0 || second[0].name < first[0].name:
			rel = rel.combine(wider)
			second = second[1:]
			continue
		case first[0].value == second[0].value:
		case first[0].value == "":
			rel = rel.combine(wider)
		case second[0].value == "":
			rel = rel.combine(narrower)
		default:
			return disjoint
		}
		first = first[1:]
		second = second[1:]
	}
	return rel
}
