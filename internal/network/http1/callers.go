package http1

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"quincegap/internal/network/exchange"
)

// maxExcess is the number of connections above the limit that are accepted so that their requests can be rejected with a response.
const maxExcess = exchange.ExcessSockets

// slowRequestAfter is the time after which a connection with an incomplete request may be closed to admit a new connection.
const slowRequestAfter = time.Second

// stage is the progress of the current request on a caller's connection.
type stage int

// The stages, in the order in which a connection goes through them; stageIdle follows stageServing.
const (
	stageNew     stage = iota // nothing has been received yet
	stageIdle                 // the previous request has been answered
	stageReading              // a part of a request has been received
	stageServing              // a request has been received completely
	stageCount
)

// callerConn is a connection from a caller. It implements exchange.Caller.
type callerConn struct {
	net.Conn
	listener *callerListener

	// The fields below are guarded by listener.mu.
	stage        stage
	element      *list.Element // list element in listener.stages[stage]; nil after the connection is closed
	requestBegan time.Time     // when the current request began; when the connection was accepted if there was no request yet
	excess       bool          // whether the connection was accepted above the limit; its request is rejected
}

// callerListener is a listener that limits the number of connections from callers.
type callerListener struct {
	net.Listener
	altSvc string // value of the Alt-Svc header in responses; empty for no header

	// mu guards the fields below, and the stages of the connections.
	mu           sync.Mutex
	maxOpen      int
	open         int
	stages       [stageCount]list.List // lists of *callerConn by stage; the one that has been in its stage the longest is first
	lastAccepted time.Time
}

// Accept returns the next connection that is admitted; it closes those that are not.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: raw, listener: l, requestBegan: time.Now()}
		if l.admit(c) {
			return c, nil
		}
		_ = raw.Close() // no data was sent, so an error loses nothing
	}
}

// admit adds a connection to the open ones. At the limit it closes another connection to make room; if it can't, it marks the new one as
// excess: its request gets a response that rejects it, since closing the connection would lose the request without a response. admit
// returns false if there are maxExcess of those already.
func (l *callerListener) admit(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAccepted = c.requestBegan
	if l.open >= l.maxOpen && !l.evictOne(c.requestBegan) {
		if l.open >= l.maxOpen+maxExcess {
			return false
		}
		c.excess = true
	}
	l.open++
	c.element = l.stages[stageNew].PushBack(c)
	return true
}

// evictOne closes a connection to make room for another one, in the order that the package comment describes. It reports whether it
// closed one. l.mu must be held.
func (l *callerListener) evictOne(now time.Time) bool {
	for at := l.stages[stageNew].Front(); at != nil; at = at.Next() {
		if c := at.Value.(*callerConn); !c.hasUnread() {
			l.closeConn(c)
			return true
		}
	}
	if at := l.stages[stageIdle].Front(); at != nil {
		l.closeConn(at.Value.(*callerConn))
		return true
	}
	at := l.stages[stageReading].Front()
	if at == nil {
		return false
	}
	oldest := at.Value.(*callerConn)
	if now.Sub(oldest.requestBegan) <= slowRequestAfter {
		return false
	}
	l.closeConn(oldest)
	return true
}

// closeConn closes a connection; the next read of its handler fails. l.mu must be held.
func (l *callerListener) closeConn(c *callerConn) {
	_ = c.Close() // nothing is sent or read any more, so an error loses nothing
	l.remove(c)
}

// remove removes a closed connection from its list, unless that has been done. l.mu must be held.
func (l *callerListener) remove(c *callerConn) {
	if c.element != nil {
		l.stages[c.stage].Remove(c.element)
		c.element = nil
		l.open--
	}
}

// setStage moves an open connection to a stage; it ignores closed ones. l.mu must be held.
func (l *callerListener) setStage(c *callerConn, to stage) {
	if c.element != nil {
		l.stages[c.stage].Remove(c.element)
		c.stage = to
		c.element = l.stages[to].PushBack(c)
	}
}

// connState is the http.Server's ConnState callback: it updates the stage of a connection.
func (l *callerListener) connState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch conn := c.(*callerConn); state {
	case http.StateIdle:
		conn.requestBegan = time.Now() // the next request may already have been received
		l.setStage(conn, stageIdle)
	case http.StateClosed, http.StateHijacked:
		l.remove(conn)
	}
}

// quietFor reports whether no connection is open and none has been accepted for the duration d.
func (l *callerListener) quietFor(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open == 0 && time.Since(l.lastAccepted) >= d
}

// connContext returns the context for a connection's requests, with the connection as their exchange.Caller.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return exchange.WithCaller(ctx, c.(*callerConn))
}

// hasUnread reports whether the connection has received bytes that the handler has not read yet.
func (c *callerConn) hasUnread() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	n, err := peekByte(raw)
	return err == nil && n > 0
}

// Read reads from the connection, and moves it to stageReading when a request begins.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.markReading()
	}
	return n, err
}

// markReading moves a connection that is new or idle to stageReading.
func (c *callerConn) markReading() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch c.stage {
	case stageIdle:
		c.requestBegan = time.Now()
		c.listener.setStage(c, stageReading)
	case stageNew:
		c.listener.setStage(c, stageReading)
	}
}

// CloseWrite closes the sending side only. net/http calls it before Close, so that a client that is still sending can read the response.
func (c *callerConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// BeginRequest implements exchange.Caller.
func (c *callerConn) BeginRequest() (began time.Time, excess bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.requestBegan, c.excess
}

// BodyReceived implements exchange.Caller.
func (c *callerConn) BodyReceived() (idle int) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.setStage(c, stageServing)
	return c.listener.stages[stageIdle].Len()
}

// CloseAfter implements exchange.Caller.
func (c *callerConn) CloseAfter(response http.Header) { response.Set("Connection", "close") }

// AddHeaders implements exchange.Caller.
func (c *callerConn) AddHeaders(response http.Header) {
	if alt := c.listener.altSvc; alt != "" {
		response.Set("Alt-Svc", alt)
	}
}

// Early implements exchange.Caller. It returns false, since HTTP/1.1 has no early data.
func (c *callerConn) Early() bool { return false }

// Confirm implements exchange.Caller. It returns true at once, since HTTP/1.1 has no early data.
func (c *callerConn) Confirm(context.Context) bool { return true }
