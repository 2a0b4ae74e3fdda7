package route

import (
	"strings"
	"time"

	"quincegap/internal/config/schema"
)

// Rule is one table [route.NAME] of a settings file.
type Rule struct {
	PatternText
	Settings
	RetryOn string // names of outcomes after which a retry is allowed, separated by commas

	pattern    *Pattern // set by compile; nil if the rule has faults
	isCompiled bool

	// The routes of the file that were checked so far, and their number. Only the first rule of a file has them.
	checked      *prefixIndex[checkedRoute]
	checkedCount int
}

const (
	// MaxRoutes is the maximum number of routes of a file.
	MaxRoutes = 5000
	// noRetryBudget is the default of Settings.RetryShare: the route does not limit retries by a budget.
	noRetryBudget = -1.0
	// maxNameBytes is the maximum length of the name of a route.
	maxNameBytes = 64
)

// textKey returns the schema key of a setting with a text.
func textKey(name string, field func(*Rule) *string, example, help string) schema.KeyOf[Rule] {
	return schema.String(name, field, schema.StringOptions{Example: example}, schema.OnReload, help)
}

// Rules are the tables [route.NAME] of a settings file.
var Rules = schema.NewNamed("route", "route", "book-north",
	"What is set for some requests beyond their class. Of the routes that match a request the most specific is taken: the one "+
		"whose requests all the others match too. Two that have requests in common, neither more specific, are refused.",
	textKey("match_host", func(r *Rule) *string { return &r.Host }, "booking.example.org", "The Host, or *.example.org for those under it."),
	textKey("match_path", func(r *Rule) *string { return &r.Path }, "/trips/{id}",
		"The path: /trips exactly, /trips/{id} with one segment, /trips/{rest...} with any number, none too. "+
			"Escapes and a final / make no difference."),
	textKey("match_methods", func(r *Rule) *string { return &r.Methods }, "GET", "Methods, with commas between."),
	textKey("match_classes", func(r *Rule) *string { return &r.Classes }, "find-trip", "Classes, with commas between."),
	textKey("match_tenants", func(r *Rule) *string { return &r.Tenants }, "north-clinics", "Tenants, with commas between."),
	textKey("match_headers", func(r *Rule) *string { return &r.Headers }, "X-Canary: 1",
		"Headers that have to be there, \"Name: value\" once with that value, \"Name\" with any."),
	schema.Bool("serve", func(r *Rule) *bool { return &r.Serve }, true, schema.OnReload,
		"false turns all of it away, with Retry-After, and sends none of it on."),
	schema.Float("route_worth", func(r *Rule) *float64 { return &r.Value },
		schema.Bounds[float64]{Min: 0.01, Max: 100, Optional: true, Example: "2"}, schema.OnReload,
		"How much more it is worth than others of its class when not all can be served; below 1 for less."),
	durationKey("whole_time", func(r *Rule) *time.Duration { return &r.Timeout }, `"2s"`,
		"The whole time of a request, where that is less than its caller waits."),
	durationKey("attempt_time", func(r *Rule) *time.Duration { return &r.AttemptTimeout }, `"800ms"`,
		"The time of one attempt. What takes longer may have run, and goes out again only where its class allows it."),
	schema.Int("route_attempts", func(r *Rule) *int { return &r.MaxAttempts },
		schema.Bounds[int]{Min: 1, Max: 20, Optional: true, Example: "2"}, schema.OnReload,
		"The most attempts of a request, the first one included; no more than the site allows."),
	schema.Int("most_open", func(r *Rule) *int { return &r.MaxOpen },
		schema.Bounds[int]{Min: 1, Max: 1_000_000, Optional: true, Example: "50"}, schema.OnReload,
		"The most requests at once; more are refused, with Retry-After."),
	textKey("retry_on", func(r *Rule) *string { return &r.RetryOn }, "turned-away, unconnected",
		"After which outcomes another attempt may go out, with commas between: turned-away, unconnected, failed, broken, late; "+
			"all where it is left out. What a class forbids stays forbidden."),
	durationKey("retry_pause", func(r *Rule) *time.Duration { return &r.RetryBackoff }, `"20ms"`,
		"How long to wait before a second attempt; twice as long before each further one, and by chance between half of that and "+
			"one and a half times."),
	schema.Float("retry_share", func(r *Rule) *float64 { return &r.RetryShare },
		schema.Bounds[float64]{Default: noRetryBudget, Min: noRetryBudget, Max: 1}, schema.OnReload,
		"Further attempts for each answered request, saved up to retry_reserve; negative for no budget of the route's own."),
	schema.Int("retry_reserve", func(r *Rule) *int { return &r.RetryReserve },
		schema.Bounds[int]{Default: 10, Min: 0, Max: 100_000}, schema.OnReload,
		"How many further attempts may be saved up; a start begins with so many."),
	schema.Float("copy_after", func(r *Rule) *float64 { return &r.HedgeQuantile },
		schema.Bounds[float64]{Min: 0.5, Max: 0.999, Optional: true, Example: "0.95"}, schema.OnReload,
		"A second copy of a request goes to another endpoint when its answer takes longer than this quantile of the route's answers, "+
			"like 0.95. Not of unsafe classes; of keyed ones in the same cell. It needs attempts.second_copies, or the platform's leave."),
	schema.Float("copy_share", func(r *Rule) *float64 { return &r.HedgeShare },
		schema.Bounds[float64]{Default: 0.05, Min: 0.001, Max: 0.25}, schema.OnReload,
		"The share of the route's requests, at most, that get a second copy."),
	schema.Duration("come_back", func(r *Rule) *time.Duration { return &r.RetryAfter },
		schema.Bounds[time.Duration]{Default: time.Second, Min: 0, Max: time.Minute}, schema.OnReload,
		"Retry-After of what serve or most_open turns away."),
).CheckNames(nameFault)

// The check is added here because it refers to Rules, so the initialisation of Rules cannot refer to it.
func init() { Rules.Check(check) }

// durationKey returns the schema key of a setting with a duration.
func durationKey(name string, field func(*Rule) *time.Duration, example, help string) schema.KeyOf[Rule] {
	bounds := schema.Bounds[time.Duration]{Min: 10 * time.Millisecond, Max: time.Hour, Optional: true, Example: example}
	return schema.Duration(name, field, bounds, schema.OnReload, help)
}

// nameFault returns why the name of a route is invalid, or "" if it is valid.
func nameFault(name string) string {
	if len(name) > maxNameBytes || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return "is not a route name: use up to 64 printable characters without spaces"
	}
	return ""
}

// compile returns the rule's pattern, or nil if the rule has faults. The rule is parsed at the first call, and only that call returns the
// faults.
func (r *Rule) compile() (*Pattern, []fault) {
	if r.isCompiled {
		return r.pattern, nil
	}
	r.isCompiled = true
	pattern, faults := newPattern(r.PatternText)
	retryable, text := parseOutcomes(r.RetryOn)
	if text != "" {
		faults = append(faults, fault{"retry_on", text})
	}
	r.retryable = retryable
	if len(faults) == 0 {
		r.pattern = pattern
	}
	return r.pattern, faults
}

// Compile returns the table of the routes of a file that was checked. It returns nil if the file is nil or has no routes.
func Compile(file *schema.File) *Table {
	if file == nil {
		return nil
	}
	all := Rules.All(file)
	if len(all) == 0 {
		return nil
	}
	var routes []*Route
	for _, rule := range all {
		pattern, _ := rule.Value.compile()
		if pattern == nil {
			continue // check has reported the faults of the rule
		}
		routes = append(routes, &Route{Name: rule.Name, Settings: &rule.Value.Settings, State: &State{}, pattern: pattern})
	}
	return newTable(routes)
}
