package admin

import (
	"net"
	"sync"
)

// maxConns bounds the connections to the pages; they use sockets that the sidecar reserves.
const maxConns = 4

// boundedListener accepts at most maxConns connections at once; further ones wait in the backlog.
type boundedListener struct {
	net.Listener
	slots chan struct{} // one element per open connection
}

func newBoundedListener(l net.Listener) *boundedListener {
	return &boundedListener{Listener: l, slots: make(chan struct{}, maxConns)}
}

// Accept waits for a free slot, and then for a connection.
func (b *boundedListener) Accept() (net.Conn, error) {
	b.slots <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return &boundedConn{Conn: c, release: func() { <-b.slots }}, nil
}

// boundedConn frees its slot when it is closed. net/http may close it twice.
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
