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
	// shutdownSweepInterval is the time between two checks of idle connections during shutdown.
	shutdownSweepInterval = 20 * time.Millisecond
	// idleTimeoutMargin is the difference between the actual idle timeout and the shorter one that is advertised to clients.
	idleTimeoutMargin = time.Second
	// defaultIdleTimeout is the idle timeout until there is a configuration.
	defaultIdleTimeout = 15 * time.Second
)

// clientConnection is the state of a client's connection.
type clientConnection struct {
	state     http.ConnState
	idleUntil time.Time // time at which the connection is closed if it is still idle
	expired   bool      // whether sweep has set a read deadline in the past
}

// shouldClose reports whether a connection must be closed now: no request is in flight on it, and it has been idle for too long or the
// closing phase requires it.
func (c clientConnection) shouldClose(now time.Time, phase closingPhase) bool {
	switch c.state {
	case http.StateNew:
		return phase == closingAll || now.After(c.idleUntil)
	case http.StateIdle:
		return phase >= closingIdle || now.After(c.idleUntil)
	}
	return false
}

// closingPhase determines which connections without a request in flight are closed because the process shuts down.
type closingPhase int

const (
	closingNone closingPhase = iota
	closingIdle              // connections that have carried a request; the first request on a new one is still read, and rejected
	closingAll               // also new connections
)

// clientConnections tracks the clients' open connections, and closes those that have been idle for too long.
type clientConnections struct {
	idleTimeout func() time.Duration // returns the currently configured idle timeout

	mu       sync.Mutex
	open     map[net.Conn]clientConnection
	sweeping bool // whether a call of sweep is scheduled
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
	if client, ok := conn.(*clientConn); ok && state == http.StateIdle {
		client.awaitHeader()
	}
	if c.open == nil {
		c.open = map[net.Conn]clientConnection{}
	}
	if state == http.StateActive && c.open[conn].expired {
		_ = conn.SetReadDeadline(time.Time{}) // a request was read despite the deadline, which would look like a disconnected client
	}
	c.open[conn] = clientConnection{state: state, idleUntil: time.Now().Add(c.idleTimeout())}
	if !c.sweeping {
		c.sweeping = true
		time.AfterFunc(sweepInterval, c.sweep)
	}
}

// sweep ends the connections for which shouldClose reports true. It sets a read deadline in the past instead of calling Close: the server
// then either has a complete request, and answers it, or has none, and closes the connection. So a request that was read is never dropped.
// If the deadline is set after the server has read a request and before it calls track, track resets the deadline.
func (c *clientConnections) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for conn, known := range c.open {
		if known.shouldClose(now, c.phase) {
			_ = conn.SetReadDeadline(now.Add(-time.Second)) // fails only on a closed connection
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

// close closes the connections that a closing phase applies to, now and as they become idle.
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

// advertiseIdleTimeout sets the Keep-Alive header field, which tells the client for how many seconds its connection may stay idle.
func (c *clientConnections) advertiseIdleTimeout(header http.Header) {
	if seconds := int((c.idleTimeout() - idleTimeoutMargin) / time.Second); seconds > 0 {
		header[headerKeepAlive] = []string{"timeout=" + strconv.Itoa(seconds)}
	}
}
