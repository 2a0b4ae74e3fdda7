package gossip

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// mostStreams bounds the connections from others: they come out of the few sockets that a sidecar keeps for itself, and anybody
// who reaches the port can open some. Those beyond it are closed; whoever is a member comes again.
const mostStreams = 8

// bound is memberlist's network, with few connections from others at once. Its own come from the address that it listens on: the
// others may let in no other, and a machine may have several.
type bound struct {
	*memberlist.NetTransport
	from    net.IP
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once

	mu   sync.Mutex
	open int
}

func newBound(t *memberlist.NetTransport, from net.IP) *bound {
	b := &bound{NetTransport: t, from: from, streams: make(chan net.Conn), done: make(chan struct{})}
	go b.take()
	return b
}

// take passes connections on as long as there is room.
func (b *bound) take() {
	for {
		select {
		case c := <-b.NetTransport.StreamCh():
			if !b.enter() {
				c.Close()
				continue
			}
			select {
			case b.streams <- &stream{Conn: c, leave: b.leave}:
			case <-b.done:
				c.Close()
				return
			}
		case <-b.done:
			return
		}
	}
}

func (b *bound) enter() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= mostStreams {
		return false
	}
	b.open++
	return true
}

func (b *bound) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
}

// stream is one connection from another; memberlist closes it, maybe twice.
type stream struct {
	net.Conn
	once  sync.Once
	leave func()
}

func (s *stream) Close() error {
	defer s.once.Do(s.leave)
	return s.Conn.Close()
}

func (b *bound) StreamCh() <-chan net.Conn { return b.streams }

func (b *bound) Shutdown() error {
	b.once.Do(func() { close(b.done) })
	return b.NetTransport.Shutdown()
}

func (b *bound) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !b.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: b.from}
	}
	return d.Dial("tcp", address)
}

func (b *bound) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return b.DialTimeout(a.Addr, timeout)
}
