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

// maxPortAttempts bounds how many ports are tried for a relay that takes any.
const maxPortAttempts = 100

// Fault is what happens to datagrams and streams from one member to another.
type Fault struct {
	Partitioned    bool          // nothing gets through
	LossShare      float64       // of datagrams, from 0 to 1
	DuplicateShare float64       // of datagrams, from 0 to 1
	MaxDelay       time.Duration // of a datagram, or a chunk of a stream; delays are drawn evenly from 0 up
}

// direction is a pair of members: who sends, and who receives.
type direction struct{ from, to string }

// Network is the relays of all members. Its methods may be called by several goroutines.
type Network struct {
	mu      sync.Mutex
	changed *sync.Cond // signalled when a fault has changed, or the network is closed
	random  *rand.Rand
	members map[string]string // names by IP address
	faults  map[direction]Fault
	common  Fault // between all members, beside faults
	closers []io.Closer
	closed  bool
	running sync.WaitGroup
}

// New returns a network without faults. Random draws follow the seed, in the order in which data come.
func New(seed uint64) *Network {
	n := &Network{random: rand.New(rand.NewPCG(seed, 4)), members: map[string]string{}, faults: map[direction]Fault{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// SetFault sets the fault between all members, beside the partitions of single pairs.
func (n *Network) SetFault(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.common = f
	n.changed.Broadcast()
}

// ChangeFault changes the fault between all members. The function is called at once, and must not call the network.
func (n *Network) ChangeFault(change func(f *Fault)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.common)
	n.changed.Broadcast()
}

// Partition begins or ends a partition in one direction: nothing gets from some members to others.
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

// Heal ends all faults and partitions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	n.common = Fault{}
	n.changed.Broadcast()
}

// AddMember starts a relay at one address (host:port) for a member that listens at another, on UDP and TCP, and returns the relay's
// address. With port 0 the relay takes a port that is free for both protocols: a test that looks for a free port by itself, closes it
// and then names it here can lose it in between, as a process that is being started holds copies of all sockets until its exec.
func (n *Network) AddMember(name, front, member string) (string, error) {
	forwardTo, err := net.ResolveUDPAddr("udp", member)
	if err != nil {
		return "", fmt.Errorf("relay of %s: %w", name, err)
	}
	datagrams, streams, err := listenBoth(front)
	if err != nil {
		return "", fmt.Errorf("relay of %s: %w", name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members[forwardTo.IP.String()] = name
	n.closers = append(n.closers, datagrams, streams)
	n.running.Go(func() { n.forwardDatagrams(name, datagrams, forwardTo) })
	n.running.Go(func() { n.acceptStreams(name, streams, member) })
	return streams.Addr().String(), nil
}

// listenBoth listens at an address on UDP and TCP. With port 0 it tries ports until one is free for both.
func listenBoth(address string) (*net.UDPConn, net.Listener, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, nil, err
	}
	for attempt := 1; ; attempt++ {
		datagrams, err := net.ListenUDP("udp", at)
		if err != nil {
			return nil, nil, err
		}
		streams, err := new(net.ListenConfig).Listen(context.Background(), "tcp", datagrams.LocalAddr().String())
		if err == nil {
			return datagrams, streams, nil
		}
		err = errors.Join(err, datagrams.Close())
		if at.Port != 0 || attempt == maxPortAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil, err
		}
	}
}

// Close ends all relays and their streams, and waits for their goroutines; datagrams that are delayed are lost.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	for _, closer := range n.closers {
		_ = closer.Close() // a stream may have been closed by its end before
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
	fault := n.common
	fault.Partitioned = fault.Partitioned || n.faults[members].Partitioned
	return fault
}
