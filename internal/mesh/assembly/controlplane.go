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

// Paths at the control address of a control-plane process. The keepalive handler serves all other paths.
const (
	configurationPaths = "/configuration/" // prefix of the paths for operators
	statePaths         = "/mesh/"          // prefix of the paths for the state of the mesh
	eventsPath         = "/events"
)

// controlPlane is a process of the control plane.
type controlPlane struct {
	*process
	agent  *agent.Agent
	server *controlplane.Server
	roles  *agent.SingletonRoles
	opened chan struct{} // closed after server and roles were set

	streams    context.Context // parent context of the requests for event streams; endStreams cancels it
	endStreams context.CancelFunc
}

// RunControlPlane runs a process of the control plane until SIGTERM, and then shuts it down. It returns an error if the process can't
// start, or if one of its servers fails.
func RunControlPlane(settingsPath string, signals lifecycle.Signals) error {
	p, err := newProcess(settings.ControlPlane, settingsPath, signals)
	if err != nil {
		return startResult(err)
	}
	defer p.close()
	listeners, err := p.listen(
		listenAddress{p.sockets.links, p.settings.InternalAddress()},
		listenAddress{p.sockets.control, p.settings.ControlAddress})
	if err != nil {
		return startResult(err)
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

// newControlPlane returns a control-plane process. It does not answer consensus requests before open has been called.
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

// open reads the data directory of the process, and creates its parts for the consensus on the configuration and for the singleton roles.
// It fails if the data directory can't be used.
func (c *controlPlane) open() error {
	server, err := controlplane.Open(controlplane.Options{
		Self:         c.settings.ControlAddress,
		Seeds:        c.settings.Seeds,
		InitialStart: c.settings.InitialStart,
		Folder:       c.settings.DataDirectory,
		Tolerated:    c.settings.ToleratedMachines,
		Transport:    c.agent.ConsensusTransport(),
		Cores:        c.agent.CoreAddresses,
		Memory:       controlplane.OrderMemory{Bodies: c.memory.bodies, Processing: c.memory.processing},
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

// serve starts to serve the control address, and starts the background tasks. It does not block.
func (c *controlPlane) serve(control net.Listener) {
	c.run(func(ctx context.Context) { c.handleReloads(ctx, c.applySettings) })
	c.run(c.watchMemory)
	c.serveHTTP(c.handler(), control)
	c.run(c.agent.Run)
	c.run(c.roles.Run)
}

// applySettings applies the only settings that may change while a control-plane process runs: the seeds.
func (c *controlPlane) applySettings(changed *settings.Settings) {
	c.agent.SetSeeds(changed.SeedAddresses())
	c.server.SetSeeds(changed.Seeds)
}

// serveConsensus answers a consensus request of another process. It waits until open has completed, at most until ctx ends.
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
