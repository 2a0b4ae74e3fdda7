package gossip

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxInboundStreams bounds the inbound connections. They use the few sockets that a sidecar reserves for itself, and anyone who can reach
// the port can open connections. Those above the bound are closed; a member connects again later.
const maxInboundStreams = 8

// boundedTransport is memberlist's network transport with a bound on inbound connections. Outbound connections originate from the address
// that it listens on: a machine may have several addresses, and the firewalls of other members may accept only that one.
type boundedTransport struct {
	*memberlist.NetTransport
	localIP net.IP
	streams chan net.Conn

	shutdownOnce    sync.Once
	done            chan struct{} // closed when connections are no longer handed over to memberlist
	listenersClosed chan struct{} // closed when no listener can accept any more connections
	accepting       sync.WaitGroup

	mu          sync.Mutex
	openStreams int
}

// newBoundedTransport wraps a transport and takes ownership of it. Shutdown shuts down both.
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

// acceptStreams forwards connections to memberlist while the bound permits, and closes the others. It runs until all listeners are closed,
// since a listener that is blocked on passing on a connection would block Shutdown.
func (b *boundedTransport) acceptStreams() {
	for {
		select {
		case c := <-b.NetTransport.StreamCh():
			if !b.forward(c) {
				_ = c.Close() // nothing was sent on it
			}
		case <-b.listenersClosed:
			return
		}
	}
}

// forward hands a connection over to memberlist. It returns false if the bound is reached, or after Shutdown.
func (b *boundedTransport) forward(c net.Conn) bool {
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

// reserve reserves a slot for one connection. It returns false if the bound is reached.
func (b *boundedTransport) reserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openStreams >= maxInboundStreams {
		return false
	}
	b.openStreams++
	return true
}

// release releases the slot of one connection.
func (b *boundedTransport) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.openStreams--
}

// stream is one inbound connection. memberlist may close it twice; its slot is released once.
type stream struct {
	net.Conn
	closeOnce sync.Once
	release   func()
}

// Close closes the connection and releases its slot.
func (s *stream) Close() error {
	defer s.closeOnce.Do(s.release)
	return s.Conn.Close()
}

// StreamCh returns the channel of the accepted inbound connections.
func (b *boundedTransport) StreamCh() <-chan net.Conn { return b.streams }

// Shutdown shuts the transport down and waits until its goroutine has ended. A second call does nothing.
func (b *boundedTransport) Shutdown() (err error) {
	b.shutdownOnce.Do(func() {
		close(b.done)
		err = b.NetTransport.Shutdown()
		close(b.listenersClosed)
		b.accepting.Wait()
	})
	return err
}

// DialTimeout connects to an address, host:port, from the local address.
func (b *boundedTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !b.localIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: b.localIP}
	}
	return d.DialContext(context.Background(), "tcp", address) // memberlist has no context to pass on
}

// DialAddressTimeout is like DialTimeout, for an address that comes with a node name, which it ignores.
func (b *boundedTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return b.DialTimeout(a.Addr, timeout)
}
