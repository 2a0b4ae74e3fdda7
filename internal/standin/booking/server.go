package booking

import (
	"context"
	"net"
	"net/http"
)

// server is an HTTP server on a loopback address.
type server struct {
	listener net.Listener
	http     http.Server
	stopped  chan struct{} // closed when the server has stopped accepting connections
}

// start starts a server that listens on address, or on a free loopback port if address is empty. It fails if it cannot listen.
func start(address string, handler http.Handler) (*server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener, stopped: make(chan struct{})}
	s.http.Handler = handler
	go func() {
		defer close(s.stopped)
		_ = s.http.Serve(listener) // always http.ErrServerClosed: only Close closes the listener
	}()
	return s, nil
}

// Address returns the host:port that the server listens on.
func (s *server) Address() string { return s.listener.Addr().String() }

// Close stops the server, closes its connections and waits until it accepts no more.
func (s *server) Close() {
	_ = s.http.Close() // an error is harmless: the listener and connections hold no data to lose
	<-s.stopped
}
