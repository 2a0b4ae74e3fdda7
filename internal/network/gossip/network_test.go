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

// defaultMaxDelay is how long a packet takes at most where nothing else is said.
const defaultMaxDelay = 2 * time.Millisecond

// network is a virtual one: what members send one another passes through it, with faults by pair.
type network struct {
	mu          sync.Mutex
	rng         *rand.Rand
	ends        map[string]*end
	loss        float64
	maxDelay    time.Duration          // of a packet
	cut         map[[2]string]bool     // from, to
	pausedUntil map[string]time.Time   // members that stand still: what comes to them and from them waits
	bytes       map[string]int         // sent, by address
	recorded    map[string][]recording // packets, to be replayed
	recording   bool
}

type recording struct {
	to   string
	text []byte
}

func newNetwork(seed uint64) *network {
	return &network{
		rng: rand.New(rand.NewPCG(seed, 9)), ends: map[string]*end{}, maxDelay: defaultMaxDelay, cut: map[[2]string]bool{}, pausedUntil: map[string]time.Time{},
		bytes: map[string]int{}, recorded: map[string][]recording{},
	}
}

// cutOff cuts what goes from some to others, one way.
func (n *network) cutOff(from, to []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.cut[[2]string{a, b}] = true
		}
	}
}

func (n *network) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// end is one member's transport.
type end struct {
	n       *network
	address string
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  bool
}

// virtualAddress is one on it.
type virtualAddress string

func (v virtualAddress) Network() string { return "udp" }
func (v virtualAddress) String() string  { return string(v) }

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

// pause is how long what goes from one to another waits for those that stand still. n.mu is held.
func (n *network) pause(from, to string) time.Duration {
	return max(0, time.Until(n.pausedUntil[from]), time.Until(n.pausedUntil[to]))
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
	if n.recording {
		n.recorded[to] = append(n.recorded[to], recording{to, text})
	}
	n.deliver(e.address, to, text)
	return now, nil
}

// deliver brings a packet after a while. n.mu is held.
func (n *network) deliver(from, to string, text []byte) {
	time.AfterFunc(n.pause(from, to)+time.Duration(n.rng.Float64()*float64(n.maxDelay)), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if other := n.ends[to]; other != nil {
			select {
			case other.packets <- &memberlist.Packet{Buf: text, From: virtualAddress(from), Timestamp: time.Now()}:
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
	other := n.ends[to]
	wait := n.pause(e.address, to)
	passes := n.passes(e.address, to) && n.passes(to, e.address) && wait < timeout
	n.mu.Unlock()
	if !passes {
		time.Sleep(timeout)
		return nil, errUnreached
	}
	time.Sleep(wait)
	if other == nil {
		return nil, errUnreached // refused at once
	}
	time.Sleep(time.Millisecond)
	a, b := net.Pipe()
	select {
	case other.streams <- &piped{b, other, e.address}:
		return &piped{a, e, to}, nil
	default:
		return nil, errUnreached
	}
}

func (e *end) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return e.DialTimeout(a.Addr, timeout)
}

// piped is a connection of which a cut drops what is written.
type piped struct {
	net.Conn
	own *end
	to  string
}

func (p *piped) RemoteAddr() net.Addr { return virtualAddress(p.to) }

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
