package outbound

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = 500 * time.Millisecond
	// shutdownSweepInterval is the same while the process ends.
	shutdownSweepInterval = 20 * time.Millisecond
	// idleTimeoutMargin is how much shorter the idle time-out is that clients are told than the one that is kept.
	idleTimeoutMargin = time.Second
	// defaultIdleTimeout holds until there is a configuration.
	defaultIdleTimeout = 15 * time.Second
)

// clientConnection is what is known of one connection of a client.
type clientConnection struct {
	state     http.ConnState
	idleUntil time.Time // it is kept open so long without a request
	expired   bool      // sweep has set a read deadline in the past
}

// shouldClose reports whether a connection is to be closed now: it has no request under way, and none is awaited any more.
func (c clientConnection) shouldClose(now time.Time, phase closingPhase) bool {
	switch c.state {
	case http.StateNew:
		return phase == closingAll || now.After(c.idleUntil)
	case http.StateIdle:
		return phase >= closingIdle || now.After(c.idleUntil)
	}
	return false
}

// closingPhase is which connections are closed because the process ends.
type closingPhase int

const (
	closingNone closingPhase = iota
	closingIdle              // those that have had a request; on a new one the request is still read, and rejected
	closingAll               // new ones too
)

// clientConnections tracks the clients' open connections, and closes those that have been idle for too long.
type clientConnections struct {
	idleTimeout func() time.Duration // how long a connection may stay idle, at present

	mu       sync.Mutex
	open     map[net.Conn]clientConnection
	sweeping bool // sweep will be called
	phase    closingPhase
}

// track follows a connection's state (http.Server.ConnState).
func (t *clientConnections) track(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(t.open, conn)
		return
	}
	if t.open == nil {
		t.open = map[net.Conn]clientConnection{}
	}
	if state == http.StateActive && t.open[conn].expired {
		_ = conn.SetReadDeadline(time.Time{}) // its request was read all the same; the deadline would count as the client's end
	}
	t.open[conn] = clientConnection{state: state, idleUntil: time.Now().Add(t.idleTimeout())}
	if !t.sweeping {
		t.sweeping = true
		time.AfterFunc(sweepInterval, t.sweep)
	}
}

// sweep ends connections that have been idle for too long, or all idle ones if the process is about to end. It does so by a read
// deadline in the past, not by Close: the server's own reader then either has a complete request, and answers it, or has not, and
// closes. So a request that was read is never dropped. The deadline may be set after the server has read a request and before it
// reports so to track, which takes it back then.
func (t *clientConnections) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for conn, known := range t.open {
		if known.shouldClose(now, t.phase) {
			_ = conn.SetReadDeadline(now.Add(-time.Second)) // fails on a closed connection alone
			known.expired = true
			t.open[conn] = known
		}
	}
	interval := sweepInterval
	if t.phase != closingNone {
		interval = shutdownSweepInterval
	}
	t.sweeping = len(t.open) > 0
	if t.sweeping {
		time.AfterFunc(interval, t.sweep)
	}
}

// close ends connections once they have no request under way, from now on.
func (t *clientConnections) close(phase closingPhase) {
	t.mu.Lock()
	t.phase = phase
	t.mu.Unlock()
	t.sweep()
}

// count returns how many connections are open.
func (t *clientConnections) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// advertiseIdleTimeout tells the client how many seconds it may keep its connection idle.
func (t *clientConnections) advertiseIdleTimeout(header http.Header) {
	if seconds := int((t.idleTimeout() - idleTimeoutMargin) / time.Second); seconds > 0 {
		header[headerKeepAlive] = []string{"timeout=" + strconv.Itoa(seconds)}
	}
}
