package assembly

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"gingerlead/internal/lifecycle"
	"gingerlead/internal/mesh/agent"
	"gingerlead/internal/mesh/control/configuration"
	"gingerlead/internal/mesh/dataplane/admission"
	"gingerlead/internal/mesh/dataplane/inbound"
	"gingerlead/internal/mesh/dataplane/outbound"
	"gingerlead/internal/mesh/discovery"
	"gingerlead/internal/mesh/discovery/membership"
	"gingerlead/internal/mesh/operations/settings"
)

const (
	pastLives   = 16       // of the endpoint, that are remembered
	bodyShare   = 0.3      // of the machine's memory, for clients' bodies
	bodiesLeast = 68 << 20 // bytes: the largest body there may be
)

// Access runs the sidecar beside an endpoint until it is told to end.
func Access(path string, signals lifecycle.Signals) error {
	p, err := begin(path, signals)
	if err != nil {
		return err
	}
	listeners, err := listenAll(p.settings.Internal(), p.settings.Outbound, p.settings.Control, p.settings.Readiness)
	if err != nil {
		return err
	}
	internal, clients, control, readiness := listeners[0], listeners[1], listeners[2], listeners[3]
	a := newAccess(p)
	go p.follow(func(s *settings.Settings) { a.agent.Seeds(s.SeedPeers()) })
	p.link(internal)
	p.serve(a.agent.KeepaliveHandler(a), control)
	p.serve(http.HandlerFunc(a.readiness), readiness)
	go func() {
		if err := a.outbound.Server().Serve(clients); err != nil {
			p.errors <- trace.Wrap(err, "serve %s", p.settings.Outbound)
		}
	}()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go a.agent.Run(ctx)
	go a.quota.Run(ctx)
	err = p.untilEnd()
	a.shutDown(clients)
	return err
}

// newAccess puts a sidecar's planes together.
func newAccess(p *process) *access {
	a := &access{process: p}
	a.inbound = inbound.New(p.settings.App, p.hub.Now, p.log, func(life string) { a.agent.Ended(life, discovery.Crashed) })
	a.outbound = outbound.New(outbound.Options{Hub: p.hub, Inbound: a.inbound, Bounds: p.settings.Bounds, Service: p.settings.Service, Log: p.log,
		Seed: p.seed, Bodies: max(int64(bodyShare*float64(p.settings.MemoryMB<<20)), bodiesLeast), Refresh: func(s string) { a.agent.Refresh(s) },
		Take: func(t *configuration.Tenant, done func(bool, time.Duration)) { a.quota.Take(t, done) }})
	a.agent = agent.New(agent.Options{Settings: p.settings, Hub: p.hub, Role: membership.Access, Log: p.log, Seed: p.seed,
		Configure: func(c *configuration.Config) { a.outbound.Configure(c) }, EndpointsChanged: a.outbound.Told,
		SidecarsChanged: a.outbound.Sidecars, EndpointLeaves: a.leaves})
	a.inbound.Serve(p.hub)
	a.quota = a.agent.QuotaClient()
	return a
}

type access struct {
	*process
	inbound  *inbound.Proxy
	outbound *outbound.Proxy
	agent    *agent.Agent
	quota    *agent.QuotaClient
	mu       sync.Mutex
	seq      uint64   // callSequence of the newest keepalive of the endpoint's present life
	past     []string // lives that are over, the oldest first
	gone     bool     // this process is about to end
}

// Keepalive takes a keepalive of the endpoint beside this process (agent.LocalEndpoint).
func (a *access) Keepalive(e discovery.Endpoint) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	life, _ := a.inbound.Life()
	if e.State == discovery.Gone {
		if e.ID != life.ID { // of an earlier life, or one that was told to an earlier process; only the endpoint here calls without an address
			own := e.App == "" || e.App == a.settings.App
			if own {
				a.over(e.ID)
			}
			return own
		}
		a.over(e.ID)
		a.inbound.Tell(life, admission.Gone)
		a.agent.Ended(e.ID, discovery.Gone)
		return true
	}
	if e.App != a.settings.App {
		return false
	}
	if e.ID == life.ID && e.Sequence < a.seq && e.State == discovery.Serving {
		return true // late, and nothing that matters
	}
	if slices.Contains(a.past, e.ID) {
		return true // late, of a life that is over
	}
	if e.ID != life.ID {
		a.over(life.ID)
		a.seq = 0
	}
	a.seq = max(a.seq, e.Sequence)
	state := admission.Serving
	if e.State == discovery.Draining {
		state = admission.Draining
	}
	a.inbound.Tell(admission.Life{ID: e.ID, Service: e.Service, Slots: e.Slots}, state)
	if !a.gone {
		e.Zone = a.settings.Zone
		a.agent.Publish(e)
	}
	return true
}

// over remembers that a life is over: a beat of it may still come, late, and must not bring it back. The lock is held.
func (a *access) over(life string) {
	if life == "" || slices.Contains(a.past, life) {
		return
	}
	if a.past = append(a.past, life); len(a.past) > pastLives {
		a.past = a.past[1:]
	}
}

// leaves takes what others know of an endpoint at this machine's address: that it drains, or has deregistered.
func (a *access) leaves(e discovery.Endpoint) {
	if life, state := a.inbound.Life(); e.ID != life.ID || e.State == discovery.Gone && state != admission.Gone ||
		e.State == discovery.Draining && state < admission.Draining {
		a.Keepalive(e)
	}
}

// readiness answers the platform.
func (a *access) readiness(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	gone := a.gone
	a.mu.Unlock()
	if gone || a.outbound.Config() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
