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
	Partitioned    bool
	LossShare      float64       // share of datagrams that are lost,
	DuplicateShare float64       // and that come twice
	MaxDelay       time.Duration // the most that a datagram, or a piece of a stream, is delayed
}

// Network is the network. Its methods may be called by several goroutines.
type Network struct {
	mu      sync.Mutex
	changed *sync.Cond // a fault has, or all is over
	random  *rand.Rand
	members map[string]string // members by IP address
	faults  map[[2]string]Fault
	common  Fault
	closers []io.Closer
	closed  bool
	running sync.WaitGroup
}

// New is a network without faults. What is left to chance follows the seed, in the order in which things come.
func New(seed uint64) *Network {
	n := &Network{random: rand.New(rand.NewPCG(seed, 4)), members: map[string]string{}, faults: map[[2]string]Fault{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// SetFault has faults between all, beside those of single pairs.
func (n *Network) SetFault(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.common = f
	n.changed.Broadcast()
}

// ChangeFault changes the faults between all.
func (n *Network) ChangeFault(how func(f *Fault)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	how(&n.common)
	n.changed.Broadcast()
}

// Partition cuts, or heals, what some send to others.
func (n *Network) Partition(from, to []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.faults[[2]string{a, b}] = Fault{Partitioned: cut}
		}
	}
	n.changed.Broadcast()
}

// Heal ends all faults.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	n.common = Fault{}
	n.changed.Broadcast()
}

// AddMember puts a relay at one address before a member that listens at another, on UDP and TCP.
func (n *Network) AddMember(name, front, member string) error {
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
	n.members[to.IP.String()] = name
	n.closers = append(n.closers, datagrams, streams)
	n.running.Go(func() { n.forwardDatagrams(name, datagrams, to) })
	n.running.Go(func() { n.acceptStreams(name, streams, member) })
	return nil
}

// Close ends all relays.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	for _, c := range n.closers {
		c.Close()
	}
	n.changed.Broadcast()
	n.mu.Unlock()
	n.running.Wait()
}

// faultBetween is what happens now from one member to another. n.mu is held.
func (n *Network) faultBetween(from, to string) Fault {
	f := n.common
	f.Partitioned = f.Partitioned || n.faults[[2]string{from, to}].Partitioned
	return f
}

func (n *Network) forwardDatagrams(name string, c *net.UDPConn, to *net.UDPAddr) {
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
		f, times := n.faultBetween(n.members[from.IP.String()], name), 1
		if f.Partitioned || n.random.Float64() < f.LossShare {
			times = 0
		} else if n.random.Float64() < f.DuplicateShare {
			times = 2
		}
		for range times {
			text := append([]byte(nil), buf[:size]...)
			late := time.Duration(n.random.Float64() * float64(f.MaxDelay))
			if late == 0 {
				c.WriteToUDP(text, to)
				continue
			}
			time.AfterFunc(late, func() { c.WriteToUDP(text, to) })
		}
		n.mu.Unlock()
	}
}

func (n *Network) acceptStreams(name string, l net.Listener, member string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.running.Go(func() { n.forwardStream(name, c, member) })
	}
}

func (n *Network) forwardStream(name string, c net.Conn, member string) {
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
	from := n.members[c.RemoteAddr().(*net.TCPAddr).IP.String()]
	n.mu.Unlock()
	back := make(chan struct{})
	go func() {
		defer close(back)
		n.copyChunks(c, to, func() Fault { return n.faultBetween(name, from) })
		c.Close()
	}()
	n.copyChunks(to, c, func() Fault { return n.faultBetween(from, name) })
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	<-back
}

// copyChunks passes pieces on; while there is a cut they wait, as they would for being sent again.
func (n *Network) copyChunks(to io.Writer, from io.Reader, fault func() Fault) {
	buf := make([]byte, 16<<10)
	for {
		size, err := from.Read(buf)
		if size > 0 {
			n.mu.Lock()
			f := fault()
			for f.Partitioned && !n.closed {
				n.changed.Wait()
				f = fault()
			}
			late := time.Duration(n.random.Float64() * float64(f.MaxDelay))
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
