package meshctl

import (
	"fmt"
	"slices"
	"strings"

	"quincegap/internal/mesh/control/configuration"
)

// Diff returns the differences between two configurations, a line for each, in the order of the tables. from may be nil. Changes of
// tenants' keys are mentioned; the keys themselves are never printed.
func Diff(from, to *configuration.Config) []string {
	if from == nil {
		from = &configuration.Config{}
	}
	var lines []string
	if from.Version != to.Version {
		lines = append(lines, fmt.Sprintf("version %s -> %s", from.Version, to.Version))
	}
	lines = append(lines, diffByName(from.Routes, to.Routes, routeName, routeText)...)
	lines = append(lines, diffByName(from.Services, to.Services, serviceName, serviceText)...)
	lines = append(lines, diffByName(from.Tenants, to.Tenants, tenantName, tenantText)...)
	lines = append(lines, diffKeys(from.Tenants, to.Tenants)...)
	if from.Limits != to.Limits {
		lines = append(lines, fmt.Sprintf("limits %s -> %s", limitsText(from.Limits), limitsText(to.Limits)))
	}
	return lines
}

// diffByName compares two tables by the names of their rows. It returns added (+) and changed (~) rows in the order of to, then removed
// ones (-) in the order of from.
func diffByName[T any](from, to []T, name, text func(T) string) []string {
	old := map[string]string{}
	for _, x := range from {
		old[name(x)] = text(x)
	}
	var lines []string
	for _, x := range to {
		was, ok := old[name(x)]
		delete(old, name(x))
		now := text(x)
		switch {
		case !ok:
			lines = append(lines, "+ "+name(x)+": "+now)
		case was != now:
			lines = append(lines, "~ "+name(x)+": "+was+" -> "+now)
		}
	}
	for _, x := range from {
		if _, ok := old[name(x)]; ok {
			lines = append(lines, "- "+name(x))
		}
	}
	return lines
}

// diffKeys returns a line for each tenant whose keys change.
func diffKeys(from, to []configuration.Tenant) []string {
	keys := map[string][]string{}
	for _, t := range from {
		keys[t.Name] = t.Keys
	}
	var lines []string
	for _, t := range to {
		if old, ok := keys[t.Name]; ok && !slices.Equal(old, t.Keys) {
			lines = append(lines, fmt.Sprintf("tenant %s: keys change (%d before, %d now)", t.Name, len(old), len(t.Keys)))
		}
	}
	return lines
}

// routeName returns how a change names a route: by its host and path prefix.
func routeName(r configuration.Route) string { return "route " + r.Host + r.Prefix }

// serviceName returns how a change names a service.
func serviceName(s configuration.Service) string { return "service " + s.Name }

// tenantName returns how a change names a tenant.
func tenantName(t configuration.Tenant) string { return "tenant " + t.Name }

// routeText returns a route as it is printed. The names in this text, and in those of the functions that follow, are part of the output and
// do not change with the fields' names.
func routeText(r configuration.Route) string {
	split := make([]string, len(r.Split))
	for i, share := range r.Split {
		split[i] = fmt.Sprintf("{Service:%s Weight:%v}", share.Service, share.Weight)
	}
	return fmt.Sprintf("{Name:%s Host:%s Prefix:%s Kind:%d Timeout:%v Target:%v Priority:%d MaxAttempts:%d Split:[%s] Public:%t}",
		r.Name, r.Host, r.Prefix, r.Kind, r.Timeout, r.Target, r.Priority, r.MaxAttempts, strings.Join(split, " "), r.Public)
}

// serviceText returns a service as it is printed.
func serviceText(s configuration.Service) string {
	return fmt.Sprintf("{Name:%s HealthPath:%s ConnectionCap:%d}", s.Name, s.HealthPath, s.ConnectionCap)
}

// tenantText returns a tenant as it is printed, without its keys.
func tenantText(t configuration.Tenant) string {
	return fmt.Sprintf("rank %d, rate %v, burst %v", t.Priority, t.Rate, t.Burst)
}

// limitsText returns limits as they are printed.
func limitsText(l configuration.Limits) string {
	return fmt.Sprintf("{HeaderMax:%d BodyMax:%d HeaderTimeout:%v IdleTimeout:%v}", l.HeaderMax, l.BodyMax, l.HeaderTimeout, l.IdleTimeout)
}
