package route

import "iter"

// prefixIndex holds things by what the paths of their patterns begin with, so that those that have nothing in common are not
// compared.
type prefixIndex[T any] struct {
	texts map[string][]T // by the first segment
	wild  []T            // of patterns that begin with any
}

// firstSegment is the text that a path of the pattern begins with; false if it can begin with any.
func (p *Pattern) firstSegment() (text string, ok bool) {
	switch {
	case len(p.segments) > 0:
		return p.segments[0].text, !p.segments[0].any
	case p.rest:
		return "", false
	}
	return "/", true
}

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

// candidates gives those that a pattern may have requests in common with, and all that may be wider.
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

// yieldAll is false if the iteration is to end.
func yieldAll[T any](list []T, yield func(T) bool) bool {
	for _, x := range list {
		if !yield(x) {
			return false
		}
	}
	return true
}
