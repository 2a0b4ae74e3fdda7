package outbound

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// sweepInterval is the time between two checks of idle connections.
	sweepInterval = 500 * time.Millisecond
	// shutdownSweepInterval is the same during shutdown.
	shutdownSweepInterval = 20 * time.Millisecond
	// idleTimeoutMargin is by how much the idle time-out that is advertised to clients is shorter than the real one.
	idleTimeoutMargin = time.Second
	// defaultIdleTimeout applies until there is a configuration.
	defaultIdleTimeout = 15 * time.Second
)

// clientConnection is the state of a client's connection.
type clientConnection struct {
	state     http.ConnState
	idleUntil time.Time // when it is closed if it is still idle
	expired   bool      // sweep has set a read deadline in the past
}

// shouldClose reports whether a connection is to be closed now: no request is in flight on it, and it has been idle for too long or the
// phase demands so.
func (c clientConnection) shouldClose(now time.Time, phase closingPhase) bool {
	switch c.state {
	case http.StateNew:
		return phase == closingAll || now.After(c.idleUntil)
	case http.StateIdle:
		return phase >= closingIdle || now.After(c.idleUntil)
	}
	return false
}

// closingPhase determines which connections are closed for the shutdown of the process.
type closingPhase int

const (
	closingNone closingPhase = iota
	closingIdle              // those that have carried a request; on a new one the first request is still read, and rejected
	closingAll               // also new ones
)

// clientConnections tracks the clients' open connections, and closes those that have been idle for too long.
type clientConnections struct {
	idleTimeout func() time.Duration // the idle time-out in force

	mu       sync.Mutex
	open     map[net.Conn]clientConnection
	sweeping bool // a call of sweep is scheduled
	phase    closingPhase
}

// track records a change of a connection's state (http.Server.ConnState).
func (c *clientConnections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	if c.open == nil {
		c.open = map[net.Conn]clientConnection{}
	}
	if state == http.StateActive && c.open[conn].expired {
		_ = conn.SetReadDeadline(time.Time{}) // a request was read all the same; to the server the deadline would mean that the client has gone
	}
	c.open[conn] = clientConnection{state: state, idleUntil: time.Now().Add(c.idleTimeout())}
	if !c.sweeping {
		c.sweeping = true
		time.AfterFunc(sweepInterval, c.sweep)
	}
}

// sweep ends the connections for which shouldClose reports true, by a read deadline in the past instead of Close: the server's reader then
// either has a complete request, and answers it, or has none, and closes the connection. So a request that was read is never dropped.
// The deadline may be set after the server has read a request and before it calls track, which resets it then.
func (c *clientConnections) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for conn, known := range c.open {
		if known.shouldClose(now, c.phase) {
			_ = conn.SetReadDeadline(now.Add(-time.Second)) // fails on a closed connection alone
			known.expired = true
			c.open[conn] = known
		}
	}
	interval := sweepInterval
	if c.phase != closingNone {
		interval = shutdownSweepInterval
	}
	c.sweeping = len(c.open) > 0
	if c.sweeping {
		time.AfterFunc(interval, c.sweep)
	}
}

// close closes connections, now and from now on, as the phase demands.
func (c *clientConnections) close(phase closingPhase) {
	c.mu.Lock()
	c.phase = phase
	c.mu.Unlock()
	c.sweep()
}

// count returns the number of open connections.
func (c *clientConnections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// advertiseIdleTimeout sets the Keep-Alive header field, by which the client knows for how many seconds its connection may stay idle.
func (c *clientConnections) advertiseIdleTimeout(header http.Header) {
	if seconds := int((c.idleTimeout() - idleTimeoutMargin) / time.Second); seconds > 0 {
		header[headerKeepAlive] = []string{"timeout=" + strconv.Itoa(seconds)}
	}
}
