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

// The reasons with which connections are closed, as callers read them.
const (
	reasonNoRoom    = "no room"
	reasonEvicted   = "idle, and others come"
	reasonNoRequest = "no request came"
	reasonIdle      = "idle"
)

// sweepInterval is how often connections are looked at that bring no request.
const sweepInterval = 500 * time.Millisecond

// callerConn is a connection from a caller.
type callerConn struct {
	front *Front
	conn  *quic.Conn

	// front.mu guards these.
	streams    int        // with a request under way
	list       *list.List // front.fresh or front.idle while there is none
	element    *list.Element
	quietSince time.Time // when it came, or its last request ended
}

// admit makes room for a connection, in the place of one that is fresh or idle, the longest first. If there is none, the new one is
// rejected; nothing that it sent has been looked at then.
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

// closeConn ends a connection that has no request under way. f.mu is held.
func (f *Front) closeConn(c *callerConn, reason string) {
	f.remove(c)
	go func() { // it waits for the connection's own goroutine
		_ = c.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason) // never fails
	}()
}

// remove takes a connection out. f.mu is held.
func (f *Front) remove(c *callerConn) {
	if f.open[c.conn] == c {
		delete(f.open, c.conn)
	}
	c.moveTo(nil)
}

// moveTo moves a connection into another list of those without a request; nil for none. front.mu is held.
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

// sweep ends connections that bring no request, until Close. QUIC's own timeouts go by packets: a connection that sends a PING now
// and then, or half a request's headers, would stay for good.
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

// closeQuiet ends the connections that have brought no request for too long.
func (f *Front) closeQuiet(b Bounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeOlder(&f.fresh, b.RequestTimeout, reasonNoRequest)
	f.closeOlder(&f.idle, b.IdleTimeout, reasonIdle)
}

// closeOlder ends those of a list that have been in it for a time or longer. f.mu is held.
func (f *Front) closeOlder(conns *list.List, limit time.Duration, reason string) {
	for at := conns.Front(); at != nil; at = conns.Front() {
		c := at.Value.(*callerConn)
		if time.Since(c.quietSince) < limit {
			return
		}
		f.closeConn(c, reason)
	}
}

// connKey is the key of a *quic.Conn in the context of its requests.
type connKey struct{}

// countRequests has a handler's requests counted, and gives them an exchange.Caller.
func (f *Front) countRequests(handler http.Handler, b Bounds) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*quic.Conn)
		c := f.startRequest(conn)
		if c == nil { // it is being closed
			panic(http.ErrAbortHandler)
		}
		defer f.endRequest(c)
		s := &requestStream{caller: c, began: time.Now()}
		// Never fails for a stream that is open; the writes to another one do.
		_ = http.NewResponseController(w).SetWriteDeadline(s.began.Add(b.WriteTimeout))
		handler.ServeHTTP(w, r.WithContext(exchange.WithCaller(r.Context(), s)))
	})
}

// startRequest counts a request of a connection; nil if that is not open any more.
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

// endRequest notes that a request has ended.
func (f *Front) endRequest(c *callerConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.streams--
	if c.streams == 0 && f.open[c.conn] == c {
		c.quietSince = time.Now()
		c.moveTo(&f.idle)
	}
}
