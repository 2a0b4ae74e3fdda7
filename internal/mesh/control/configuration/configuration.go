package configuration

import "time"

// Config is a parsed configuration. It is immutable.
type Config struct {
	Version        Version
	Routes         []Route
	Services       []Service
	Limits         Limits
	Tenants        []Tenant
	HasTenantTable bool   // true if the configuration has a tenant table, even an empty one
	Raw            []byte // JSON text that was parsed

	routesByHost map[string]*prefixNode // root of each host's routes, by canonicalHost
	tenantsByKey map[string]*Tenant     // tenants by access key
}

// RouteKind determines whether the requests of a route may be executed more than once. It has no String method, because meshctl prints
// it as a number.
type RouteKind uint8

// The kinds of routes. A kind that is unknown to this program is parsed as NonIdempotent, the most restrictive one.
const (
	NonIdempotent RouteKind = iota
	Idempotent
	Downlink
)

// IsIdempotent reports whether a request may be executed more than once.
func (r RouteKind) IsIdempotent() bool { return r == Idempotent || r == Downlink }

// Route determines which services receive the requests for a host and a path prefix. When meshctl shows a change, it prints the fields of
// Route, WeightedService, Service and Limits under the same names as here.
type Route struct {
	Name, Host, Prefix    string
	Kind                  RouteKind
	Timeout               time.Duration     // time limit of a request with all of its attempts; above 0
	Target                time.Duration     // latency target of a request; 0 for none
	Priority, MaxAttempts int               // MaxAttempts counts the first attempt and is at least 1
	Split                 []WeightedService // services of the route, at least one with a weight above 0
	Public                bool              // true if requests need no access key
}

// WeightedService is a service of a route. It receives a part of the requests that is proportional to its weight.
type WeightedService struct {
	Service string
	Weight  float64 // 0 or more
}

// Service is a service that routes refer to.
type Service struct {
	Name, HealthPath string
	ConnectionCap    int // maximum number of connections; 0 for no limit
}

// Limits are the limits that apply to the clients' requests and connections.
type Limits struct {
	HeaderMax, BodyMax         int64         // greatest sizes of a request's header and body, in bytes
	HeaderTimeout, IdleTimeout time.Duration // greatest time for sending a header, and for staying idle
}

// Tenant is a customer that holds access keys and has a rate limit.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int
	Rate     float64 // requests per second; 0 for no limit
	Burst    float64 // requests that may arrive at once
}

// TenantByKey returns the tenant that holds an access key, nil if there is none.
func (c *Config) TenantByKey(key string) *Tenant { return c.tenantsByKey[key] }

// PickService returns the name of a service, picked in proportion to the weights. random is a uniformly distributed random number, at
// least 0 and below 1.
func (r *Route) PickService(random float64) string {
	var sum float64
	for i := range r.Split {
		sum += r.Split[i].Weight
	}
	remaining := random * sum
	var picked string
	for i := range r.Split {
		candidate := &r.Split[i]
		if candidate.Weight <= 0 {
			continue
		}
		picked = candidate.Service
		remaining -= candidate.Weight
		if remaining < 0 {
			break
		}
	}
	return picked
}
