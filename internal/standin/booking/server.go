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
	ended    chan struct{} // closed when nothing is accepted any more
}

// start serves on an address; a free loopback port if it is empty.
func start(address string, handler http.Handler) (*server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener, ended: make(chan struct{})}
	s.http.Handler = handler
	go func() {
		defer close(s.ended)
		_ = s.http.Serve(listener) // ends with http.ErrServerClosed, for nothing else closes the listener
	}()
	return s, nil
}

// Address returns the host:port where it serves.
func (s *server) Address() string { return s.listener.Addr().String() }

// Close ends the server and its connections.
func (s *server) Close() {
	_ = s.http.Close() // of the listener and its connections, which have no data that could be lost
	<-s.ended
}
