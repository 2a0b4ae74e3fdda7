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

// consulAgent is a stand-in Consul agent on the machine of one sidecar. The updates that an answer has are recorded as notified when it
// has been written.
type consulAgent struct {
	discovery *tierDiscovery
	sidecar   int
	server    *consul.Server
	http      http.Server
	served    chan struct{} // closed when nothing is accepted any more

	mu      sync.Mutex
	pending []pendingUpdate // updates that no answer has had yet, in the order of their indexes
}

// pendingUpdate is an update, and the index from which on answers have it.
type pendingUpdate struct {
	index  uint64
	server int
	state  string
}

// startConsulAgent starts the Consul agent of a sidecar, with the servers that its tier has now.
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
		_ = agent.http.Serve(listener) // ends with http.ErrServerClosed, for nothing else closes the listener
	}()
	return agent, nil
}

// close ends the agent.
func (c *consulAgent) close() {
	_ = c.http.Close() // of the listener and its connections, which have no data that could be lost
	<-c.served
	c.server.Close()
}

// instance returns a server as Consul has it: passing, critical while it drains, and not there at all once it has gone.
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

// update changes what Consul has of a server.
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

// setSilent makes Consul answer nothing, or answer again.
func (c *consulAgent) setSilent(on bool) { c.server.SetFault(consul.Fault{Hang: on}) }

// ServeHTTP answers as the stand-in does. A complete answer has all updates up to its index.
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
