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
	mute    stage = iota // new, and has said nothing
	idle                 // its last request is answered
	reading              // some of a request has come
	serving              // a request has been read
	stages
)

// caller is a connection from a caller.
type caller struct {
	net.Conn
	callers *callers
	stage   stage // callers.mu guards these
	at      *list.Element
	began   time.Time // when the request that it brings began, or its connection
	over    bool      // it came when there was no room
}

// callers bounds the connections from callers. Accepting never waits: a connection in the backlog may already
// hold a request.
type callers struct {
	net.Listener
	most   int
	altSvc string

	mu     sync.Mutex
	open   int
	stages [stages]list.List // of *caller, the longest in its stage first
	newest time.Time         // when the last connection came
}

// slowAfter is how long a request may take to come before its connection is in the way of others.
const slowAfter = time.Second

// Accept takes the next connection in. It is never one that finds no room.
func (cs *callers) Accept() (net.Conn, error) {
	for {
		raw, err := cs.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &caller{Conn: raw, callers: cs, began: time.Now()}
		if cs.admit(c) {
			return c, nil
		}
		raw.Close()
	}
}

// admit makes room for a connection. Those that have said nothing go first, then idle ones, whose clients may
// send what crosses that on another, then those whose request takes long to come. If there are none, the new
// one's request is turned away, for to cut it off would lose it.
func (cs *callers) admit(c *caller) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.newest = c.began
	if cs.open >= cs.most && !cs.makeRoom(c.began) {
		if cs.open >= cs.most+excessSockets {
			return false
		}
		c.over = true
	}
	cs.open++
	c.at = cs.stages[mute].PushBack(c)
	return true
}

func (cs *callers) makeRoom(now time.Time) bool {
	for at := cs.stages[mute].Front(); at != nil; at = at.Next() {
		if c := at.Value.(*caller); !c.waiting() {
			cs.drop(c)
			return true
		}
	}
	if at := cs.stages[idle].Front(); at != nil {
		cs.drop(at.Value.(*caller))
		return true
	}
	if at := cs.stages[reading].Front(); at != nil && now.Sub(at.Value.(*caller).began) > slowAfter {
		cs.drop(at.Value.(*caller))
		return true
	}
	return false
}

// waiting tells whether something has come that its handler has not yet been able to read.
func (c *caller) waiting() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	n, _ := peekByte(raw)
	return n > 0
}

// drop ends a connection; its handler sees that when it next reads.
func (cs *callers) drop(c *caller) {
	c.Conn.Close()
	cs.forget(c)
}

func (cs *callers) forget(c *caller) {
	if c.at != nil {
		cs.stages[c.stage].Remove(c.at)
		c.at = nil
		cs.open--
	}
}

// move notes how far a connection has come.
func (cs *callers) move(c *caller, to stage) {
	if c.at != nil {
		cs.stages[c.stage].Remove(c.at)
		c.stage = to
		c.at = cs.stages[to].PushBack(c)
	}
}

// Read notes when a request begins.
func (c *caller) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.callers.mu.Lock()
		if c.stage == mute || c.stage == idle {
			if c.stage == idle {
				c.began = time.Now()
			}
			c.callers.move(c, reading)
		}
		c.callers.mu.Unlock()
	}
	return n, err
}

// CloseWrite lets net/http end its side first, so that a client that is still sending reads its answer.
func (c *caller) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// state follows net/http's word of a connection.
func (cs *callers) state(c net.Conn, state http.ConnState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch from := c.(*caller); state {
	case http.StateIdle:
		from.began = time.Now() // the next request may have come already
		cs.move(from, idle)
	case http.StateClosed, http.StateHijacked:
		cs.forget(from)
	}
}

// BeginRequest notes that a request's headers have come, and tells when it began and whether there is room for it.
func (c *caller) BeginRequest() (began time.Time, over bool) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	return c.began, c.over
}

// BodyReceived notes that a request has come whole, and tells how many connections stand idle beside its own.
func (c *caller) BodyReceived() (idles int) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.callers.move(c, serving)
	return c.callers.stages[idle].Len()
}

// quietFor tells whether no connection is open and none has come for a while.
func (cs *callers) quietFor(d time.Duration) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open == 0 && time.Since(cs.newest) >= d
}

// CloseAfter is of exchange.Caller.
func (c *caller) CloseAfter(answer http.Header) { answer.Set("Connection", "close") }

// AddHeaders is of exchange.Caller.
func (c *caller) AddHeaders(answer http.Header) {
	if alt := c.callers.altSvc; alt != "" {
		answer.Set("Alt-Svc", alt)
	}
}

// Early is of exchange.Caller: there is no early data beneath.
func (c *caller) Early() bool { return false }

// Confirm is of exchange.Caller.
func (c *caller) Confirm(context.Context) bool { return true }

// withCaller puts a connection into the context of its requests.
func withCaller(ctx context.Context, c net.Conn) context.Context {
	return exchange.WithCaller(ctx, c.(*caller))
}

// Bounds are a front's.
type Bounds struct {
	Connections    int           // at once
	MaxHeader      int           // bytes of a request's headers
	RequestTimeout time.Duration // for a whole request
	IdleTimeout    time.Duration // between two
	WriteTimeout   time.Duration // from a request's headers to the end of its answer
	AltSvc         string        // the header of that name in answers (RFC 7838); empty for none
}

// Front takes callers' requests over HTTP/1.1.
type Front struct {
	callers callers
	server  http.Server
}

// NewFront makes one that hands what comes at a listener to a handler.
func NewFront(listener net.Listener, handler http.Handler, b Bounds) *Front {
	f := &Front{}
	f.callers.Listener, f.callers.most, f.callers.altSvc = listener, b.Connections, b.AltSvc
	f.server = http.Server{
		Handler: handler, ConnContext: withCaller, ConnState: f.callers.state, MaxHeaderBytes: b.MaxHeader,
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
	return cs.open, cs.stages[idle].Len(), staged, cs.most
}

// SetConnections changes how many there may be.
func (f *Front) SetConnections(n int) {
	f.callers.mu.Lock()
	defer f.callers.mu.Unlock()
	f.callers.most = n
}
