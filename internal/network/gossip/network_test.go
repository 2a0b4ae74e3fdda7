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

// defaultMaxDelay is the longest delay of a packet, unless a test sets another.
const defaultMaxDelay = 2 * time.Millisecond

// network is a virtual network between members, with faults per pair of members. All random numbers come from one seeded source, used
// with mu held.
type network struct {
	mu          sync.Mutex
	rng         *rand.Rand
	transports  map[string]*virtualTransport // transports of the running members, by address
	loss        float64                      // fraction of packets that are lost
	maxDelay    time.Duration                // longest delay of a packet
	partitioned map[[2]string]bool           // pairs of source and destination between which everything is dropped
	pausedUntil map[string]time.Time         // ends of members' pauses, by address; packets to and from a paused member wait
	bytes       map[string]int               // number of bytes sent, by source address
	recorded    map[string][]recordedPacket  // packets to replay, by destination
	recording   bool                         // whether packets are recorded
}

// recordedPacket is a packet for a later replay.
type recordedPacket struct {
	to     string
	packet []byte
}

func newNetwork(seed uint64) *network {
	return &network{
		rng:         rand.New(rand.NewPCG(seed, 9)),
		transports:  map[string]*virtualTransport{},
		maxDelay:    defaultMaxDelay,
		partitioned: map[[2]string]bool{},
		pausedUntil: map[string]time.Time{},
		bytes:       map[string]int{},
		recorded:    map[string][]recordedPacket{},
	}
}

// partition drops everything that is sent from some members to others, in this direction only.
func (n *network) partition(from, to []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.partitioned[[2]string{a, b}] = true
		}
	}
}

// update calls f with n.mu held, so that f can access the network's fields.
func (n *network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// remove disconnects a member's transport from the network: everything that it sends from now on is dropped.
func (n *network) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v := n.transports[address]; v != nil {
		v.closed = true
		delete(n.transports, address)
	}
}

// virtualTransport is one member's transport on the virtual network.
type virtualTransport struct {
	network *network
	address string
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  bool // whether everything sent is dropped; guarded by network.mu
}

// virtualAddress is an address on the virtual network.
type virtualAddress string

func (v virtualAddress) Network() string { return "udp" }
func (v virtualAddress) String() string  { return string(v) }

// address returns the address of member i.
func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i>>8, i&255) }

// open adds a member's transport to the network.
func (n *network) open(address string) (memberlist.Transport, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := &virtualTransport{
		network: n,
		address: address,
		packets: make(chan *memberlist.Packet, 4096),
		streams: make(chan net.Conn, 256),
	}
	n.transports[address] = v
	return v, nil
}

func (v *virtualTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	host, _, _ := net.SplitHostPort(v.address)
	return net.ParseIP(host).To4(), 7946, nil
}

func (v *virtualTransport) PacketCh() <-chan *memberlist.Packet { return v.packets }
func (v *virtualTransport) StreamCh() <-chan net.Conn           { return v.streams }

func (v *virtualTransport) Shutdown() error {
	n := v.network
	n.mu.Lock()
	defer n.mu.Unlock()
	v.closed = true
	if n.transports[v.address] == v {
		delete(n.transports, v.address)
	}
	return nil
}

// pauseDelay returns for how long packets between two members are delayed because one of them is paused. The caller holds n.mu.
func (n *network) pauseDelay(from, to string) time.Duration {
	return max(0, time.Until(n.pausedUntil[from]), time.Until(n.pausedUntil[to]))
}

// connected reports whether no partition drops what is sent from one member to another. The caller holds n.mu.
func (n *network) connected(from, to string) bool { return !n.partitioned[[2]string{from, to}] }

func (v *virtualTransport) WriteTo(b []byte, to string) (time.Time, error) {
	n := v.network
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.bytes[v.address] += len(b)
	if v.closed || !n.connected(v.address, to) || n.rng.Float64() < n.loss {
		return now, nil
	}
	packet := append([]byte(nil), b...)
	if n.recording {
		n.recorded[to] = append(n.recorded[to], recordedPacket{to, packet})
	}
	n.deliver(v.address, to, packet)
	return now, nil
}

// deliver delivers a packet after a random delay. It drops the packet if the receiver has been removed or its queue is full by then. The
// caller holds n.mu.
func (n *network) deliver(from, to string, packet []byte) {
	time.AfterFunc(n.pauseDelay(from, to)+time.Duration(n.rng.Float64()*float64(n.maxDelay)), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if other := n.transports[to]; other != nil {
			select {
			case other.packets <- &memberlist.Packet{Buf: packet, From: virtualAddress(from), Timestamp: time.Now()}:
			default:
			}
		}
	})
}

func (v *virtualTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return v.WriteTo(b, a.Addr)
}

var errUnreachable = errors.New("member is unreachable")

func (v *virtualTransport) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	n := v.network
	n.mu.Lock()
	other := n.transports[to]
	wait := n.pauseDelay(v.address, to)
	connected := n.connected(v.address, to) && n.connected(to, v.address) && wait < timeout
	n.mu.Unlock()
	if !connected {
		time.Sleep(timeout)
		return nil, errUnreachable
	}
	time.Sleep(wait)
	if other == nil {
		return nil, errUnreachable // the connection is refused immediately
	}
	time.Sleep(time.Millisecond)
	near, far := net.Pipe()
	select {
	case other.streams <- &virtualConn{far, other, v.address}:
		return &virtualConn{near, v, to}, nil
	default:
		return nil, errUnreachable
	}
}

func (v *virtualTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return v.DialTimeout(a.Addr, timeout)
}

// virtualConn is a connection that drops what is written to it while a partition separates its ends.
type virtualConn struct {
	net.Conn
	transport *virtualTransport
	to        string
}

func (v *virtualConn) RemoteAddr() net.Addr { return virtualAddress(v.to) }

func (v *virtualConn) Write(b []byte) (int, error) {
	n := v.transport.network
	n.mu.Lock()
	n.bytes[v.transport.address] += len(b)
	connected := n.connected(v.transport.address, v.to) && !v.transport.closed
	n.mu.Unlock()
	if !connected {
		return len(b), nil
	}
	return v.Conn.Write(b)
}
