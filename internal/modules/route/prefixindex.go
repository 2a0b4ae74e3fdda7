package route

import "iter"

// prefixIndex holds values by the first segment of the paths of their patterns, so that patterns without common requests need not be
// compared.
type prefixIndex[T any] struct {
	texts map[string][]T // by the first segment
	wild  []T            // of patterns whose first segment can be any
}

// firstSegment returns the first segment of the paths that the pattern matches; false if it can be any.
func (p *Pattern) firstSegment() (text string, ok bool) {
	switch {
	case len(p.segments) > 0:
		return p.segments[0].text, !p.segments[0].any
	case p.rest:
		return "", false
	}
	return "/", true
}

// add adds a value under a pattern.
func (p *prefixIndex[T]) add(pattern *Pattern, x T) {
	text, ok := pattern.firstSegment()
	if !ok {
		p.wild = append(p.wild, x)
		return
	}
	if p.texts == nil {
		p.texts = map[string][]T{}
	}
	p.texts[text] = append(p.texts[text], x)
}

// candidates iterates over the values whose patterns may match requests that a pattern matches as well, wider ones among them.
func (p *prefixIndex[T]) candidates(pattern *Pattern) iter.Seq[T] {
	return func(yield func(T) bool) {
		if !yieldAll(p.wild, yield) {
			return
		}
		if text, ok := pattern.firstSegment(); ok {
			yieldAll(p.texts[text], yield)
			return
		}
		for _, list := range p.texts {
			if !yieldAll(list, yield) {
				return
			}
		}
	}
}

// yieldAll yields all values of a list, and returns false if the iteration is to end.
func yieldAll[T any](list []T, yield func(T) bool) bool {
	for _, x := range list {
		if !yield(x) {
			return false
		}
	}
	return true
}
