// Package relay is a network between processes on loopback, that does to what they send one another what networks do: it
// cuts, in one direction or both, loses, doubles, delays and so reorders, by pair of members. Each member listens at an IP
// address of 127.0.0.0/8 of its own, by which it is known as a sender too, and tells the others the address of its relay.
package relay

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is what happens to what one member sends another.
type Fault struct {
	Cut    bool
	Loss   float64       // share of datagrams that are lost,
	Double float64       // and that come twice
	Late   time.Duration // the most that a datagram, or a piece of a stream, is delayed
}

// Net is the network. Its methods may be called by several goroutines.
type Net struct {
	mu      sync.Mutex
	changed *sync.Cond // a fault has, or all is over
	rng     *rand.Rand
	names   map[string]string // members by IP address
	faults  map[[2]string]Fault
	all     Fault
	closers []io.Closer
	closed  bool
	running sync.WaitGroup
}

// New is a network without faults. What is left to chance follows the seed, in the order in which things come.
func New(seed uint64) *Net {
	n := &Net{rng: rand.New(rand.NewPCG(seed, 4)), names: map[string]string{}, faults: map[[2]string]Fault{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Set has faults between all, beside those of single pairs.
func (n *Net) Set(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all = f
	n.changed.Broadcast()
}

// Change changes the faults between all.
func (n *Net) Change(how func(f *Fault)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	how(&n.all)
	n.changed.Broadcast()
}

// Cut cuts, or heals, what some send to others.
func (n *Net) Cut(from, to []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.faults[[2]string{a, b}] = Fault{Cut: cut}
		}
	}
	n.changed.Broadcast()
}

// Heal ends all faults.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	n.all = Fault{}
	n.changed.Broadcast()
}

// Join puts a relay at one address before a member that listens at another, on UDP and TCP.
func (n *Net) Join(name, front, member string) error {
	at, err := net.ResolveUDPAddr("udp", front)
	if err != nil {
		return err
	}
	to, err := net.ResolveUDPAddr("udp", member)
	if err != nil {
		return err
	}
	datagrams, err := net.ListenUDP("udp", at)
	if err != nil {
		return err
	}
	streams, err := net.Listen("tcp", front)
	if err != nil {
		datagrams.Close()
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[to.IP.String()] = name
	n.closers = append(n.closers, datagrams, streams)
	n.running.Go(func() { n.datagrams(name, datagrams, to) })
	n.running.Go(func() { n.streams(name, streams, member) })
	return nil
}

// Close ends all relays.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	for _, c := range n.closers {
		c.Close()
	}
	n.changed.Broadcast()
	n.mu.Unlock()
	n.running.Wait()
}

// fault is what happens now from one member to another. n.mu is held.
func (n *Net) fault(from, to string) Fault {
	f := n.all
	f.Cut = f.Cut || n.faults[[2]string{from, to}].Cut
	return f
}

func (n *Net) datagrams(name string, c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := c.ReadFromUDP(buf)
		if err != nil {
			n.mu.Lock()
			over := n.closed
			n.mu.Unlock()
			if over {
				return
			}
			continue // refused by a member that is dead
		}
		n.mu.Lock()
		f, times := n.fault(n.names[from.IP.String()], name), 1
		if f.Cut || n.rng.Float64() < f.Loss {
			times = 0
		} else if n.rng.Float64() < f.Double {
			times = 2
		}
		for range times {
			text := append([]byte(nil), buf[:size]...)
			late := time.Duration(n.rng.Float64() * float64(f.Late))
			if late == 0 {
				c.WriteToUDP(text, to)
				continue
			}
			time.AfterFunc(late, func() { c.WriteToUDP(text, to) })
		}
		n.mu.Unlock()
	}
}

func (n *Net) streams(name string, l net.Listener, member string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.running.Go(func() { n.stream(name, c, member) })
	}
}

func (n *Net) stream(name string, c net.Conn, member string) {
	defer c.Close()
	to, err := net.DialTimeout("tcp", member, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closers = append(n.closers, c, to)
	from := n.names[c.RemoteAddr().(*net.TCPAddr).IP.String()]
	n.mu.Unlock()
	back := make(chan struct{})
	go func() {
		defer close(back)
		n.copy(c, to, func() Fault { return n.fault(name, from) })
		c.Close()
	}()
	n.copy(to, c, func() Fault { return n.fault(from, name) })
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	<-back
}

// copy passes pieces on; while there is a cut they wait, as they would for being sent again.
func (n *Net) copy(to io.Writer, from io.Reader, fault func() Fault) {
	buf := make([]byte, 16<<10)
	for {
		size, err := from.Read(buf)
		if size > 0 {
			n.mu.Lock()
			f := fault()
			for f.Cut && !n.closed {
				n.changed.Wait()
				f = fault()
			}
			late := time.Duration(n.rng.Float64() * float64(f.Late))
			n.mu.Unlock()
			time.Sleep(late)
			if _, err := to.Write(buf[:size]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
