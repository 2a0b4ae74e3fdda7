package route

import "iter"

// prefixIndex has values by the first segment of the paths of their patterns. Patterns whose first segments differ match no common
// request, and need not be compared.
type prefixIndex[T any] struct {
	byFirstSegment  map[string][]T // values of patterns with a fixed first segment
	anyFirstSegment []T            // values of patterns that match any first segment
}

// firstSegment returns the first segment of the paths that the pattern matches, or false if the pattern matches any first segment. For a
// pattern that matches only the root it returns "/", which no segment equals.
func (p *Pattern) firstSegment() (text string, ok bool) {
	switch {
	case len(p.segments) > 0:
		return p.segments[0].text, !p.segments[0].wildcard
	case p.rest:
		return "", false
	}
	return "/", true
}

// add adds a value under a pattern.
func (p *prefixIndex[T]) add(pattern *Pattern, x T) {
	text, ok := pattern.firstSegment()
	if !ok {
		p.anyFirstSegment = append(p.anyFirstSegment, x)
		return
	}
	if p.byFirstSegment == nil {
		p.byFirstSegment = map[string][]T{}
	}
	p.byFirstSegment[text] = append(p.byFirstSegment[text], x)
}

// candidates iterates over the values whose patterns may match requests that the given pattern also matches. The values of all wider
// patterns are among them.
func (p *prefixIndex[T]) candidates(pattern *Pattern) iter.Seq[T] {
	return func(yield func(T) bool) {
		if !yieldAll(p.anyFirstSegment, yield) {
			return
		}
		if text, ok := pattern.firstSegment(); ok {
			yieldAll(p.byFirstSegment[text], yield)
			return
		}
		for _, list := range p.byFirstSegment {
			if !yieldAll(list, yield) {
				return
			}
		}
	}
}

// yieldAll yields all values of a list. It returns false if the iteration is to stop.
func yieldAll[T any](list []T, yield func(T) bool) bool {
	for _, x := range list {
		if !yield(x) {
			return false
		}
	}
	return true
}
