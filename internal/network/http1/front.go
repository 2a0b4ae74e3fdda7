// Package http1 speaks HTTP/1.1: a front for callers and a transport to
// endpoints.
package http1

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"quincegap/internal/network/exchange"
)

const excessSockets = exchange.ExcessSockets

// stage is how far the request has come that a caller's connection is to bring.
type stage int

const (
	stageNew     stage = iota // new, and has said nothing
	stageIdle                 // its last request is answered
	stageReading              // some of a request has come
	stageServing              // a request has been read
	stageCount
)

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	listener     *callerListener
	stage        stage // callers.mu guards these
	element      *list.Element
	requestBegan time.Time // when the request that it brings began, or its connection
	excess       bool      // it came when there was no room
}

// callerListener bounds the connections from callers. Accepting never waits: a connection in the backlog may already
// hold a request.
type callerListener struct {
	net.Listener
	maxOpen int
	altSvc  string

	mu           sync.Mutex
	open         int
	stages       [stageCount]list.List // of *caller, the longest in its stage first
	lastAccepted time.Time             // when the last connection came
}

// slowRequestAfter is how long a request may take to come before its connection is in the way of others.
const slowRequestAfter = time.Second

// Accept takes the next connection in. It is never one that finds no room.
func (cs *callerListener) Accept() (net.Conn, error) {
	for {
		raw, err := cs.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: raw, listener: cs, requestBegan: time.Now()}
		if cs.admit(c) {
			return c, nil
		}
		raw.Close()
	}
}

// admit makes room for a connection. Those that have said nothing go first, then idle ones, whose clients may
// send what crosses that on another, then those whose request takes long to come. If there are none, the new
// one's request is turned away, for to cut it off would lose it.
func (cs *callerListener) admit(c *callerConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.lastAccepted = c.requestBegan
	if cs.open >= cs.maxOpen && !cs.evictOne(c.requestBegan) {
		if cs.open >= cs.maxOpen+excessSockets {
			return false
		}
		c.excess = true
	}
	cs.open++
	c.element = cs.stages[stageNew].PushBack(c)
	return true
}

func (cs *callerListener) evictOne(now time.Time) bool {
	for at := cs.stages[stageNew].Front(); at != nil; at = at.Next() {
		if c := at.Value.(*callerConn); !c.hasUnread() {
			cs.closeConn(c)
			return true
		}
	}
	if at := cs.stages[stageIdle].Front(); at != nil {
		cs.closeConn(at.Value.(*callerConn))
		return true
	}
	if at := cs.stages[stageReading].Front(); at != nil && now.Sub(at.Value.(*callerConn).requestBegan) > slowRequestAfter {
		cs.closeConn(at.Value.(*callerConn))
		return true
	}
	return false
}

// hasUnread tells whether something has come that its handler has not yet been able to read.
func (c *callerConn) hasUnread() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	n, _ := peekByte(raw)
	return n > 0
}

// closeConn ends a connection; its handler sees that when it next reads.
func (cs *callerListener) closeConn(c *callerConn) {
	c.Conn.Close()
	cs.remove(c)
}

func (cs *callerListener) remove(c *callerConn) {
	if c.element != nil {
		cs.stages[c.stage].Remove(c.element)
		c.element = nil
		cs.open--
	}
}

// setStage notes how far a connection has come.
func (cs *callerListener) setStage(c *callerConn, to stage) {
	if c.element != nil {
		cs.stages[c.stage].Remove(c.element)
		c.stage = to
		c.element = cs.stages[to].PushBack(c)
	}
}

// Read notes when a request begins.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.listener.mu.Lock()
		if c.stage == stageNew || c.stage == stageIdle {
			if c.stage == stageIdle {
				c.requestBegan = time.Now()
			}
			c.listener.setStage(c, stageReading)
		}
		c.listener.mu.Unlock()
	}
	return n, err
}

// CloseWrite lets net/http end its side first, so that a client that is still sending reads its answer.
func (c *callerConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// connState follows net/http's word of a connection.
func (cs *callerListener) connState(c net.Conn, state http.ConnState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch from := c.(*callerConn); state {
	case http.StateIdle:
		from.requestBegan = time.Now() // the next request may have come already
		cs.setStage(from, stageIdle)
	case http.StateClosed, http.StateHijacked:
		cs.remove(from)
	}
}

// BeginRequest notes that a request's headers have come, and tells when it began and whether there is room for it.
func (c *callerConn) BeginRequest() (began time.Time, over bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.requestBegan, c.excess
}

// BodyReceived notes that a request has come whole, and tells how many connections stand idle beside its own.
func (c *callerConn) BodyReceived() (idles int) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.setStage(c, stageServing)
	return c.listener.stages[stageIdle].Len()
}

// quietFor tells whether no connection is open and none has come for a while.
func (cs *callerListener) quietFor(d time.Duration) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open == 0 && time.Since(cs.lastAccepted) >= d
}

// CloseAfter is of exchange.Caller.
func (c *callerConn) CloseAfter(answer http.Header) { answer.Set("Connection", "close") }

// AddHeaders is of exchange.Caller.
func (c *callerConn) AddHeaders(answer http.Header) {
	if alt := c.listener.altSvc; alt != "" {
		answer.Set("Alt-Svc", alt)
	}
}

// Early is of exchange.Caller: there is no early data beneath.
func (c *callerConn) Early() bool { return false }

// Confirm is of exchange.Caller.
func (c *callerConn) Confirm(context.Context) bool { return true }

// connContext puts a connection into the context of its requests.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return exchange.WithCaller(ctx, c.(*callerConn))
}

// Bounds are a front's.
type Bounds struct {
	MaxConnections int           // at once
	MaxHeaderBytes int           // bytes of a request's headers
	RequestTimeout time.Duration // for a whole request
	IdleTimeout    time.Duration // between two
	WriteTimeout   time.Duration // from a request's headers to the end of its answer
	AltSvc         string        // the header of that name in answers (RFC 7838); empty for none
}

// Front takes callers' requests over HTTP/1.1.
type Front struct {
	callers callerListener
	server  http.Server
}

// NewFront makes one that hands what comes at a listener to a handler.
func NewFront(listener net.Listener, handler http.Handler, b Bounds) *Front {
	f := &Front{}
	f.callers.Listener, f.callers.maxOpen, f.callers.altSvc = listener, b.MaxConnections, b.AltSvc
	f.server = http.Server{
		Handler: handler, ConnContext: connContext, ConnState: f.callers.connState, MaxHeaderBytes: b.MaxHeaderBytes,
		ReadHeaderTimeout: b.RequestTimeout, IdleTimeout: b.IdleTimeout, WriteTimeout: b.WriteTimeout,
	}
	return f
}

// Serve is of exchange.Front.
func (f *Front) Serve() error {
	if err := f.server.Serve(&f.callers); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Quiet is of exchange.Front.
func (f *Front) Quiet(d time.Duration) bool { return f.callers.quietFor(d) }

// Stop is of exchange.Front.
func (f *Front) Stop(ctx context.Context) error { return f.server.Shutdown(ctx) }

// Close is of exchange.Front.
func (f *Front) Close() error { return f.server.Close() }

// Counts are the connections: all, those that stand idle, and those that are in some stage; and how many there
// may be.
func (f *Front) Counts() (open, idles, staged, most int) {
	cs := &f.callers
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for i := range cs.stages {
		staged += cs.stages[i].Len()
	}
	return cs.open, cs.stages[stageIdle].Len(), staged, cs.maxOpen
}

// SetMaxConnections changes how many there may be.
func (f *Front) SetMaxConnections(n int) {
	f.callers.mu.Lock()
	defer f.callers.mu.Unlock()
	f.callers.maxOpen = n
}
