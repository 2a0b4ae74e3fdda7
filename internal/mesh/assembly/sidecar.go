package assembly

import (
	"context"
	"net"
	"net/http"
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

// sidecar is the process beside an endpoint.
type sidecar struct {
	*process
	inbound  *inbound.Proxy
	outbound *outbound.Proxy
	agent    *agent.Agent
	quota    *agent.QuotaClient
	local    *localEndpoint
}

// RunSidecar runs the sidecar beside an endpoint until SIGTERM, and then shuts it down. It returns an error if the sidecar can't start, or
// if one of its servers fails.
func RunSidecar(settingsPath string, signals lifecycle.Signals) error {
	p, err := newProcess(settings.Sidecar, settingsPath, signals)
	if err != nil {
		return startResult(err)
	}
	defer p.close()
	listeners, err := p.listen(
		listenAddress{p.sockets.links, p.settings.InternalAddress()},
		listenAddress{p.sockets.clients, p.settings.OutboundAddress},
		listenAddress{p.sockets.control, p.settings.ControlAddress},
		listenAddress{p.sockets.probes, p.settings.ReadinessAddress})
	if err != nil {
		return startResult(err)
	}
	links, clients, control, readiness := listeners[0], listeners[1], listeners[2], listeners[3]
	s := newSidecar(p)
	s.run(func(ctx context.Context) { s.handleReloads(ctx, s.applySettings) })
	s.run(s.watchMemory)
	s.acceptLinks(links)
	s.serveHTTP(s.agent.KeepaliveHandler(s.local), control)
	s.serveHTTP(http.HandlerFunc(s.serveReadiness), readiness)
	s.serveClients(clients)
	s.run(s.agent.Run)
	s.run(s.quota.Run)
	err = s.awaitTermination()
	s.shutDown(clients)
	return err
}

// newSidecar returns a sidecar whose parts are connected with each other, but are not running yet.
func newSidecar(p *process) *sidecar {
	s := &sidecar{process: p}
	s.inbound = inbound.New(p.settings.ApplicationAddress, p.hub.Now, p.log, func(endpointID string) {
		s.agent.PublishEnd(endpointID, discovery.Crashed)
	})
	s.inbound.SetDialer(s.sockets.clients.Dial)
	s.inbound.SetAnswerMemory(p.memory.answers)
	s.outbound = outbound.New(s.outboundOptions())
	s.local = &localEndpoint{address: p.settings.ApplicationAddress, zone: p.settings.Zone, inbound: s.inbound}
	s.agent = agent.New(agent.Config{
		Settings:           p.settings,
		Hub:                p.hub,
		Role:               membership.RoleAccess,
		Log:                p.log,
		Seed:               p.seed,
		OnConfiguration:    func(c *configuration.Config) { s.outbound.Configure(c) },
		OnEndpointsChanged: s.outbound.UpdateEndpoints,
		OnSidecarCount:     s.outbound.SetSidecarCount,
		OnEndpointLeaving:  s.local.handleLeaving,
	})
	s.local.agent = s.agent
	s.inbound.Register(p.hub)
	s.quota = s.agent.NewQuotaClient()
	return s
}

// outboundOptions returns the options of the outbound proxy. The functions in them must not be called before the agent and the quota client
// are set.
func (s *sidecar) outboundOptions() outbound.Options {
	return outbound.Options{
		Hub:              s.hub,
		Inbound:          s.inbound,
		Bounds:           s.settings.Bounds,
		Service:          s.settings.Service,
		Log:              s.log,
		Seed:             s.seed,
		BodyMemory:       s.memory.bodies,
		AnswerMemory:     s.memory.answers,
		ConnectionMemory: s.memory.connections,
		RefreshEndpoints: func(service string) { s.agent.Refresh(service) },
		AcquireQuota:     func(t *configuration.Tenant, done func(bool, time.Duration)) { s.quota.Acquire(t, done) },
	}
}

// applySettings applies the only settings that may change while a sidecar runs: the seeds.
func (s *sidecar) applySettings(changed *settings.Settings) {
	s.agent.SetSeeds(changed.SeedAddresses())
}

// serveClients serves the requests of clients and of the local endpoint. If the server fails, awaitTermination returns its error.
func (s *sidecar) serveClients(listener net.Listener) {
	s.tasks.Go(func() {
		if err := s.outbound.Server().Serve(s.outbound.Listener(s.retryAccept(listener))); err != nil {
			s.serverErrors <- trace.Wrap(err, "serve %s", s.settings.OutboundAddress)
		}
	})
}

// serveReadiness answers the platform's readiness probes with 200 if the sidecar has applied a configuration and is not shutting down, and
// with 503 otherwise.
func (s *sidecar) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if s.local.isShuttingDown() || s.outbound.Config() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
