package meshctl

import (
	"fmt"
	"slices"
	"strings"

	"quincegap/internal/mesh/control/configuration"
)

// Diff returns a line for each difference between two configurations, in the order of the tables. from may be nil, which means an empty
// configuration. A line says that the keys of a tenant change, but never has the keys themselves.
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

// diffByName compares two tables by the names of their rows. It returns lines for the added (+) and changed (~) rows in the order of to,
// and then for the removed rows (-) in the order of from.
func diffByName[T any](from, to []T, name, text func(T) string) []string {
	oldTexts := map[string]string{}
	for _, row := range from {
		oldTexts[name(row)] = text(row)
	}
	var lines []string
	for _, row := range to {
		oldText, ok := oldTexts[name(row)]
		delete(oldTexts, name(row))
		newText := text(row)
		switch {
		case !ok:
			lines = append(lines, "+ "+name(row)+": "+newText)
		case oldText != newText:
			lines = append(lines, "~ "+name(row)+": "+oldText+" -> "+newText)
		}
	}
	for _, row := range from {
		if _, ok := oldTexts[name(row)]; ok {
			lines = append(lines, "- "+name(row))
		}
	}
	return lines
}

// diffKeys returns a line for each tenant of both tables whose keys differ.
func diffKeys(from, to []configuration.Tenant) []string {
	oldKeys := map[string][]string{}
	for _, tenant := range from {
		oldKeys[tenant.Name] = tenant.Keys
	}
	var lines []string
	for _, tenant := range to {
		if old, ok := oldKeys[tenant.Name]; ok && !slices.Equal(old, tenant.Keys) {
			lines = append(lines, fmt.Sprintf("tenant %s: keys change (%d before, %d now)", tenant.Name, len(old), len(tenant.Keys)))
		}
	}
	return lines
}

// routeName returns the name of a route in a line of Diff: its host and path prefix.
func routeName(r configuration.Route) string { return "route " + r.Host + r.Prefix }

// serviceName returns the name of a service in a line of Diff.
func serviceName(s configuration.Service) string { return "service " + s.Name }

// tenantName returns the name of a tenant in a line of Diff.
func tenantName(t configuration.Tenant) string { return "tenant " + t.Name }

// routeText returns the text of a route in a line of Diff. The field names in this text, and in the texts of the functions below, are part
// of the output; they stay the same when the fields are renamed.
func routeText(r configuration.Route) string {
	split := make([]string, len(r.Split))
	for i, share := range r.Split {
		split[i] = fmt.Sprintf("{Service:%s Weight:%v}", share.Service, share.Weight)
	}
	return fmt.Sprintf("{Name:%s Host:%s Prefix:%s Kind:%d Timeout:%v Target:%v Priority:%d MaxAttempts:%d Split:[%s] Public:%t}",
		r.Name, r.Host, r.Prefix, r.Kind, r.Timeout, r.Target, r.Priority, r.MaxAttempts, strings.Join(split, " "), r.Public)
}

// serviceText returns the text of a service in a line of Diff.
func serviceText(s configuration.Service) string {
	return fmt.Sprintf("{Name:%s HealthPath:%s ConnectionCap:%d}", s.Name, s.HealthPath, s.ConnectionCap)
}

// tenantText returns the text of a tenant in a line of Diff, without its keys.
func tenantText(t configuration.Tenant) string {
	return fmt.Sprintf("rank %d, rate %v, burst %v", t.Priority, t.Rate, t.Burst)
}

// limitsText returns the text of limits in a line of Diff.
func limitsText(l configuration.Limits) string {
	return fmt.Sprintf("{HeaderMax:%d BodyMax:%d HeaderTimeout:%v IdleTimeout:%v}", l.HeaderMax, l.BodyMax, l.HeaderTimeout, l.IdleTimeout)
}
