package outbound

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// Options are what a proxy is made of.
type Options struct {
	Hub              *transport.Hub
	Inbound          *inbound.Proxy // to the endpoint on this machine
	Bounds           settings.Bounds
	Service          string // of the endpoint on this machine: where requests begin
	Log              *logrus.Logger
	Seed             uint64               // of the balancers' random draws
	MaxBodyBytes     int64                // of the bodies of all clients' requests under way together
	RefreshEndpoints func(service string) // fetches the endpoints of a service anew; nil for nobody to ask
	// AcquireQuota takes a request out of a tenant's rate limit. done is called once; if the limit is reached, with when to come back.
	// nil for no limits.
	AcquireQuota func(tenant *configuration.Tenant, done func(ok bool, retryAfter time.Duration))
}

// Proxy takes clients' requests. It is safe for concurrent use.
type Proxy struct {
	options       *Options
	configMu      sync.Mutex // of changes of config
	config        atomic.Pointer[configuration.Config]
	trafficSplits splitSequences
	dispatcher    *dispatcher
	openRequests  atomic.Int64 // requests under way
	bodyBytes     atomic.Int64 // bytes of their bodies
	bodyReads     bodyReads
	connections   clientConnections
	shutdown      shutdown
}

// New makes a proxy that knows no configuration yet.
func New(options Options) *Proxy {
	p := &Proxy{options: &options, dispatcher: newDispatcher(&options), shutdown: newShutdown()}
	p.connections.idleTimeout = p.idleTimeout
	return p
}

// Now returns the time on the hub's steady clock.
func (p *Proxy) Now() time.Duration { return p.options.Hub.Now() }

// Configure puts a configuration in force; one that is no newer than the one in force changes nothing.
func (p *Proxy) Configure(config *configuration.Config) {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	if current := p.config.Load(); current != nil && current.Version >= config.Version {
		return
	}
	p.config.Store(config)
	p.trafficSplits.retain(config)
}

// Config returns the configuration in force; nil for none.
func (p *Proxy) Config() *configuration.Config { return p.config.Load() }

// UpdateEndpoints takes the complete list of a service's endpoints.
func (p *Proxy) UpdateEndpoints(service string, endpoints []discovery.Endpoint) {
	p.dispatcher.updateEndpoints(service, endpoints)
}

// SetSidecarCount sets how many sidecars share the fleet's retry budget.
func (p *Proxy) SetSidecarCount(n int) { p.dispatcher.setSidecarCount(n) }

// OpenRequests returns how many clients' requests are under way.
func (p *Proxy) OpenRequests() int { return int(p.openRequests.Load()) }

// OpenConnections returns how many connections of clients are open.
func (p *Proxy) OpenConnections() int { return p.connections.count() }

// CloseConnections closes the connections that have no request under way, also those that never had one. It is to be called once
// nobody accepts connections any more; OpenConnections returns how many are left.
func (p *Proxy) CloseConnections() { p.connections.close(closingAll) }

// idleTimeout returns how long a client's connection may stay idle, by the configuration in force.
func (p *Proxy) idleTimeout() time.Duration {
	if config := p.config.Load(); config != nil && config.Limits.IdleTimeout > 0 {
		return min(config.Limits.IdleTimeout, maxIdleTime)
	}
	return defaultIdleTimeout
}
