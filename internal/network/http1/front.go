package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Bounds are the limits of a Front.
type Bounds struct {
	MaxConnections int           // number of open connections
	MaxHeaderBytes int           // size of a request's headers
	RequestTimeout time.Duration // time to receive a request's headers
	IdleTimeout    time.Duration // time between two requests on a connection
	WriteTimeout   time.Duration // time from receiving a request's headers to the end of its response
	AltSvc         string        // value of the Alt-Svc header in responses (RFC 7838); empty for no header
}

// Front serves callers over HTTP/1.1. It implements exchange.Front.
type Front struct {
	callers callerListener
	server  http.Server
}

// NewFront returns a front that serves the connections of a listener with a handler. Close and Stop close the listener.
func NewFront(listener net.Listener, handler http.Handler, b Bounds) *Front {
	f := &Front{}
	f.callers.Listener = listener
	f.callers.maxOpen = b.MaxConnections
	f.callers.altSvc = b.AltSvc
	f.server = http.Server{
		Handler:           handler,
		ConnContext:       connContext,
		ConnState:         f.callers.connState,
		MaxHeaderBytes:    b.MaxHeaderBytes,
		ReadHeaderTimeout: b.RequestTimeout,
		IdleTimeout:       b.IdleTimeout,
		WriteTimeout:      b.WriteTimeout,
	}
	return f
}

// Serve implements exchange.Front.
func (f *Front) Serve() error {
	if err := f.server.Serve(&f.callers); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Quiet implements exchange.Front.
func (f *Front) Quiet(d time.Duration) bool { return f.callers.quietFor(d) }

// Stop implements exchange.Front.
func (f *Front) Stop(ctx context.Context) error { return f.server.Shutdown(ctx) }

// Close implements exchange.Front.
func (f *Front) Close() error { return f.server.Close() }

// Counts returns the numbers of open connections and of idle ones, the sum of the connections in all stages, and the limit on open
// connections. staged equals open unless the bookkeeping is wrong.
func (f *Front) Counts() (open, idle, staged, maxOpen int) {
	l := &f.callers
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.stages {
		staged += l.stages[i].Len()
	}
	return l.open, l.stages[stageIdle].Len(), staged, l.maxOpen
}

// SetMaxConnections changes the limit on open connections.
func (f *Front) SetMaxConnections(n int) {
	f.callers.mu.Lock()
	defer f.callers.mu.Unlock()
	f.callers.maxOpen = n
}
