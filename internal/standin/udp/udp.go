// Package udp is a relay for UDP on loopback that does to datagrams what
// networks do: it loses, delays, reorders and doubles them, shrinks the path's
// MTU, gives a caller another port in mid-flight, and can record what a caller
// sends first and send it again, from ports of its own.
package udp

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is what happens to datagrams, in both directions.
type Fault struct {
	LossShare      float64       // share that is lost
	DuplicateShare float64       // share that comes twice
	ReorderShare   float64       // share that comes after Delay more than the others
	Delay          time.Duration // of each
	MTU            int           // larger ones are lost; 0 for no bound
	Blackhole      bool          // all are lost
	DropReplies    bool          // callers hear nothing
}

// Relay is between callers and one server.
type Relay struct {
	server *net.UDPAddr
	front  *net.UDPConn // callers send here

	mu        sync.Mutex
	fault     Fault
	random    *rand.Rand
	flows     map[string]*flow
	recording bool
	recorded  [][]byte
	received  int // datagrams from callers
	closed    bool
	running   sync.WaitGroup
}

// flowOf is one caller, as the server sees it.
type flow struct {
	client   *net.UDPAddr
	upstream *net.UDPConn
}

// Start relays from a free loopback port to a server. What is left to chance follows the seed.
func Start(server string, seed uint64) (*Relay, error) { return StartAt("127.0.0.1:0", server, seed) }

// StartAt is Start at an address.
func StartAt(address, server string, seed uint64) (*Relay, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, err
	}
	r := &Relay{server: to, front: front, random: rand.New(rand.NewPCG(seed, 1)), flows: map[string]*flow{}}
	r.running.Go(r.forwardRequests)
	return r, nil
}

// Address is where callers send.
func (r *Relay) Address() string { return r.front.LocalAddr().String() }

// SetFault changes what happens to datagrams from now on.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Received is how many datagrams callers have sent.
func (r *Relay) Received() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received
}

// StartRecording keeps a copy of what callers send from now on.
func (r *Relay) StartRecording() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recording, r.recorded = true, nil
}

// StopRecording ends the recording.
func (r *Relay) StopRecording() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recording = false
	return r.recorded
}

// Replay sends datagrams to the server from a new port, as whoever recorded them can; what comes back is
// dropped.
func (r *Relay) Replay(datagrams [][]byte) error {
	c, err := net.DialUDP("udp", nil, r.server)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, d := range datagrams {
		if _, err := c.Write(d); err != nil {
			return err
		}
	}
	return nil
}

// Rebind gives each caller another port towards the server, as a NAT does that has forgotten it. What comes to
// the old one is lost.
func (r *Relay) Rebind() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.upstream.Close()
	}
	clear(r.flows)
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for _, f := range r.flows {
		f.upstream.Close()
	}
	r.mu.Unlock()
	r.front.Close()
	r.running.Wait()
}

// flowOf is the flow of a caller.
func (r *Relay) flowOf(from *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[from.String()]
	if f == nil && !r.closed {
		back, err := net.DialUDP("udp", nil, r.server)
		if err != nil {
			return nil
		}
		f = &flow{from, back}
		r.flows[from.String()] = f
		r.running.Go(func() { r.forwardReplies(f) })
	}
	return f
}

func (r *Relay) forwardRequests() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			if r.isClosed() {
				return
			}
			continue // a port that is gone makes itself known here
		}
		r.mu.Lock()
		r.received++
		if r.recording {
			r.recorded = append(r.recorded, append([]byte(nil), buffer[:n]...))
		}
		r.mu.Unlock()
		if f := r.flowOf(from); f != nil {
			r.forward(buffer[:n], false, func(d []byte) { f.upstream.Write(d) })
		}
	}
}

func (r *Relay) forwardReplies(f *flow) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := f.upstream.Read(buffer)
		if err != nil {
			r.mu.Lock()
			current := r.flows[f.client.String()] == f
			r.mu.Unlock()
			if r.isClosed() || !current {
				return
			}
			time.Sleep(time.Millisecond) // the server's port is gone for now
			continue
		}
		r.forward(buffer[:n], true, func(d []byte) { r.front.WriteToUDP(d, f.client) })
	}
}

func (r *Relay) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// forward does what the fault says to a datagram.
func (r *Relay) forward(d []byte, back bool, send func([]byte)) {
	r.mu.Lock()
	f := r.fault
	lost := f.Blackhole || f.DropReplies && back || f.MTU > 0 && len(d) > f.MTU || r.random.Float64() < f.LossShare
	late, twice := r.random.Float64() < f.ReorderShare, r.random.Float64() < f.DuplicateShare
	r.mu.Unlock()
	if lost {
		return
	}
	delay := f.Delay
	if late {
		delay += f.Delay + time.Millisecond
	}
	times := 1
	if twice {
		times = 2
	}
	if delay == 0 {
		for range times {
			send(d)
		}
		return
	}
	copied := append([]byte(nil), d...)
	r.running.Add(1)
	time.AfterFunc(delay, func() {
		defer r.running.Done()
		for range times {
			send(copied)
		}
	})
}
