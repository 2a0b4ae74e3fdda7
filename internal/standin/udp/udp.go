// Package udp is a relay for UDP on loopback that injects the faults of networks between clients and one server: it loses,
// delays, reorders and duplicates datagrams, shrinks the path's MTU, gives a client another port in mid-flight (as a NAT does),
// and can record what clients send and replay it from a port of its own.
package udp

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// maxDatagram is how long a datagram can be, in bytes.
const maxDatagram = 64 << 10

// Fault is what happens to datagrams, in both directions unless a field says otherwise. Shares are from 0 to 1.
type Fault struct {
	LossShare      float64
	DuplicateShare float64
	ReorderShare   float64       // share that is delayed by Delay more than the others, and a millisecond
	Delay          time.Duration // of each
	MTU            int           // in bytes; longer datagrams are lost; 0 for no bound
	Blackhole      bool          // all are lost
	DropReplies    bool          // all from the server are lost
}

// Relay relays datagrams between clients and one server. Its methods may be called by several goroutines.
type Relay struct {
	server *net.UDPAddr
	front  *net.UDPConn // clients send here

	mu        sync.Mutex
	fault     Fault
	random    *rand.Rand
	flows     map[string]*flow // by the client's address
	recording bool
	recorded  [][]byte
	received  int // datagrams from clients
	closed    bool
	running   sync.WaitGroup // what reads sockets, and datagrams that are delayed
}

// flow is one client, as the server sees it.
type flow struct {
	client   *net.UDPAddr
	upstream *net.UDPConn // to the server
}

// Start relays from a free loopback port to a server. Random draws follow the seed, in the order in which datagrams come.
func Start(server string, seed uint64) (*Relay, error) { return StartAt("127.0.0.1:0", server, seed) }

// StartAt is Start at an address.
func StartAt(address, server string, seed uint64) (*Relay, error) {
	listenAt, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	forwardTo, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	front, err := net.ListenUDP("udp", listenAt)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{server: forwardTo, front: front, random: rand.New(rand.NewPCG(seed, 1)), flows: map[string]*flow{}}
	r.running.Go(r.forwardRequests)
	return r, nil
}

// Address returns the host:port where clients send.
func (r *Relay) Address() string { return r.front.LocalAddr().String() }

// SetFault changes what happens to datagrams from now on.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Received returns how many datagrams clients have sent.
func (r *Relay) Received() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received
}

// StartRecording keeps a copy of what clients send from now on.
func (r *Relay) StartRecording() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recording = true
	r.recorded = nil
}

// StopRecording ends the recording, and returns the datagrams in their order.
func (r *Relay) StopRecording() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recording = false
	return r.recorded
}

// Replay sends datagrams to the server from a new port, as whoever recorded them can; answers are dropped.
func (r *Relay) Replay(datagrams [][]byte) (err error) {
	conn, err := net.DialUDP("udp", nil, r.server)
	if err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	defer func() { err = errors.Join(err, conn.Close()) }()
	for _, datagram := range datagrams {
		if _, err := conn.Write(datagram); err != nil {
			return fmt.Errorf("replay: %w", err)
		}
	}
	return nil
}

// Rebind gives each client another port towards the server, like a NAT that has lost its table. Datagrams to the old port are lost.
func (r *Relay) Rebind() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeFlows()
	clear(r.flows)
}

// closeFlows closes the sockets towards the server. The caller holds r.mu.
func (r *Relay) closeFlows() {
	for _, f := range r.flows {
		_ = f.upstream.Close() // a UDP socket has nothing to lose
	}
}

// Close ends the relay, once delayed datagrams are out.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.closeFlows()
	r.mu.Unlock()
	_ = r.front.Close() // a UDP socket has nothing to lose
	r.running.Wait()
}

// flowOf returns the flow of a client, a new one if it has none; nil if there can be none.
func (r *Relay) flowOf(client *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[client.String()]
	if f == nil && !r.closed {
		upstream, err := net.DialUDP("udp", nil, r.server)
		if err != nil {
			return nil
		}
		f = &flow{client, upstream}
		r.flows[client.String()] = f
		r.running.Go(func() { r.forwardReplies(f) })
	}
	return f
}

// forwardRequests passes on what clients send, until the relay is closed.
func (r *Relay) forwardRequests() {
	buffer := make([]byte, maxDatagram)
	for {
		size, client, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			if r.isClosed() {
				return
			}
			continue // a client's port that is gone makes itself known here
		}
		r.noteRequest(buffer[:size])
		if f := r.flowOf(client); f != nil {
			r.forward(buffer[:size], false, func(datagram []byte) {
				_, _ = f.upstream.Write(datagram) // one that can't be sent is lost, as on any network
			})
		}
	}
}

// noteRequest counts a datagram of a client, and keeps a copy while a recording is on.
func (r *Relay) noteRequest(datagram []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received++
	if r.recording {
		r.recorded = append(r.recorded, bytes.Clone(datagram))
	}
}

// forwardReplies passes on what the server sends to one client, until the flow or the relay is closed.
func (r *Relay) forwardReplies(f *flow) {
	buffer := make([]byte, maxDatagram)
	for {
		size, err := f.upstream.Read(buffer)
		if err != nil {
			if !r.isCurrent(f) {
				return
			}
			time.Sleep(time.Millisecond) // the server's port is gone for now
			continue
		}
		r.forward(buffer[:size], true, func(datagram []byte) {
			_, _ = r.front.WriteToUDP(datagram, f.client) // one that can't be sent is lost, as on any network
		})
	}
}

func (r *Relay) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// isCurrent reports whether a flow is in use.
func (r *Relay) isCurrent(f *flow) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.closed && r.flows[f.client.String()] == f
}

// forward sends a datagram, with what the fault does to it. The datagram may be overwritten afterwards.
func (r *Relay) forward(datagram []byte, reply bool, send func([]byte)) {
	r.mu.Lock()
	fault := r.fault
	lost := fault.dropsAll(datagram, reply) || r.random.Float64() < fault.LossShare
	reordered := r.random.Float64() < fault.ReorderShare
	duplicated := r.random.Float64() < fault.DuplicateShare
	r.mu.Unlock()
	if lost {
		return
	}
	delay := fault.Delay
	if reordered {
		delay += fault.Delay + time.Millisecond
	}
	times := 1
	if duplicated {
		times = 2
	}
	if delay == 0 {
		for range times {
			send(datagram)
		}
		return
	}
	copied := bytes.Clone(datagram)
	r.running.Add(1)
	time.AfterFunc(delay, func() {
		defer r.running.Done()
		for range times {
			send(copied)
		}
	})
}

// dropsAll reports whether a datagram is lost whatever the shares are.
func (f *Fault) dropsAll(datagram []byte, reply bool) bool {
	return f.Blackhole || f.DropReplies && reply || f.MTU > 0 && len(datagram) > f.MTU
}
