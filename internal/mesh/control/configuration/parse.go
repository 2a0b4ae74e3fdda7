package configuration

import (
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"
)

// The defaults of the fields of limitSet.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// Parse parses and validates a configuration. The Config refers to raw, which the caller must not change afterwards. The error is a
// trace.BadParameter that lists the path of each invalid field and what was expected there. Unknown fields are ignored, and a known
// field is invalid only if its value cannot be used, because operators abandon a valid configuration if it is rejected.
func Parse(raw []byte) (*Config, error) {
	if exceedsMaxDepth(raw) || !gjson.ValidBytes(raw) {
		return nil, trace.BadParameter("the body: expected one whole JSON object")
	}
	root := gjson.ParseBytes(raw)
	if !root.IsObject() {
		return nil, trace.BadParameter("the body: expected one whole JSON object")
	}
	p := parser{interned: map[string]string{}, route: fieldSet{}}
	config := &Config{Raw: raw, routesByHost: map[string]*prefixNode{}, tenantsByKey: map[string]*Tenant{}}
	config.Version = p.parseVersion(root.Get(fieldConfigVersion))
	p.parseServices(config, root.Get(fieldServiceTable))
	p.parseRoutes(config, root.Get(fieldRouteTable))
	p.parseLimits(config, root.Get(fieldLimitSet))
	p.parseTenants(config, root.Get(fieldTenantTable))
	if len(p.faults) > 0 {
		return nil, trace.BadParameter("%s", strings.Join(p.faults, "; "))
	}
	return config, nil
}

// parseVersion parses configVersion, which must be above 0.
func (p *parser) parseVersion(value gjson.Result) Version {
	version, err := ParseVersion(value.Str)
	if value.Type != gjson.String || err != nil || version == 0 {
		p.addFault(fieldConfigVersion, "r and a number above 0, not %s", describe(value))
	}
	return version
}

// parseServices parses serviceTable.
func (p *parser) parseServices(config *Config, table gjson.Result) {
	p.forEachObject(fieldServiceTable, table, func(path string, value gjson.Result) {
		service := Service{
			Name:          p.name(path+"."+fieldName, value.Get(fieldName)),
			HealthPath:    defaultHealthPath,
			ConnectionCap: max(0, p.integer(path+"."+fieldConnectionCap, value.Get(fieldConnectionCap), 0)),
		}
		if healthPath := value.Get(fieldHealthPath); isPresent(healthPath) {
			service.HealthPath = p.text(path+"."+fieldHealthPath, healthPath)
		}
		config.Services = append(config.Services, service)
	})
}

// parseLimits parses limitSet. Missing limits, sizes below 1 byte and durations that are not above 0 get their defaults.
func (p *parser) parseLimits(config *Config, value gjson.Result) {
	if isPresent(value) && !value.IsObject() {
		p.addFault(fieldLimitSet, "an object, not %s", describe(value))
		return
	}
	size := func(name string, defaultValue int64) int64 {
		if n := p.number(fieldLimitSet+"."+name, value.Get(name), 0); n >= 1 {
			return int64(min(n, 1<<62))
		}
		return defaultValue
	}
	duration := func(name string, defaultValue time.Duration) time.Duration {
		if d := p.duration(fieldLimitSet+"."+name, value.Get(name), 0); d > 0 {
			return d
		}
		return defaultValue
	}
	config.Limits = Limits{
		HeaderMax:     size(fieldHeaderMaxBytes, defaultMaxHeaderBytes),
		BodyMax:       size(fieldBodyMaxBytes, defaultMaxBodyBytes),
		HeaderTimeout: duration(fieldHeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:   duration(fieldIdleTimeout, defaultIdleTimeout),
	}
}

// parseTenants parses tenantTable and indexes the tenants by access key. Each key may belong to one tenant only.
func (p *parser) parseTenants(config *Config, table gjson.Result) {
	config.HasTenantTable = isPresent(table)
	holders := map[string]int{} // index in config.Tenants by access key; pointers would not survive an append to config.Tenants
	p.forEachObject(fieldTenantTable, table, func(path string, value gjson.Result) {
		tenant := Tenant{
			Name:     p.name(path+"."+fieldName, value.Get(fieldName)),
			Priority: p.integer(path+"."+fieldPriority, value.Get(fieldPriority), 0),
			Rate:     max(0, p.number(path+"."+fieldRatePerS, value.Get(fieldRatePerS), 0)),
			Burst:    max(0, p.number(path+"."+fieldBurstSize, value.Get(fieldBurstSize), 0)),
		}
		tenantIndex := len(config.Tenants)
		p.forEach(path+"."+fieldAccessKeys, value.Get(fieldAccessKeys), func(path string, value gjson.Result) {
			key := p.name(path, value)
			if key == "" {
				return
			}
			switch holder, isHeld := holders[key]; {
			case !isHeld:
				holders[key] = tenantIndex
				tenant.Keys = append(tenant.Keys, key)
			case holder != tenantIndex:
				p.addFault(path, "a key of its own, not one of tenant %q", config.Tenants[holder].Name)
			}
		})
		config.Tenants = append(config.Tenants, tenant)
	})
	for key, holder := range holders {
		config.tenantsByKey[key] = &config.Tenants[holder]
	}
}
