package configuration

import "time"

// Config is a configuration as it was read. It does not change.
type Config struct {
	Version        Version
	Routes         []Route
	Services       []Service
	Limits         Limits
	Tenants        []Tenant
	HasTenantTable bool   // also an empty one
	Raw            []byte // the JSON text as it came

	routesByHost map[string]*prefixNode // by canonicalHost
	tenantsByKey map[string]*Tenant
}

// RouteKind tells whether the requests of a route may run more than once. It has no String method: meshctl prints the number.
type RouteKind uint8

// The kinds of routes. One that this program doesn't know counts as NonIdempotent, which allows the least.
const (
	NonIdempotent RouteKind = iota
	Idempotent
	Downlink
)

// IsIdempotent reports whether a request may run more than once.
func (r RouteKind) IsIdempotent() bool { return r == Idempotent || r == Downlink }

// Route is where requests for a host and a path prefix go. meshctl prints the names of its fields, and those of WeightedService,
// Service and Limits, when it shows a change.
type Route struct {
	Name, Host, Prefix    string
	Kind                  RouteKind
	Timeout               time.Duration     // of a request with all of its attempts; above 0
	Target                time.Duration     // latency target; 0: none
	Priority, MaxAttempts int               // MaxAttempts is at least 1
	Split                 []WeightedService // at least one of a weight above 0
	Public                bool              // needs no key
}

// WeightedService is a service's part of a route's requests, in proportion to the weights of all.
type WeightedService struct {
	Service string
	Weight  float64 // 0 or more
}

// Service is a service that routes refer to.
type Service struct {
	Name, HealthPath string
	ConnectionCap    int // 0: none was given
}

// Limits bound what a client may send, in bytes, and how long it may take or stay idle.
type Limits struct {
	HeaderMax, BodyMax         int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Tenant holds access keys.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int
	Rate     float64 // requests a second; 0: no limit
	Burst    float64 // requests
}

// TenantByKey is the tenant that holds a key, nil if none does.
func (c *Config) TenantByKey(key string) *Tenant { return c.tenantsByKey[key] }

// PickService picks a service in proportion to the weights, for a number from 0 up to but not including 1 that its caller draws evenly.
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
