package assembly

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/lifecycle"
	"quincegap/internal/mesh/agent"
	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outbound"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
)

const (
	bodyMemoryFraction = 0.3      // of the machine's memory, for clients' bodies
	minBodyMemoryBytes = 68 << 20 // bytes: the largest body there may be
)

// RunSidecar runs the sidecar beside an endpoint until it is told to end.
func RunSidecar(path string, signals lifecycle.Signals) error {
	p, err := newProcess(path, signals)
	if err != nil {
		return err
	}
	listeners, err := listenAll(p.settings.InternalAddress(), p.settings.OutboundAddress, p.settings.ControlAddress, p.settings.ReadinessAddress)
	if err != nil {
		return err
	}
	internal, clients, control, readiness := listeners[0], listeners[1], listeners[2], listeners[3]
	a := newSidecar(p)
	go p.handleReloads(func(s *settings.Settings) { a.agent.SetSeeds(s.SeedAddresses()) })
	p.acceptLinks(internal)
	p.serveHTTP(a.agent.KeepaliveHandler(a), control)
	p.serveHTTP(http.HandlerFunc(a.serveReadiness), readiness)
	go func() {
		if err := a.outbound.Server().Serve(clients); err != nil {
			p.serverErrors <- trace.Wrap(err, "serve %s", p.settings.OutboundAddress)
		}
	}()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go a.agent.Run(ctx)
	go a.quota.Run(ctx)
	err = p.awaitTermination()
	a.shutDown(clients)
	return err
}

// newSidecar puts a sidecar's planes together.
func newSidecar(p *process) *sidecar {
	a := &sidecar{process: p}
	a.inbound = inbound.New(p.settings.ApplicationAddress, p.hub.Now, p.log, func(life string) { a.agent.PublishEnd(life, discovery.Crashed) })
	a.outbound = outbound.New(outbound.Options{
		Hub: p.hub, Inbound: a.inbound, Bounds: p.settings.Bounds, Service: p.settings.Service, Log: p.log,
		Seed: p.seed, MaxBodyBytes: max(int64(bodyMemoryFraction*float64(p.settings.MemoryMB<<20)), minBodyMemoryBytes), RefreshEndpoints: func(s string) { a.agent.Refresh(s) },
		AcquireQuota: func(t *configuration.Tenant, done func(bool, time.Duration)) { a.quota.Acquire(t, done) },
	})
	a.agent = agent.New(agent.Config{
		Settings: p.settings, Hub: p.hub, Role: membership.RoleAccess, Log: p.log, Seed: p.seed,
		OnConfiguration: func(c *configuration.Config) { a.outbound.Configure(c) }, OnEndpointsChanged: a.outbound.UpdateEndpoints,
		OnSidecarCount: a.outbound.SetSidecarCount, OnEndpointLeaving: a.handleEndpointLeaving,
	})
	a.inbound.Register(p.hub)
	a.quota = a.agent.NewQuotaClient()
	return a
}

type sidecar struct {
	*process
	inbound      *inbound.Proxy
	outbound     *outbound.Proxy
	agent        *agent.Agent
	quota        *agent.QuotaClient
	mu           sync.Mutex // held for no longer than a change takes: nothing that may call back is called with it
	lastSequence uint64     // callSequence of the newest keepalive of the endpoint's present life
	endedIDs     []string   // lives that are over, the oldest first
	shuttingDown bool       // this process is about to end
}

// serveReadiness answers the platform.
func (s *sidecar) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	gone := s.shuttingDown
	s.mu.Unlock()
	if gone || s.outbound.Config() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
