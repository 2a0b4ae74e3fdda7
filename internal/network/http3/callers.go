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

// The reason phrases in CONNECTION_CLOSE frames to callers. They are part of the protocol and must not change.
const (
	reasonNoRoom    = "no room"
	reasonEvicted   = "idle, and others come"
	reasonNoRequest = "no request came"
	reasonIdle      = "idle"
)

// sweepInterval is the time between two checks for connections that have had no request for too long.
const sweepInterval = 500 * time.Millisecond

// callerConn is a connection from a caller.
type callerConn struct {
	front *Front
	conn  *quic.Conn

	// The fields below are guarded by front.mu.
	streams   int           // number of requests in progress
	list      *list.List    // front.fresh or front.idle while streams is 0, otherwise nil
	element   *list.Element // element of this connection in list
	idleSince time.Time     // when the connection was accepted or its last request ended
}

// admit adds a connection to the open ones. At the limit it first closes the connection that has been fresh the longest or, if none is
// fresh, the one that has been idle the longest. If all are active it returns false; no request of the new connection has been processed
// then.
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
	c := &callerConn{front: f, conn: conn, idleSince: f.lastAccepted}
	c.moveTo(&f.fresh)
	f.open[conn] = c
	context.AfterFunc(conn.Context(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.remove(c)
	})
	return true
}

// closeConn closes a connection that has no request in progress. f.mu must be held.
func (f *Front) closeConn(c *callerConn, reason string) {
	f.remove(c)
	go func() { // CloseWithError waits for the connection's goroutine, which may be waiting for f.mu
		_ = c.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason) // never fails
	}()
}

// remove removes a connection from the front's lists, unless that has been done. f.mu must be held.
func (f *Front) remove(c *callerConn) {
	if f.open[c.conn] == c {
		delete(f.open, c.conn)
	}
	c.moveTo(nil)
}

// moveTo removes a connection from the list that it is in, and appends it to another one unless that is nil. front.mu must be held.
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

// sweep periodically closes connections that have had no request for too long, until Close is called. QUIC's idle timeout is not
// sufficient, since every packet restarts it: a connection that occasionally sends a PING or a part of a request's headers would never be
// closed.
func (f *Front) sweep(b Bounds) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
			f.closeInactive(b)
		}
	}
}

// closeInactive closes the fresh connections that have reached b.RequestTimeout and the idle ones that have reached b.IdleTimeout.
func (f *Front) closeInactive(b Bounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeOlder(&f.fresh, b.RequestTimeout, reasonNoRequest)
	f.closeOlder(&f.idle, b.IdleTimeout, reasonIdle)
}

// closeOlder closes the connections that have been in a list for limit or longer. f.mu must be held.
func (f *Front) closeOlder(conns *list.List, limit time.Duration, reason string) {
	for at := conns.Front(); at != nil; at = conns.Front() {
		c := at.Value.(*callerConn)
		if time.Since(c.idleSince) < limit {
			return
		}
		f.closeConn(c, reason)
	}
}

// connKey is the context key for the *quic.Conn of a request.
type connKey struct{}

// countRequests returns a handler that counts each connection's requests in progress, sets their write deadline and adds an
// exchange.Caller to their context.
func (f *Front) countRequests(handler http.Handler, b Bounds) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*quic.Conn)
		c := f.startRequest(conn)
		if c == nil { // the connection is being closed
			panic(http.ErrAbortHandler)
		}
		defer f.endRequest(c)
		s := &requestStream{caller: c, began: time.Now()}
		// This fails only if the stream is closed, and then writes fail too.
		_ = http.NewResponseController(w).SetWriteDeadline(s.began.Add(b.WriteTimeout))
		handler.ServeHTTP(w, r.WithContext(exchange.WithCaller(r.Context(), s)))
	})
}

// startRequest counts a request that begins. It returns the request's connection, or nil if that is no longer open.
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

// endRequest counts a request that has ended. If it was the last one in progress, the connection becomes idle.
func (f *Front) endRequest(c *callerConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.streams--
	if c.streams == 0 && f.open[c.conn] == c {
		c.idleSince = time.Now()
		c.moveTo(&f.idle)
	}
}
