package rehearse

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/h3"
)

// server is an emulated server on a socket. It passes the attempts from its connections and streams to its model, which decides when each
// is answered.
type server struct {
	rehearsal *rehearsal
	index     int
	spec      *scenario.Server

	mu          sync.Mutex
	model       *emulator.Server // model of the server's capacity; nil while it is down or silent
	listener    *net.TCPListener
	connections map[*connection]bool
	accepted    map[uint64]*attempt // attempts that the model has accepted, by id
	timer       *time.Timer         // runs handleTimer at the model's next scheduled change
	incarnation int                 // number of starts and stops; state of earlier incarnations is invalid
	silent      bool                // whether the server's machine does not respond
	accepting   chan struct{}       // closed when the accept goroutine has ended
	backlogFill []net.Conn          // connections that fill the backlog of a silent machine
	faults      map[string]float64  // share of attempts affected by each fault, by its name in the script
	random      *rand.Rand          // source for drawing the attempts that faults affect

	http3Endpoint *h3.Endpoint         // HTTP/3 endpoint; nil if the server is down or its tier uses only HTTP/1.1
	streams       map[*stream]*attempt // attempts of the open streams of http3Endpoint
	previousEnded chan struct{}        // closed when the previous incarnation has released its UDP socket; nil if none used it
	muted         atomic.Bool          // whether the UDP socket drops everything it would receive or send
}

// newServer returns a server that is down.
func newServer(r *rehearsal, index int) *server {
	s := &server{
		rehearsal:   r,
		index:       index,
		spec:        &r.plan.Servers[index],
		connections: map[*connection]bool{},
		streams:     map[*stream]*attempt{},
		accepted:    map[uint64]*attempt{},
		faults:      map[string]float64{},
		random:      rand.New(emulator.RandomSource(r.plan.Seed, fmt.Sprint("faults ", index))),
	}
	s.timer = time.AfterFunc(time.Hour, s.handleTimer)
	s.timer.Stop()
	return s
}

// start starts the server: warming up if cold, otherwise as if it had been up for long. It fails if the server's address is not
// available.
func (s *server) start(cold bool) error {
	s.awaitPreviousEnd(s.rehearsal.ctx)
	address, err := net.ResolveTCPAddr("tcp", s.rehearsal.serverAddress(s.spec.Slot))
	if err != nil {
		return err
	}
	listener, err := net.ListenTCP("tcp", address)
	if err != nil {
		return err
	}
	accepting := make(chan struct{})
	s.mu.Lock()
	s.incarnation++
	s.silent = false
	s.model = emulator.NewServer(s.spec.Spec, max(0, s.rehearsal.now()), cold)
	s.listener = listener
	s.accepting = accepting
	incarnation := s.incarnation
	if cold {
		s.record(audit.ServerStarted)
	}
	s.mu.Unlock()
	go func() {
		defer close(accepting)
		s.accept(listener, incarnation)
	}()
	return s.startHTTP3(incarnation)
}

// stop stops the server: it closes the listener, resets the connections and drops attempts in flight.
func (s *server) stop() {
	s.mu.Lock()
	s.stopLocked()
	s.mu.Unlock()
}

// stopLocked is stop for a caller that holds s.mu.
func (s *server) stopLocked() {
	s.incarnation++
	s.model = nil
	s.timer.Stop()
	if s.listener != nil {
		_ = s.listener.Close() // fails only if already closed
		s.listener = nil
	}
	for _, c := range s.backlogFill {
		closeConn(c)
	}
	s.backlogFill = nil
	for c := range s.connections {
		if c.current != nil {
			s.finish(c.current, audit.Dropped)
		}
		reset(c.Conn)
		delete(s.connections, c)
	}
	s.stopHTTP3()
	clear(s.accepted)
}

// setFault sets the share of attempts, from 0 to 1, that the named fault affects.
func (s *server) setFault(name string, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[name] = share
}

// record records an event of the server at the current time.
func (s *server) record(kind audit.Kind) {
	s.rehearsal.record(audit.Event{At: s.rehearsal.now(), Kind: kind, Server: s.index, Sidecar: -1, Origin: -1})
}

// tier returns the tier that the server belongs to.
func (s *server) tier() *scenario.Tier { return s.rehearsal.plan.Tiers[s.spec.Tier] }
