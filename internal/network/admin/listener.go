package admin

import (
	"net"
	"sync"
)

// maxConns bounds the connections to the pages, which come out of the reserved sockets.
const maxConns = 4

// boundedListener has few connections at once; further ones wait in the backlog.
type boundedListener struct {
	net.Listener
	slots chan struct{} // one element for each connection
}

func newBoundedListener(l net.Listener) *boundedListener {
	return &boundedListener{Listener: l, slots: make(chan struct{}, maxConns)}
}

// Accept waits for room, and then for a connection.
func (b *boundedListener) Accept() (net.Conn, error) {
	b.slots <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return &boundedConn{Conn: c, release: func() { <-b.slots }}, nil
}

// boundedConn gives its room back when it is closed. net/http may close it twice.
type boundedConn struct {
	net.Conn
	closeOnce sync.Once
	release   func()
}

// Close closes the connection and gives its room back.
func (b *boundedConn) Close() error {
	defer b.closeOnce.Do(b.release)
	return b.Conn.Close()
}
