package agent

import (
	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/operations/settings"
)

// limitFor returns a tenant's rate limit. Overage is the number of requests above the limit that the bounds in the settings permit: a
// fraction of the requests that the limit allows in a quota window, plus a constant slack.
func limitFor(b *settings.Bounds, t *configuration.Tenant) ratelimit.Limit {
	allowed := t.Rate*b.QuotaWindow.Seconds() + t.Burst
	return ratelimit.Limit{Rate: t.Rate, Burst: t.Burst, Overage: b.QuotaOverage*allowed + b.QuotaSlack}
}

// setTenantLimits replaces the tenants' limits with those of a configuration.
func (c *configurationUpdater) setTenantLimits(conf *configuration.Config) {
	limits := map[string]ratelimit.Limit{}
	for i := range conf.Tenants {
		limits[conf.Tenants[i].Name] = limitFor(&c.settings.Bounds, &conf.Tenants[i])
	}
	c.tenantLimits.Store(&limits)
}

// hasTenantLimits reports whether a configuration has been applied, so that tenantLimit may be called.
func (c *configurationUpdater) hasTenantLimits() bool { return c.tenantLimits.Load() != nil }

// tenantLimit returns a tenant's limit according to the applied configuration. It reports false if the configuration has no such tenant. It
// panics if no configuration has been applied (see hasTenantLimits).
func (c *configurationUpdater) tenantLimit(tenant string) (ratelimit.Limit, bool) {
	limit, ok := (*c.tenantLimits.Load())[tenant]
	return limit, ok
}
