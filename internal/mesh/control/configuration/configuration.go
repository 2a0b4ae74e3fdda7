package configuration

import "time"

// Config is a configuration. It is immutable.
type Config struct {
	Version        Version
	Routes         []Route
	Services       []Service
	Limits         Limits
	Tenants        []Tenant
	HasTenantTable bool   // there is a tenant table, which may be empty
	Raw            []byte // the JSON text that was parsed

	routesByHost map[string]*prefixNode // by canonicalHost
	tenantsByKey map[string]*Tenant
}

// RouteKind determines whether the requests of a route may run more than once. It has no String method: meshctl prints the number.
type RouteKind uint8

// The kinds of routes. A kind that this program does not know is NonIdempotent, which permits the least.
const (
	NonIdempotent RouteKind = iota
	Idempotent
	Downlink
)

// IsIdempotent reports whether a request may run more than once.
func (r RouteKind) IsIdempotent() bool { return r == Idempotent || r == Downlink }

// Route determines to which services the requests for a host and a path prefix go. meshctl prints the names of its fields, and those of
// WeightedService, Service and Limits, when it shows a change.
type Route struct {
	Name, Host, Prefix    string
	Kind                  RouteKind
	Timeout               time.Duration     // of a request with all of its attempts; above 0
	Target                time.Duration     // latency target; 0 for none
	Priority, MaxAttempts int               // MaxAttempts is at least 1
	Split                 []WeightedService // at least one has a weight above 0
	Public                bool              // requests need no access key
}

// WeightedService is a service of a route. Its part of the requests is proportional to its weight.
type WeightedService struct {
	Service string
	Weight  float64 // 0 or more
}

// Service is a service that routes refer to.
type Service struct {
	Name, HealthPath string
	ConnectionCap    int // 0 for none
}

// Limits are the limits of a client's requests: sizes in bytes, and how long it may take or stay idle.
type Limits struct {
	HeaderMax, BodyMax         int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Tenant is a holder of access keys, with a rate limit.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int
	Rate     float64 // requests a second; 0 for no limit
	Burst    float64 // requests that may come at once
}

// TenantByKey returns the tenant that holds a key, nil if none does.
func (c *Config) TenantByKey(key string) *Tenant { return c.tenantsByKey[key] }

// PickService returns a service, picked in proportion to the weights. drawn is a uniformly distributed random number, at least 0 and
// below 1.
func (r *Route) PickService(drawn float64) string {
	var sum float64
	for i := range r.Split {
		sum += r.Split[i].Weight
	}
	rest := drawn * sum
	var picked string
	for i := range r.Split {
		candidate := &r.Split[i]
		if candidate.Weight <= 0 {
			continue
		}
		picked = candidate.Service
		rest -= candidate.Weight
		if rest < 0 {
			break
		}
	}
	return picked
}
