package gossip

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxInboundStreams bounds the connections from others. They use the few sockets that a sidecar reserves for itself, and anybody who
// reaches the port can open some. Connections beyond the bound are closed; a member connects again later.
const maxInboundStreams = 8

// boundedTransport is memberlist's network transport with a bound on inbound connections. Outbound connections use the address that it
// listens on: a machine may have several addresses, and the others' firewalls may accept only that one.
type boundedTransport struct {
	*memberlist.NetTransport
	localIP net.IP
	streams chan net.Conn

	shutdownOnce    sync.Once
	done            chan struct{} // closed when no more connections are passed on
	listenersClosed chan struct{} // closed when no more connections can come
	accepting       sync.WaitGroup

	mu   sync.Mutex
	open int
}

// newBoundedTransport wraps a transport, which it then owns. Shutdown ends both.
func newBoundedTransport(t *memberlist.NetTransport, localIP net.IP) *boundedTransport {
	b := &boundedTransport{
		NetTransport:    t,
		localIP:         localIP,
		streams:         make(chan net.Conn),
		done:            make(chan struct{}),
		listenersClosed: make(chan struct{}),
	}
	b.accepting.Go(b.acceptStreams)
	return b
}

// acceptStreams passes connections on while there is room, and closes the others. It runs until all listeners are closed: a listener
// blocked on handing a connection over would block Shutdown.
func (b *boundedTransport) acceptStreams() {
	for {
		select {
		case c := <-b.NetTransport.StreamCh():
			if !b.pass(c) {
				_ = c.Close() // nothing was sent on it
			}
		case <-b.listenersClosed:
			return
		}
	}
}

// pass hands a connection over to memberlist. It returns false if there is no room for it, or after Shutdown.
func (b *boundedTransport) pass(c net.Conn) bool {
	if !b.reserve() {
		return false
	}
	select {
	case b.streams <- &stream{Conn: c, release: b.release}:
		return true
	case <-b.done:
		b.release()
		return false
	}
}

// reserve reserves room for one connection. It returns false if there is none.
func (b *boundedTransport) reserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= maxInboundStreams {
		return false
	}
	b.open++
	return true
}

// release releases the room of one connection.
func (b *boundedTransport) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
}

// stream is one connection from another member. memberlist may close it twice; its room is released once.
type stream struct {
	net.Conn
	closeOnce sync.Once
	release   func()
}

// Close closes the connection and releases its room.
func (s *stream) Close() error {
	defer s.closeOnce.Do(s.release)
	return s.Conn.Close()
}

// StreamCh returns the channel of the accepted connections from others.
func (b *boundedTransport) StreamCh() <-chan net.Conn { return b.streams }

// Shutdown ends the transport and waits for its goroutine. A second call does nothing.
func (b *boundedTransport) Shutdown() (err error) {
	b.shutdownOnce.Do(func() {
		close(b.done)
		err = b.NetTransport.Shutdown()
		close(b.listenersClosed)
		b.accepting.Wait()
	})
	return err
}

// DialTimeout connects to HOST:PORT from the local address.
func (b *boundedTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !b.localIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: b.localIP}
	}
	return d.DialContext(context.Background(), "tcp", address) // memberlist has no context to pass on
}

// DialAddressTimeout is DialTimeout for an address with the name of a node.
func (b *boundedTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return b.DialTimeout(a.Addr, timeout)
}
