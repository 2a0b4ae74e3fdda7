// Package pipe stands in for a network: a listener whose connections are in memory, for tests of servers in virtual time.
package pipe

import (
	"net"
	"sync"
)

// Listener accepts connections that Dial makes. It must be created by NewListener.
type Listener struct {
	accepted chan net.Conn
	closed   chan struct{}
	close    sync.Once
}

// NewListener returns a listener.
func NewListener() *Listener {
	return &Listener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns the client's end of a new connection, once the server has accepted it. It returns net.ErrClosed after Close.
func (l *Listener) Dial() (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Accept implements net.Listener. It returns net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Further calls have no effect.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
