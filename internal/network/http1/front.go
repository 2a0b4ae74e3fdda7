package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Bounds are those of a Front.
type Bounds struct {
	MaxConnections int           // at once
	MaxHeaderBytes int           // of a request
	RequestTimeout time.Duration // for a request's headers
	IdleTimeout    time.Duration // between two requests
	WriteTimeout   time.Duration // from a request's headers to the end of its answer
	AltSvc         string        // the header of that name in answers (RFC 7838); empty for none
}

// Front takes callers' requests over HTTP/1.1. It is an exchange.Front.
type Front struct {
	callers callerListener
	server  http.Server
}

// NewFront makes a front that hands what comes at a listener to a handler. Close or Stop closes the listener.
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

// Counts are the connections: all that are open, the idle ones, those that are in some stage; and how many there may be.
func (f *Front) Counts() (open, idle, staged, maxOpen int) {
	l := &f.callers
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.stages {
		staged += l.stages[i].Len()
	}
	return l.open, l.stages[stageIdle].Len(), staged, l.maxOpen
}

// SetMaxConnections changes how many connections there may be at once.
func (f *Front) SetMaxConnections(n int) {
	f.callers.mu.Lock()
	defer f.callers.mu.Unlock()
	f.callers.maxOpen = n
}
