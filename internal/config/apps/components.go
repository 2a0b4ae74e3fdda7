package apps

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// maxCyclesDescribed bounds the cycles of a component that findings describe call by call, since each takes a search.
	maxCyclesDescribed = 10
	// maxStepsNamed bounds the calls of a cycle that a finding names; of a longer cycle it names the first three and the last two.
	maxStepsNamed   = 6
	firstStepsNamed = 3
	lastStepsNamed  = 2
)

// findComponents finds the strongly connected components, callers first, and checks mutual_depth of the calls in
// each.
func (g *graph) findComponents() {
	search := componentSearch{index: map[*node]int{}, lowest: map[*node]int{}, onStack: map[*node]bool{}}
	for _, n := range g.nodes {
		if search.index[n] == 0 {
			search.visitFrom(n)
		}
	}
	g.components = search.components
	slices.Reverse(g.components) // Tarjan's algorithm finds callees first
	for i, component := range g.components {
		for _, n := range component {
			n.component = i
		}
	}
	for _, component := range g.components {
		g.checkComponent(component)
	}
}

// componentSearch finds strongly connected components with Tarjan's algorithm. It uses an explicit stack instead of recursion,
// since chains of calls may have tens of thousands of applications.
type componentSearch struct {
	index      map[*node]int // the number of each node in the order of visits, from 1; 0 if not visited
	lowest     map[*node]int // the least index of a node on the stack that is known to be reachable (Tarjan's low-link)
	stack      []*node       // nodes that have been visited and are not in a component yet
	onStack    map[*node]bool
	visits     []visit
	components [][]*node
}

// visit is a node whose calls are being followed.
type visit struct {
	node *node
	next int // the index of the call that is followed next
}

// visitFrom visits a node, and all nodes that can be reached from it and have not been visited.
func (c *componentSearch) visitFrom(root *node) {
	c.visits = []visit{{node: root}}
	for len(c.visits) > 0 {
		v := &c.visits[len(c.visits)-1]
		if v.next == 0 {
			c.enter(v.node)
		}
		if v.next < len(v.node.calls) {
			to := v.node.calls[v.next].to
			v.next++
			c.follow(v.node, to)
			continue
		}
		c.leave(v.node)
	}
}

// enter begins the visit of a node.
func (c *componentSearch) enter(n *node) {
	c.index[n] = len(c.index) + 1
	c.lowest[n] = c.index[n]
	c.stack = append(c.stack, n)
	c.onStack[n] = true
}

// follow follows a call from n. The called node is visited next unless it has been visited.
func (c *componentSearch) follow(n, to *node) {
	if c.index[to] == 0 {
		c.visits = append(c.visits, visit{node: to})
		return
	}
	if c.onStack[to] {
		c.lowest[n] = min(c.lowest[n], c.index[to])
	}
}

// leave ends the visit of a node. If no earlier node on the stack can be reached from it, it and the nodes above it on the stack are a
// component.
func (c *componentSearch) leave(n *node) {
	c.visits = c.visits[:len(c.visits)-1]
	if len(c.visits) > 0 {
		caller := c.visits[len(c.visits)-1].node
		c.lowest[caller] = min(c.lowest[caller], c.lowest[n])
	}
	if c.lowest[n] != c.index[n] {
		return
	}
	start := len(c.stack) - 1
	for c.stack[start] != n {
		start--
	}
	component := slices.Clone(c.stack[start:])
	c.stack = c.stack[:start]
	for _, member := range component {
		c.onStack[member] = false
	}
	c.components = append(c.components, component)
}

// internalCalls returns the calls within a component.
func internalCalls(component []*node) (all []*edge) {
	for _, n := range component {
		for _, e := range n.calls {
			if e.staysInComponent() {
				all = append(all, e)
			}
		}
	}
	return all
}

// checkComponent checks that all calls of a cycle set mutual_depth to the same value, and that no other calls set it.
func (g *graph) checkComponent(component []*node) {
	calls := internalCalls(component)
	var first *edge // the first call that sets a depth
	for _, e := range calls {
		e.from.cyclic = true
		if e.call.MutualDepth > 0 && first == nil {
			first = e
		}
	}
	described := 0
	for _, e := range calls {
		switch {
		case e.call.MutualDepth == 0:
			cycle := "the two call each other in a ring"
			if described++; described <= maxCyclesDescribed {
				cycle = describeCycle(e)
			}
			e.report(g.found, "to", "%s; if that is meant, every call of the ring states it with the same mutual_depth", cycle)
		case e.call.MutualDepth != first.call.MutualDepth:
			e.report(g.found, "mutual_depth", "%d, but the same ring has %d in %s",
				e.call.MutualDepth, first.call.MutualDepth, first.location("mutual_depth"))
		}
	}
	for _, n := range component {
		for _, e := range n.calls {
			if !e.staysInComponent() && e.call.MutualDepth > 0 {
				e.report(g.found, "mutual_depth", "nothing that %s calls calls %s again; leave it out", e.to.Name, e.from.Name)
			}
		}
	}
}

// describeCycle describes a shortest cycle of calls that starts with the given one.
func describeCycle(call *edge) string {
	if call.to == call.from {
		return fmt.Sprintf("%s calls itself", call.from.Name)
	}
	reachedBy := map[*node]*edge{call.to: nil}
	queue := []*node{call.to}
	for len(queue) > 0 && reachedBy[call.from] == nil {
		n := queue[0]
		queue = queue[1:]
		for _, next := range n.calls {
			if _, seen := reachedBy[next.to]; !seen && next.to.component == call.from.component {
				reachedBy[next.to] = next
				queue = append(queue, next.to)
			}
		}
	}
	var steps []string
	for n := call.from; reachedBy[n] != nil; n = reachedBy[n].from {
		steps = append(steps, fmt.Sprintf("%s calls %s (%s)", reachedBy[n].from.Name, n.Name, reachedBy[n].location("to")))
	}
	slices.Reverse(steps)
	if len(steps) > maxStepsNamed {
		left := fmt.Sprintf("... (%d more)", len(steps)-firstStepsNamed-lastStepsNamed)
		steps = slices.Concat(steps[:firstStepsNamed], []string{left}, steps[len(steps)-lastStepsNamed:])
	}
	return fmt.Sprintf("%s calls %s, and %s", call.from.Name, call.to.Name, strings.Join(steps, ", "))
}
