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

// maxExcess is how many connections there may be beyond the bound, for their requests to be rejected.
const maxExcess = exchange.ExcessSockets

// slowRequestAfter is how long a request may take to come before its connection is in the way of others.
const slowRequestAfter = time.Second

// stage is how far the request has come that a caller's connection is to bring.
type stage int

// The stages, in the order in which a connection goes through them; stageIdle follows stageServing.
const (
	stageNew     stage = iota // nothing has come yet
	stageIdle                 // the last request is answered
	stageReading              // some of a request has come
	stageServing              // a request has been read
	stageCount
)

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	listener *callerListener

	// listener.mu guards these.
	stage        stage
	element      *list.Element // in the list of its stage; nil once it is closed
	requestBegan time.Time     // the request that it brings, or the connection itself
	excess       bool          // it came when there was no room
}

// callerListener bounds the connections from callers.
type callerListener struct {
	net.Listener
	altSvc string

	mu           sync.Mutex
	maxOpen      int
	open         int
	stages       [stageCount]list.List // of *callerConn, the longest in its stage first
	lastAccepted time.Time
}

// Accept takes the next connection for which there is room.
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

// admit makes room for a connection; false if there is not even room to reject its request, which to cut it off would lose.
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

// evictOne closes the connection that loses least by it, and tells whether there was one. l.mu is held.
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

// closeConn closes a connection; its handler sees that when it next reads. l.mu is held.
func (l *callerListener) closeConn(c *callerConn) {
	_ = c.Close() // its caller is not waited for any more
	l.remove(c)
}

// remove takes a closed connection out. l.mu is held.
func (l *callerListener) remove(c *callerConn) {
	if c.element != nil {
		l.stages[c.stage].Remove(c.element)
		c.element = nil
		l.open--
	}
}

// setStage notes how far a connection has come. l.mu is held.
func (l *callerListener) setStage(c *callerConn, to stage) {
	if c.element != nil {
		l.stages[c.stage].Remove(c.element)
		c.stage = to
		c.element = l.stages[to].PushBack(c)
	}
}

// connState follows what net/http says of a connection.
func (l *callerListener) connState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch from := c.(*callerConn); state {
	case http.StateIdle:
		from.requestBegan = time.Now() // the next request may have come already
		l.setStage(from, stageIdle)
	case http.StateClosed, http.StateHijacked:
		l.remove(from)
	}
}

// quietFor tells whether no connection is open and none has come for a while.
func (l *callerListener) quietFor(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open == 0 && time.Since(l.lastAccepted) >= d
}

// connContext puts a connection into the context of its requests.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return exchange.WithCaller(ctx, c.(*callerConn))
}

// hasUnread tells whether something has come that the handler has not been able to read yet.
func (c *callerConn) hasUnread() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	n, err := peekByte(raw)
	return err == nil && n > 0
}

// Read notes when a request begins.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.noteReading()
	}
	return n, err
}

// noteReading notes that some of a request has come.
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

// CloseWrite lets net/http end its side first, so that a client that is still sending reads its answer.
func (c *callerConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// BeginRequest is of exchange.Caller.
func (c *callerConn) BeginRequest() (began time.Time, excess bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.requestBegan, c.excess
}

// BodyReceived is of exchange.Caller.
func (c *callerConn) BodyReceived() (idle int) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.setStage(c, stageServing)
	return c.listener.stages[stageIdle].Len()
}

// CloseAfter is of exchange.Caller.
func (c *callerConn) CloseAfter(answer http.Header) { answer.Set("Connection", "close") }

// AddHeaders is of exchange.Caller.
func (c *callerConn) AddHeaders(answer http.Header) {
	if alt := c.listener.altSvc; alt != "" {
		answer.Set("Alt-Svc", alt)
	}
}

// Early is of exchange.Caller: TCP has no early data.
func (c *callerConn) Early() bool { return false }

// Confirm is of exchange.Caller.
func (c *callerConn) Confirm(context.Context) bool { return true }
