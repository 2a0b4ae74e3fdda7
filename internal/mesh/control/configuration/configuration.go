// Package configuration is the configuration that operators send: it is read from JSON once, checked, and looked up for every
// request.
package configuration

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Version is the number of a configuration, written "r12"; 0 is none.
type Version uint64

// ParseVersion reads "r12", and "0" or "r0" for none.
func ParseVersion(s string) (Version, error) {
	if s == versionNone {
		return 0, nil
	}
	number, ok := strings.CutPrefix(s, versionPrefix)
	if !ok {
		return 0, trace.BadParameter("version %q: expected r and a number", s)
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0, trace.BadParameter("version %q: expected r and a number", s)
	}
	return Version(n), nil
}

// String writes the version as ParseVersion reads it.
func (v Version) String() string {
	if v == 0 {
		return versionNone
	}
	return versionPrefix + strconv.FormatUint(uint64(v), 10)
}

// RouteKind reports whether the requests of a route may run more than once.
type RouteKind uint8

// The kinds of routes. One that we don't know counts as NonIdempotent, which allows the least.
const (
	NonIdempotent RouteKind = iota
	Idempotent
	Downlink
)

// IsIdempotent reports whether a request may run more than once.
func (r RouteKind) IsIdempotent() bool { return r == Idempotent || r == Downlink }

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is where requests for a host and a prefix go. Split has at least one share of a weight above 0.
type Route struct {
	Name, Host, Prefix    string
	Kind                  RouteKind
	Timeout, Target       time.Duration
	Priority, MaxAttempts int
	Split                 []WeightedService
	Public                bool
}

// Service is a service that routes refer to. A ConnectionCap of 0 was not given.
type Service struct {
	Name, HealthPath string
	ConnectionCap    int
}

// Limits bound what a client may send, and how long it may take or stay idle.
type Limits struct {
	HeaderMax, BodyMax         int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Tenant holds keys; a Rate of 0 is no limit.
type Tenant struct {
	Name        string
	Keys        []string
	Priority    int
	Rate, Burst float64
}

// Config is a configuration as it was read. It does not change.
type Config struct {
	Version        Version
	Routes         []Route
	Services       []Service
	Limits         Limits
	Tenants        []Tenant
	HasTenantTable bool   // there is a tenantTable
	Raw            []byte // as it came

	routesByHost map[string]*prefixNode
	tenantsByKey map[string]*Tenant
}

// prefixNode is a part of a host's prefixes, which are cut after each slash: "/", "a/", "b/".
type prefixNode struct {
	route         *Route
	children      map[string]*prefixNode
	partialRoutes []*Route // whose last piece, the tail, has no slash; longest first
	prefixBytes   int      // bytes of the prefix so far
}

// canonicalHost is a host as routes are compared: without port, in lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// addToIndex puts a route into the index, and tells the one that has its place already.
func (c *Config) addToIndex(r *Route) *Route {
	host := canonicalHost(r.Host)
	b := c.routesByHost[host]
	if b == nil {
		b = &prefixNode{}
		c.routesByHost[host] = b
	}
	rest := r.Prefix
	for {
		i := strings.IndexByte(rest, '/')
		if i < 0 {
			break
		}
		piece := rest[:i+1]
		next := b.children[piece]
		if next == nil {
			if b.children == nil {
				b.children = map[string]*prefixNode{}
			}
			next = &prefixNode{prefixBytes: b.prefixBytes + len(piece)}
			b.children[piece] = next
		}
		b, rest = next, rest[i+1:]
	}
	if rest == "" {
		if b.route != nil {
			return b.route
		}
		b.route = r
		return nil
	}
	at := 0
	for ; at < len(b.partialRoutes) && len(b.partialRoutes[at].Prefix) >= len(r.Prefix); at++ {
		if b.partialRoutes[at].Prefix == r.Prefix {
			return b.partialRoutes[at]
		}
	}
	b.partialRoutes = append(b.partialRoutes, nil)
	copy(b.partialRoutes[at+1:], b.partialRoutes[at:])
	b.partialRoutes[at] = r
	return nil
}

// Match finds the route for a host and a path: among the host's routes the one with the longest prefix that begins the
// path, nil if there is none. What it costs depends on the path's length only.
func (c *Config) Match(host, path string) *Route {
	b := c.routesByHost[canonicalHost(host)]
	var best *Route
	for b != nil {
		if b.route != nil {
			best = b.route
		}
		rest := path[b.prefixBytes:]
		for _, r := range b.partialRoutes {
			if strings.HasPrefix(rest, r.Prefix[b.prefixBytes:]) {
				best = r
				break
			}
		}
		i := strings.IndexByte(rest, '/')
		if i < 0 {
			break
		}
		b = b.children[rest[:i+1]]
	}
	return best
}

// Holder is the tenant that holds a key, nil if no one does.
func (c *Config) TenantByKey(key string) *Tenant { return c.tenantsByKey[key] }

// PickService picks a service by the weights, for x from 0 up to but not including 1.
func (r *Route) PickService(x float64) string {
	var sum float64
	for i := range r.Split {
		sum += r.Split[i].Weight
	}
	x *= sum
	var last string
	for i := range r.Split {
		s := &r.Split[i]
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if x -= s.Weight; x < 0 {
			break
		}
	}
	return last
}
