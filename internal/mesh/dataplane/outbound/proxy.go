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
	"quincegap/internal/mesh/transport/membudget"
)

// Options configure a Proxy. Hub, Inbound and Log are required.
type Options struct {
	Hub     *transport.Hub
	Inbound *inbound.Proxy // proxy to the endpoint on this machine
	Bounds  settings.Bounds
	Service string // service of the endpoint on this machine; sent to endpoints as the calling service
	Log     *logrus.Logger
	Seed    uint64 // seed of the balancers' random draws

	// BodyMemory bounds the memory of the bodies of clients' requests in flight. A request whose body does not fit is rejected as
	// outcome.Overloaded. Nil for no bound.
	BodyMemory *membudget.Pool

	// AnswerMemory counts the memory of large answers while they are written to clients. It may be nil.
	AnswerMemory *membudget.Pool

	// ConnectionMemory counts the memory of clients' connections and headers. Connections whose headers are larger than the configuration
	// allows are closed if they do not fit. It may be nil.
	ConnectionMemory *membudget.Pool

	// RefreshEndpoints requests the complete endpoint list of a service again. It is called on a new goroutine, and may be nil.
	RefreshEndpoints func(service string)

	// AcquireQuota charges one request to a tenant's rate limit. It calls done once: with ok, or with the time after which the client
	// should retry. It is nil if there are no rate limits.
	AcquireQuota func(tenant *configuration.Tenant, done func(ok bool, retryAfter time.Duration))
}

// Proxy serves clients' requests. It is safe for concurrent use.
type Proxy struct {
	options       *Options
	configMu      sync.Mutex // serializes Configure
	config        atomic.Pointer[configuration.Config]
	trafficSplits splitSequences
	dispatcher    *dispatcher
	openRequests  atomic.Int64 // number of clients' requests in flight
	bodyReads     bodyReads
	connections   clientConnections
	shutdown      shutdown
}

// New returns a proxy without a configuration: it rejects all requests as outcome.NotReady until Configure is called.
func New(options Options) *Proxy {
	p := &Proxy{options: &options, dispatcher: newDispatcher(&options), shutdown: newShutdown()}
	p.connections.idleTimeout = p.idleTimeout
	return p
}

// Now returns the time on the hub's monotonic clock.
func (p *Proxy) Now() time.Duration { return p.options.Hub.Now() }

// Configure activates a configuration. It does nothing if the active configuration has the same version or a later one.
func (p *Proxy) Configure(config *configuration.Config) {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	if current := p.config.Load(); current != nil && current.Version >= config.Version {
		return
	}
	p.config.Store(config)
	p.trafficSplits.retain(config)
}

// Config returns the active configuration; nil for none.
func (p *Proxy) Config() *configuration.Config { return p.config.Load() }

// UpdateEndpoints replaces the list of a service's endpoints. endpoints is the complete list.
func (p *Proxy) UpdateEndpoints(service string, endpoints []discovery.Endpoint) {
	p.dispatcher.updateEndpoints(service, endpoints)
}

// SetSidecarCount sets how many sidecars share the fleet's retry budget.
func (p *Proxy) SetSidecarCount(n int) { p.dispatcher.setSidecarCount(n) }

// OpenRequests returns the number of clients' requests in flight.
func (p *Proxy) OpenRequests() int { return int(p.openRequests.Load()) }

// OpenConnections returns the number of clients' open connections.
func (p *Proxy) OpenConnections() int { return p.connections.count() }

// CloseConnections closes each client's connection as soon as no request is in flight on it, including connections that never carried a
// request. The caller must have closed the listener before; OpenConnections returns the number of connections that are left.
func (p *Proxy) CloseConnections() { p.connections.close(closingAll) }

// idleTimeout returns how long a client's connection may stay idle, according to the active configuration.
func (p *Proxy) idleTimeout() time.Duration {
	if config := p.config.Load(); config != nil && config.Limits.IdleTimeout > 0 {
		return min(config.Limits.IdleTimeout, maxIdleTime)
	}
	return defaultIdleTimeout
}
