package apps

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// Check checks the applications of apps.toml against one another.
func (m *Model) Check(found *finding.List) {
	for _, a := range m.Apps {
		CheckAddresses(a.File, found)
	}
	Check(m.Apps, ChainTable.In(m.Installation), HostTable.All(m.Installation), m.Installation, found)
}

// Check checks applications against one another. Each is expected to be sound by itself. It takes time in
// proportion to the applications and their calls.
func Check(apps []*App, chain *Chain, hosts []schema.Named[Host], frame *schema.File, found *finding.List) {
	g := newGraph(apps, found)
	g.checkAddresses()
	g.linkCalls()
	g.findComponents()
	g.checkAttempts(chain, frame)
	g.checkTiers(chain, frame)
	g.checkHosts(hosts, frame)
}

// node is an application in the graph of calls.
type node struct {
	*App
	sidecar   *appfile.Sidecar
	calls     []*edge
	component int // the number of its strongly connected component
	cyclic    bool
}

// edge is a call.
type edge struct {
	from, to        *node
	name            string
	call            *appfile.Call
	callerClass     *appfile.Class // that makes the call
	targetClass     *appfile.Class // that it has there
	targetClassName string
}

// location is where the edge sets a key.
func (e *edge) location(key string) schema.Location {
	return e.from.File.Location("calls", e.name, key)
}

func (e *edge) report(found *finding.List, key, format string, args ...any) {
	at := e.location(key)
	found.Add(at.File, at.Pos, "%s", fmt.Sprintf("calls.%s.%s: ", e.name, key)+fmt.Sprintf(format, args...))
}

type graph struct {
	nodes      []*node
	byName     map[string]*node
	found      *finding.List
	components [][]*node // strongly connected components, callers first
}

func newGraph(apps []*App, found *finding.List) *graph {
	g := &graph{byName: map[string]*node{}, found: found}
	for _, a := range apps {
		n := &node{App: a, sidecar: appfile.SidecarTable.In(a.File)}
		if other := g.byName[a.Name]; other != nil {
			found.Add(a.Location.File, a.Location.Pos, "application %s stands twice: first in %s", a.Name, other.Location)
			continue
		}
		g.nodes = append(g.nodes, n)
		g.byName[a.Name] = n
	}
	return g
}

// linkCalls finds the calls, and checks each against the classes on both of its ends.
func (g *graph) linkCalls() {
	names := make([]string, 0, len(g.nodes))
	for _, n := range g.nodes {
		names = append(names, n.Name)
	}
	const nearMost = 10000 // names that are looked through for one that is near, in all
	looked := 0
	for _, n := range g.nodes {
		for _, c := range appfile.CallsTable.All(n.File) {
			e := &edge{from: n, name: c.Name, call: c.Value, targetClassName: cmp.Or(c.Value.AsClass, c.Value.Class)}
			e.to, e.callerClass = g.byName[c.Value.To], appfile.ClassTable.Get(n.File, c.Value.Class)
			if e.to == nil {
				var near []string
				if looked += len(names); looked <= max(nearMost, len(names)) {
					near = names
				}
				e.report(g.found, "to", "%s", finding.UnknownName("application", c.Value.To, near))
				continue
			}
			if e.callerClass == nil {
				continue // found in the file by itself
			}
			if e.targetClass = appfile.ClassTable.Get(e.to.File, e.targetClassName); e.targetClass == nil {
				var classes []string
				for _, k := range appfile.ClassTable.All(e.to.File) {
					classes = append(classes, k.Name)
				}
				key := "as_class"
				if c.Value.AsClass == "" {
					key = "for_class"
				}
				e.report(g.found, key, "%s at %s", finding.UnknownName("class", e.targetClassName, classes), e.to.Name)
				continue
			}
			n.calls = append(n.calls, e)
			g.checkCall(e)
		}
	}
}

// idempotencyRank orders effects by how little may be repeated.
var idempotencyRank = map[balancer.Idempotency]int{balancer.Idempotent: 0, balancer.IdempotentWithKey: 1, balancer.NonIdempotent: 2}

// checkCall checks one call.
func (g *graph) checkCall(e *edge) {
	there := func(key string) schema.Location { return e.to.File.Location("class", e.targetClassName, key) }
	format := schema.FormatDuration
	if e.targetClass.Deadline > e.call.Timeout {
		e.report(g.found, "timeout", "%s does not cover the deadline of class %s at %s, %s (%s): it would work on for a caller that has gone",
			format(e.call.Timeout), e.targetClassName, e.to.Name, format(e.targetClass.Deadline), there("deadline"))
	}
	if n := e.call.PerRequest; n > 1 && int64(n) > int64(e.callerClass.Deadline)/max(1, int64(e.targetClass.LatencyTarget)) {
		e.report(g.found, "per_request", "%d calls one after another, of %s each when all goes well (%s), do not fit into the deadline of class %s, %s (%s)",
			n, format(e.targetClass.LatencyTarget), there("aim"), e.call.Class, format(e.callerClass.Deadline), e.from.File.Location("class", e.call.Class, "deadline"))
	}
	switch {
	case idempotencyRank[e.targetClass.Idempotency] > idempotencyRank[e.callerClass.Idempotency]:
		e.report(g.found, "for_class", "class %s is %s (%s) and may go out again, but class %s at %s is %s (%s): it would be called again with it",
			e.call.Class, e.callerClass.Idempotency, e.from.File.Location("class", e.call.Class, "effect"), e.targetClassName, e.to.Name, e.targetClass.Idempotency, there("effect"))
	case e.targetClassName == e.call.Class && e.targetClass.Idempotency != e.callerClass.Idempotency:
		e.report(g.found, "for_class", "class %s is %s here (%s) but %s at %s (%s): one name, two effects",
			e.targetClassName, e.callerClass.Idempotency, e.from.File.Location("class", e.call.Class, "effect"), e.targetClass.Idempotency, e.to.Name, there("effect"))
	case e.targetClass.Idempotency == balancer.IdempotentWithKey && e.callerClass.Idempotency == balancer.IdempotentWithKey && e.targetClass.KeyWindow < e.callerClass.Deadline:
		e.report(g.found, "timeout", "class %s at %s drops repeats for %s (%s), but class %s here goes out again for up to %s (%s): a late one would run twice",
			e.targetClassName, e.to.Name, format(e.targetClass.KeyWindow), there("key_window"), e.call.Class, format(e.callerClass.Deadline), e.from.File.Location("class", e.call.Class, "deadline"))
	}
}

// findComponents finds applications that call each other, in one step or several (Tarjan's strongly connected
// components, without recursion), and checks that every call of a ring says so.
func (g *graph) findComponents() {
	type frame struct {
		n    *node
		next int
	}
	index, low := map[*node]int{}, map[*node]int{}
	onStack := map[*node]bool{}
	var stack []*node
	for _, root := range g.nodes {
		if index[root] != 0 {
			continue
		}
		work := []frame{{n: root}}
		for len(work) > 0 {
			f := &work[len(work)-1]
			if f.next == 0 {
				index[f.n] = len(index) + 1
				low[f.n] = index[f.n]
				stack = append(stack, f.n)
				onStack[f.n] = true
			}
			if f.next < len(f.n.calls) {
				to := f.n.calls[f.next].to
				f.next++
				if index[to] == 0 {
					work = append(work, frame{n: to})
				} else if onStack[to] {
					low[f.n] = min(low[f.n], index[to])
				}
				continue
			}
			n := f.n
			work = work[:len(work)-1]
			if len(work) > 0 {
				up := work[len(work)-1].n
				low[up] = min(low[up], low[n])
			}
			if low[n] == index[n] {
				at := len(stack) - 1
				for stack[at] != n {
					at--
				}
				part := slices.Clone(stack[at:])
				stack = stack[:at]
				for _, m := range part {
					onStack[m] = false
					m.component = len(g.components)
				}
				g.components = append(g.components, part)
			}
		}
	}
	slices.Reverse(g.components) // Tarjan's comes callees first
	for i, part := range g.components {
		for _, n := range part {
			n.component = i
		}
	}
	for _, part := range g.components {
		g.checkComponent(part)
	}
}

// internalCalls are the calls of a component that stay in it.
func internalCalls(part []*node) (all []*edge) {
	for _, n := range part {
		for _, e := range n.calls {
			if e.to.component == n.component {
				all = append(all, e)
			}
		}
	}
	return all
}

// maxCyclesSpelledOut bounds the rings of a component that are told step by step: each costs a search.
const maxCyclesSpelledOut = 10

func (g *graph) checkComponent(part []*node) {
	calls := internalCalls(part)
	if len(calls) == 0 {
		for _, e := range part[0].calls {
			if e.call.MutualDepth > 0 {
				e.report(g.found, "mutual_depth", "nothing that %s calls calls %s again; leave it out", e.to.Name, e.from.Name)
			}
		}
		return
	}
	var first *edge // that states a depth
	told := 0
	for _, e := range calls {
		e.from.cyclic = true
		if e.call.MutualDepth > 0 && first == nil {
			first = e
		}
	}
	for _, e := range calls {
		switch {
		case e.call.MutualDepth == 0:
			way := "the two call each other in a ring"
			if told++; told <= maxCyclesSpelledOut {
				way = describeCycle(e)
			}
			e.report(g.found, "to", "%s; if that is meant, every call of the ring states it with the same mutual_depth", way)
		case e.call.MutualDepth != first.call.MutualDepth:
			e.report(g.found, "mutual_depth", "%d, but the same ring has %d in %s", e.call.MutualDepth, first.call.MutualDepth, first.location("mutual_depth"))
		}
	}
	for _, n := range part {
		for _, e := range n.calls {
			if e.to.component != n.component && e.call.MutualDepth > 0 {
				e.report(g.found, "mutual_depth", "nothing that %s calls calls %s again; leave it out", e.to.Name, e.from.Name)
			}
		}
	}
}

// describeCycle tells by which calls a call comes back to where it is made.
func describeCycle(e *edge) string {
	if e.to == e.from {
		return fmt.Sprintf("%s calls itself", e.from.Name)
	}
	came := map[*node]*edge{e.to: nil}
	queue := []*node{e.to}
	for len(queue) > 0 && came[e.from] == nil {
		n := queue[0]
		queue = queue[1:]
		for _, next := range n.calls {
			if _, seen := came[next.to]; !seen && next.to.component == e.from.component {
				came[next.to] = next
				queue = append(queue, next.to)
			}
		}
	}
	var way []string
	for n := e.from; came[n] != nil; n = came[n].from {
		way = append(way, fmt.Sprintf("%s calls %s (%s)", came[n].from.Name, n.Name, came[n].location("to")))
	}
	slices.Reverse(way)
	if len(way) > 6 {
		way = append(append(way[:3:3], fmt.Sprintf("... (%d more)", len(way)-5)), way[len(way)-2:]...)
	}
	return fmt.Sprintf("%s calls %s, and %s", e.from.Name, e.to.Name, strings.Join(way, ", "))
}

// classNode is a class of an application: what a call reaches.
type classNode struct {
	node  *node
	class string
}

// worstCase is the worst that a request becomes on its way to a spot.
type worstCase struct {
	attempts int // at the spot's endpoints
	call     *edge
	previous *worstCase
}

// checkAttempts reports where the attempts of all tiers multiply past the bound. Components are taken callers
// first; within one, that is within a ring, the depth bounds how often it is gone round.
func (g *graph) checkAttempts(chain *Chain, frame *schema.File) {
	most := chain.MaxAttempts
	worst := map[classNode]*worstCase{}
	calls := map[classNode][]*edge{}
	own := func(n *node) int { return appfile.AttemptsTable.In(n.File).Max }
	for _, n := range g.nodes {
		if own(n) > most {
			at := n.File.Location("attempts", "most_attempts")
			g.found.Add(at.File, at.Pos, "attempts.most_attempts: %d, by itself above %s", own(n), describeAttemptBound(most, frame))
		}
		for _, e := range n.calls {
			at := classNode{n, e.call.Class}
			calls[at] = append(calls[at], e)
		}
	}
	// grow follows a call from a reach; it tells whether the call's end is reached worse than before.
	grow := func(e *edge, from *worstCase) (classNode, bool) {
		to := classNode{e.to, e.targetClassName}
		n := from.attempts * e.call.PerRequest * own(e.to) // each below 1e5, so no overflow
		if n > most {
			g.reportTooManyAttempts(e, from, n, most, frame)
			return to, false
		}
		if worst[to] == nil || worst[to].attempts < n {
			worst[to] = &worstCase{n, e, from}
			return to, true
		}
		return to, false
	}
	for _, part := range g.components {
		var start []classNode
		for _, n := range part {
			for _, c := range appfile.ClassTable.All(n.File) {
				at := classNode{n, c.Name}
				if worst[at] == nil {
					worst[at] = &worstCase{attempts: own(n)} // from outside
				}
				start = append(start, at)
			}
		}
		rounds := 1
		if part[0].cyclic {
			calls := internalCalls(part)
			if slices.ContainsFunc(calls, func(e *edge) bool { return e.call.MutualDepth == 0 }) {
				continue // reported; without a depth there is no worst
			}
			rounds = calls[0].call.MutualDepth*len(part) - 1
		}
		// Each round goes on from where the last one made it worse.
		for round := 0; round < rounds && len(start) > 0; round++ {
			var next []classNode
			seen := map[classNode]bool{}
			type step struct {
				e    *edge
				from *worstCase
			}
			var steps []step
			for _, at := range start {
				for _, e := range calls[at] {
					if e.to.component == at.node.component {
						steps = append(steps, step{e, worst[at]})
					}
				}
			}
			for _, s := range steps {
				if to, worse := grow(s.e, s.from); worse && !seen[to] {
					seen[to] = true
					next = append(next, to)
				}
			}
			start = next
		}
		for _, n := range part {
			for _, e := range n.calls {
				if e.to.component != n.component {
					grow(e, worst[classNode{n, e.call.Class}])
				}
			}
		}
	}
}

// reportTooManyAttempts reports a chain of calls that becomes too many attempts, where its last call is made.
func (g *graph) reportTooManyAttempts(e *edge, from *worstCase, n, most int, frame *schema.File) {
	way, factors := []string{e.to.Name}, []string{fmt.Sprint(appfile.AttemptsTable.In(e.to.File).Max)}
	if e.call.PerRequest > 1 {
		factors[0] = fmt.Sprintf("%d calls of %s", e.call.PerRequest, factors[0])
	}
	at := e
	for r := from; ; r = r.previous {
		factor := fmt.Sprint(appfile.AttemptsTable.In(at.from.File).Max)
		if r.call != nil && r.call.call.PerRequest > 1 {
			factor = fmt.Sprintf("%d calls of %s", r.call.call.PerRequest, factor)
		}
		way, factors = append(way, at.from.Name), append(factors, factor)
		if at = r.call; at == nil || len(way) >= 8 {
			break
		}
	}
	slices.Reverse(way)
	slices.Reverse(factors)
	e.report(g.found, "to", "attempts multiply to %d (%s) on the way %s, above %s", n, strings.Join(factors, " x "), strings.Join(way, " -> "), describeAttemptBound(most, frame))
}

// describeAttemptBound names the bound on attempts, and where it is set.
func describeAttemptBound(most int, frame *schema.File) string {
	text := fmt.Sprintf("chain.most_attempts_in_chain, %d", most)
	if frame != nil {
		if s := frame.Setting("chain", "most_attempts_in_chain"); s != nil {
			text += fmt.Sprintf(" (%s)", s.Location)
		}
	}
	return text
}

// checkTiers reports ways through more applications than are allowed, each counted once. A ring counts with all
// its applications: it can be gone through whole.
func (g *graph) checkTiers(chain *Chain, frame *schema.File) {
	depth := make([]int, len(g.components)) // of the longest way that ends with a component
	for i, part := range g.components {
		depth[i] += len(part)
		for _, n := range part {
			for _, e := range n.calls {
				if e.to.component == i {
					continue
				}
				was := depth[e.to.component]
				depth[e.to.component] = max(was, depth[i])
				if end := depth[i] + len(g.components[e.to.component]); end > chain.MaxTiers && depth[i] <= chain.MaxTiers && was < depth[i] {
					e.report(g.found, "to", "a request passes %d applications on its way through this call, above chain.most_tiers, %d", end, chain.MaxTiers)
				}
			}
		}
	}
}

// checkHosts reports machines whose sidecars may use more than there is.
func (g *graph) checkHosts(hosts []schema.Named[Host], frame *schema.File) {
	byName := map[string]*Host{}
	var names []string
	for _, h := range hosts {
		byName[h.Name] = h.Value
		names = append(names, h.Name)
	}
	type sum struct {
		cores   float64
		memory  int64
		sockets int
		apps    []string
	}
	sums := map[string]*sum{}
	for _, n := range g.nodes {
		host := n.sidecar.Host
		if host == "" {
			continue
		}
		if byName[host] == nil {
			if frame != nil {
				at := n.File.Location("sidecar", "host")
				g.found.Add(at.File, at.Pos, "sidecar.host: %s; hosts stand in [hosts.NAME]", finding.UnknownName("host", host, names))
			}
			continue
		}
		s := sums[host]
		if s == nil {
			s = &sum{}
			sums[host] = s
		}
		l := appfile.LimitsTable.In(n.File)
		s.cores += l.Cores
		s.memory += l.Memory
		s.sockets += l.Sockets
		s.apps = append(s.apps, n.Name)
	}
	for _, h := range hosts {
		s := sums[h.Name]
		if s == nil {
			continue
		}
		who := strings.Join(s.apps[:min(4, len(s.apps))], ", ")
		if len(s.apps) > 4 {
			who += fmt.Sprintf(" and %d more", len(s.apps)-4)
		}
		report := func(key, format string, args ...any) {
			at := frame.Location("hosts", h.Name, key)
			g.found.Add(at.File, at.Pos, "hosts.%s.%s: %s (%s)", h.Name, key, fmt.Sprintf(format, args...), who)
		}
		if s.cores > h.Value.Cores*(1+1e-9) {
			report("host_cores", "its sidecars may use %.4g cores of %.4g", s.cores, h.Value.Cores)
		}
		if s.memory > h.Value.Memory {
			report("host_memory", "its sidecars may use %d MiB of %d MiB", s.memory>>20, h.Value.Memory>>20)
		}
		if s.sockets > h.Value.Sockets {
			report("host_sockets", "its sidecars may use %d sockets of %d", s.sockets, h.Value.Sockets)
		}
	}
}
