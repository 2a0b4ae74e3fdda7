package gossip

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// network is a virtual one: what members send one another passes through it, with faults by pair.
type network struct {
	mu    sync.Mutex
	rng   *rand.Rand
	ends  map[string]*end
	loss  float64
	late  time.Duration          // most that a packet takes
	cut   map[[2]string]bool     // from, to
	still map[string]time.Time   // until when one stands still: what comes to it and from it waits
	bytes map[string]int         // sent, by address
	tape  map[string][]recording // packets kept, to be played again
	keeps bool
}

type recording struct {
	to   string
	text []byte
}

func newNetwork(seed uint64) *network {
	return &network{
		rng: rand.New(rand.NewPCG(seed, 9)), ends: map[string]*end{}, late: 2 * time.Millisecond, cut: map[[2]string]bool{}, still: map[string]time.Time{},
		bytes: map[string]int{}, tape: map[string][]recording{},
	}
}

// apart cuts or heals what goes from some to others, one way.
func (n *network) apart(from, to []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.cut[[2]string{a, b}] = cut
		}
	}
}

func (n *network) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// end is one member's.
type end struct {
	n       *network
	address string
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  bool
}

// place is an address on it.
type place string

func (p place) Network() string { return "udp" }
func (p place) String() string  { return string(p) }

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i>>8, i&255) }

func (n *network) open(address string) (memberlist.Transport, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &end{n: n, address: address, packets: make(chan *memberlist.Packet, 4096), streams: make(chan net.Conn, 256)}
	n.ends[address] = e
	return e, nil
}

func (e *end) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	host, _, _ := net.SplitHostPort(e.address)
	return net.ParseIP(host).To4(), 7946, nil
}

func (e *end) PacketCh() <-chan *memberlist.Packet { return e.packets }
func (e *end) StreamCh() <-chan net.Conn           { return e.streams }

func (e *end) Shutdown() error {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	e.closed = true
	if e.n.ends[e.address] == e {
		delete(e.n.ends, e.address)
	}
	return nil
}

// waits is how long what goes from one to another waits for those that stand still. n.mu is held.
func (n *network) waits(from, to string) time.Duration {
	return max(0, time.Until(n.still[from]), time.Until(n.still[to]))
}

// passes tells whether something gets from one to another now. n.mu is held.
func (n *network) passes(from, to string) bool { return !n.cut[[2]string{from, to}] }

func (e *end) WriteTo(b []byte, to string) (time.Time, error) {
	n := e.n
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.bytes[e.address] += len(b)
	if e.closed || !n.passes(e.address, to) || n.rng.Float64() < n.loss {
		return now, nil
	}
	text := append([]byte(nil), b...)
	if n.keeps {
		n.tape[to] = append(n.tape[to], recording{to, text})
	}
	n.deliver(e.address, to, text)
	return now, nil
}

// deliver brings a packet after a while. n.mu is held.
func (n *network) deliver(from, to string, text []byte) {
	time.AfterFunc(n.waits(from, to)+time.Duration(n.rng.Float64()*float64(n.late)), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if o := n.ends[to]; o != nil {
			select {
			case o.packets <- &memberlist.Packet{Buf: text, From: place(from), Timestamp: time.Now()}:
			default:
			}
		}
	})
}

func (e *end) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return e.WriteTo(b, a.Addr)
}

var errUnreached = errors.New("unreached")

func (e *end) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	n := e.n
	n.mu.Lock()
	o := n.ends[to]
	wait := n.waits(e.address, to)
	passes := n.passes(e.address, to) && n.passes(to, e.address) && wait < timeout
	n.mu.Unlock()
	if passes {
		time.Sleep(wait)
	} else {
		time.Sleep(timeout)
		return nil, errUnreached
	}
	if o == nil {
		return nil, errUnreached // refused at once
	}
	time.Sleep(time.Millisecond)
	a, b := net.Pipe()
	select {
	case o.streams <- &piped{b, o, e.address}:
		return &piped{a, e, to}, nil
	default:
		return nil, errUnreached
	}
}

func (e *end) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return e.DialTimeout(a.Addr, timeout)
}

// piped is a connection of which a cut takes what is written.
type piped struct {
	net.Conn
	own *end
	to  string
}

func (p *piped) RemoteAddr() net.Addr { return place(p.to) }

func (p *piped) Write(b []byte) (int, error) {
	n := p.own.n
	n.mu.Lock()
	n.bytes[p.own.address] += len(b)
	passes := n.passes(p.own.address, p.to) && !p.own.closed
	n.mu.Unlock()
	if !passes {
		return len(b), nil
	}
	return p.Conn.Write(b)
}
