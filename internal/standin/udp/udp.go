// Package udp provides a UDP relay on loopback that injects network faults between clients and one server. It drops, delays,
// reorders and duplicates datagrams, lowers the path MTU, and changes the source port of clients during a connection (as a NAT
// can). It can also record the datagrams of clients and replay them from a separate port.
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

// maxDatagram is the maximum length of a datagram, in bytes.
const maxDatagram = 64 << 10

// Fault describes the faults injected into datagrams, in both directions unless a field says otherwise. Shares are from 0 to 1. The
// zero value injects no faults.
type Fault struct {
	LossShare      float64       // share of datagrams that are dropped
	DuplicateShare float64       // share of datagrams that are sent twice
	ReorderShare   float64       // share of datagrams that are delayed by an additional Delay plus one millisecond
	Delay          time.Duration // delay of each datagram
	MTU            int           // maximum length in bytes, above which datagrams are dropped; 0 for no limit
	Blackhole      bool          // all datagrams are dropped
	DropReplies    bool          // all datagrams from the server are dropped
}

// Relay relays datagrams between clients and one server. Its methods are safe for concurrent use.
type Relay struct {
	server       *net.UDPAddr
	clientSocket *net.UDPConn // socket to which clients send

	mu        sync.Mutex
	fault     Fault
	random    *rand.Rand
	flows     map[string]*flow // current flows by client address
	recording bool
	recorded  [][]byte // datagrams from clients since StartRecording
	received  int      // number of datagrams from clients
	closed    bool
	running   sync.WaitGroup // goroutines that read from sockets, and datagrams that are delayed
}

// flow is the association of a client with the socket that the server sees as its source.
type flow struct {
	client   *net.UDPAddr
	upstream *net.UDPConn // socket connected to the server
}

// Start starts a relay from a free loopback port to server (host:port). Random decisions are determined by the seed and the order in
// which datagrams arrive. It fails if the address is invalid or the relay cannot listen.
func Start(server string, seed uint64) (*Relay, error) { return StartAt("127.0.0.1:0", server, seed) }

// StartAt is like Start, but listens on address (host:port).
func StartAt(address, server string, seed uint64) (*Relay, error) {
	listenAt, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("UDP relay: resolve listen address: %w", err)
	}
	forwardTo, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, fmt.Errorf("UDP relay: resolve server address: %w", err)
	}
	clientSocket, err := net.ListenUDP("udp", listenAt)
	if err != nil {
		return nil, fmt.Errorf("UDP relay: %w", err)
	}
	r := &Relay{server: forwardTo, clientSocket: clientSocket, random: rand.New(rand.NewPCG(seed, 1)), flows: map[string]*flow{}}
	r.running.Go(r.forwardRequests)
	return r, nil
}

// Address returns the host:port to which clients send.
func (r *Relay) Address() string { return r.clientSocket.LocalAddr().String() }

// SetFault replaces the fault that applies to datagrams from now on.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Received returns the number of datagrams received from clients.
func (r *Relay) Received() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received
}

// StartRecording discards any earlier recording, and records the datagrams that clients send from now on.
func (r *Relay) StartRecording() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recording = true
	r.recorded = nil
}

// StopRecording ends the recording and returns the recorded datagrams in order of arrival.
func (r *Relay) StopRecording() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recording = false
	return r.recorded
}

// Replay sends datagrams to the server from a new port, like an attacker who has captured them. Replies are discarded.
func (r *Relay) Replay(datagrams [][]byte) (err error) {
	conn, err := net.DialUDP("udp", nil, r.server)
	if err != nil {
		return fmt.Errorf("replay datagrams: %w", err)
	}
	defer func() { err = errors.Join(err, conn.Close()) }()
	for _, datagram := range datagrams {
		if _, err := conn.Write(datagram); err != nil {
			return fmt.Errorf("replay datagram: %w", err)
		}
	}
	return nil
}

// Rebind makes each client appear to the server at a new port, like a NAT that has lost its table. Datagrams to the old ports are lost.
func (r *Relay) Rebind() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeFlows()
	clear(r.flows)
}

// closeFlows closes the sockets to the server. The caller holds r.mu.
func (r *Relay) closeFlows() {
	for _, f := range r.flows {
		_ = f.upstream.Close() // an error is harmless: a UDP socket holds no data to lose
	}
}

// Close stops the relay, and waits until delayed datagrams have been processed.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.closeFlows()
	r.mu.Unlock()
	_ = r.clientSocket.Close() // an error is harmless: a UDP socket holds no data to lose
	r.running.Wait()
}

// getOrCreateFlow returns the flow of a client, which it creates if needed. It returns nil if the relay is closed or has no socket for it.
func (r *Relay) getOrCreateFlow(client *net.UDPAddr) *flow {
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

// forwardRequests forwards datagrams from clients to the server, until the relay is closed.
func (r *Relay) forwardRequests() {
	buffer := make([]byte, maxDatagram)
	for {
		size, client, err := r.clientSocket.ReadFromUDP(buffer)
		if err != nil {
			if r.isClosed() {
				return
			}
			continue // a client's closed port is reported as a read error
		}
		r.recordRequest(buffer[:size])
		if f := r.getOrCreateFlow(client); f != nil {
			r.forward(buffer[:size], false, func(datagram []byte) {
				_, _ = f.upstream.Write(datagram) // a datagram that cannot be sent is lost, as on any network
			})
		}
	}
}

// recordRequest counts a datagram from a client, and records a copy of it while a recording is active.
func (r *Relay) recordRequest(datagram []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received++
	if r.recording {
		r.recorded = append(r.recorded, bytes.Clone(datagram))
	}
}

// forwardReplies forwards datagrams from the server to one client, until the flow or the relay is closed.
func (r *Relay) forwardReplies(f *flow) {
	buffer := make([]byte, maxDatagram)
	for {
		size, err := f.upstream.Read(buffer)
		if err != nil {
			if !r.isCurrent(f) {
				return
			}
			time.Sleep(time.Millisecond) // the server's port is closed for now
			continue
		}
		r.forward(buffer[:size], true, func(datagram []byte) {
			_, _ = r.clientSocket.WriteToUDP(datagram, f.client) // a datagram that cannot be sent is lost, as on any network
		})
	}
}

// isClosed reports whether Close was called.
func (r *Relay) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// isCurrent reports whether a flow is in use: neither closed with the relay nor replaced by Rebind.
func (r *Relay) isCurrent(f *flow) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.closed && r.flows[f.client.String()] == f
}

// forward sends a datagram with the current fault applied to it. It does not retain the datagram, which the caller may overwrite.
func (r *Relay) forward(datagram []byte, reply bool, send func([]byte)) {
	r.mu.Lock()
	fault := r.fault
	dropped := fault.alwaysDrops(datagram, reply) || r.random.Float64() < fault.LossShare
	reordered := r.random.Float64() < fault.ReorderShare
	duplicated := r.random.Float64() < fault.DuplicateShare
	r.mu.Unlock()
	if dropped {
		return
	}
	delay := fault.Delay
	if reordered {
		delay += fault.Delay + time.Millisecond
	}
	copies := 1
	if duplicated {
		copies = 2
	}
	if delay == 0 {
		for range copies {
			send(datagram)
		}
		return
	}
	delayed := bytes.Clone(datagram)
	r.running.Add(1)
	time.AfterFunc(delay, func() {
		defer r.running.Done()
		for range copies {
			send(delayed)
		}
	})
}

// alwaysDrops reports whether the fault drops a datagram regardless of the random shares.
func (f *Fault) alwaysDrops(datagram []byte, reply bool) bool {
	return f.Blackhole || f.DropReplies && reply || f.MTU > 0 && len(datagram) > f.MTU
}
