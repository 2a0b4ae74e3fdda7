package gossip

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxInboundStreams bounds the connections from others: they come out of the few sockets that a sidecar keeps for itself, and anybody
// who reaches the port can open some. Those beyond it are closed; whoever is a member comes again.
const maxInboundStreams = 8

// boundedTransport is memberlist's network, with few connections from others at once. Its own come from the address that it listens on: the
// others may let in no other, and a machine may have several.
type boundedTransport struct {
	*memberlist.NetTransport
	localIP net.IP
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once

	mu   sync.Mutex
	open int
}

func newBoundedTransport(t *memberlist.NetTransport, from net.IP) *boundedTransport {
	b := &boundedTransport{NetTransport: t, localIP: from, streams: make(chan net.Conn), done: make(chan struct{})}
	go b.acceptStreams()
	return b
}

// acceptStreams passes connections on as long as there is room.
func (b *boundedTransport) acceptStreams() {
	for {
		select {
		case c := <-b.NetTransport.StreamCh():
			if !b.reserve() {
				c.Close()
				continue
			}
			select {
			case b.streams <- &stream{Conn: c, release: b.release}:
			case <-b.done:
				c.Close()
				return
			}
		case <-b.done:
			return
		}
	}
}

func (b *boundedTransport) reserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= maxInboundStreams {
		return false
	}
	b.open++
	return true
}

func (b *boundedTransport) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
}

// stream is one connection from another; memberlist closes it, maybe twice.
type stream struct {
	net.Conn
	once    sync.Once
	release func()
}

func (s *stream) Close() error {
	defer s.once.Do(s.release)
	return s.Conn.Close()
}

func (b *boundedTransport) StreamCh() <-chan net.Conn { return b.streams }

func (b *boundedTransport) Shutdown() error {
	b.once.Do(func() { close(b.done) })
	return b.NetTransport.Shutdown()
}

func (b *boundedTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !b.localIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: b.localIP}
	}
	return d.Dial("tcp", address)
}

func (b *boundedTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return b.DialTimeout(a.Addr, timeout)
}
