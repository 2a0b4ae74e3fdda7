package gossip

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxInboundStreams bounds the connections from others. They take from the few sockets that a sidecar keeps for itself, and
// whoever reaches the port can open some. Those beyond it are closed; a member comes again.
const maxInboundStreams = 8

// boundedTransport is memberlist's network with a bound on connections from others. Its own connections come from the address that
// it listens on: the others may let in no other, and a machine may have several.
type boundedTransport struct {
	*memberlist.NetTransport
	localIP net.IP
	streams chan net.Conn

	shutdownOnce    sync.Once
	done            chan struct{} // no connection is passed on any more
	listenersClosed chan struct{} // none comes any more
	accepting       sync.WaitGroup

	mu   sync.Mutex
	open int
}

// newBoundedTransport takes over a transport. Shutdown ends it.
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

// acceptStreams passes connections on as long as there is room, and closes the others. It goes on until no more come: a listener
// that waits to hand one over would keep Shutdown waiting.
func (b *boundedTransport) acceptStreams() {
	for {
		select {
		case c := <-b.NetTransport.StreamCh():
			if !b.pass(c) {
				_ = c.Close() // nobody has used it: there is nothing that an error could lose
			}
		case <-b.listenersClosed:
			return
		}
	}
}

// pass hands a connection over to memberlist; false if there is no room for it, or after Shutdown.
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

// reserve takes room for one connection; false if there is none.
func (b *boundedTransport) reserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= maxInboundStreams {
		return false
	}
	b.open++
	return true
}

// release gives the room of one connection back.
func (b *boundedTransport) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
}

// stream is one connection from another member. memberlist may close it twice; its room is given back once.
type stream struct {
	net.Conn
	closeOnce sync.Once
	release   func()
}

// Close closes the connection and gives its room back.
func (s *stream) Close() error {
	defer s.closeOnce.Do(s.release)
	return s.Conn.Close()
}

// StreamCh passes on the connections from others that there is room for.
func (b *boundedTransport) StreamCh() <-chan net.Conn { return b.streams }

// Shutdown ends the transport, and waits until it has. A second call does nothing.
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
