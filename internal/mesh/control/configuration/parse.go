package configuration

import (
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"
)

// The limits of a configuration that does not set them.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// Parse reads a configuration. The Config keeps raw, which must not change. The error is a trace.BadParameter that lists the faults by
// their paths, with what was expected. Unknown fields are ignored, and a known field is a fault only if it cannot be used, because
// operators give up a valid configuration that is refused.
func Parse(raw []byte) (*Config, error) {
	if exceedsMaxDepth(raw) || !gjson.ValidBytes(raw) {
		return nil, trace.BadParameter("the body: expected one whole JSON object")
	}
	root := gjson.ParseBytes(raw)
	if !root.IsObject() {
		return nil, trace.BadParameter("the body: expected one whole JSON object")
	}
	p := parser{interned: map[string]string{}, route: fieldSet{}}
	c := &Config{Raw: raw, routesByHost: map[string]*prefixNode{}, tenantsByKey: map[string]*Tenant{}}
	c.Version = p.parseVersion(root.Get(fieldConfigVersion))
	p.parseServices(c, root.Get(fieldServiceTable))
	p.parseRoutes(c, root.Get(fieldRouteTable))
	p.parseLimits(c, root.Get(fieldLimitSet))
	p.parseTenants(c, root.Get(fieldTenantTable))
	if len(p.faults) > 0 {
		return nil, trace.BadParameter("%s", strings.Join(p.faults, "; "))
	}
	return c, nil
}

func (p *parser) parseVersion(v gjson.Result) Version {
	version, err := ParseVersion(v.Str)
	if v.Type != gjson.String || err != nil || version == 0 {
		p.addFault(fieldConfigVersion, "r and a number above 0, not %s", describe(v))
	}
	return version
}

func (p *parser) parseServices(c *Config, table gjson.Result) {
	p.forEachObject(fieldServiceTable, table, func(path string, v gjson.Result) {
		service := Service{
			Name:          p.name(path+"."+fieldName, v.Get(fieldName)),
			HealthPath:    defaultHealthPath,
			ConnectionCap: max(0, p.integer(path+"."+fieldConnectionCap, v.Get(fieldConnectionCap), 0)),
		}
		if healthPath := v.Get(fieldHealthPath); isPresent(healthPath) {
			service.HealthPath = p.text(path+"."+fieldHealthPath, healthPath)
		}
		c.Services = append(c.Services, service)
	})
}

func (p *parser) parseLimits(c *Config, v gjson.Result) {
	if isPresent(v) && !v.IsObject() {
		p.addFault(fieldLimitSet, "an object, not %s", describe(v))
		return
	}
	size := func(name string, defaultValue int64) int64 {
		if n := p.number(fieldLimitSet+"."+name, v.Get(name), 0); n >= 1 {
			return int64(min(n, 1<<62))
		}
		return defaultValue
	}
	duration := func(name string, defaultValue time.Duration) time.Duration {
		if d := p.duration(fieldLimitSet+"."+name, v.Get(name), 0); d > 0 {
			return d
		}
		return defaultValue
	}
	c.Limits = Limits{
		HeaderMax:     size(fieldHeaderMaxBytes, defaultMaxHeaderBytes),
		BodyMax:       size(fieldBodyMaxBytes, defaultMaxBodyBytes),
		HeaderTimeout: duration(fieldHeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:   duration(fieldIdleTimeout, defaultIdleTimeout),
	}
}

func (p *parser) parseTenants(c *Config, table gjson.Result) {
	c.HasTenantTable = isPresent(table)
	holders := map[string]int{} // by key, as indexes of c.Tenants: append may still move the tenants
	p.forEachObject(fieldTenantTable, table, func(path string, v gjson.Result) {
		tenant := Tenant{
			Name:     p.name(path+"."+fieldName, v.Get(fieldName)),
			Priority: p.integer(path+"."+fieldPriority, v.Get(fieldPriority), 0),
			Rate:     max(0, p.number(path+"."+fieldRatePerS, v.Get(fieldRatePerS), 0)),
			Burst:    max(0, p.number(path+"."+fieldBurstSize, v.Get(fieldBurstSize), 0)),
		}
		own := len(c.Tenants)
		p.forEach(path+"."+fieldAccessKeys, v.Get(fieldAccessKeys), func(path string, v gjson.Result) {
			key := p.name(path, v)
			if key == "" {
				return
			}
			switch holder, held := holders[key]; {
			case !held:
				holders[key] = own
				tenant.Keys = append(tenant.Keys, key)
			case holder != own:
				p.addFault(path, "a key of its own, not one of tenant %q", c.Tenants[holder].Name)
			}
		})
		c.Tenants = append(c.Tenants, tenant)
	})
	for key, holder := range holders {
		c.tenantsByKey[key] = &c.Tenants[holder]
	}
}
