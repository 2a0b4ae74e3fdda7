package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// maxPortAttempts is the maximum number of ports tried for a relay that may use any port.
const maxPortAttempts = 100

// Fault describes the faults injected into datagrams and streams from one member to another. The zero value injects no faults.
type Fault struct {
	Partitioned    bool          // datagrams are dropped, and streams block until the partition ends
	LossShare      float64       // share of datagrams that are dropped, from 0 to 1
	DuplicateShare float64       // share of datagrams that are sent twice, from 0 to 1
	MaxDelay       time.Duration // maximum delay of a datagram or a chunk of a stream; delays are uniformly distributed from 0
}

// direction names the sending and the receiving member.
type direction struct{ from, to string }

// Network consists of the relays of all members. Its methods are safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	changed     *sync.Cond // signalled when a fault has changed, or the network is closed
	random      *rand.Rand
	members     map[string]string   // member names by IP address
	faults      map[direction]Fault // faults of single directions, of which only Partitioned applies
	commonFault Fault               // fault that applies between all members, in addition to faults
	closers     []io.Closer         // sockets and streams to close with the network
	closed      bool
	running     sync.WaitGroup // goroutines that forward datagrams and streams
}

// New returns a network without faults. Random decisions are determined by the seed and the order in which data arrive.
func New(seed uint64) *Network {
	n := &Network{random: rand.New(rand.NewPCG(seed, 4)), members: map[string]string{}, faults: map[direction]Fault{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// SetFault replaces the fault that applies between all members. Partitions of single pairs remain.
func (n *Network) SetFault(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.commonFault = f
	n.changed.Broadcast()
}

// ChangeFault applies change to the fault between all members. It calls change with the network locked, so change must not call methods of
// the network.
func (n *Network) ChangeFault(change func(f *Fault)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.commonFault)
	n.changed.Broadcast()
}

// Partition starts or ends a partition in one direction: between each member in from as sender and each member in to as receiver.
func (n *Network) Partition(from, to []string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, sender := range from {
		for _, receiver := range to {
			n.faults[direction{from: sender, to: receiver}] = Fault{Partitioned: partitioned}
		}
	}
	n.changed.Broadcast()
}

// Heal removes all faults and partitions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	n.commonFault = Fault{}
	n.changed.Broadcast()
}

// AddMember starts a relay for the member with the given name, and returns the relay's address. The relay listens on listenAddress
// (host:port) on UDP and TCP, and forwards to the member's own address (host:port). AddMember fails if an address is invalid or the
// relay cannot listen.
//
// If listenAddress has port 0, the relay uses a port that is free for both protocols. Tests should use this instead of finding a free port
// themselves: between closing such a port and listening on it here the port can be taken, because a process that is being started holds
// copies of all sockets until its exec.
func (n *Network) AddMember(name, listenAddress, member string) (string, error) {
	forwardTo, err := net.ResolveUDPAddr("udp", member)
	if err != nil {
		return "", fmt.Errorf("relay of %s: resolve member address: %w", name, err)
	}
	datagrams, streams, err := listenUDPAndTCP(listenAddress)
	if err != nil {
		return "", fmt.Errorf("relay of %s: listen on UDP and TCP: %w", name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members[forwardTo.IP.String()] = name
	n.closers = append(n.closers, datagrams, streams)
	n.running.Go(func() { n.forwardDatagrams(name, datagrams, forwardTo) })
	n.running.Go(func() { n.acceptStreams(name, streams, member) })
	return streams.Addr().String(), nil
}

// listenUDPAndTCP listens on an address on UDP and TCP. With port 0 it tries up to maxPortAttempts ports until one is free for both.
func listenUDPAndTCP(address string) (*net.UDPConn, net.Listener, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, nil, err
	}
	for attempt := 1; ; attempt++ {
		datagrams, err := net.ListenUDP("udp", udpAddress)
		if err != nil {
			return nil, nil, err
		}
		streams, err := new(net.ListenConfig).Listen(context.Background(), "tcp", datagrams.LocalAddr().String())
		if err == nil {
			return datagrams, streams, nil
		}
		err = errors.Join(err, datagrams.Close())
		if udpAddress.Port != 0 || attempt == maxPortAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil, err
		}
	}
}

// Close stops all relays, closes their streams and waits for their goroutines. Delayed datagrams are lost.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	for _, closer := range n.closers {
		_ = closer.Close() // a stream that has ended is closed already
	}
	n.changed.Broadcast()
	n.mu.Unlock()
	n.running.Wait()
}

// isClosed reports whether Close was called.
func (n *Network) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// faultBetween returns the fault from one member to another. The caller holds n.mu.
func (n *Network) faultBetween(members direction) Fault {
	fault := n.commonFault
	fault.Partitioned = fault.Partitioned || n.faults[members].Partitioned
	return fault
}
