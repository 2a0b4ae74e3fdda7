package outbound

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	sweepInterval      = 500 * time.Millisecond
	idleTimeoutMargin  = time.Second // a client is told an idle timeout that is this much shorter than the one kept
	defaultIdleTimeout = 15 * time.Second
)

// clientConnection is what is known of one connection of a client.
type clientConnection struct {
	state     http.ConnState
	idleUntil time.Time // it is kept open so long without a request
	expired   bool      // sweep has set a read deadline in the past
}

// shouldClose tells whether a connection is to be closed now: it has no request under way, and none is awaited any more.
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
	closingIdle              // those that have had a request; a new one is still read, and refused
	closingAll               // new ones too
)

// clientConnections tracks the clients' open connections.
type clientConnections struct {
	mu       sync.Mutex
	open     map[net.Conn]clientConnection
	sweeping bool
	phase    closingPhase
}

// idleTimeout is how long a client's connection may stay idle, by the configuration in force.
func (p *Proxy) idleTimeout() time.Duration {
	if conf := p.config.Load(); conf != nil && conf.Limits.IdleTimeout > 0 {
		return min(conf.Limits.IdleTimeout, maxIdleTime)
	}
	return defaultIdleTimeout
}

// trackConnection follows a connection (http.Server.ConnState).
func (p *Proxy) trackConnection(c net.Conn, s http.ConnState) {
	t := &p.connections
	t.mu.Lock()
	defer t.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(t.open, c)
		return
	}
	if t.open == nil {
		t.open = map[net.Conn]clientConnection{}
	}
	if s == http.StateActive && t.open[c].expired {
		_ = c.SetReadDeadline(time.Time{}) // its request was read all the same; the deadline would count as the client's end
	}
	t.open[c] = clientConnection{state: s, idleUntil: time.Now().Add(p.idleTimeout())}
	if !t.sweeping {
		t.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// sweep ends connections that have been idle for too long, or all idle ones if the process is about to end. It does so by a read
// deadline in the past, not by Close: the server's own reader then either has the whole of a request, and answers it, or has
// not, and closes. So a request that was read is never dropped. The deadline may be set after the server has read a request and
// before it says so (trackConnection); it is taken back then.
func (p *Proxy) sweep() {
	t := &p.connections
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for c, known := range t.open {
		if known.shouldClose(now, t.phase) {
			_ = c.SetReadDeadline(now.Add(-time.Second))
			known.expired = true
			t.open[c] = known
		}
	}
	interval := sweepInterval
	if t.phase != closingNone {
		interval = shutdownSweepInterval
	}
	if t.sweeping = len(t.open) > 0; t.sweeping {
		time.AfterFunc(interval, p.sweep)
	}
}

// closeConnections ends connections once they have no request under way, from now on.
func (p *Proxy) closeConnections(phase closingPhase) {
	p.connections.mu.Lock()
	p.connections.phase = phase
	p.connections.mu.Unlock()
	p.sweep()
}

// OpenConnections is how many connections of clients are open.
func (p *Proxy) OpenConnections() int {
	p.connections.mu.Lock()
	defer p.connections.mu.Unlock()
	return len(p.connections.open)
}

// advertiseIdleTimeout tells the client how long it may keep its connection idle.
func (p *Proxy) advertiseIdleTimeout(h http.Header) {
	if s := int((p.idleTimeout() - idleTimeoutMargin) / time.Second); s > 0 {
		h["Keep-Alive"] = []string{"timeout=" + strconv.Itoa(s)}
	}
}
