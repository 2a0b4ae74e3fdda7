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

// consulAgent is a stand-in Consul agent on the machine of one sidecar. What an answer told is noted when it has been
// written.
type consulAgent struct {
	discovery *tierDiscovery
	sidecar   int
	server    *consul.Server
	http      http.Server
	served    chan struct{} // closed when nothing is accepted any more

	mu      sync.Mutex
	pending []pendingUpdate // changes that no answer has told of yet, in the order of their indexes
}

// pendingUpdate is a change, and the index from which on answers have it.
type pendingUpdate struct {
	index  uint64
	server int
	state  string
}

// startConsulAgent serves at the address that the sidecar's discovery has otherwise.
func startConsulAgent(n *tierDiscovery, sidecar int) (*consulAgent, error) {
	a := &consulAgent{served: make(chan struct{}), discovery: n, sidecar: sidecar}
	var all []consul.Instance
	n.mu.Lock()
	for _, i := range n.order {
		all = append(all, a.instance(i, n.entries[i]))
		a.pending = append(a.pending, pendingUpdate{0, i, n.entries[i].state})
	}
	n.mu.Unlock()
	var err error
	if a.server, err = consul.Start("", all...); err != nil {
		return nil, err
	}
	l, err := n.rehearsal.listen(n.rehearsal.consulAddress(sidecar))
	if err != nil {
		a.server.Close()
		return nil, err
	}
	a.http.Handler = a
	go func() {
		defer close(a.served)
		_ = a.http.Serve(l) // ends with http.ErrServerClosed, for nothing else closes the listener
	}()
	return a, nil
}

func (c *consulAgent) close() {
	_ = c.http.Close() // of the listener and its connections, which have no data that could be lost
	<-c.served
	c.server.Close()
}

// instance is a server as Consul has it: passing, critical while it drains, and not there at all once it has gone.
func (c *consulAgent) instance(box int, e listEntry) consul.Instance {
	w := c.discovery.rehearsal
	b := &w.plan.Servers[box]
	status := "passing"
	if e.state != "Ready" {
		status = "critical"
	}
	i := consul.Instance{
		Service: w.plan.Tiers[b.Tier].Name, Node: fmt.Sprint("m", b.Slot), ID: b.UID, PassingWeight: 1, WarningWeight: 1,
		Checks: []consul.Check{{CheckID: "up", Name: "up", Status: status}},
		Meta:   map[string]string{"zone": scenario.Zone, "model": w.plan.Tiers[b.Tier].Name, "cell": strconv.Itoa(b.Cell), "uid": b.UID},
	}
	if e.boot > 0 {
		i.Meta["started_ms"] = strconv.FormatInt(w.wall(e.boot).UnixMilli(), 10)
	}
	return i.WithAddress(w.serverAddress(b.Slot))
}

// update changes what Consul knows of a server.
func (c *consulAgent) update(box int, e listEntry) {
	uid := c.discovery.rehearsal.plan.Servers[box].UID
	c.mu.Lock()
	defer c.mu.Unlock()
	index := c.server.Update(func(all []consul.Instance) []consul.Instance {
		all = slices.DeleteFunc(slices.Clone(all), func(i consul.Instance) bool { return i.ID == uid })
		if e.state != "Gone" {
			all = append(all, c.instance(box, e))
		}
		return all
	})
	c.pending = append(c.pending, pendingUpdate{index, box, e.state})
}

// setSilent makes Consul answer nothing, or answer again.
func (c *consulAgent) setSilent(on bool) { c.server.SetFault(consul.Fault{Hang: on}) }

// ServeHTTP answers as the stand-in does. A whole list of health tells all changes up to its index.
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
	n := 0
	for n < len(c.pending) && c.pending[n].index <= index {
		o := c.pending[n]
		c.discovery.rehearsal.record(audit.Event{At: now, Kind: audit.SidecarNotified, Sidecar: c.sidecar, Server: o.server, Text: o.state, Origin: -1})
		n++
	}
	c.pending = c.pending[n:]
}

// consulFile is the product's file of a sidecar that follows Consul alone.
const consulFile = `[membership]
source = "consul"

[consul]
agents = %q
service = %q
cell_meta = "cell"
model_meta = "model"
zone_meta = "zone"
start_meta = "started_ms"
uid_meta = "uid"
pace = "50ms"
wait = "5s"
`
