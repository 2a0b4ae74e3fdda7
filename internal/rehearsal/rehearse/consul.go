package rehearse

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/consul"
)

// consulAgent is a stand-in Consul agent on the machine of one sidecar. Once a response has been written, the updates that it contains
// are recorded as notified to the sidecar.
type consulAgent struct {
	discovery *tierDiscovery
	sidecar   int
	server    *consul.Server
	http      http.Server
	served    chan struct{} // closed when the agent no longer accepts connections

	mu      sync.Mutex
	pending []pendingUpdate // updates not yet contained in any response, in order of their indexes
}

// pendingUpdate is a state change of a server, which responses with at least its Consul index contain.
type pendingUpdate struct {
	index  uint64
	server int
	state  string
}

// startConsulAgent starts the Consul agent of a sidecar with the current servers of its tier. It fails if the stand-in cannot start or
// the agent's address is not available.
func startConsulAgent(tier *tierDiscovery, sidecar int) (*consulAgent, error) {
	agent := &consulAgent{served: make(chan struct{}), discovery: tier, sidecar: sidecar}
	var all []consul.Instance
	tier.mu.Lock()
	for _, server := range tier.order {
		entry := tier.entries[server]
		all = append(all, agent.instance(server, entry))
		agent.pending = append(agent.pending, pendingUpdate{0, server, entry.state})
	}
	tier.mu.Unlock()
	var err error
	if agent.server, err = consul.Start("", all...); err != nil {
		return nil, err
	}
	listener, err := tier.rehearsal.listen(tier.rehearsal.consulAddress(sidecar))
	if err != nil {
		agent.server.Close()
		return nil, err
	}
	agent.http.Handler = agent
	go func() {
		defer close(agent.served)
		_ = agent.http.Serve(listener) // returns http.ErrServerClosed: only Close closes the listener
	}()
	return agent, nil
}

// close stops the agent.
func (c *consulAgent) close() {
	_ = c.http.Close() // closing the listener and connections loses no data
	<-c.served
	c.server.Close()
}

// instance returns a server as a Consul service instance: passing if it is ready, otherwise critical. The caller omits servers that are
// gone.
func (c *consulAgent) instance(server int, entry listEntry) consul.Instance {
	rehearsal := c.discovery.rehearsal
	spec := &rehearsal.plan.Servers[server]
	tier := rehearsal.plan.Tiers[spec.Tier].Name
	status := "passing"
	if entry.state != "Ready" {
		status = "critical"
	}
	instance := consul.Instance{
		Service: tier, Node: fmt.Sprint("m", spec.Slot), ID: spec.UID, PassingWeight: 1, WarningWeight: 1,
		Checks: []consul.Check{{CheckID: "up", Name: "up", Status: status}},
		Meta:   map[string]string{"zone": scenario.Zone, "model": tier, "cell": strconv.Itoa(spec.Cell), "uid": spec.UID},
	}
	if entry.boot > 0 {
		instance.Meta["started_ms"] = strconv.FormatInt(rehearsal.wall(entry.boot).UnixMilli(), 10)
	}
	return instance.WithAddress(rehearsal.serverAddress(spec.Slot))
}

// update replaces a server's instance in Consul, or deletes it if the server is gone.
func (c *consulAgent) update(server int, entry listEntry) {
	uid := c.discovery.rehearsal.plan.Servers[server].UID
	c.mu.Lock()
	defer c.mu.Unlock()
	index := c.server.Update(func(all []consul.Instance) []consul.Instance {
		all = slices.DeleteFunc(slices.Clone(all), func(i consul.Instance) bool { return i.ID == uid })
		if entry.state != "Gone" {
			all = append(all, c.instance(server, entry))
		}
		return all
	})
	c.pending = append(c.pending, pendingUpdate{index, server, entry.state})
}

// setSilent sets whether Consul leaves requests unanswered.
func (c *consulAgent) setSilent(on bool) { c.server.SetFault(consul.Fault{Hang: on}) }

// ServeHTTP serves a request with the stand-in, and records the updates that the response notified the sidecar of: all up to the
// response's index. An incomplete response notifies of none.
func (c *consulAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.server.ServeHTTP(w, r)
	if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
		return
	}
	index, err := strconv.ParseUint(w.Header().Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return
	}
	now := c.discovery.rehearsal.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && c.pending[0].index <= index {
		update := c.pending[0]
		c.pending = c.pending[1:]
		c.discovery.rehearsal.record(audit.Event{
			At: now, Kind: audit.SidecarNotified, Sidecar: c.sidecar, Server: update.server, Text: update.state, Origin: -1,
		})
	}
}
