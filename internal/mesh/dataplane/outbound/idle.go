package outbound

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	sweepEach  = 500 * time.Millisecond
	idleMargin = time.Second // what a client is told is so much shorter than what it gets
	idleFirst  = 15 * time.Second
)

// idlers are clients' connections that wait for a request, each with the time until which it was promised to.
type idlers struct {
	mu    sync.Mutex
	until map[net.Conn]time.Time
}

// idle is how long a client's connection may stand idle, by the configuration in force.
func (d *Proxy) idle() time.Duration {
	if conf := d.conf.Load(); conf != nil && conf.Limits.IdleTimeout > 0 {
		return min(conf.Limits.IdleTimeout, restTime)
	}
	return idleFirst
}

// state follows a connection (http.Server.ConnState).
func (d *Proxy) state(c net.Conn, s http.ConnState) {
	d.idlers.mu.Lock()
	defer d.idlers.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		if d.idlers.until == nil {
			d.idlers.until = map[net.Conn]time.Time{}
			time.AfterFunc(sweepEach, d.sweep)
		}
		d.idlers.until[c] = time.Now().Add(d.idle())
	default:
		delete(d.idlers.until, c)
	}
}

// sweep closes connections that have stood idle for longer than they may. A request that comes in that moment has not been read,
// and its client may send it again.
func (d *Proxy) sweep() {
	d.idlers.mu.Lock()
	defer d.idlers.mu.Unlock()
	now := time.Now()
	for c, until := range d.idlers.until {
		if now.After(until) {
			delete(d.idlers.until, c)
			c.Close()
		}
	}
	time.AfterFunc(sweepEach, d.sweep)
}

// keep tells the client how long it may keep its connection idle.
func (d *Proxy) keep(h http.Header) {
	if s := int((d.idle() - idleMargin) / time.Second); s > 0 {
		h["Keep-Alive"] = []string{"timeout=" + strconv.Itoa(s)}
	}
}
