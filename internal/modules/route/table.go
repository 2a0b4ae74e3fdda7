package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
)

// Rule is one [route.NAME].
type Rule struct {
	PatternText
	Settings
	RetryOn string

	pattern    *Pattern // once it was read; nil where it cannot be
	isCompiled bool

	checked      *prefixIndex[checkedRoute] // of a file's first rule: those that were checked
	checkedCount int
}

// The bounds of a file's routes.
const (
	MaxRoutes = 5000
	noBudget  = -1.0
)

func word(name string, field func(*Rule) *string, example, help string) schema.KeyOf[Rule] {
	return schema.String(name, field, schema.StringOptions{Example: example}, schema.OnReload, help)
}

// Rules is [route.NAME].
var Rules = schema.NewNamed("route", "route", "book-north",
	"What is set for some requests beyond their class. Of the routes that match a request the most specific is taken: the one "+
		"whose requests all the others match too. Two that have requests in common, neither more specific, are refused.",
	word("match_host", func(r *Rule) *string { return &r.Host }, "booking.example.org", "The Host, or *.example.org for those under it."),
	word("match_path", func(r *Rule) *string { return &r.Path }, "/trips/{id}", "The path: /trips exactly, /trips/{id} with one segment, /trips/{rest...} with any number, none too. Escapes and a final / make no difference."),
	word("match_methods", func(r *Rule) *string { return &r.Methods }, "GET", "Methods, with commas between."),
	word("match_classes", func(r *Rule) *string { return &r.Classes }, "find-trip", "Classes, with commas between."),
	word("match_tenants", func(r *Rule) *string { return &r.Tenants }, "north-clinics", "Tenants, with commas between."),
	word("match_headers", func(r *Rule) *string { return &r.Headers }, "X-Canary: 1", "Headers that have to be there, \"Name: value\" once with that value, \"Name\" with any."),
	schema.Bool("serve", func(r *Rule) *bool { return &r.Serve }, true, schema.OnReload,
		"false turns all of it away, with Retry-After, and sends none of it on."),
	schema.Float("route_worth", func(r *Rule) *float64 { return &r.Value },
		schema.Bounds[float64]{Min: 0.01, Max: 100, Optional: true, Example: "2"}, schema.OnReload,
		"How much more it is worth than others of its class when not all can be served; below 1 for less."),
	duration("whole_time", func(r *Rule) *time.Duration { return &r.Timeout }, `"2s"`,
		"The whole time of a request, where that is less than its caller waits."),
	duration("attempt_time", func(r *Rule) *time.Duration { return &r.AttemptTimeout }, `"800ms"`,
		"The time of one attempt. What takes longer may have run, and goes out again only where its class allows it."),
	schema.Int("route_attempts", func(r *Rule) *int { return &r.MaxAttempts },
		schema.Bounds[int]{Min: 1, Max: 20, Optional: true, Example: "2"}, schema.OnReload,
		"The most attempts of a request, the first one included; no more than the site allows."),
	schema.Int("most_open", func(r *Rule) *int { return &r.MaxOpen },
		schema.Bounds[int]{Min: 1, Max: 1_000_000, Optional: true, Example: "50"}, schema.OnReload,
		"The most requests at once; more are refused, with Retry-After."),
	word("retry_on", func(r *Rule) *string { return &r.RetryOn }, "turned-away, unconnected",
		"After which outcomes another attempt may go out, with commas between: turned-away, unconnected, failed, broken, late; all where it is left out. What a class forbids stays forbidden."),
	duration("retry_pause", func(r *Rule) *time.Duration { return &r.RetryBackoff }, `"20ms"`,
		"How long to wait before a second attempt; twice as long before each further one, and by chance between half of that and one and a half times."),
	schema.Float("retry_share", func(r *Rule) *float64 { return &r.RetryShare },
		schema.Bounds[float64]{Default: noBudget, Min: noBudget, Max: 1}, schema.OnReload,
		"Further attempts for each answered request, saved up to retry_reserve; negative for no budget of the route's own."),
	schema.Int("retry_reserve", func(r *Rule) *int { return &r.RetryReserve },
		schema.Bounds[int]{Default: 10, Min: 0, Max: 100_000}, schema.OnReload,
		"How many further attempts may be saved up; a start begins with so many."),
	schema.Float("copy_after", func(r *Rule) *float64 { return &r.HedgeQuantile },
		schema.Bounds[float64]{Min: 0.5, Max: 0.999, Optional: true, Example: "0.95"}, schema.OnReload,
		"A second copy of a request goes to another endpoint when its answer takes longer than this quantile of the route's answers, like 0.95. Not of unsafe classes; of keyed ones in the same cell. It needs attempts.second_copies, or the platform's leave."),
	schema.Float("copy_share", func(r *Rule) *float64 { return &r.HedgeShare },
		schema.Bounds[float64]{Default: 0.05, Min: 0.001, Max: 0.25}, schema.OnReload,
		"The share of the route's requests, at most, that get a second copy."),
	schema.Duration("come_back", func(r *Rule) *time.Duration { return &r.RetryAfter },
		schema.Bounds[time.Duration]{Default: time.Second, Min: 0, Max: time.Minute}, schema.OnReload,
		"Retry-After of what serve or most_open turns away."),
).CheckNames(badName)

// The check looks at the routes beside the one that is checked.
func init() { Rules.Check(check) }

func duration(name string, field func(*Rule) *time.Duration, example, help string) schema.KeyOf[Rule] {
	return schema.Duration(name, field, schema.Bounds[time.Duration]{Min: 10 * time.Millisecond, Max: time.Hour, Optional: true, Example: example}, schema.OnReload, help)
}

func badName(name string) string {
	if len(name) > 64 || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return "is no name of a route: up to 64 printable characters without spaces"
	}
	return ""
}

// compile is the rule's pattern, read once; nil where it cannot be.
func (r *Rule) compile() (*Pattern, []fault) {
	if r.isCompiled {
		return r.pattern, nil
	}
	r.isCompiled = true
	p, faults := newPattern(r.PatternText)
	bits, bad := readOutcomes(r.RetryOn)
	if bad != "" {
		faults = append(faults, fault{"retry_on", bad})
	}
	r.retryable = bits
	if len(faults) == 0 {
		r.pattern = p
	}
	return r.pattern, faults
}

// check finds what of a route could break a rule, reaches nothing, or clashes with a route before it.
func check(f *schema.File, name string, r *Rule, report schema.Reporter) {
	first, n := Rules.First(f)
	if n > MaxRoutes {
		if r == first {
			report(findingKey(f, name), "%d routes are more than %d", n, MaxRoutes)
		}
		return
	}
	p, faults := r.compile()
	for _, x := range faults {
		key := "match_" + x.key
		if f.Setting("route", name, x.key) != nil {
			key = x.key
		}
		report(key, "%s", x.text)
	}
	if len(faults) > 0 {
		return
	}
	classes := appfile.ClassTable.All(f)
	r.checkReach(f, p, classes, report)
	r.checkTimes(f, name, p, classes, report)
	r.checkLimits(f, name, report)
	r.checkCopies(f, name, p, report)
	if r == first {
		r.checked = &prefixIndex[checkedRoute]{}
	}
	if first.checked == nil { // the first one cannot be read
		first.checked = &prefixIndex[checkedRoute]{}
	}
	// The earliest in the file is named, so that the same file always gives the same findings.
	var clash checkedRoute
	for o := range first.checked.candidates(p) {
		if rel := p.compare(o.pattern); (rel == equal || rel == overlaps) && (clash.pattern == nil || o.number < clash.number) {
			clash = o
		}
	}
	first.checkedCount++
	first.checked.add(p, checkedRoute{name, first.checkedCount, p})
	switch {
	case clash.pattern == nil:
	case p.compare(clash.pattern) == equal:
		report(findingKey(f, name), "matches just what [route.%s] does (%s)", clash.name, f.Location("route", clash.name, ""))
	default:
		report(findingKey(f, name), "overlaps with [route.%s] (%s), and neither is more specific: both match %s", clash.name, f.Location("route", clash.name, ""), exampleRequest(p, clash.pattern))
	}
}

// checkedRoute is a pattern that was checked.
type checkedRoute struct {
	name    string
	number  int
	pattern *Pattern
}

// findingKey is the key of a route that a finding on all of its match stands at.
func findingKey(f *schema.File, name string) string {
	for _, key := range []string{"match_path", "match_host", "match_classes", "match_methods", "match_tenants", "match_headers"} {
		if f.Setting("route", name, key) != nil {
			return key
		}
	}
	return "match_path"
}

// checkReach finds what no request can match.
func (r *Rule) checkReach(f *schema.File, p *Pattern, classes []schema.Named[appfile.Class], report schema.Reporter) {
	method := func(c *appfile.Class) string {
		if c.Idempotency == balancer.Idempotent {
			return "GET"
		}
		return "POST"
	}
	known := func(list []string, has func(string) bool, key, what string) {
		for _, x := range list {
			if !has(x) {
				report("match_"+key, "there is no %s %q", what, x)
			}
		}
	}
	if len(classes) > 0 {
		known(p.classes, func(x string) bool { return appfile.ClassTable.Get(f, x) != nil }, "classes", "class")
		reached := false
		for _, c := range classes {
			if p.has(p.classes, c.Name) && p.has(p.methods, method(c.Value)) {
				reached = true
			}
		}
		if !reached && len(p.methods) > 0 && (len(p.classes) == 0 || appfile.ClassTable.Get(f, p.classes[0]) != nil) {
			report("match_methods", "nothing can match it: safe classes come with GET, others with POST")
		}
	}
	if tenants := appfile.TenantTable.All(f); len(tenants) > 0 {
		known(p.tenants, func(x string) bool { return appfile.TenantTable.Get(f, x) != nil }, "tenants", "tenant")
	} else if len(classes) > 0 && len(p.tenants) > 0 {
		report("match_tenants", "nothing can match it: there are no tenants")
	}
	for _, c := range p.headers {
		if slices.Contains([]string{"Connection", "Transfer-Encoding", "Content-Length", "X-Txn", "X-Remaining", "Host"}, c.name) {
			report("match_headers", "%s is not matched: it belongs to the message, not to what is asked for", c.name)
		}
	}
}

func (p *Pattern) has(set []string, word string) bool {
	return len(set) == 0 || slices.Contains(set, word)
}

// checkTimes finds times that do not go together.
func (r *Rule) checkTimes(f *schema.File, name string, p *Pattern, classes []schema.Named[appfile.Class], report schema.Reporter) {
	d := schema.FormatDuration
	for _, c := range classes {
		if !p.has(p.classes, c.Name) {
			continue
		}
		at := f.Location("class", c.Name, "deadline")
		if r.Timeout > c.Value.Deadline {
			report("whole_time", "%s is longer than callers of %s wait: its deadline is %s (%s)", d(r.Timeout), c.Name, d(c.Value.Deadline), at)
			return
		}
		whole, said := cmp.Or(r.Timeout, c.Value.Deadline), "its deadline"
		if r.Timeout > 0 {
			said = "whole_time"
		}
		if r.AttemptTimeout > whole {
			report("attempt_time", "%s is longer than the whole time of %s, %s (%s)", d(r.AttemptTimeout), c.Name, d(whole), said)
			return
		}
		if r.AttemptTimeout > 0 && r.MaxAttempts > 1 && r.AttemptTimeout*time.Duration(r.MaxAttempts) > whole {
			report("route_attempts", "%d attempts of %s each take longer than the whole time of %s, %s (%s)", r.MaxAttempts, d(r.AttemptTimeout), c.Name, d(whole), said)
			return
		}
		if r.RetryBackoff >= whole {
			report("retry_pause", "%s is no shorter than the whole time of %s, %s (%s): no second attempt would go out", d(r.RetryBackoff), c.Name, d(whole), said)
			return
		}
		if c.Value.Idempotency == balancer.NonIdempotent && r.AttemptTimeout > 0 && len(p.classes) > 0 {
			report("attempt_time", "%s is unsafe: an attempt that is given up may have run and cannot go out again, so a time of its own only fails what would have been answered", c.Name)
			return
		}
	}
}

// checkLimits finds limits that mean nothing or cannot hold.
func (r *Rule) checkLimits(f *schema.File, name string, report schema.Reporter) {
	if !r.Serve {
		for _, key := range []string{"whole_time", "attempt_time", "route_attempts", "most_open", "retry_share", "retry_reserve", "retry_on", "retry_pause", "route_worth", "copy_after", "copy_share"} {
			if f.Setting("route", name, key) != nil {
				report(key, "means nothing: serve is false")
			}
		}
		return
	}
	if f.Setting("route", name, "retry_reserve") != nil && r.RetryShare < 0 {
		report("retry_reserve", "means nothing without retry_share")
	}
	for _, key := range []string{"retry_share", "retry_on", "retry_pause"} {
		if r.MaxAttempts == 1 && f.Setting("route", name, key) != nil {
			report(key, "means nothing: route_attempts is 1")
		}
	}
	if limits := appfile.LimitsTable.In(f); limits.Sockets > 0 && r.MaxOpen > limits.Sockets {
		report("most_open", "%d cannot be held: limits.sockets is %d (%s)", r.MaxOpen, limits.Sockets, f.Location("limits", "sockets"))
	}
}

// checkCopies finds second copies that a rule forbids, or that would never be made.
func (r *Rule) checkCopies(f *schema.File, name string, p *Pattern, report schema.Reporter) {
	if r.HedgeQuantile <= 0 {
		if f.Setting("route", name, "copy_share") != nil && r.Serve {
			report("copy_share", "means nothing without copy_after")
		}
		return
	}
	if attempts := appfile.AttemptsTable.In(f); !attempts.HedgedRequests && f.Setting("attempts", "second_copies") != nil {
		report("copy_after", "two attempts of a request may not be out at once: attempts.second_copies is false (%s)", f.Location("attempts", "second_copies"))
		return
	} else if !attempts.HedgedRequests && len(appfile.ClassTable.All(f)) > 0 {
		report("copy_after", "two attempts of a request may not be out at once unless attempts.second_copies is true")
		return
	}
	if r.MaxAttempts == 1 {
		report("copy_after", "means nothing: route_attempts is 1, and a copy is an attempt")
	}
	for _, c := range p.classes {
		if class := appfile.ClassTable.Get(f, c); class != nil && class.Idempotency == balancer.NonIdempotent {
			report("copy_after", "%s is unsafe: its effect would happen twice", c)
			return
		}
	}
}

// Compile makes the table of a file that was checked; nil for one without routes, and for no file.
func Compile(f *schema.File) *Table {
	if f == nil {
		return nil
	}
	all := Rules.All(f)
	if len(all) == 0 {
		return nil
	}
	var routes []*Route
	for _, x := range all {
		p, _ := x.Value.compile()
		if p == nil {
			continue // it was reported
		}
		routes = append(routes, &Route{Name: x.Name, Settings: &x.Value.Settings, State: &State{}, pattern: p})
	}
	return newTable(routes)
}

// KeepStates has routes go on as those of the same names stood before, when a file is read again. It has to be called before
// the table is used.
func (t *Table) KeepStates(before *Table) {
	if t == nil || before == nil {
		return
	}
	states := map[string]*State{}
	for _, r := range before.Routes {
		states[r.Name] = r.State
	}
	for _, r := range t.Routes {
		r.State = cmp.Or(states[r.Name], r.State)
	}
}
