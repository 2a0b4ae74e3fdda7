package assembly

import (
	"context"
	"net"
	"net/http"
	"strings"

	"quincegap/internal/lifecycle"
	"quincegap/internal/mesh/agent"
	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/controlplane"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
)

// Paths of the control address of a control-plane process; all others are an endpoint's keepalives.
const (
	configurationPaths = "/configuration/"
	statePaths         = "/mesh/"
	eventsPath         = "/events"
)

// controlPlane is a process of the control plane.
type controlPlane struct {
	*process
	agent  *agent.Agent
	server *controlplane.Server
	roles  *agent.SingletonRoles
	opened chan struct{} // closed once server and roles are set

	streams    context.Context // of the requests for streams of events; endStreams ends them
	endStreams context.CancelFunc
}

// RunControlPlane runs a process of the control plane until SIGTERM, and shuts it down. The error says why it could not start, or which
// of its servers failed.
func RunControlPlane(settingsPath string, signals lifecycle.Signals) error {
	p, err := newProcess(settingsPath, signals)
	if err != nil {
		return err
	}
	defer p.close()
	listeners, err := p.listen(p.settings.InternalAddress(), p.settings.ControlAddress)
	if err != nil {
		return err
	}
	links, control := listeners[0], listeners[1]
	c := newControlPlane(p)
	c.acceptLinks(links)
	if err := c.open(); err != nil {
		return err
	}
	c.serve(control)
	err = c.awaitTermination()
	c.handOver()
	c.shutDown()
	return err
}

// newControlPlane returns a control-plane process. It answers other processes' requests once it is open.
func newControlPlane(p *process) *controlPlane {
	c := &controlPlane{process: p, opened: make(chan struct{})}
	c.streams, c.endStreams = context.WithCancel(p.ctx)
	c.agent = agent.New(agent.Config{
		Settings: p.settings,
		Hub:      p.hub,
		Role:     membership.RoleCore,
		Log:      p.log,
		Seed:     p.seed,
	})
	c.agent.ServeConsensus(c.serveConsensus)
	return c
}

// open reads the disk of the process, and joins it to the consensus on the configuration and to the singleton roles.
func (c *controlPlane) open() error {
	server, err := controlplane.Open(controlplane.Options{
		Self:         c.settings.ControlAddress,
		Seeds:        c.settings.Seeds,
		InitialStart: c.settings.InitialStart,
		Folder:       c.settings.DataDirectory,
		Tolerated:    c.settings.ToleratedMachines,
		Transport:    c.agent.ConsensusTransport(),
		Cores:        c.agent.CoreAddresses,
		Log:          c.log,
		Seed:         c.seed,
		OnCommit:     func(v consensus.Value) { c.agent.ApplyCommitted(uint64(v.Version), v.Body) },
	})
	if err != nil {
		return err
	}
	c.server = server
	c.roles = c.agent.NewSingletonRoles(server, c.settings.InitialStart)
	close(c.opened)
	return nil
}

// serve serves the control address, and starts the background tasks.
func (c *controlPlane) serve(control net.Listener) {
	c.run(func(ctx context.Context) { c.handleReloads(ctx, c.applySettings) })
	c.serveHTTP(c.handler(), control)
	c.run(c.agent.Run)
	c.run(c.roles.Run)
}

// applySettings applies the settings that may change while a control-plane process runs: the seeds.
func (c *controlPlane) applySettings(changed *settings.Settings) {
	c.agent.SetSeeds(changed.SeedAddresses())
	c.server.SetSeeds(changed.Seeds)
}

// serveConsensus answers consensus requests of other processes. It waits until the process is open.
func (c *controlPlane) serveConsensus(ctx context.Context, request []byte) ([]byte, error) {
	select {
	case <-c.opened:
		return c.server.Serve(ctx, request)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handler returns the handler of the control address, for operators, endpoints and tools.
func (c *controlPlane) handler() http.Handler {
	keepalives := c.agent.KeepaliveHandler(nil)
	operators := c.server.Handler()
	state := c.roles.Handler()
	events := lifecycle.CancelRequestsOnDone(c.streams, c.agent.EventsHandler())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch path := r.URL.Path; {
		case strings.HasPrefix(path, configurationPaths):
			operators.ServeHTTP(w, r)
		case path == eventsPath:
			events.ServeHTTP(w, r)
		case strings.HasPrefix(path, statePaths):
			state.ServeHTTP(w, r)
		default:
			keepalives.ServeHTTP(w, r)
		}
	})
}
