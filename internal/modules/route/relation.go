package route

import (
	"slices"
	"strings"
)

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
	r = r.and(compareSets(p.classes, q.classes))
	if r == disjoint {
		return r
	}
	return r.and(compareSets(p.methods, q.methods)).and(compareSets(p.tenants, q.tenants)).
		and(compareHosts(p.host, q.host)).and(compareHeaders(p.headers, q.headers))
}

// compareHosts is the relation of the hosts alone; "*.x" has those under x.
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

// comparePaths is the relation of the paths alone.
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

// compareHeaders compares conditions that are sorted by name.
func compareHeaders(a, b []condition) (r relation) {
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].name < b[0].name:
			r = r.and(narrower)
			a = a[1:]
			continue
		case len(a) == 0 || b[0].name < a[0].name:
			r = r.and(wider)
			b = b[1:]
			continue
		case a[0].value == b[0].value:
		case a[0].value == "":
			r = r.and(wider)
		case b[0].value == "":
			r = r.and(narrower)
		default:
			return disjoint
		}
		a = a[1:]
		b = b[1:]
	}
	return r
}
