package agent

import (
	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/operations/settings"
)

// limitFor is a tenant's limit, with what the bounds let pass beyond it.
func limitFor(b *settings.Bounds, t *configuration.Tenant) ratelimit.Limit {
	allowed := t.Rate*b.QuotaWindow.Seconds() + t.Burst
	return ratelimit.Limit{Rate: t.Rate, Burst: t.Burst, Overage: b.QuotaOverage*allowed + b.QuotaSlack}
}

// setTenantLimits puts the limits of a configuration in use.
func (c *configurationUpdater) setTenantLimits(conf *configuration.Config) {
	limits := map[string]ratelimit.Limit{}
	for i := range conf.Tenants {
		limits[conf.Tenants[i].Name] = limitFor(&c.settings.Bounds, &conf.Tenants[i])
	}
	c.tenantLimits.Store(&limits)
}

// hasTenantLimits reports whether limits are known: whether any configuration has been applied.
func (c *configurationUpdater) hasTenantLimits() bool { return c.tenantLimits.Load() != nil }

// tenantLimit is a tenant's limit by the applied configuration, of which there must be one; false if it has no such tenant.
func (c *configurationUpdater) tenantLimit(tenant string) (ratelimit.Limit, bool) {
	limit, ok := (*c.tenantLimits.Load())[tenant]
	return limit, ok
}
