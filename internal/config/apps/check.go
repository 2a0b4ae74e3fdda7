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
		Addresses(a.File, found)
	}
	Check(m.Apps, ChainTable.In(m.Frame), HostTable.All(m.Frame), m.Frame, found)
}

// Check checks applications against one another. Each is expected to be sound by itself. It takes time in
// proportion to the applications and their calls.
func Check(apps []*App, chain *Chain, hosts []schema.Named[Host], frame *schema.File, found *finding.List) {
	g := newGraph(apps, found)
	g.addresses()
	g.edges()
	g.rings()
	g.attempts(chain, frame)
	g.tiers(chain, frame)
	g.hosts(hosts, frame)
}

// node is an application in the graph of calls.
type node struct {
	*App
	sidecar *appfile.Sidecar
	out     []*edge
	ring    int // the number of its strongly connected component
	inRing  bool
}

// edge is a call.
type edge struct {
	from, to *node
	name     string
	call     *appfile.Call
	own      *appfile.Class // that makes the call
	other    *appfile.Class // that it has there
	as       string
}

// at is where the edge sets a key.
func (e *edge) at(key string) schema.Place { return e.from.File.Place("calls", e.name, key) }

func (e *edge) report(found *finding.List, key, format string, args ...any) {
	at := e.at(key)
	found.Add(at.File, at.Pos, "%s", fmt.Sprintf("calls.%s.%s: ", e.name, key)+fmt.Sprintf(format, args...))
}

type graph struct {
	nodes  []*node
	byName map[string]*node
	found  *finding.List
	order  [][]*node // strongly connected components, callers first
}

func newGraph(apps []*App, found *finding.List) *graph {
	g := &graph{byName: map[string]*node{}, found: found}
	for _, a := range apps {
		n := &node{App: a, sidecar: appfile.SidecarTable.In(a.File)}
		if other := g.byName[a.Name]; other != nil {
			found.Add(a.Place.File, a.Place.Pos, "application %s stands twice: first in %s", a.Name, other.Place)
			continue
		}
		g.nodes = append(g.nodes, n)
		g.byName[a.Name] = n
	}
	return g
}

// edges finds the calls, and checks each against the classes on both of its ends.
func (g *graph) edges() {
	names := make([]string, 0, len(g.nodes))
	for _, n := range g.nodes {
		names = append(names, n.Name)
	}
	const nearMost = 10000 // names that are looked through for one that is near, in all
	looked := 0
	for _, n := range g.nodes {
		for _, c := range appfile.CallsTable.All(n.File) {
			e := &edge{from: n, name: c.Name, call: c.Value, as: cmp.Or(c.Value.As, c.Value.Class)}
			e.to, e.own = g.byName[c.Value.To], appfile.ClassTable.Get(n.File, c.Value.Class)
			if e.to == nil {
				var near []string
				if looked += len(names); looked <= max(nearMost, len(names)) {
					near = names
				}
				e.report(g.found, "to", "%s", finding.Unknown("application", c.Value.To, near))
				continue
			}
			if e.own == nil {
				continue // found in the file by itself
			}
			if e.other = appfile.ClassTable.Get(e.to.File, e.as); e.other == nil {
				var classes []string
				for _, k := range appfile.ClassTable.All(e.to.File) {
					classes = append(classes, k.Name)
				}
				key := "as_class"
				if c.Value.As == "" {
					key = "for_class"
				}
				e.report(g.found, key, "%s at %s", finding.Unknown("class", e.as, classes), e.to.Name)
				continue
			}
			n.out = append(n.out, e)
			g.hop(e)
		}
	}
}

// strict orders effects by how little may be repeated.
var strict = map[balancer.Idempotency]int{balancer.Idempotent: 0, balancer.IdempotentWithKey: 1, balancer.NonIdempotent: 2}

// hop checks one call.
func (g *graph) hop(e *edge) {
	there := func(key string) schema.Place { return e.to.File.Place("class", e.as, key) }
	format := schema.FormatDuration
	if e.other.Deadline > e.call.Timeout {
		e.report(g.found, "timeout", "%s does not cover the deadline of class %s at %s, %s (%s): it would work on for a caller that has gone",
			format(e.call.Timeout), e.as, e.to.Name, format(e.other.Deadline), there("deadline"))
	}
	if n := e.call.PerRequest; n > 1 && int64(n) > int64(e.own.Deadline)/max(1, int64(e.other.Aim)) {
		e.report(g.found, "per_request", "%d calls one after another, of %s each when all goes well (%s), do not fit into the deadline of class %s, %s (%s)",
			n, format(e.other.Aim), there("aim"), e.call.Class, format(e.own.Deadline), e.from.File.Place("class", e.call.Class, "deadline"))
	}
	switch {
	case strict[e.other.Effect] > strict[e.own.Effect]:
		e.report(g.found, "for_class", "class %s is %s (%s) and may go out again, but class %s at %s is %s (%s): it would be called again with it",
			e.call.Class, e.own.Effect, e.from.File.Place("class", e.call.Class, "effect"), e.as, e.to.Name, e.other.Effect, there("effect"))
	case e.as == e.call.Class && e.other.Effect != e.own.Effect:
		e.report(g.found, "for_class", "class %s is %s here (%s) but %s at %s (%s): one name, two effects",
			e.as, e.own.Effect, e.from.File.Place("class", e.call.Class, "effect"), e.other.Effect, e.to.Name, there("effect"))
	case e.other.Effect == balancer.IdempotentWithKey && e.own.Effect == balancer.IdempotentWithKey && e.other.KeyWindow < e.own.Deadline:
		e.report(g.found, "timeout", "class %s at %s drops repeats for %s (%s), but class %s here goes out again for up to %s (%s): a late one would run twice",
			e.as, e.to.Name, format(e.other.KeyWindow), there("key_window"), e.call.Class, format(e.own.Deadline), e.from.File.Place("class", e.call.Class, "deadline"))
	}
}

// rings finds applications that call each other, in one step or several (Tarjan's strongly connected
// components, without recursion), and checks that every call of a ring says so.
func (g *graph) rings() {
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
			if f.next < len(f.n.out) {
				to := f.n.out[f.next].to
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
					m.ring = len(g.order)
				}
				g.order = append(g.order, part)
			}
		}
	}
	slices.Reverse(g.order) // Tarjan's comes callees first
	for i, part := range g.order {
		for _, n := range part {
			n.ring = i
		}
	}
	for _, part := range g.order {
		g.ring(part)
	}
}

// inside are the calls of a component that stay in it.
func inside(part []*node) (all []*edge) {
	for _, n := range part {
		for _, e := range n.out {
			if e.to.ring == n.ring {
				all = append(all, e)
			}
		}
	}
	return all
}

// spelledOut bounds the rings of a component that are told step by step: each costs a search.
const spelledOut = 10

func (g *graph) ring(part []*node) {
	calls := inside(part)
	if len(calls) == 0 {
		for _, e := range part[0].out {
			if e.call.MutualDepth > 0 {
				e.report(g.found, "mutual_depth", "nothing that %s calls calls %s again; leave it out", e.to.Name, e.from.Name)
			}
		}
		return
	}
	var first *edge // that states a depth
	told := 0
	for _, e := range calls {
		e.from.inRing = true
		if e.call.MutualDepth > 0 && first == nil {
			first = e
		}
	}
	for _, e := range calls {
		switch {
		case e.call.MutualDepth == 0:
			way := "the two call each other in a ring"
			if told++; told <= spelledOut {
				way = back(e)
			}
			e.report(g.found, "to", "%s; if that is meant, every call of the ring states it with the same mutual_depth", way)
		case e.call.MutualDepth != first.call.MutualDepth:
			e.report(g.found, "mutual_depth", "%d, but the same ring has %d in %s", e.call.MutualDepth, first.call.MutualDepth, first.at("mutual_depth"))
		}
	}
	for _, n := range part {
		for _, e := range n.out {
			if e.to.ring != n.ring && e.call.MutualDepth > 0 {
				e.report(g.found, "mutual_depth", "nothing that %s calls calls %s again; leave it out", e.to.Name, e.from.Name)
			}
		}
	}
}

// back tells by which calls a call comes back to where it is made.
func back(e *edge) string {
	if e.to == e.from {
		return fmt.Sprintf("%s calls itself", e.from.Name)
	}
	came := map[*node]*edge{e.to: nil}
	queue := []*node{e.to}
	for len(queue) > 0 && came[e.from] == nil {
		n := queue[0]
		queue = queue[1:]
		for _, next := range n.out {
			if _, seen := came[next.to]; !seen && next.to.ring == e.from.ring {
				came[next.to] = next
				queue = append(queue, next.to)
			}
		}
	}
	var way []string
	for n := e.from; came[n] != nil; n = came[n].from {
		way = append(way, fmt.Sprintf("%s calls %s (%s)", came[n].from.Name, n.Name, came[n].at("to")))
	}
	slices.Reverse(way)
	if len(way) > 6 {
		way = append(append(way[:3:3], fmt.Sprintf("... (%d more)", len(way)-5)), way[len(way)-2:]...)
	}
	return fmt.Sprintf("%s calls %s, and %s", e.from.Name, e.to.Name, strings.Join(way, ", "))
}

// spot is a class of an application: what a call reaches.
type spot struct {
	n     *node
	class string
}

// reach is the worst that a request becomes on its way to a spot.
type reach struct {
	attempts int // at the spot's endpoints
	by       *edge
	from     *reach
}

// attempts reports where the attempts of all tiers multiply past the bound. Components are taken callers
// first; within one, that is within a ring, the depth bounds how often it is gone round.
func (g *graph) attempts(chain *Chain, frame *schema.File) {
	most := chain.Most
	worst := map[spot]*reach{}
	calls := map[spot][]*edge{}
	own := func(n *node) int { return appfile.AttemptsTable.In(n.File).Most }
	for _, n := range g.nodes {
		if own(n) > most {
			at := n.File.Place("attempts", "most_attempts")
			g.found.Add(at.File, at.Pos, "attempts.most_attempts: %d, by itself above %s", own(n), bound(most, frame))
		}
		for _, e := range n.out {
			at := spot{n, e.call.Class}
			calls[at] = append(calls[at], e)
		}
	}
	// grow follows a call from a reach; it tells whether the call's end is reached worse than before.
	grow := func(e *edge, from *reach) (spot, bool) {
		to := spot{e.to, e.as}
		n := from.attempts * e.call.PerRequest * own(e.to) // each below 1e5, so no overflow
		if n > most {
			g.tooMany(e, from, n, most, frame)
			return to, false
		}
		if worst[to] == nil || worst[to].attempts < n {
			worst[to] = &reach{n, e, from}
			return to, true
		}
		return to, false
	}
	for _, part := range g.order {
		var start []spot
		for _, n := range part {
			for _, c := range appfile.ClassTable.All(n.File) {
				at := spot{n, c.Name}
				if worst[at] == nil {
					worst[at] = &reach{attempts: own(n)} // from outside
				}
				start = append(start, at)
			}
		}
		rounds := 1
		if part[0].inRing {
			calls := inside(part)
			if slices.ContainsFunc(calls, func(e *edge) bool { return e.call.MutualDepth == 0 }) {
				continue // reported; without a depth there is no worst
			}
			rounds = calls[0].call.MutualDepth*len(part) - 1
		}
		// Each round goes on from where the last one made it worse.
		for round := 0; round < rounds && len(start) > 0; round++ {
			var next []spot
			seen := map[spot]bool{}
			type step struct {
				e    *edge
				from *reach
			}
			var steps []step
			for _, at := range start {
				for _, e := range calls[at] {
					if e.to.ring == at.n.ring {
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
			for _, e := range n.out {
				if e.to.ring != n.ring {
					grow(e, worst[spot{n, e.call.Class}])
				}
			}
		}
	}
}

// tooMany reports a chain of calls that becomes too many attempts, where its last call is made.
func (g *graph) tooMany(e *edge, from *reach, n, most int, frame *schema.File) {
	way, factors := []string{e.to.Name}, []string{fmt.Sprint(appfile.AttemptsTable.In(e.to.File).Most)}
	if e.call.PerRequest > 1 {
		factors[0] = fmt.Sprintf("%d calls of %s", e.call.PerRequest, factors[0])
	}
	at := e
	for r := from; ; r = r.from {
		factor := fmt.Sprint(appfile.AttemptsTable.In(at.from.File).Most)
		if r.by != nil && r.by.call.PerRequest > 1 {
			factor = fmt.Sprintf("%d calls of %s", r.by.call.PerRequest, factor)
		}
		way, factors = append(way, at.from.Name), append(factors, factor)
		if at = r.by; at == nil || len(way) >= 8 {
			break
		}
	}
	slices.Reverse(way)
	slices.Reverse(factors)
	e.report(g.found, "to", "attempts multiply to %d (%s) on the way %s, above %s", n, strings.Join(factors, " x "), strings.Join(way, " -> "), bound(most, frame))
}

// bound names the bound on attempts, and where it is set.
func bound(most int, frame *schema.File) string {
	text := fmt.Sprintf("chain.most_attempts_in_chain, %d", most)
	if frame != nil {
		if s := frame.Setting("chain", "most_attempts_in_chain"); s != nil {
			text += fmt.Sprintf(" (%s)", s.Place)
		}
	}
	return text
}

// tiers reports ways through more applications than are allowed, each counted once. A ring counts with all
// its applications: it can be gone through whole.
func (g *graph) tiers(chain *Chain, frame *schema.File) {
	depth := make([]int, len(g.order)) // of the longest way that ends with a component
	for i, part := range g.order {
		depth[i] += len(part)
		for _, n := range part {
			for _, e := range n.out {
				if e.to.ring == i {
					continue
				}
				was := depth[e.to.ring]
				depth[e.to.ring] = max(was, depth[i])
				if end := depth[i] + len(g.order[e.to.ring]); end > chain.Depth && depth[i] <= chain.Depth && was < depth[i] {
					e.report(g.found, "to", "a request passes %d applications on its way through this call, above chain.most_tiers, %d", end, chain.Depth)
				}
			}
		}
	}
}

// hosts reports machines whose sidecars may use more than there is.
func (g *graph) hosts(hosts []schema.Named[Host], frame *schema.File) {
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
				at := n.File.Place("sidecar", "host")
				g.found.Add(at.File, at.Pos, "sidecar.host: %s; hosts stand in [hosts.NAME]", finding.Unknown("host", host, names))
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
			at := frame.Place("hosts", h.Name, key)
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
