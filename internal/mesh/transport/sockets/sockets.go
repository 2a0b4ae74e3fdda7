package sockets

import (
	"context"
	"net"
	"sync"
)

// Sockets are the open TCP connections of a process. It is safe for concurrent use. The zero value is ready to use.
type Sockets struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

// Usage is what the open connections take.
type Usage struct {
	Connections int
	UnreadBytes int64 // bytes that have arrived and were not read yet, without those of connections that were not accepted yet
}

// Usage returns the current usage. It makes a system call for each connection.
func (s *Sockets) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := Usage{Connections: len(s.open)}
	for c := range s.open {
		usage.UnreadBytes += c.unreadBytes()
	}
	return usage
}

// Listen returns a listener on a TCP address (IPv4).
func (s *Sockets) Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	tcp, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return listener{tcp, s}, nil
}

// Dial connects to a TCP address (IPv4), without TCP keepalives. It fails when ctx ends.
func (s *Sockets) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	tcp, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return s.add(tcp.(*net.TCPConn)), nil
}

// listener accepts connections that are counted in sockets.
type listener struct {
	net.Listener
	sockets *Sockets
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	tcp, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.sockets.add(tcp.(*net.TCPConn)), nil
}

// add counts a connection until it is closed.
func (s *Sockets) add(tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, sockets: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*conn]struct{}{}
	}
	s.open[c] = struct{}{}
	return c
}

func (s *Sockets) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}
