package dryrun

import "quincegap/internal/rehearsal/audit"

// connections are an instance's connections to one incarnation of a server.
type connections struct {
	incarnation, open, busy int
	established             bool // whether an answer has arrived on one of them
}

// connectionsTo returns the connections to the current incarnation of a server.
func (i *instance) connectionsTo(server *server) *connections {
	c := i.connections[server.index]
	if c == nil || c.incarnation != server.incarnation {
		c = &connections{incarnation: server.incarnation}
		i.connections[server.index] = c
	}
	return c
}

// connect assigns an idle connection, or a new one, to an attempt that arrives at its server.
func (a *attempt) connect() {
	i := a.request.instance
	c := i.connectionsTo(a.server)
	a.connections = c
	c.busy++
	if c.busy > c.open {
		c.open = c.busy
		i.sim.record(audit.Event{Kind: audit.ConnectionOpened, Sidecar: i.index, Server: a.server.index, Origin: -1})
	}
}

// releaseConnection ends the attempt's use of its connection. The connection stays open only if the attempt was answered.
func (a *attempt) releaseConnection(answered bool) {
	if a.connections == nil {
		return
	}
	a.connections.busy--
	if !answered {
		a.connections.open--
	}
	a.connections = nil
}

// idleConnections returns the number of callers' connections to the instance that have no request in flight.
func (i *instance) idleConnections() int {
	if !i.up {
		return 0
	}
	return i.open - i.busy
}
