package apps

import (
	"fmt"
	"slices"
	"strings"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
)

// maxWayTold bounds the applications of a chain of calls that a finding names.
const maxWayTold = 8

// classNode is a class of an application: what a call reaches.
type classNode struct {
	node  *node
	class string
}

// worstCase is the most attempts that one request from outside can become at a class of an application.
type worstCase struct {
	attempts int        // at the application's endpoints
	call     *edge      // the last on the way there; nil where the request comes from outside
	previous *worstCase // where that call is made
}

// attemptSearch follows the attempts that multiply along chains of calls.
type attemptSearch struct {
	*graph
	maxAttempts int          // of the whole installation
	frame       *schema.File // says where the bound is set; may be nil
	worst       map[classNode]*worstCase
	calls       map[classNode][]*edge
}

// checkAttempts reports where the attempts of all tiers multiply past the bound. Components are taken callers first; within one, that
// is within a ring, the depth bounds how often it is gone round.
func (g *graph) checkAttempts(chain *Chain, frame *schema.File) {
	s := attemptSearch{
		graph:       g,
		maxAttempts: chain.MaxAttempts,
		frame:       frame,
		worst:       map[classNode]*worstCase{},
		calls:       map[classNode][]*edge{},
	}
	for _, n := range g.nodes {
		s.addNode(n)
	}
	for _, component := range g.components {
		start := s.startFromOutside(component)
		passes, ok := passesThrough(component)
		if !ok {
			continue // reported; without a depth there is no worst case
		}
		s.followWithin(start, passes)
		s.followOut(component)
	}
}

// ownAttempts is how often an application's sidecars send one call at most.
func ownAttempts(n *node) int { return appfile.AttemptsTable.In(n.File).Max }

// addNode reports an application that is above the bound by itself, and collects its calls by the class that makes them.
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

// startFromOutside are all classes of a component. Those that no call has reached are called from outside.
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

// passesThrough is how many calls a request may make one after another within a component. It is false for a ring that does not state
// its depth everywhere.
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

// followWithin follows calls that stay in a component. Each pass goes on from where the last one made it worse.
func (s *attemptSearch) followWithin(start []classNode, passes int) {
	type step struct {
		call *edge
		from *worstCase
	}
	for range passes {
		var steps []step // all are known before the first is taken: what a pass makes worse counts from the next one on
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

// follow follows a call from where it is made, and tells whether the worst case at its end has become worse. What goes past the bound
// is reported and not followed.
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

// reportTooMany reports a chain of calls that becomes too many attempts, where its last call is made.
func (s *attemptSearch) reportTooMany(last *edge, from *worstCase, attempts int) {
	way := []string{last.to.Name}
	factors := []string{describeFactor(last, last.to)}
	call := last
	for c := from; ; c = c.previous {
		way = append(way, call.from.Name)
		factors = append(factors, describeFactor(c.call, call.from))
		call = c.call
		if call == nil || len(way) >= maxWayTold {
			break
		}
	}
	slices.Reverse(way)
	slices.Reverse(factors)
	last.report(s.found, "to", "attempts multiply to %d (%s) on the way %s, above %s",
		attempts, strings.Join(factors, " x "), strings.Join(way, " -> "), s.describeBound())
}

// describeFactor tells by how much a call multiplies attempts at an application; the call is nil for a request from outside.
func describeFactor(call *edge, n *node) string {
	if call != nil && call.call.PerRequest > 1 {
		return fmt.Sprintf("%d calls of %d", call.call.PerRequest, ownAttempts(n))
	}
	return fmt.Sprint(ownAttempts(n))
}

// describeBound names the bound on attempts, and where it is set.
func (s *attemptSearch) describeBound() string {
	text := fmt.Sprintf("chain.most_attempts_in_chain, %d", s.maxAttempts)
	if s.frame != nil {
		if setting := s.frame.Setting("chain", "most_attempts_in_chain"); setting != nil {
			text += fmt.Sprintf(" (%s)", setting.Location)
		}
	}
	return text
}
