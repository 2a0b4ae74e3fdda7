package admin

import (
	"net"
	"sync"
)

// maxConns bounds the connections to the server; they use sockets that the sidecar reserves for itself.
const maxConns = 4

// boundedListener is a listener with at most maxConns open connections at once; further ones wait in the operating system's backlog.
type boundedListener struct {
	net.Listener
	slots chan struct{} // contains one element for each open connection
}

func newBoundedListener(l net.Listener) *boundedListener {
	return &boundedListener{Listener: l, slots: make(chan struct{}, maxConns)}
}

// Accept waits for a free slot, and then accepts a connection. It fails if the listener fails.
func (b *boundedListener) Accept() (net.Conn, error) {
	b.slots <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return &boundedConn{Conn: c, release: func() { <-b.slots }}, nil
}

// boundedConn is a connection that frees its slot when it is closed. net/http may close it twice; the slot is freed once.
type boundedConn struct {
	net.Conn
	closeOnce sync.Once
	release   func()
}

// Close closes the connection and frees its slot.
func (b *boundedConn) Close() error {
	defer b.closeOnce.Do(b.release)
	return b.Conn.Close()
}
