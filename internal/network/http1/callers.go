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

// maxExcess is the number of connections beyond the bound that are accepted so that their requests can be rejected with an answer.
const maxExcess = exchange.ExcessSockets

// slowRequestAfter is the time after which a request that is not complete may be evicted in favour of a new connection.
const slowRequestAfter = time.Second

// stage is the progress of the present request on a caller's connection.
type stage int

// The stages, in the order in which a connection goes through them; stageIdle follows stageServing.
const (
	stageNew     stage = iota // nothing has been received yet
	stageIdle                 // the last request has been answered
	stageReading              // a part of a request has been received
	stageServing              // a request has been received completely
	stageCount
)

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	listener *callerListener

	// listener.mu guards these.
	stage        stage
	element      *list.Element // in the list of its stage; nil after it is closed
	requestBegan time.Time     // when the present request began; before the first one, when the connection was accepted
	excess       bool          // accepted beyond the bound; its request is rejected
}

// callerListener is a listener that bounds the connections from callers.
type callerListener struct {
	net.Listener
	altSvc string // value of the header Alt-Svc; empty for none

	mu           sync.Mutex
	maxOpen      int
	open         int
	stages       [stageCount]list.List // of *callerConn, the one that has been in its stage for the longest first
	lastAccepted time.Time
}

// Accept returns the next connection for which there is room.
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
		_ = raw.Close() // nothing was sent on it
	}
}

// admit makes room for a connection. Without room the connection is in excess: its request gets an answer that rejects it, since closing
// the connection would lose the request. admit returns false if the room for those is used up too.
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

// evictOne closes the connection whose caller loses least (see the package's comment). It reports whether there was one. The caller
// holds l.mu.
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
	slowest := at.Value.(*callerConn)
	if now.Sub(slowest.requestBegan) <= slowRequestAfter {
		return false
	}
	l.closeConn(slowest)
	return true
}

// closeConn closes a connection; its handler finds out with its next read. The caller holds l.mu.
func (l *callerListener) closeConn(c *callerConn) {
	_ = c.Close() // nothing more is expected of the caller
	l.remove(c)
}

// remove removes a closed connection from the lists. The caller holds l.mu.
func (l *callerListener) remove(c *callerConn) {
	if c.element != nil {
		l.stages[c.stage].Remove(c.element)
		c.element = nil
		l.open--
	}
}

// setStage moves a connection that is open to a stage. The caller holds l.mu.
func (l *callerListener) setStage(c *callerConn, to stage) {
	if c.element != nil {
		l.stages[c.stage].Remove(c.element)
		c.stage = to
		c.element = l.stages[to].PushBack(c)
	}
}

// connState follows the states of a connection in net/http.
func (l *callerListener) connState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch from := c.(*callerConn); state {
	case http.StateIdle:
		from.requestBegan = time.Now() // the next request may have been received already
		l.setStage(from, stageIdle)
	case http.StateClosed, http.StateHijacked:
		l.remove(from)
	}
}

// quietFor reports whether no connection is open and none has been accepted for d.
func (l *callerListener) quietFor(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open == 0 && time.Since(l.lastAccepted) >= d
}

// connContext returns the context of a connection's requests, which has the connection as their Caller.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return exchange.WithCaller(ctx, c.(*callerConn))
}

// hasUnread reports whether bytes have been received that the handler has not read yet.
func (c *callerConn) hasUnread() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	n, err := peekByte(raw)
	return err == nil && n > 0
}

// Read reads from the connection, and notes when a request begins.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.noteReading()
	}
	return n, err
}

// noteReading notes that a part of a request has been received.
func (c *callerConn) noteReading() {
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

// CloseWrite closes the sending side alone: net/http does so first, so that a client that still sends can read its answer.
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
func (c *callerConn) CloseAfter(answer http.Header) { answer.Set("Connection", "close") }

// AddHeaders implements exchange.Caller.
func (c *callerConn) AddHeaders(answer http.Header) {
	if alt := c.listener.altSvc; alt != "" {
		answer.Set("Alt-Svc", alt)
	}
}

// Early implements exchange.Caller: TCP has no early data.
func (c *callerConn) Early() bool { return false }

// Confirm implements exchange.Caller.
func (c *callerConn) Confirm(context.Context) bool { return true }
