package apps

import (
	"quincegap/internal/balancer"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// Check checks the applications of apps.toml against one another, and adds a finding for each fault.
func (m *Model) Check(found *finding.List) {
	for _, a := range m.Apps {
		CheckAddresses(a.File, found)
	}
	Check(m.Apps, ChainTable.In(m.Installation), HostTable.All(m.Installation), m.Installation, found)
}

// Check checks applications against one another; each must have passed its own checks. installation is the file that sets the bounds and
// hosts, or nil if files of single applications are checked. The time is proportional to the number of applications and calls.
func Check(apps []*App, chain *Chain, hosts []schema.Named[Host], installation *schema.File, found *finding.List) {
	g := newGraph(apps, found)
	g.checkAddresses()
	g.linkCalls()
	g.findComponents()
	g.checkAttempts(chain, installation)
	g.checkTiers(chain)
	g.checkHosts(hosts, installation)
}

// idempotencyRank orders the kinds of idempotency: calls of a higher rank must meet more conditions to be repeated.
var idempotencyRank = map[balancer.Idempotency]int{balancer.Idempotent: 0, balancer.IdempotentWithKey: 1, balancer.NonIdempotent: 2}

// checkCall checks the times and the idempotency of one call against the classes that make and serve it.
func (g *graph) checkCall(edge *edge) {
	caller := edge.callerClass
	target := edge.targetClass
	atCaller := func(key string) schema.Location { return edge.from.File.Location("class", edge.call.Class, key) }
	atTarget := func(key string) schema.Location { return edge.to.File.Location("class", edge.targetClassName, key) }
	format := schema.FormatDuration
	if target.Deadline > edge.call.Timeout {
		edge.report(g.found, "timeout", "%s does not cover the deadline of class %s at %s, %s (%s): it would work on for a caller that has gone",
			format(edge.call.Timeout), edge.targetClassName, edge.to.Name, format(target.Deadline), atTarget("deadline"))
	}
	if n := edge.call.PerRequest; n > 1 && int64(n) > int64(caller.Deadline)/max(1, int64(target.LatencyTarget)) {
		edge.report(g.found, "per_request",
			"%d calls one after another, of %s each when all goes well (%s), do not fit into the deadline of class %s, %s (%s)",
			n, format(target.LatencyTarget), atTarget("aim"), edge.call.Class, format(caller.Deadline), atCaller("deadline"))
	}
	bothKeyed := target.Idempotency == balancer.IdempotentWithKey && caller.Idempotency == balancer.IdempotentWithKey
	switch {
	case idempotencyRank[target.Idempotency] > idempotencyRank[caller.Idempotency]:
		edge.report(g.found, "for_class",
			"class %s is %s (%s) and may go out again, but class %s at %s is %s (%s): it would be called again with it",
			edge.call.Class, caller.Idempotency, atCaller("effect"), edge.targetClassName, edge.to.Name, target.Idempotency, atTarget("effect"))
	case edge.targetClassName == edge.call.Class && target.Idempotency != caller.Idempotency:
		edge.report(g.found, "for_class", "class %s is %s here (%s) but %s at %s (%s): one name, two effects",
			edge.targetClassName, caller.Idempotency, atCaller("effect"), target.Idempotency, edge.to.Name, atTarget("effect"))
	case bothKeyed && target.KeyWindow < caller.Deadline:
		edge.report(g.found, "timeout",
			"class %s at %s drops repeats for %s (%s), but class %s here goes out again for up to %s (%s): a late one would run twice",
			edge.targetClassName, edge.to.Name, format(target.KeyWindow), atTarget("key_window"),
			edge.call.Class, format(caller.Deadline), atCaller("deadline"))
	}
}

// checkTiers reports chains of calls through more applications than chain.most_tiers, each counted once. A cycle counts as all of
// its applications, since a request can pass through all of them.
func (g *graph) checkTiers(chain *Chain) {
	before := make([]int, len(g.components)) // the number of applications on the longest path to each component, without its own
	for i, component := range g.components {
		depth := before[i] + len(component)
		for _, n := range component {
			for _, e := range n.calls {
				next := e.to.component
				if next == i {
					continue
				}
				deeper := before[next] < depth
				before[next] = max(before[next], depth)
				if end := depth + len(g.components[next]); deeper && end > chain.MaxTiers && depth <= chain.MaxTiers {
					e.report(g.found, "to", "a request passes %d applications on its way through this call, above chain.most_tiers, %d",
						end, chain.MaxTiers)
				}
			}
		}
	}
}
