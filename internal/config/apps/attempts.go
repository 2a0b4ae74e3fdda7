package apps

import (
	"fmt"
	"slices"
	"strings"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
)

// maxAppsInPath bounds the number of applications that a finding names of a chain of calls.
const maxAppsInPath = 8

// classNode is a class of an application, which may receive calls and make others.
type classNode struct {
	node  *node
	class string
}

// worstCase is the largest number of attempts that one external request can cause at a class of an application.
type worstCase struct {
	attempts int        // attempts at the application's endpoints
	call     *edge      // the last call of the chain; nil if the class receives the external request itself
	previous *worstCase // the worst case of the class that makes that call; nil without a call
}

// attemptSearch multiplies attempts along chains of calls, to find the worst case of each class.
type attemptSearch struct {
	*graph
	maxAttempts  int                      // the bound chain.most_attempts_in_chain
	installation *schema.File             // the file that sets the bound; may be nil
	worst        map[classNode]*worstCase // the worst cases over the chains that have been followed so far
	calls        map[classNode][]*edge    // calls by the class that makes them
}

// checkAttempts reports chains of calls whose attempts multiply to more than the bound. It processes callers before the components that
// they call. Within a cycle, mutual_depth bounds the length of a chain.
func (g *graph) checkAttempts(chain *Chain, installation *schema.File) {
	search := attemptSearch{
		graph:        g,
		maxAttempts:  chain.MaxAttempts,
		installation: installation,
		worst:        map[classNode]*worstCase{},
		calls:        map[classNode][]*edge{},
	}
	for _, n := range g.nodes {
		search.addNode(n)
	}
	for _, component := range g.components {
		start := search.addExternalRequests(component)
		passes, ok := passesThrough(component)
		if !ok {
			continue // without a depth there is no worst case; checkComponent has reported it
		}
		search.followWithin(start, passes)
		search.followOut(component)
	}
}

// ownAttempts returns the maximum number of attempts that a sidecar of an application makes for one call.
func ownAttempts(n *node) int { return appfile.AttemptsTable.In(n.File).Max }

// addNode collects the calls of an application, and reports the application if its own attempts alone exceed the bound.
func (s *attemptSearch) addNode(n *node) {
	if own := ownAttempts(n); own > s.maxAttempts {
		at := n.File.Location("attempts", "most_attempts")
		s.found.Add(at.File, at.Pos, "attempts.most_attempts: %d, which alone exceeds %s", own, s.describeBound())
	}
	for _, e := range n.calls {
		from := classNode{n, e.call.Class}
		s.calls[from] = append(s.calls[from], e)
	}
}

// addExternalRequests returns all classes of a component. A class without a worst case yet, which no call has reached, gets that of an
// external request.
func (s *attemptSearch) addExternalRequests(component []*node) (start []classNode) {
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

// passesThrough returns the maximum length of a chain of calls within a component. It returns false for a cycle in which a call does not
// set mutual_depth.
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

// followWithin follows calls that stay in a component. Each pass continues from the classes whose worst case the previous pass has raised.
func (s *attemptSearch) followWithin(start []classNode, passes int) {
	type step struct {
		call *edge
		from *worstCase
	}
	for range passes {
		var steps []step // collected before any is followed, so that changes of this pass take effect only in the next one
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

// follow follows a call from the class that makes it, whose worst case is from. It returns the called class, and whether the worst case of
// that has become worse. A chain that exceeds the bound is reported and not followed further.
func (s *attemptSearch) follow(e *edge, from *worstCase) (to classNode, worse bool) {
	to = classNode{e.to, e.targetClassName}
	attempts := from.attempts * e.call.PerRequest * ownAttempts(e.to) // each factor is at most 1e5, so the product does not overflow
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
		if call == nil || len(path) >= maxAppsInPath {
			break
		}
	}
	slices.Reverse(path)
	slices.Reverse(factors)
	last.report(s.found, "to", "attempts multiply to %d (%s) on the way %s, above %s",
		attempts, strings.Join(factors, " x "), strings.Join(path, " -> "), s.describeBound())
}

// describeFactor describes the factor by which a call multiplies attempts at an application. The call is nil for an external request.
func describeFactor(call *edge, n *node) string {
	if call != nil && call.call.PerRequest > 1 {
		return fmt.Sprintf("%d calls of %d", call.call.PerRequest, ownAttempts(n))
	}
	return fmt.Sprint(ownAttempts(n))
}

// describeBound returns the name and value of the bound on attempts, with the location that sets it.
func (s *attemptSearch) describeBound() string {
	text := fmt.Sprintf("chain.most_attempts_in_chain, %d", s.maxAttempts)
	if s.installation != nil {
		if setting := s.installation.Setting("chain", "most_attempts_in_chain"); setting != nil {
			text += fmt.Sprintf(" (%s)", setting.Location)
		}
	}
	return text
}
