package apps

import (
	"cmp"
	"fmt"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// maxNamesSearched bounds the number of names that are compared with unknown names to suggest similar ones, summed over all calls of an
// installation.
const maxNamesSearched = 10000

// graph is the graph of calls, with applications as nodes.
type graph struct {
	nodes      []*node
	byName     map[string]*node
	found      *finding.List
	components [][]*node // the strongly connected components, callers first
}

// node is an application in the graph of calls.
type node struct {
	*App
	sidecar   *appfile.Sidecar
	calls     []*edge
	component int  // the index of its strongly connected component
	cyclic    bool // whether its component contains a cycle, that is, calls within itself
}

// edge is a call from a class of one application to a class of another.
type edge struct {
	from, to        *node
	name            string
	call            *appfile.Call
	callerClass     *appfile.Class
	targetClass     *appfile.Class
	targetClassName string
}

// location returns the location of a key of the call.
func (e *edge) location(key string) schema.Location {
	return e.from.File.Location("calls", e.name, key)
}

// report adds a finding about a key of the call.
func (e *edge) report(found *finding.List, key, format string, args ...any) {
	at := e.location(key)
	found.Add(at.File, at.Pos, "%s", fmt.Sprintf("calls.%s.%s: ", e.name, key)+fmt.Sprintf(format, args...))
}

// staysInComponent reports whether the call is part of a cycle, so that caller and callee are in the same component.
func (e *edge) staysInComponent() bool { return e.to.component == e.from.component }

// newGraph returns a graph of the applications without their calls. If two have the same name, the second is reported and omitted.
func newGraph(apps []*App, found *finding.List) *graph {
	g := &graph{byName: map[string]*node{}, found: found}
	for _, a := range apps {
		if other := g.byName[a.Name]; other != nil {
			found.Add(a.Location.File, a.Location.Pos, "application %s stands twice: first in %s", a.Name, other.Location)
			continue
		}
		n := &node{App: a, sidecar: appfile.SidecarTable.In(a.File)}
		g.nodes = append(g.nodes, n)
		g.byName[a.Name] = n
	}
	return g
}

// linkCalls adds the calls to the graph, and checks each with checkCall. Calls to unknown applications or classes are reported and omitted.
func (g *graph) linkCalls() {
	names := make([]string, 0, len(g.nodes))
	for _, n := range g.nodes {
		names = append(names, n.Name)
	}
	searched := 0
	for _, caller := range g.nodes {
		for _, call := range appfile.CallsTable.All(caller.File) {
			link := &edge{
				from:            caller,
				to:              g.byName[call.Value.To],
				name:            call.Name,
				call:            call.Value,
				callerClass:     appfile.ClassTable.Get(caller.File, call.Value.Class),
				targetClassName: cmp.Or(call.Value.AsClass, call.Value.Class),
			}
			if link.to == nil {
				var candidates []string
				if searched += len(names); searched <= max(maxNamesSearched, len(names)) {
					candidates = names
				}
				link.report(g.found, "to", "%s", finding.UnknownName("application", call.Value.To, candidates))
				continue
			}
			if link.callerClass == nil {
				continue // already reported when the application's settings were decoded
			}
			link.targetClass = appfile.ClassTable.Get(link.to.File, link.targetClassName)
			if link.targetClass == nil {
				g.reportUnknownClass(link)
				continue
			}
			caller.calls = append(caller.calls, link)
			g.checkCall(link)
		}
	}
}

// reportUnknownClass reports a call to a class that the called application does not have.
func (g *graph) reportUnknownClass(e *edge) {
	var classes []string
	for _, c := range appfile.ClassTable.All(e.to.File) {
		classes = append(classes, c.Name)
	}
	key := "as_class"
	if e.call.AsClass == "" {
		key = "for_class"
	}
	e.report(g.found, key, "%s at %s", finding.UnknownName("class", e.targetClassName, classes), e.to.Name)
}
