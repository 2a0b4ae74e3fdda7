package assembly

import (
	"context"
	"net/http"
	"strings"
	"time"

	"quincegap/internal/lifecycle"
	"quincegap/internal/mesh/agent"
	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/controlplane"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
)

// Times that a process that ends may take, one after the other; each at most a part of the grace time.
const (
	releaseTimeout  = 300 * time.Millisecond  // to give its duties to another
	handOverTimeout = 2500 * time.Millisecond // to give its place among the voters to another
	answerTimeout   = time.Second             // to answer the calls that it has read
	closeTimeout    = 500 * time.Millisecond  // for its disk, which may hang; what counts was written through
	drainTimeout    = 400 * time.Millisecond  // until its answers to other processes have gone out
)

// RunControlPlane runs a process that holds the configuration until it is told to end.
func RunControlPlane(path string, signals lifecycle.Signals) error {
	p, err := newProcess(path, signals)
	if err != nil {
		return err
	}
	listeners, err := listenAll(p.settings.InternalAddress(), p.settings.ControlAddress)
	if err != nil {
		return err
	}
	internal, control := listeners[0], listeners[1]
	c := &controlPlane{process: p, opened: make(chan struct{})}
	c.agent = agent.New(agent.Config{Settings: p.settings, Hub: p.hub, Role: membership.RoleCore, Log: p.log, Seed: p.seed})
	c.agent.ServeConsensus(c.serveConsensus)
	p.acceptLinks(internal)
	c.server, err = controlplane.Open(controlplane.Options{
		Self: p.settings.ControlAddress, Seeds: p.settings.Seeds, InitialStart: p.settings.InitialStart,
		Folder: p.settings.DataDirectory, Transport: c.agent.ConsensusTransport(), Tolerated: p.settings.ToleratedMachines, Cores: c.agent.CoreAddresses, Log: p.log, Seed: p.seed,
		OnCommit: func(w consensus.Value) { c.agent.ApplyCommitted(uint64(w.Version), w.Body) },
	})
	if err != nil {
		return err
	}
	c.roles = c.agent.NewSingletonRoles(c.server, p.settings.InitialStart)
	close(c.opened)
	go p.handleReloads(func(s *settings.Settings) {
		c.agent.SetSeeds(s.SeedAddresses())
		c.server.SetSeeds(s.Seeds)
	})
	streams, endStreams := context.WithCancel(context.Background())
	defer endStreams()
	p.serveHTTP(c.handler(streams), control)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.agent.Run(ctx)
	go c.roles.Run(ctx)
	err = p.awaitTermination()
	c.handOver()
	endStreams()
	c.shutDown()
	return err
}

// controlPlane is a process of the control plane.
type controlPlane struct {
	*process
	agent  *agent.Agent
	server *controlplane.Server
	roles  *agent.SingletonRoles
	opened chan struct{} // closed once server is there
}

// serveConsensus answers other processes' requests about the configuration.
func (c *controlPlane) serveConsensus(ctx context.Context, request []byte) ([]byte, error) {
	select {
	case <-c.opened:
		return c.server.Serve(ctx, request)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handler serves operators, endpoints and tools. Streams of events end with a context, as nothing else ends them.
func (c *controlPlane) handler(streams context.Context) http.Handler {
	keepalives, operator, state := c.agent.KeepaliveHandler(nil), c.server.Handler(), c.roles.Handler()
	events := lifecycle.CancelRequestsOnDone(streams, c.agent.EventsHandler())
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case strings.HasPrefix(q.URL.Path, "/configuration/"):
			operator.ServeHTTP(w, q)
		case q.URL.Path == "/events":
			events.ServeHTTP(w, q)
		case strings.HasPrefix(q.URL.Path, "/mesh/"):
			state.ServeHTTP(w, q)
		default:
			keepalives.ServeHTTP(w, q)
		}
	})
}

// handOver gives this process's duties and then its place among the voters to others before it ends. In this order the next holder
// has a duty at once: after a change of the voters nobody asks for one for the time of a lease. The process answers as before
// meanwhile.
func (c *controlPlane) handOver() {
	grace := c.settings.Bounds.Grace
	ctx, cancel := context.WithTimeout(context.Background(), min(releaseTimeout, grace/12))
	c.roles.Release(ctx)
	cancel()
	ctx, cancel = context.WithTimeout(context.Background(), min(handOverTimeout, grace/2))
	defer cancel()
	if err := c.server.HandOver(ctx); err != nil {
		c.log.WithError(err).Warn("assembly: this process ends as a voter")
	}
}

// shutDown answers what was read: operators' calls while the agreement still works, then other processes' requests.
func (c *controlPlane) shutDown() {
	grace := c.settings.Bounds.Grace
	ctx, cancel := context.WithTimeout(context.Background(), min(answerTimeout, grace/6))
	defer cancel()
	c.shutDownServers(ctx)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.server.Close()
	}()
	select {
	case <-closed:
	case <-time.After(min(closeTimeout, grace/12)):
		c.log.Warn("assembly: this process ends while its disk hangs")
	}
	c.hub.Drain(c.hub.Now() + min(drainTimeout, grace/12))
}
