package apps

import (
	"fmt"
	"slices"
	"strings"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
)

// maxPathNamed bounds the number of applications of a chain of calls that a finding names.
const maxPathNamed = 8

// classNode is a class of an application, at which a call arrives.
type classNode struct {
	node  *node
	class string
}

// worstCase is the most attempts that one request from outside can become at a class of an application.
type worstCase struct {
	attempts int        // at the application's endpoints
	call     *edge      // the last call of the chain; nil if the request comes from outside
	previous *worstCase // the worst case of the class that makes that call
}

// attemptSearch follows the attempts that multiply along chains of calls.
type attemptSearch struct {
	*graph
	maxAttempts int                      // the bound of the installation
	frame       *schema.File             // sets the bound; may be nil
	worst       map[classNode]*worstCase // of the chains that have been followed so far
	calls       map[classNode][]*edge    // by the class that makes them
}

// checkAttempts reports chains of calls whose attempts multiply to more than the bound. Components are searched callers first. Within a
// ring, mutual_depth bounds the length of a chain.
func (g *graph) checkAttempts(chain *Chain, frame *schema.File) {
	search := attemptSearch{
		graph:       g,
		maxAttempts: chain.MaxAttempts,
		frame:       frame,
		worst:       map[classNode]*worstCase{},
		calls:       map[classNode][]*edge{},
	}
	for _, n := range g.nodes {
		search.addNode(n)
	}
	for _, component := range g.components {
		start := search.startFromOutside(component)
		passes, ok := passesThrough(component)
		if !ok {
			continue // reported by checkComponent: without a depth there is no worst case
		}
		search.followWithin(start, passes)
		search.followOut(component)
	}
}

// ownAttempts returns the most attempts that the sidecars of an application make for one call.
func ownAttempts(n *node) int { return appfile.AttemptsTable.In(n.File).Max }

// addNode collects the calls of an application, and reports it if its own attempts exceed the bound.
func (s *attemptSearch) addNode(n *node) {
	if own := ownAttempts(n); own > s.maxAttempts {
		at := n.File.Location("attempts", "most_attempts")
		s.found.Add(at.File, at.Pos, "attempts.most_attempts: %d, by itself above %s", own, s.describeBound())
	}
	for _, e := range n.calls {
		from := classNode{n, e.call.Class}
		s.calls[from] = append(s.calls[from], e)
	}
}

// startFromOutside returns all classes of a component, with a worst case each: those that no call has reached are called from outside.
func (s *attemptSearch) startFromOutside(component []*node) (start []classNode) {
	for _, n := range component {
		for _, c := range appfile.ClassTable.All(n.File) {
			at := classNode{n, c.Name}
			if s.worst[at] == nil {
				s.worst[at] = &worstCase{attempts: ownAttempts(n)}
			}
			start = append(start, at)
		}
	}
	return start
}

// passesThrough returns the most calls that a request may make one after another within a component; false for a ring in which a call does
// not state its depth.
func passesThrough(component []*node) (passes int, ok bool) {
	if !component[0].cyclic {
		return 1, true
	}
	calls := internalCalls(component)
	if slices.ContainsFunc(calls, func(e *edge) bool { return e.call.MutualDepth == 0 }) {
		return 0, false
	}
	return calls[0].call.MutualDepth*len(component) - 1, true
}

// followWithin follows calls that stay in a component. Each pass continues from the classes whose worst case the pass before has changed.
func (s *attemptSearch) followWithin(start []classNode, passes int) {
	type step struct {
		call *edge
		from *worstCase
	}
	for range passes {
		var steps []step // collected before the first is followed, so that changes by this pass count from the next one on
		for _, at := range start {
			for _, e := range s.calls[at] {
				if e.staysInComponent() {
					steps = append(steps, step{e, s.worst[at]})
				}
			}
		}
		start = nil
		seen := map[classNode]bool{}
		for _, step := range steps {
			if to, worse := s.follow(step.call, step.from); worse && !seen[to] {
				seen[to] = true
				start = append(start, to)
			}
		}
		if len(start) == 0 {
			return
		}
	}
}

// followOut follows the calls that leave a component.
func (s *attemptSearch) followOut(component []*node) {
	for _, n := range component {
		for _, e := range n.calls {
			if !e.staysInComponent() {
				s.follow(e, s.worst[classNode{n, e.call.Class}])
			}
		}
	}
}

// follow follows a call from the class that makes it, and reports whether the worst case of the class that is called has become worse. A
// chain that exceeds the bound is reported and not followed.
func (s *attemptSearch) follow(e *edge, from *worstCase) (to classNode, worse bool) {
	to = classNode{e.to, e.targetClassName}
	attempts := from.attempts * e.call.PerRequest * ownAttempts(e.to) // each below 1e5, so no overflow
	if attempts > s.maxAttempts {
		s.reportTooMany(e, from, attempts)
		return to, false
	}
	if s.worst[to] != nil && s.worst[to].attempts >= attempts {
		return to, false
	}
	s.worst[to] = &worstCase{attempts, e, from}
	return to, true
}

// reportTooMany reports a chain of calls with too many attempts, at its last call.
func (s *attemptSearch) reportTooMany(last *edge, from *worstCase, attempts int) {
	path := []string{last.to.Name}
	factors := []string{describeFactor(last, last.to)}
	call := last
	for c := from; ; c = c.previous {
		path = append(path, call.from.Name)
		factors = append(factors, describeFactor(c.call, call.from))
		call = c.call
		if call == nil || len(path) >= maxPathNamed {
			break
		}
	}
	slices.Reverse(path)
	slices.Reverse(factors)
	last.report(s.found, "to", "attempts multiply to %d (%s) on the way %s, above %s",
		attempts, strings.Join(factors, " x "), strings.Join(path, " -> "), s.describeBound())
}

// describeFactor describes the factor by which a call multiplies attempts at an application; the call is nil for a request from outside.
func describeFactor(call *edge, n *node) string {
	if call != nil && call.call.PerRequest > 1 {
		return fmt.Sprintf("%d calls of %d", call.call.PerRequest, ownAttempts(n))
	}
	return fmt.Sprint(ownAttempts(n))
}

// describeBound names the bound on attempts, and the line that sets it.
func (s *attemptSearch) describeBound() string {
	text := fmt.Sprintf("chain.most_attempts_in_chain, %d", s.maxAttempts)
	if s.frame != nil {
		if setting := s.frame.Setting("chain", "most_attempts_in_chain"); setting != nil {
			text += fmt.Sprintf(" (%s)", setting.Location)
		}
	}
	return text
}
