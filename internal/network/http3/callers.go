package http3

import (
	"container/list"
	"context"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/network/exchange"
)

// The reasons in CONNECTION_CLOSE frames to callers. They are data.
const (
	reasonNoRoom    = "no room"
	reasonEvicted   = "idle, and others come"
	reasonNoRequest = "no request came"
	reasonIdle      = "idle"
)

// sweepInterval is the time between two searches for connections without a request.
const sweepInterval = 500 * time.Millisecond

// callerConn is a connection from a caller.
type callerConn struct {
	front *Front
	conn  *quic.Conn

	// front.mu guards these.
	streams    int           // requests in progress
	list       *list.List    // front.fresh or front.idle while streams is 0, else nil
	element    *list.Element // in list
	quietSince time.Time     // when it was accepted, or its last request ended
}

// admit makes room for a connection, if necessary by closing the one that has been fresh for the longest, else the one that has been idle
// for the longest. If there is none it returns false; nothing that the new connection sent has been processed then.
func (f *Front) admit(conn *quic.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastAccepted = time.Now()
	if len(f.open) >= f.settings.MaxConnections {
		oldest := f.fresh.Front()
		if oldest == nil {
			oldest = f.idle.Front()
		}
		if oldest == nil {
			return false
		}
		f.closeConn(oldest.Value.(*callerConn), reasonEvicted)
	}
	c := &callerConn{front: f, conn: conn, quietSince: f.lastAccepted}
	c.moveTo(&f.fresh)
	f.open[conn] = c
	context.AfterFunc(conn.Context(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.remove(c)
	})
	return true
}

// closeConn ends a connection that has no request under way. The caller holds f.mu.
func (f *Front) closeConn(c *callerConn, reason string) {
	f.remove(c)
	go func() { // CloseWithError waits for the connection's goroutine, which may wait for f.mu
		_ = c.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason) // never fails
	}()
}

// remove forgets a connection. The caller holds f.mu.
func (f *Front) remove(c *callerConn) {
	if f.open[c.conn] == c {
		delete(f.open, c.conn)
	}
	c.moveTo(nil)
}

// moveTo moves a connection to the end of a list of connections without a request; nil removes it from its list. The caller holds
// front.mu.
func (c *callerConn) moveTo(to *list.List) {
	if c.element != nil {
		c.list.Remove(c.element)
		c.list = nil
		c.element = nil
	}
	if to != nil {
		c.list = to
		c.element = to.PushBack(c)
	}
}

// sweep closes connections without a request, until Close. QUIC's own timeouts count packets: a connection that sends a PING now and
// then, or a part of a request's headers, would stay for ever.
func (f *Front) sweep(b Bounds) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
			f.closeQuiet(b)
		}
	}
}

// closeQuiet closes the connections that have had no request for too long.
func (f *Front) closeQuiet(b Bounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeOlder(&f.fresh, b.RequestTimeout, reasonNoRequest)
	f.closeOlder(&f.idle, b.IdleTimeout, reasonIdle)
}

// closeOlder closes the connections of a list that have been in it for limit or longer. The caller holds f.mu.
func (f *Front) closeOlder(conns *list.List, limit time.Duration, reason string) {
	for at := conns.Front(); at != nil; at = conns.Front() {
		c := at.Value.(*callerConn)
		if time.Since(c.quietSince) < limit {
			return
		}
		f.closeConn(c, reason)
	}
}

// connKey is the context key of the *quic.Conn of a request.
type connKey struct{}

// countRequests returns a handler that counts the requests in progress, and puts an exchange.Caller into their contexts.
func (f *Front) countRequests(handler http.Handler, b Bounds) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*quic.Conn)
		c := f.startRequest(conn)
		if c == nil { // the connection is being closed
			panic(http.ErrAbortHandler)
		}
		defer f.endRequest(c)
		s := &requestStream{caller: c, began: time.Now()}
		// Fails only for a stream that is closed, where writes fail too.
		_ = http.NewResponseController(w).SetWriteDeadline(s.began.Add(b.WriteTimeout))
		handler.ServeHTTP(w, r.WithContext(exchange.WithCaller(r.Context(), s)))
	})
}

// startRequest counts a request in progress. It returns nil if the connection is not open any more.
func (f *Front) startRequest(conn *quic.Conn) *callerConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.open[conn]
	if c == nil {
		return nil
	}
	c.streams++
	c.moveTo(nil)
	return c
}

// endRequest counts a request that has ended; after the last one the connection is idle.
func (f *Front) endRequest(c *callerConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.streams--
	if c.streams == 0 && f.open[c.conn] == c {
		c.quietSince = time.Now()
		c.moveTo(&f.idle)
	}
}
